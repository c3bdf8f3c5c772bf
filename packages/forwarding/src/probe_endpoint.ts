/** Checks whether a process listens at an address, with a connection that carries nothing. */

import {connect} from 'node:net';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';

/** A process that listens accepts within a round trip, unless its link is broken. */
const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 250;

/** `refused`: no process listens there; `unknown`: the host could not be reached. */
export type ProbeResult = 'listening' | 'refused' | 'unknown';

/** Connects to `address`, an IP address and a port, and closes the connection at once. */
export function probeEndpoint(
  address: string,
  clock: Clock,
): Promise<ProbeResult> {
  const [host = '', port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const finish = (result: ProbeResult): void => {
      cancel();
      socket.destroy();
      resolve(result);
    };
    const cancel = clock.schedule(
      after(clock.now(), PROBE_TIMEOUT_MILLISECONDS),
      // A late timer may precede a response that has arrived already.
      () => setImmediate(finish, 'unknown'),
    );
    socket.once('connect', () => finish('listening'));
    socket.on('error', (failure: NodeJS.ErrnoException) =>
      finish(failure.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
}
