/** Metrics of callers' requests. */

import type {Registry} from 'prom-client';
import {Counter, Histogram} from 'prom-client';
import type {ProxiedRequestDependencies} from './proxied_request.js';

/**
 * Upper bounds of the latency histogram's buckets, densest around the latency objectives
 * of 0.1 to 2 s.
 */
const LATENCY_BUCKETS_SECONDS = [
  0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 4, 8, 20,
];

/** Registers the metrics; returns the callbacks that update them. */
export function createRequestMetrics(
  registry: Registry,
): Pick<ProxiedRequestDependencies, 'onRequestEnd' | 'onRetryDecision'> {
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
  return {
    onRequestEnd: (route, result, durationMilliseconds) => {
      requestsTotal.inc({route: route.name, result});
      requestSeconds.observe({route: route.name}, durationMilliseconds / 1_000);
    },
    onRetryDecision: (service, decision) =>
      failedSendsTotal.inc({service, retry: decision}),
  };
}
