/** A whole node in virtual time: the product's own wiring over gated ports. */

import type {
  Clock,
  FailureDomain,
  HostId,
  NodeId,
  Random,
} from '@siskinmux/kernel';
import {Kernel, as, sleepFor} from '@siskinmux/kernel';
import type {Engine, ObjectService, PlainService} from '@siskinmux/ports';
import {AnswerCutError, EndpointUnreachableError} from '@siskinmux/ports';
import type {EndpointAdapters, RequestHandlers} from '@siskinmux/node';
import {
  ALLOCATION,
  CONFIGURATION,
  CORE_PLUGINS,
  ENDPOINTS,
  EndpointNotDeclaredError,
  LEDGER,
  MEMBERSHIP,
  NODE_IDENTITY,
  REQUESTS,
  createLogPlugin,
  createPeersPlugin,
  createTracingPlugin,
  providePlatform,
  metricsRegistryPlugin,
} from '@siskinmux/node';
import type {
  EngineStandIn,
  HostListStandIn,
  ObjectServiceStandIn,
  PlainServiceStandIn,
  WeightStoreStandIn,
} from '@siskinmux/standins';
import type {MemoryNetwork} from './memory_network.js';
import {abortable} from './memory_network.js';
import {ProcessGate} from './process_gate.js';

const CALLS_PER_SECOND = 200;

/** Pause between two looks at what is still to be finished. */
const FINISH_CHECK_MILLISECONDS = 20;

/** Address of the platform, for cuts. */
export const PLATFORM_ADDRESS = 'platform';

/** Everything outside a node. */
export interface Outside {
  readonly clock: Clock;
  readonly random: Random;
  readonly network: MemoryNetwork;
  readonly objects: ObjectServiceStandIn;
  readonly hosts: HostListStandIn;
  readonly weightStore: WeightStoreStandIn;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly services: ReadonlyMap<string, PlainServiceStandIn>;
  /** Addresses of nodes that a new one may ask. */
  readonly seeds: readonly string[];
}

/** One simulated process. */
export class SimulatedNode {
  readonly gate = ProcessGate.create();
  private readonly kernel: Kernel;
  private isStopping = false;
  private openRequests = 0;

  private constructor(
    readonly name: string,
    readonly failureDomain: string,
    readonly address: string,
    private readonly outside: Outside,
    writeLog: (line: string) => void,
  ) {
    this.kernel = this.buildKernel(writeLog);
  }

  static create(options: {
    name: string;
    failureDomain: string;
    address: string;
    outside: Outside;
    writeLog: (line: string) => void;
  }): SimulatedNode {
    const {name, failureDomain, address, outside, writeLog} = options;
    return new SimulatedNode(name, failureDomain, address, outside, writeLog);
  }

  /** The process's id. */
  get id(): NodeId {
    return this.kernel.inject(NODE_IDENTITY).id;
  }

  /** Whether the balancer sends requests here. */
  get isReady(): boolean {
    return this.gate.state === 'running' && !this.isStopping;
  }

  /** Number of the configuration in force. */
  get configurationNumber(): number {
    return this.kernel.inject(CONFIGURATION).state.current.number;
  }

  /** Nodes that this one counts as live. */
  get liveNodes(): readonly NodeId[] {
    return this.kernel.inject(MEMBERSHIP).membership.live;
  }

  /** Failure domains that this node allocates. */
  get ownedDomains(): number {
    return this.kernel.inject(ALLOCATION).ownedDomains;
  }

  /** The configuration store, as the operators' interface uses it. */
  get configuration() {
    return this.kernel.inject(CONFIGURATION);
  }

  /** The request path. */
  get requests(): RequestHandlers {
    return this.kernel.inject(REQUESTS);
  }

  start(): Promise<void> {
    return this.kernel.start();
  }

  /** Notes a caller's request, so that a graceful stop waits for it. */
  async trackRequest<Result>(work: () => Promise<Result>): Promise<Result> {
    this.openRequests += 1;
    try {
      return await work();
    } finally {
      this.openRequests -= 1;
    }
  }

  /** Stops gracefully, as the product's own `stop` does. */
  async stop(noticeMilliseconds: number): Promise<void> {
    this.isStopping = true;
    const {clock} = this.outside;
    await sleepFor(clock, noticeMilliseconds);
    this.requests.dispatcher.close();
    const ledger = this.kernel.inject(LEDGER);
    while (this.openRequests > 0 || ledger.unacknowledgedCount > 0) {
      await sleepFor(clock, FINISH_CHECK_MILLISECONDS);
    }
    await this.kernel.stop();
    // The process ends here; whatever is still open is cut.
    this.gate.kill();
  }

  /** Ends at once. */
  kill(): void {
    this.gate.kill();
  }

