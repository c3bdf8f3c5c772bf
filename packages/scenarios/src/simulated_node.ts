/**
 * A complete node in virtual time. It has the plug-ins of a real node, over ports that
 * withhold results while the simulated process is paused.
 */

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
  metricsRegistryPlugin,
  providePlatform,
} from '@siskinmux/node';
import type {
  EngineStandIn,
  HostListStandIn,
  ObjectServiceStandIn,
  PlainServiceStandIn,
  WeightStoreStandIn,
} from '@siskinmux/standins';
import type {SimulatedNetwork} from './simulated_network.js';
import {rejectOnAbort} from './simulated_network.js';
import {ProcessGate} from './process_gate.js';

const PLATFORM_CALLS_PER_SECOND = 200;

/** Interval at which a stopping node checks for open requests and unreported outcomes. */
const DRAIN_CHECK_INTERVAL_MILLISECONDS = 20;

/** Address of the platform, for cutting its links to nodes. */
export const PLATFORM_ADDRESS = 'platform';

/** Dependencies of {@link SimulatedNode} that all nodes share. */
export interface NodeEnvironment {
  readonly clock: Clock;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly objects: ObjectServiceStandIn;
  readonly hosts: HostListStandIn;
  readonly weightStore: WeightStoreStandIn;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly services: ReadonlyMap<string, PlainServiceStandIn>;
  /** Addresses at which a starting node joins the membership. */
  readonly seeds: readonly string[];
}

/** One node process whose ports are simulated. */
export class SimulatedNode {
  readonly gate = ProcessGate.create();
  private readonly kernel: Kernel;
  private isStopping = false;
  private openRequestCount = 0;

  private constructor(
    readonly name: string,
    readonly failureDomain: string,
    readonly address: string,
    private readonly environment: NodeEnvironment,
    writeLog: (line: string) => void,
  ) {
    this.kernel = this.buildKernel(writeLog);
  }

  static create(options: {
    name: string;
    failureDomain: string;
    address: string;
    environment: NodeEnvironment;
    writeLog: (line: string) => void;
  }): SimulatedNode {
    const {name, failureDomain, address, environment, writeLog} = options;
    return new SimulatedNode(
      name,
      failureDomain,
      address,
      environment,
      writeLog,
    );
  }

  get id(): NodeId {
    return this.kernel.inject(NODE_IDENTITY).id;
  }

  /** Whether the load balancer sends requests to this node. */
  get isReady(): boolean {
    return this.gate.state === 'running' && !this.isStopping;
  }

  /** Number of the active configuration. */
  get configurationNumber(): number {
    return this.kernel.inject(CONFIGURATION).state.current.number;
  }

  /** Live members, as this node sees them. */
  get liveNodes(): readonly NodeId[] {
    return this.kernel.inject(MEMBERSHIP).membership.live;
  }

  /** Number of failure domains whose allocator runs on this node. */
  get ownedDomains(): number {
    return this.kernel.inject(ALLOCATION).ownedDomainCount;
  }

  /** The configuration state and store, as the operators' interface uses them. */
  get configuration() {
    return this.kernel.inject(CONFIGURATION);
  }

  get requests(): RequestHandlers {
    return this.kernel.inject(REQUESTS);
  }

  start(): Promise<void> {
    return this.kernel.start();
  }

  /** Runs a caller's request; a graceful stop waits for its end. */
  async trackRequest<Result>(work: () => Promise<Result>): Promise<Result> {
    this.openRequestCount += 1;
    try {
      return await work();
    } finally {
      this.openRequestCount -= 1;
    }
  }

  /**
   * Stops gracefully, as a real node does: waits until the notice has spread, refuses new
   * requests, then waits for open requests and unreported outcomes.
   */
  async stop(noticeMilliseconds: number): Promise<void> {
    this.isStopping = true;
    const {clock} = this.environment;
    await sleepFor(clock, noticeMilliseconds);
    this.requests.dispatcher.close();
    const ledger = this.kernel.inject(LEDGER);
    while (this.openRequestCount > 0 || ledger.unacknowledgedCount > 0) {
      await sleepFor(clock, DRAIN_CHECK_INTERVAL_MILLISECONDS);
    }
    await this.kernel.stop();
    // The process exits, which closes the remaining connections.
    this.gate.kill();
  }

