/** Questions between nodes about what the other one sees of an endpoint or of a service. */

import type {ProbeResult} from '@siskinmux/forwarding';
import type {
  Clock,
  EndpointId,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {PeerConnection} from './peer_connection.js';
import {
  serviceWitnessResponseSchema,
  serviceWitnessSchema,
  witnessResponseSchema,
  witnessSchema,
} from './placement_messages.js';

/** The other node probes endpoints twice before it responds. */
const WITNESS_TIMEOUT_MILLISECONDS: Milliseconds = 600;

/** The other node probes the service, and may ask a third one. */
const SERVICE_WITNESS_TIMEOUT_MILLISECONDS: Milliseconds = 900;

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

/** Whether endpoints of a service respond to a node; false if it doesn't respond in time. */
export async function askServiceWitness(
  connection: PeerConnection,
  method: string,
  service: ServiceName,
  clock: Clock,
): Promise<boolean> {
  const response = await connection.ask(
    method,
    {service},
    after(clock.now(), SERVICE_WITNESS_TIMEOUT_MILLISECONDS),
    serviceWitnessResponseSchema,
  );
  return response?.responds ?? false;
}

/** Answers such questions. */
export function handleServiceWitness(
  connection: PeerConnection,
  method: string,
  testify: (service: ServiceName) => Promise<boolean>,
): void {
  connection.handle(method, serviceWitnessSchema, async ({service}) => ({
    responds: await testify(as<ServiceName>(service)),
  }));
}