  private buildKernel(writeLog: (line: string) => void): Kernel {
    const kernel = Kernel.create({
      settings: {
        node: {host: this.name, failure_domain: this.failureDomain},
        log: {level: 'info'},
        membership: {seeds: this.outside.seeds},
      },
    });
    const {outside, gate} = this;
    kernel.use({
      name: 'node identity',
      install: target => {
        target.provide(NODE_IDENTITY, {
          id: as<NodeId>(this.name),
          host: as<HostId>(this.name),
          failureDomain: as<FailureDomain>(this.failureDomain),
        });
      },
    });
    kernel.use(createLogPlugin(writeLog));
    kernel.use(metricsRegistryPlugin);
    kernel.use(createTracingPlugin());
    kernel.use({
      name: 'platform',
      install: target =>
        providePlatform(target, {
          clock: gate.wrapClock(outside.clock),
          random: outside.random,
          objects: this.gatedObjects(),
          hostList: {hosts: () => gate.pass(outside.hosts.hosts())},
          weightStore: outside.weightStore,
          callsPerSecond: CALLS_PER_SECOND,
        }),
    });
    kernel.use(
      createPeersPlugin(() => outside.network.transport(this.address, gate)),
    );
    for (const plugin of CORE_PLUGINS.beforeEndpoints) kernel.use(plugin);
    kernel.use({
      name: 'endpoints',
      install: target => target.provide(ENDPOINTS, this.gatedEndpoints()),
    });
    for (const plugin of CORE_PLUGINS.afterEndpoints) kernel.use(plugin);
    return kernel;
  }

  private gatedObjects(): ObjectService {
    const {objects, network} = this.outside;
    const pass = <Result>(work: () => Promise<Result>): Promise<Result> =>
      this.gate.pass(
        network.isCut(this.address, PLATFORM_ADDRESS)
          ? objects.unanswered()
          : work(),
      );
    return {
      read: key => pass(() => objects.read(key)),
      write: (key, value, expected) =>
        pass(() => objects.write(key, value, expected)),
      remove: (key, expected) => pass(() => objects.remove(key, expected)),
      list: prefix => pass(() => objects.list(prefix)),
      watch: (key, version, until) =>
        pass(() => objects.watch(key, version, until)),
    };
  }

  private gatedEndpoints(): EndpointAdapters {
    const {engines, services} = this.outside;
    return {
      engine: id => {
        const engine = engines.get(id);
        if (engine === undefined) throw new EndpointNotDeclaredError(id);
        return this.gatedEngine(engine);
      },
      service: id => {
        const service = services.get(id);
        if (service === undefined) throw new EndpointNotDeclaredError(id);
        return this.gatedService(service);
      },
    };
  }

  private gatedEngine(engine: EngineStandIn): Engine {
    const {gate} = this;
    const {network} = this.outside;
    const travelled = async <Result>(
      work: () => Promise<Result>,
      signal: AbortSignal,
    ): Promise<Result> => {
      await network.travel();
      return gate.pass(cutOnAbort(work(), signal));
    };
    return {
      generate: (request, signal) => {
        const both = new AbortController();
        const abort = (): void => both.abort();
        const sources = [signal, gate.killSignal];
        for (const source of sources) {
          if (source.aborted) abort();
          source.addEventListener('abort', abort, {once: true});
        }
        const release = (): void => {
          for (const source of sources) {
            source.removeEventListener('abort', abort);
          }
        };
        const chunks = engine.generate(request, both.signal);
        return gatedStream(gate, chunks, release);
      },
      order: (order, signal) => travelled(() => engine.order(order), signal),
      status: signal => travelled(() => engine.status(), signal),
      cacheEvents: (sequence, signal) =>
        travelled(() => engine.cacheEvents(sequence), signal),
    };
  }

  private gatedService(service: PlainServiceStandIn): PlainService {
    const {gate} = this;
    const {network} = this.outside;
    return {
      call: async (call, signal) => {
        await network.travel();
        return gate.pass(cutOnAbort(service.call(call), signal));
      },
      queryAndSeal: async (key, signal) => {
        await network.travel();
        return gate.pass(cutOnAbort(service.queryAndSeal(key), signal));
      },
    };
  }
}

async function* gatedStream<Item>(
  gate: ProcessGate,
  items: AsyncIterable<Item>,
  release: () => void,
): AsyncIterable<Item> {
  try {
    for await (const item of items) {
      await gate.whenRunning();
      yield item;
    }
  } finally {
    release();
  }
}

/** Giving up on a call leaves its fate open, as a closed connection does. */
async function cutOnAbort<Result>(
  work: Promise<Result>,
  signal: AbortSignal,
): Promise<Result> {
  try {
    return await abortable(work, signal);
  } catch (failure) {
    if (!signal.aborted || failure instanceof EndpointUnreachableError) {
      throw failure;
    }
    throw new AnswerCutError('gave up waiting', {cause: failure});
  }
}
