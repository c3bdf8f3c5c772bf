/** One failure domain's real allocator before stand-in engines, in virtual time. */

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
const EXCHANGE_MILLISECONDS = 1_000;
const WAITING_MILLISECONDS = 50;
const SAMPLE_MILLISECONDS = 1_000;
const HOUR_MILLISECONDS = 3_600_000;

/** What a policy came to. */
export interface KeepAliveResult {
  readonly coldStartMilliseconds: readonly number[];
  readonly idleAcceleratorHours: number;
  readonly loads: number;
  readonly deadlineMetShare: number;
}

interface ModelState {
  readonly name: ModelName;
  waiting: number[];
  running: number;
  lastArrivalAt: Instant | undefined;
}

/** Runs one workload under one policy. */
export class KeepAliveSimulation {
  private readonly clock = VirtualClock.create();
  private readonly engines = new Map<EndpointId, EngineStandIn>();
  private readonly models = new Map<string, ModelState>();
  private readonly allocator: DomainAllocator;
  private readonly coldStarts: number[] = [];
  private readonly begin: Instant;
  private idleMilliseconds = 0;
  private inTime = 0;

  private constructor(
    private readonly workload: Workload,
    createKeepAlive: () => KeepAlivePolicy,
  ) {
    const {clock} = this;
    this.begin = clock.now();
    const weightStore = WeightStoreStandIn.create({clock});
    const declarations = declarationsOf(workload);
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
      engine: id => this.engineOf(id),
      hostStatusOf: () => 'live',
      weightStore,
      isNodeGone: () => false,
      emit: discardEvents,
      createKeepAlivePolicy: createKeepAlive,
      onLost: () => {},
    });
  }

  static create(
    workload: Workload,
    createKeepAlive: () => KeepAlivePolicy,
  ): KeepAliveSimulation {
    return new KeepAliveSimulation(workload, createKeepAlive);
  }

  /** Plays all arrivals. */
  async run(): Promise<KeepAliveResult> {
    const {clock, workload, begin} = this;
    for (const {at, model} of workload.arrivals) {
      clock.schedule(after(begin, Math.floor(at)), () => this.arrive(model));
    }
    this.repeat(EXCHANGE_MILLISECONDS, () => this.exchange());
    this.repeat(SAMPLE_MILLISECONDS, () => this.sampleIdle());
    await clock.advanceTo(after(begin, workload.hours * HOUR_MILLISECONDS));
    this.allocator.stop();
    const loads = [...this.engines.values()].reduce(
      (sum, engine) => sum + engine.loadCount,
      0,
    );
    return {
      coldStartMilliseconds: this.coldStarts,
      idleAcceleratorHours: this.idleMilliseconds / HOUR_MILLISECONDS,
      loads,
      deadlineMetShare: this.inTime / workload.arrivals.length,
    };
  }

  private arrive(name: string): void {
    const model = this.models.get(name);
    if (model === undefined) return;
    const now = this.clock.now();
    model.lastArrivalAt = now;
    model.waiting.push(now);
    this.exchange();
    if (model.waiting.length > 0) this.lookAgain(model);
  }

  private lookAgain(model: ModelState): void {
    const at = after(this.clock.now(), WAITING_MILLISECONDS);
    this.clock.schedule(at, () => {
      if (model.waiting.length === 0) return;
      this.exchange();
      this.lookAgain(model);
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
    const answer = this.allocator.exchange({
      node: NODE,
      demands: active.map(demandOf),
      models: active.map(({name}) => name),
    });
    const ready = new Set(
      answer.replicas
        .filter(({state}) => state === 'ready')
        .map(({subject}) => subject.model),
    );
    for (const model of active) if (ready.has(model.name)) this.serve(model);
  }

  private serve(model: ModelState): void {
    const now = this.clock.now();
    for (const arrivedAt of model.waiting) {
      const waited = now - arrivedAt;
      if (waited > 0) this.coldStarts.push(waited);
      const answeredAfter = waited + SERVICE_MILLISECONDS;
      if (answeredAfter <= this.workload.deadlineMilliseconds) this.inTime += 1;
      model.running += 1;
      this.clock.schedule(after(now, SERVICE_MILLISECONDS), () => {
        model.running -= 1;
      });
    }
    model.waiting = [];
  }

  /** A share of an accelerator is idle when what it holds runs nothing. */
  private sampleIdle(): void {
    for (const engine of this.engines.values()) {
      const {memoryBytes, held} = engine.observe();
      for (const {model, bytes} of held) {
        const isRunning = (this.models.get(model)?.running ?? 0) > 0;
        if (isRunning) continue;
        this.idleMilliseconds += (SAMPLE_MILLISECONDS * bytes) / memoryBytes;
      }
    }
  }

  private repeat(milliseconds: number, work: () => void): void {
    this.clock.schedule(after(this.clock.now(), milliseconds), () => {
      work();
      this.repeat(milliseconds, work);
    });
  }

  private engineOf(id: EndpointId): EngineStandIn {
    const engine = this.engines.get(id);
    if (engine === undefined) throw new RangeError(`no engine ${id}`);
    return engine;
  }
}

function demandOf(model: ModelState): NodeDemand {
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

function declarationsOf(workload: Workload): Declarations {
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
