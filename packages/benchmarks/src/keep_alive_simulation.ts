/**
 * Simulates the real allocator of one failure domain with stand-in engines, in virtual
 * time.
 */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import type {KeepAlivePolicy, NodeDemand} from '@siskinmux/allocation';
import {DomainAllocator, fromGibibytes} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {declarationsSchema} from '@siskinmux/declarations';
import {
  EngineStandIn,
  ObjectServiceStandIn,
  WeightStoreStandIn,
} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {Workload} from './keep_alive_workload.js';

const DOMAIN = as<FailureDomain>('a');
const NODE = as<NodeId>('node');
const SLOTS = 8;
const SERVICE_MILLISECONDS = 2_000;
const EXCHANGE_INTERVAL_MILLISECONDS = 1_000;
const RETRY_INTERVAL_MILLISECONDS = 50;
const SAMPLE_INTERVAL_MILLISECONDS = 1_000;
const HOUR_MILLISECONDS = 3_600_000;

/** Results of one keep-alive policy. */
export interface KeepAliveResult {
  /** Wait of each request that found no ready replica. */
  readonly coldStartMilliseconds: readonly number[];
  /**
   * Accelerator hours for which a loaded model ran no request, weighted by its share of
   * the memory.
   */
  readonly idleAcceleratorHours: number;
  readonly loads: number;
  /** Share of the requests that finished by their deadline. */
  readonly deadlineMetShare: number;
}

interface ModelState {
  readonly name: ModelName;
  waiting: number[];
  running: number;
  lastArrivalAt: Instant | undefined;
}

/** Runs one workload under one keep-alive policy. */
export class KeepAliveSimulation {
  private readonly clock = VirtualClock.create();
  private readonly engines = new Map<EndpointId, EngineStandIn>();
  private readonly models = new Map<string, ModelState>();
  private readonly allocator: DomainAllocator;
  private readonly coldStartMilliseconds: number[] = [];
  private readonly startedAt: Instant;
  private idleMilliseconds = 0;
  private metDeadlineCount = 0;

  private constructor(
    private readonly workload: Workload,
    createKeepAlivePolicy: () => KeepAlivePolicy,
  ) {
    const {clock} = this;
    this.startedAt = clock.now();
    const weightStore = WeightStoreStandIn.create({clock});
    const declarations = createDeclarations(workload);
    for (const name of Object.keys(declarations.endpoints)) {
      this.engines.set(
        as<EndpointId>(name),
        createEngine(clock, weightStore, workload),
      );
    }
    for (const {name} of workload.models) {
      this.models.set(name, {
        name: as<ModelName>(name),
        waiting: [],
        running: 0,
        lastArrivalAt: undefined,
      });
    }
    const objects = ObjectServiceStandIn.create({
      clock,
      random: createSeededRandom(1),
    });
    objects.faults.delayMilliseconds = 5;
    this.allocator = DomainAllocator.create({
      objects,
      clock,
      node: NODE,
      failureDomain: DOMAIN,
      declarations: () => declarations,
      engine: id => this.requireEngine(id),
      hostStatusOf: () => 'live',
      weightStore,
      isNodeTerminated: () => false,
      emit: discardEvents,
      createKeepAlivePolicy,
      onLost: () => {},
    });
  }

  static create(
    workload: Workload,
    createKeepAlivePolicy: () => KeepAlivePolicy,
  ): KeepAliveSimulation {
    return new KeepAliveSimulation(workload, createKeepAlivePolicy);
  }

  /** Simulates all arrivals. */
  async run(): Promise<KeepAliveResult> {
    const {clock, workload, startedAt} = this;
    for (const {at, model} of workload.arrivals) {
      clock.schedule(after(startedAt, Math.floor(at)), () =>
        this.handleArrival(model),
      );
    }
    this.schedulePeriodically(EXCHANGE_INTERVAL_MILLISECONDS, () =>
      this.exchange(),
    );
    this.schedulePeriodically(SAMPLE_INTERVAL_MILLISECONDS, () =>
      this.sampleIdle(),
    );
    await clock.advanceTo(after(startedAt, workload.hours * HOUR_MILLISECONDS));
    this.allocator.stop();
    const loads = [...this.engines.values()].reduce(
      (sum, engine) => sum + engine.loadCount,
      0,
    );
    return {
      coldStartMilliseconds: this.coldStartMilliseconds,
      idleAcceleratorHours: this.idleMilliseconds / HOUR_MILLISECONDS,
      loads,
      deadlineMetShare: this.metDeadlineCount / workload.arrivals.length,
    };
  }

