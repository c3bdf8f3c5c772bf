/** Prometheus metrics through prom-client, served on a separate port. */

import type {ConnectionLimits, OnClientLimited} from '@siskinmux/forwarding';
import {ListenerBounds, RequestTurns} from '@siskinmux/forwarding';
import type {Plugin} from '@siskinmux/kernel';
import {injectionKey} from '@siskinmux/kernel';
import type {FastifyReply} from 'fastify';
import {fastify} from 'fastify';
import {Counter, Registry, collectDefaultMetrics} from 'prom-client';
import {z} from 'zod';
import {
  addressSchema,
  portSchema,
  settingsSection,
} from './settings_section.js';

/** A collector keeps one connection; several may be configured. */
const CONNECTION_LIMITS: ConnectionLimits = {total: 32, perAddress: 16};

/** Injection key of the registry in which plug-ins register their metrics. */
export const METRICS = injectionKey<Registry>('metrics');

/** Injection key of the base URL of the metrics server; empty until it listens. */
export const METRICS_URL = injectionKey<() => string>('metrics URL');

/** Fields of a query, as received. */
export type QueryFields = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

/** A JSON answer of the metrics server. */
export interface MetricsAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Adds a path to the metrics server, before it starts; `answer` is called for each GET request. */
export type AddMetricsPath = (
  path: string,
  answer: (query: QueryFields) => MetricsAnswer,
) => void;

/** Injection key of a function that adds a path to the metrics server. */
export const ADD_METRICS_PATH = injectionKey<AddMetricsPath>('metrics paths');

/** Injection key of what sets who is told of limits on the clients of the metrics server. */
export const REPORT_METRICS_CLIENTS = injectionKey<
  (onLimited: OnClientLimited) => void
>('reports of metrics clients');

const section = settingsSection(
  'metrics',
  z.strictObject({
    address: addressSchema,
    port: portSchema,
    /** Whether to include process metrics; collecting them wakes the process up regularly. */
    process_figures: z.boolean().default(true),
  }),
);

/** Rejects a request without repeating its URL, which may have what was not meant to be kept. */
function sendProblem(reply: FastifyReply, status: number): void {
  void reply.code(status).send({status});
}

/** Provides {@link METRICS} without an HTTP server. */
export const metricsRegistryPlugin: Plugin = {
  name: 'metrics',
  install(kernel) {
    kernel.provide(METRICS, new Registry());
  },
};

/** Provides {@link METRICS} and {@link ADD_METRICS_PATH}, and serves `GET /metrics`. */
export const metricsPlugin: Plugin = {
  name: 'metrics',
  install(kernel) {
    const settings = kernel.settings(section);
    const registry = new Registry();
    if (settings.process_figures) {
      collectDefaultMetrics({register: registry, prefix: 'siskinmux_'});
    }
    kernel.provide(METRICS, registry);
    const limitedTotal = new Counter({
      name: 'siskinmux_metrics_client_limits_total',
      help: 'Connections of this server that a limit closed or held back, by limit',
      labelNames: ['limit'],
      registers: [registry],
    });
    const server = fastify({
      forceCloseConnections: true,
      frameworkErrors: (failure, _request, reply) => {
        sendProblem(reply, failure.statusCode ?? 400);
      },
    });
    server.setNotFoundHandler((_request, reply) => sendProblem(reply, 404));
    let report: OnClientLimited = () => {};
    kernel.provide(REPORT_METRICS_CLIENTS, onLimited => {
      report = onLimited;
    });
    ListenerBounds.create({
      server: server.server,
      turns: RequestTurns.create(setImmediate),
      limits: CONNECTION_LIMITS,
      onLimited: (limit, socket) => {
        limitedTotal.inc({limit});
        report(limit, socket);
      },
    }).boundAll();
    server.get('/metrics', async (_request, reply) => {
      void reply.type(registry.contentType);
      return registry.metrics();
    });
    kernel.provide(ADD_METRICS_PATH, (path, answer) => {
      server.get(path, async (request, reply) => {
        const {status, body} = answer(request.query as QueryFields);
        void reply.code(status).type('application/json; charset=utf-8');
        return JSON.stringify(body);
      });
    });
    let url = '';
    kernel.provide(METRICS_URL, () => url);
    kernel.addTask({
      name: 'metrics server',
      start: async () => {
        url = await server.listen({
          host: settings.address,
          port: settings.port,
        });
      },
      stop: () => server.close(),
    });
  },
};
