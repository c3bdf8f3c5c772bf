/** Questions between nodes about what the other one sees of an endpoint. */

import type {ProbeResult} from '@siskinmux/forwarding';
import type {Clock, EndpointId, Milliseconds} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {PeerConnection} from './peer_connection.js';
import {witnessResponseSchema, witnessSchema} from './placement_messages.js';

/** The other node probes endpoints twice before it responds. */
const WITNESS_TIMEOUT_MILLISECONDS: Milliseconds = 600;

/** Asks a node; `unknown` if it doesn't respond in time, or is of an earlier version. */
export async function askWitness(
  connection: PeerConnection,
  method: string,
  endpoint: EndpointId,
  clock: Clock,
): Promise<ProbeResult> {
  const response = await connection.ask(
    method,
    {endpoint},
    after(clock.now(), WITNESS_TIMEOUT_MILLISECONDS),
    witnessResponseSchema,
  );
  return response?.result ?? 'unknown';
}

/** Answers such questions. */
export function handleWitness(
  connection: PeerConnection,
  method: string,
  testify: (endpoint: EndpointId) => Promise<ProbeResult>,
): void {
  connection.handle(method, witnessSchema, async ({endpoint}) => ({
    result: await testify(as<EndpointId>(endpoint)),
  }));
}
