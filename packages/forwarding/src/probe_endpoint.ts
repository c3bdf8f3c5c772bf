/** Checks whether a process listens at an address, and whether it responds. */

import {get} from 'node:http';
import {connect} from 'node:net';
import type {Clock, Milliseconds} from '@siskinmux/kernel';
import {after, scheduleWhileAwake} from '@siskinmux/kernel';

/** A process that listens accepts within a round trip, unless its link is broken. */
const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 250;

/** A sound endpoint responds at once, unless all its slots are taken. */
const RESPONSE_TIMEOUT_MILLISECONDS: Milliseconds = 300;

/** `refused`: no process listens there; `unknown`: the host could not be reached. */
export type ProbeResult = 'listening' | 'refused' | 'unknown';

/** `silent`: a connection could be opened, and nothing came back on it. */
export type ResponseProbeResult =
  'responding' | 'silent' | 'refused' | 'unknown';

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
    const cancel = scheduleWhileAwake(
      clock,
      after(clock.now(), PROBE_TIMEOUT_MILLISECONDS),
      () => finish('unknown'),
    );
    socket.once('connect', () => finish('listening'));
    socket.on('error', (failure: NodeJS.ErrnoException) =>
      finish(failure.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
}

/** Sends a GET request for `path` on a connection of its own; any reply shows that the link works. */
export function probeResponse(
  address: string,
  path: string,
  clock: Clock,
): Promise<ResponseProbeResult> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let isConnected = false;
    const request = get({host, port: Number(port), path, agent: false});
    const finish = (result: ResponseProbeResult): void => {
      cancel();
      request.destroy();
      resolve(result);
    };
    const cancel = scheduleWhileAwake(
      clock,
      after(clock.now(), RESPONSE_TIMEOUT_MILLISECONDS),
      () => finish(isConnected ? 'silent' : 'unknown'),
    );
    request.once('socket', socket =>
      socket.once('connect', () => {
        isConnected = true;
      }),
    );
    request.once('response', () => finish('responding'));
    request.on('error', (failure: NodeJS.ErrnoException) => {
      // A connection that was reset or carried something else came from a process that runs.
      if (isConnected) finish('responding');
      else finish(failure.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
    });
  });
}
