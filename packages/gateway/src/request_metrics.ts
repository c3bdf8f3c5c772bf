/** Metrics of callers' requests. */

import type {Registry} from 'prom-client';
import {Counter, Gauge, Histogram} from 'prom-client';
import type {CrashQuarantineOptions} from '@siskinmux/containment';
import type {DropReason} from '@siskinmux/adapters';
import type {BufferBudget} from '@siskinmux/forwarding';
import type {ErrorCode} from '@siskinmux/kernel';
import type {CapacityOutcome} from './capacity_holds.js';
import type {EndpointLimits} from './endpoint_limits.js';
import type {NodePlacementOptions} from './node_placement.js';
import type {ProxiedRequestDependencies} from './proxied_request.js';

/**
 * Upper bounds of the latency histogram's buckets, densest around the latency objectives
 * of 0.1 to 2 s.
 */
const LATENCY_BUCKETS_SECONDS = [
  0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 20,
];

/** Callbacks that update the metrics. */
export type RequestMetrics = Pick<
  ProxiedRequestDependencies,
  'onRequestEnd' | 'onRetryDecision'
> &
  Pick<CrashQuarantineOptions, 'onCrash' | 'onWithheld'> &
  Pick<NodePlacementOptions, 'onLimited' | 'onPermitUsed'> & {
    /** Called for each request that engines had no room for. */
    readonly onCapacityWait: (outcome: CapacityOutcome) => void;
    /** Called when a request is refused for which no route was found. */
    readonly onRefused: (code: ErrorCode) => void;
    /** Called when a connection is paced for the first time. */
    readonly onPaced: () => void;
    /** Called when a request or a response gets no more memory. */
    readonly onMemoryDenied: () => void;
    /** Called when the response to a call of the node itself is given up. */
    readonly onResponseDropped: (reason: DropReason) => void;
  };

/** Registers the metrics; returns the callbacks that update them. */
export function createRequestMetrics(
  registry: Registry,
  limits: EndpointLimits,
  budget: BufferBudget,
): RequestMetrics {
  const registers = [registry];
  const requestsTotal = new Counter({
    name: 'siskinmux_requests_total',
    help: 'Requests of callers by route and result',
    labelNames: ['route', 'result'],
    registers,
  });
  const requestSeconds = new Histogram({
    name: 'siskinmux_request_seconds',
    help: 'Time to the end of the answer by route',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers,
  });
  const failedSendsTotal = new Counter({
    name: 'siskinmux_failed_sends_total',
    help: 'Sends to endpoints that failed, by service and retry decision',
    labelNames: ['service', 'retry'],
    registers,
  });
  const crashedRunsTotal = new Counter({
    name: 'siskinmux_crashed_runs_total',
    help: 'Requests of this node whose endpoint crashed, by service and evidence',
    labelNames: ['service', 'evidence'],
    registers,
  });
  const withheldTotal = new Counter({
    name: 'siskinmux_withheld_requests_total',
    help: 'Requests refused because they are quarantined',
    registers,
  });
  const limitedTotal = new Counter({
    name: 'siskinmux_limited_requests_total',
    help: 'Requests that the limit of an endpoint concerned, by outcome',
    labelNames: ['outcome'],
    registers,
  });
  const capacityWaitsTotal = new Counter({
    name: 'siskinmux_capacity_waits_total',
    help: 'Requests that engines had no room for: held, and what became of them',
    labelNames: ['outcome'],
    registers,
  });
  const permitsTotal = new Counter({
    name: 'siskinmux_used_permits_total',
    help: 'Sends to endpoints that limit their requests, by service',
    labelNames: ['service'],
    registers,
  });
  const pacedTotal = new Counter({
    name: 'siskinmux_paced_connections_total',
    help: 'Connections that delivered short chunks faster than their share',
    registers,
  });
  const droppedResponsesTotal = new Counter({
    name: 'siskinmux_dropped_responses_total',
    help: "Responses to the node's own calls that were given up",
    labelNames: ['reason'],
    registers,
  });
  const memoryDeniedTotal = new Counter({
    name: 'siskinmux_buffer_denials_total',
    help: 'Requests and responses that got no more memory',
    registers,
  });
  new Gauge({
    name: 'siskinmux_buffered_bytes',
    help: 'Memory of the bodies and events that this node holds',
    registers,
    collect() {
      this.set(budget.heldBytes);
    },
  });
  new Gauge({
    name: 'siskinmux_endpoint_limit',
    help: 'Requests a second that an endpoint takes from all nodes, by its incarnation',
    labelNames: ['life'],
    registers,
    collect() {
      this.reset();
      for (const {incarnation, requestsPerSecond} of limits.all)
        this.set({life: incarnation}, requestsPerSecond ?? 0);
    },
  });
  return {
    onRefused: code => requestsTotal.inc({route: '', result: code}),
    onPaced: () => pacedTotal.inc(),
    onMemoryDenied: () => memoryDeniedTotal.inc(),
    onResponseDropped: reason => droppedResponsesTotal.inc({reason}),
    onLimited: outcome => limitedTotal.inc({outcome}),
    onCapacityWait: outcome => capacityWaitsTotal.inc({outcome}),
    onPermitUsed: ({service}) => permitsTotal.inc({service}),
    onRequestEnd: (route, result, durationMilliseconds) => {
      requestsTotal.inc({route: route.name, result});
      requestSeconds.observe({route: route.name}, durationMilliseconds / 1_000);
    },
    onRetryDecision: (service, decision) =>
      failedSendsTotal.inc({service, retry: decision}),
    onCrash: ({endpoint}, evidence) =>
      crashedRunsTotal.inc({service: endpoint.service, evidence}),
    onWithheld: () => withheldTotal.inc(),
  };
}
