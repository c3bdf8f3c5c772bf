/** Access to the platform: object service, host list and weight store. */

import type {
  Clock,
  HostId,
  Milliseconds,
  Plugin,
  Random,
} from '@siskinmux/kernel';
import {as, injectionKey} from '@siskinmux/kernel';
import {
  HttpHostList,
  HttpObjectService,
  HttpWeightStore,
  createAgent,
} from '@siskinmux/adapters';
import type {HostSighting} from '@siskinmux/allocation';
import type {HostList, ListedHost, WeightStore} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';
import {PlatformClient} from '@siskinmux/platform_client';
import {Counter} from 'prom-client';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {METRICS} from './metrics.js';
import {repeat} from './repeat.js';
import {settingsSection, urlSchema} from './settings_section.js';

/** Keys of what the platform plug-in provides. */
export const CLOCK = injectionKey<Clock>('clock');
export const RANDOM = injectionKey<Random>('random');
export const AGENT = injectionKey<Dispatcher>('HTTP agent');
export const PLATFORM = injectionKey<PlatformClient>('platform client');
export const HOSTS = injectionKey<HostWatcher>('hosts');
export const WEIGHT_STORE = injectionKey<WeightStore | undefined>(
  'weight store',
);

/** Pause between two looks at the host list. */
const HOST_LIST_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

const section = settingsSection(
  'platform',
  z.strictObject({
    object_service: urlSchema,
    host_list: urlSchema,
    weight_store: urlSchema.optional(),
    /** Calls that this node may send the object service each second. */
    calls_per_second: z.number().positive().default(200),
  }),
);

/** Provides the clock, chance and the platform's services. */
export function createPlatformPlugin(options: {
  clock: Clock;
  random: Random;
}): Plugin {
  return {
    name: 'platform',
    install(kernel) {
      const settings = kernel.settings(section);
      const {clock, random} = options;
      const agent = createAgent();
      kernel.provide(CLOCK, clock);
      kernel.provide(RANDOM, random);
      kernel.provide(AGENT, agent);
      const client = PlatformClient.create({
        objects: HttpObjectService.create({
          url: settings.object_service,
          agent,
          clock,
        }),
        clock,
        random,
        callsPerSecond: settings.calls_per_second,
      });
      kernel.provide(PLATFORM, client);
      const {weight_store: weightStoreUrl} = settings;
      kernel.provide(
        WEIGHT_STORE,
        weightStoreUrl === undefined
          ? undefined
          : HttpWeightStore.create({url: weightStoreUrl, agent}),
      );
      const hosts = HostWatcher.create(
        HttpHostList.create({url: settings.host_list, agent}),
      );
      kernel.provide(HOSTS, hosts);
      kernel.inject(METRICS).registerMetric(countCalls(client));
      const polling = repeat(clock, HOST_LIST_INTERVAL_MILLISECONDS, () =>
        hosts.refresh(),
      );
      kernel.addTask({name: 'host list', ...polling});
    },
  };
}

/** The host list as it was last read. */
export class HostWatcher {
  private hosts: ReadonlyMap<HostId, ListedHost> | undefined;

  private constructor(private readonly list: HostList) {}

  static create(list: HostList): HostWatcher {
    return new HostWatcher(list);
  }

  /** What the list says of a host. */
  sighting(host: string): HostSighting {
    if (this.hosts === undefined || this.hosts.size === 0) return 'unknown';
    return this.hosts.get(as<HostId>(host))?.state ?? 'unlisted';
  }

  /** Reads the list; the last one stays in use while it can't be read. */
  async refresh(): Promise<void> {
    try {
      const listed = await this.list.hosts();
      this.hosts = new Map(listed.map(host => [host.id, host]));
    } catch (failure) {
      if (!(failure instanceof PlatformUnavailableError)) throw failure;
    }
  }
}

function countCalls(client: PlatformClient): Counter {
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