  /** Ends the process at once, as SIGKILL does. */
  kill(): void {
    this.gate.kill();
  }

  private buildKernel(writeLog: (line: string) => void): Kernel {
    const kernel = Kernel.create({
      settings: {
        node: {host: this.name, failure_domain: this.failureDomain},
        log: {level: 'info'},
        membership: {seeds: this.environment.seeds},
      },
    });
    const {environment, gate} = this;
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
          clock: gate.wrapClock(environment.clock),
          random: environment.random,
          objects: this.gatedObjects(),
          hostList: {
            hosts: () => gate.settleWhileRunning(environment.hosts.hosts()),
          },
          weightStore: environment.weightStore,
          callsPerSecond: PLATFORM_CALLS_PER_SECOND,
        }),
    });
    kernel.use(
      createPeersPlugin(() =>
        environment.network.transport(this.address, gate),
      ),
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
    const {objects, network} = this.environment;
    const callPlatform = <Result>(
      work: () => Promise<Result>,
    ): Promise<Result> =>
      this.gate.settleWhileRunning(
        network.isCut(this.address, PLATFORM_ADDRESS)
          ? objects.failAfterTimeout()
          : work(),
      );
    return {
      read: key => callPlatform(() => objects.read(key)),
      write: (key, value, expected) =>
        callPlatform(() => objects.write(key, value, expected)),
      remove: (key, expected) =>
        callPlatform(() => objects.remove(key, expected)),
      list: prefix => callPlatform(() => objects.list(prefix)),
      watch: (key, version, until) =>
        callPlatform(() => objects.watch(key, version, until)),
    };
  }

  private gatedEndpoints(): EndpointAdapters {
    const {engines, services} = this.environment;
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
    const {network} = this.environment;
    const callEngine = async <Result>(
      work: () => Promise<Result>,
      signal: AbortSignal,
    ): Promise<Result> => {
      await network.delayMessage();
      return gate.settleWhileRunning(cutResponseOnAbort(work(), signal));
    };
    return {
      generate: (request, signal) => {
        const controller = new AbortController();
        const abort = (): void => controller.abort();
        const signals = [signal, gate.killSignal];
        for (const source of signals) {
          if (source.aborted) abort();
          source.addEventListener('abort', abort, {once: true});
        }
        const release = (): void => {
          for (const source of signals) {
            source.removeEventListener('abort', abort);
          }
        };
        const chunks = engine.generate(request, controller.signal);
        return gatedStream(gate, chunks, release);
      },
      order: (order, signal) => callEngine(() => engine.order(order), signal),
      status: signal => callEngine(() => engine.status(), signal),
      cacheEvents: (sequence, signal) =>
        callEngine(() => engine.cacheEvents(sequence), signal),
    };
  }

  private gatedService(service: PlainServiceStandIn): PlainService {
    const {gate} = this;
    const {network} = this.environment;
    return {
      call: async (call, signal) => {
        await network.delayMessage();
        return gate.settleWhileRunning(
          cutResponseOnAbort(service.call(call), signal),
        );
      },
      queryAndSeal: async (key, signal) => {
        await network.delayMessage();
        return gate.settleWhileRunning(
          cutResponseOnAbort(service.queryAndSeal(key), signal),
        );
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

/** Rejects an aborted call with `AnswerCutError`: the endpoint may have run it nevertheless. */
async function cutResponseOnAbort<Result>(
  work: Promise<Result>,
  signal: AbortSignal,
): Promise<Result> {
  try {
    return await rejectOnAbort(work, signal);
  } catch (failure) {
    if (!signal.aborted || failure instanceof EndpointUnreachableError) {
      throw failure;
    }
    throw new AnswerCutError('aborted by the caller', {cause: failure});
  }
}
