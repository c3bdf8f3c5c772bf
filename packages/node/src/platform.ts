/** Provides the clients of the platform: object service, host list and weight store. */

import type {
  Clock,
  HostId,
  Kernel,
  Milliseconds,
  Plugin,
  Random,
} from '@siskinmux/kernel';
import {as, injectionKey} from '@siskinmux/kernel';
import type {HttpAgent, HttpAgentOptions} from '@siskinmux/adapters';
import {
  ADAPTER_EVENTS,
  HttpHostList,
  HttpObjectService,
  HttpWeightStore,
  RESPONSE_DROPPED,
  createAgent,
} from '@siskinmux/adapters';
import type {HostStatus} from '@siskinmux/allocation';
import type {
  HostList,
  ListedHost,
  ObjectService,
  WeightStore,
} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';
import {PlatformClient} from '@siskinmux/platform_client';
import {Counter} from 'prom-client';
import {z} from 'zod';
import {
  CLOCK,
  EMIT_EVENT,
  METRICS,
  RANDOM,
  createPeriodicJob,
  settingsSection,
  urlSchema,
} from '@siskinmux/runtime';

/** Agent of the calls to endpoints, whose responses must not take the memory for the platform's. */
export const ENDPOINT_AGENT = injectionKey<HttpAgent>('endpoint agent');

/** Injection keys of the platform clients. */
export const PLATFORM = injectionKey<PlatformClient>('platform client');
export const HOSTS = injectionKey<HostListCache>('hosts');
export const WEIGHT_STORE = injectionKey<WeightStore | undefined>(
  'weight store',
);

/** Interval at which the host list is read. */
const HOST_LIST_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

const section = settingsSection(
  'platform',
  z.strictObject({
    object_service: urlSchema,
    host_list: urlSchema,
    weight_store: urlSchema.optional(),
    /** Maximum calls per second from this node to the object service. */
    calls_per_second: z.number().positive().default(200),
  }),
);

/** Clock, randomness and platform services that a node depends on. */
export interface Platform {
  readonly clock: Clock;
  readonly random: Random;
  readonly objects: ObjectService;
  readonly hostList: HostList;
  readonly weightStore: WeightStore | undefined;
  /** Maximum calls per second from this node to the object service. */
  readonly callsPerSecond: number;
}

/** Provides the clock, the random source and the platform services over HTTP. */
export function createPlatformPlugin(options: {
  clock: Clock;
  random: Random;
}): Plugin {
  return {
    name: 'platform',
    install(kernel) {
      const settings = kernel.settings(section);
      const {clock} = options;
      kernel.addEvents(ADAPTER_EVENTS);
      const agentOptions = createAgentOptions(kernel);
      const agent = createAgent(agentOptions);
      kernel.provide(ENDPOINT_AGENT, createAgent(agentOptions));
      const {weight_store: weightStore} = settings;
      providePlatform(kernel, {
        ...options,
        objects: HttpObjectService.create({
          url: settings.object_service,
          agent,
          clock,
        }),
        hostList: HttpHostList.create({url: settings.host_list, agent}),
        weightStore:
          weightStore === undefined
            ? undefined
            : HttpWeightStore.create({url: weightStore, agent}),
        callsPerSecond: settings.calls_per_second,
      });
    },
  };
}

/** Options that count and log the responses that are given up. */
function createAgentOptions(kernel: Kernel): HttpAgentOptions {
  const emit = kernel.inject(EMIT_EVENT);
  const droppedTotal = new Counter({
    name: 'siskinmux_dropped_responses_total',
    help: "Responses to the node's own calls that were given up",
    labelNames: ['reason'],
    registers: [kernel.inject(METRICS)],
  });
  return {
    onResponseDropped: ({origin, reason, isRepeated}) => {
      droppedTotal.inc({reason});
      if (!isRepeated) emit(RESPONSE_DROPPED, {origin, reason});
    },
  };
}

/** Provides a platform, independently of its transport. */
export function providePlatform(kernel: Kernel, platform: Platform): void {
  const {clock, random, weightStore} = platform;
  const client = PlatformClient.create(platform);
  const hosts = HostListCache.create(platform.hostList);
  kernel.provide(CLOCK, clock);
  kernel.provide(RANDOM, random);
  kernel.provide(PLATFORM, client);
  kernel.provide(WEIGHT_STORE, weightStore);
  kernel.provide(HOSTS, hosts);
  kernel.inject(METRICS).registerMetric(createCallCounter(client));
  const pollingJob = createPeriodicJob(
    clock,
    HOST_LIST_INTERVAL_MILLISECONDS,
    () => hosts.refresh(),
  );
  kernel.addTask({name: 'host list', ...pollingJob});
}

/** Caches the most recently read host list. */
export class HostListCache {
  private hosts: ReadonlyMap<HostId, ListedHost> | undefined;

  private constructor(private readonly list: HostList) {}

  static create(list: HostList): HostListCache {
    return new HostListCache(list);
  }

  /** Status of a host; `unknown` as long as no list with hosts has been read. */
  statusOf(host: string): HostStatus {
    if (this.hosts === undefined || this.hosts.size === 0) return 'unknown';
    return this.hosts.get(as<HostId>(host))?.state ?? 'unlisted';
  }

  /** Reads the list; keeps the previous one while the platform is unavailable. */
  async refresh(): Promise<void> {
    try {
      const listed = await this.list.hosts();
      this.hosts = new Map(listed.map(host => [host.id, host]));
    } catch (failure) {
      if (!(failure instanceof PlatformUnavailableError)) throw failure;
    }
  }
}

function createCallCounter(client: PlatformClient): Counter {
  return new Counter({
    name: 'siskinmux_platform_calls_total',
    help: 'Calls to the object service by priority and result',
    labelNames: ['priority', 'result'],
    registers: [],
    collect() {
      this.reset();
      for (const [priority, counts] of Object.entries(client.counts)) {
        for (const [result, count] of Object.entries(counts)) {
          this.inc({priority, result}, count as number);
        }
      }
    },
  });
}