  private handleArrival(name: string): void {
    const model = this.models.get(name);
    if (model === undefined) return;
    const now = this.clock.now();
    model.lastArrivalAt = now;
    model.waiting.push(now);
    this.exchange();
    if (model.waiting.length > 0) this.scheduleRetry(model);
  }

  private scheduleRetry(model: ModelState): void {
    const at = after(this.clock.now(), RETRY_INTERVAL_MILLISECONDS);
    this.clock.schedule(at, () => {
      if (model.waiting.length === 0) return;
      this.exchange();
      this.scheduleRetry(model);
    });
  }

  private exchange(): void {
    const now = this.clock.now();
    const active = [...this.models.values()].filter(
      model =>
        model.waiting.length + model.running > 0 ||
        now - (model.lastArrivalAt ?? 0) < 3_000,
    );
    if (active.length === 0) return;
    const response = this.allocator.exchange({
      node: NODE,
      demands: active.map(createDemand),
      models: active.map(({name}) => name),
    });
    const ready = new Set(
      response.replicas
        .filter(({state}) => state === 'ready')
        .map(({subject}) => subject.model),
    );
    for (const model of active)
      if (ready.has(model.name)) this.startWaitingRequests(model);
  }

  private startWaitingRequests(model: ModelState): void {
    const now = this.clock.now();
    for (const arrivedAt of model.waiting) {
      const waitMilliseconds = now - arrivedAt;
      if (waitMilliseconds > 0)
        this.coldStartMilliseconds.push(waitMilliseconds);
      const responseMilliseconds = waitMilliseconds + SERVICE_MILLISECONDS;
      if (responseMilliseconds <= this.workload.deadlineMilliseconds)
        this.metDeadlineCount += 1;
      model.running += 1;
      this.clock.schedule(after(now, SERVICE_MILLISECONDS), () => {
        model.running -= 1;
      });
    }
    model.waiting = [];
  }

  /** Counts the memory share of each loaded model that runs no request as idle. */
  private sampleIdle(): void {
    for (const engine of this.engines.values()) {
      const {memoryBytes, held} = engine.observe();
      for (const {model, bytes} of held) {
        const isRunning = (this.models.get(model)?.running ?? 0) > 0;
        if (isRunning) continue;
        this.idleMilliseconds +=
          (SAMPLE_INTERVAL_MILLISECONDS * bytes) / memoryBytes;
      }
    }
  }

  private schedulePeriodically(milliseconds: number, work: () => void): void {
    this.clock.schedule(after(this.clock.now(), milliseconds), () => {
      work();
      this.schedulePeriodically(milliseconds, work);
    });
  }

  private requireEngine(id: EndpointId): EngineStandIn {
    const engine = this.engines.get(id);
    if (engine === undefined) throw new RangeError(`no engine ${id}`);
    return engine;
  }
}

function createDemand(model: ModelState): NodeDemand {
  return {
    subject: {kind: 'model', model: model.name, version: 'v1'},
    waiting: model.waiting.length,
    inFlight: model.running,
    earliestDeadline: model.waiting[0] as Instant | undefined,
    lastArrivalAt: model.lastArrivalAt,
  };
}

function createEngine(
  clock: VirtualClock,
  weightStore: WeightStoreStandIn,
  workload: Workload,
): EngineStandIn {
  return EngineStandIn.create({
    clock,
    weightStore,
    memoryBytes: fromGibibytes(workload.engineMemoryGib),
    slots: SLOTS,
    queueLimit: SLOTS,
    checksFencing: true,
    firstTokenMilliseconds: 1,
    tokenMilliseconds: 1,
    remoteLoadMilliseconds: workload.loadMilliseconds,
    reportLagMilliseconds: 0,
  });
}

function createDeclarations(workload: Workload): Declarations {
  return declarationsSchema.parse({
    models: Object.fromEntries(
      workload.models.map(({name, memoryGib}) => [
        name,
        {
          versions: ['v1'],
          current_version: 'v1',
          memory_gib: memoryGib,
          replicas: {a: 1},
          expected_load_milliseconds: workload.loadMilliseconds,
        },
      ]),
    ),
    endpoints: Object.fromEntries(
      Array.from({length: workload.engines}, (_, index) => [
        `engine-${index}`,
        {
          kind: 'engine',
          url: `http://127.0.0.1:${index + 1}`,
          host: `host-${index}`,
          failure_domain: 'a',
          memory_gib: workload.engineMemoryGib,
          checks_fencing: true,
        },
      ]),
    ),
    policy: {
      default: {
        cold_start_weight: workload.coldStartWeight,
        idle_hour_weight: workload.idleHourWeight,
      },
    },
  });
}
