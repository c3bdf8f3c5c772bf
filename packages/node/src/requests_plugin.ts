/** Creates the request handlers of this node and connects them to the other plug-ins. */

import {randomUUID} from 'node:crypto';
import type {Plugin} from '@siskinmux/kernel';
import {after, injectionKey} from '@siskinmux/kernel';
import type {AttemptId} from '@siskinmux/ledger';
import {
  DemandTracker,
  Dispatcher,
  ENDPOINT_DIED,
  EndpointPool,
  REQUEST_EVENTS,
  ReplicaExchange,
  ReplicaTable,
  RequestQuarantine,
  ServiceRequests,
  TextRequests,
  requestQuarantinePolicy,
} from '@siskinmux/requests';
import type {Suspect} from '@siskinmux/containment';
import {CrashSuspects, MAXIMUM_TRAITS} from '@siskinmux/containment';
import {RetryBudget} from '@siskinmux/routing';
import {Gauge} from 'prom-client';
import {z} from 'zod';
import {ALLOCATION} from './allocation_task.js';
import {CONFIGURATION} from './configuration_task.js';
import {ENDPOINTS} from './endpoint_adapters.js';
import {LEDGER} from './ledger_plugin.js';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  NODE_IDENTITY,
  RANDOM,
} from '@siskinmux/runtime';
import {MEMBERSHIP} from './membership_task.js';
import {PEERS} from './peers.js';
import {HOSTS} from './platform.js';

const SUSPECT_METHOD = 'requests.suspect';

/** Time limit for announcing to a peer that a request is suspected of crashing endpoints. */
const SUSPECT_TIMEOUT_MILLISECONDS = 1_000;

const suspectSchema = z.object({
  trait: z.string().max(128),
  crashes: z
    .array(
      z.object({
        crash: z.string().max(256),
        hadResponded: z.boolean(),
        isCleared: z.boolean(),
      }),
    )
    .max(16),
  lastCrashAt: z.number(),
}) as unknown as z.ZodType<Suspect>;

/** Handlers of text generation and plain service requests, and their dispatcher. */
export interface RequestHandlers {
  readonly text: TextRequests;
  readonly services: ServiceRequests;
  readonly dispatcher: Dispatcher;
}

/** Injection key of the request handlers. */
export const REQUESTS = injectionKey<RequestHandlers>('requests');

/** Provides {@link REQUESTS}. */
export const requestsPlugin: Plugin = {
  name: 'requests',
  install(kernel) {
    const clock = kernel.inject(CLOCK);
    const random = kernel.inject(RANDOM);
    const emit = kernel.inject(EMIT_EVENT);
    const peers = kernel.inject(PEERS);
    const hosts = kernel.inject(HOSTS);
    const endpoints = kernel.inject(ENDPOINTS);
    const allocation = kernel.inject(ALLOCATION);
    const {membership} = kernel.inject(MEMBERSHIP);
    const {state} = kernel.inject(CONFIGURATION);
    const {id: node, failureDomain} = kernel.inject(NODE_IDENTITY);
    const declarations = () => state.current.declarations;

    const pool = EndpointPool.create({clock});
    const dispatcher = Dispatcher.create({clock, random, failureDomain, pool});
    const demands = DemandTracker.create({clock});
    const replicas = ReplicaTable.create({clock});
    const suspects = CrashSuspects.create(requestQuarantinePolicy);
    const retryBudget = RetryBudget.create();
    const exchange = ReplicaExchange.create({
      clock,
      node,
      declarations,
      demands,
      replicas,
      sendExchange: (domain, message, deadline) =>
        allocation.callAllocator(domain, message, deadline),
      onTableChange: () => dispatcher.dispatchQueued(),
    });
    const announceSuspects = (changed: readonly Suspect[]): void => {
      const deadline = after(clock.now(), SUSPECT_TIMEOUT_MILLISECONDS);
      for (const member of membership.others) {
        peers
          .call(member.address, SUSPECT_METHOD, [changed], deadline)
          .catch(() => {});
      }
    };
    const quarantine = RequestQuarantine.create({
      clock,
      suspects,
      engine: id => endpoints.engine(id),
      announceSuspects,
      onCrash: deaths => emit(ENDPOINT_DIED, {deaths}),
    });
    peers.handle(
      SUSPECT_METHOD,
      z.tuple([z.array(suspectSchema).max(MAXIMUM_TRAITS)]),
      async ([changed]) => {
        quarantine.merge(changed);
        return true;
      },
    );

    const handlers: RequestHandlers = {
      dispatcher,
      text: TextRequests.create({
        clock,
        random,
        declarations,
        dispatcher,
        pool,
        replicas,
        demands,
        exchange,
        quarantine,
        retryBudget,
        engine: id => endpoints.engine(id),
      }),
      services: ServiceRequests.create({
        clock,
        random,
        node,
        declarations,
        dispatcher,
        pool,
        ledger: kernel.inject(LEDGER),
        retryBudget,
        service: id => endpoints.service(id),
        isHostUsable: host =>
          ['live', 'unknown'].includes(hosts.statusOf(host)),
        createAttemptId: () => randomUUID() as AttemptId,
        emit,
      }),
    };
    state.onAdvance(() => dispatcher.dispatchQueued());
    kernel.addEvents(REQUEST_EVENTS);
    kernel.provide(REQUESTS, handlers);
    kernel.inject(METRICS).registerMetric(
      new Gauge({
        name: 'siskinmux_waiting_requests',
        help: 'Requests that wait for an endpoint',
        registers: [],
        collect() {
          this.set(dispatcher.waiting());
        },
      }),
    );
    kernel.addTask({
      name: 'replica exchange',
      start: () => exchange.start(),
      stop: () => exchange.stop(),
    });
  },
};
