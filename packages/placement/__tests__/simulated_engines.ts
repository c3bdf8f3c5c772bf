/** Engines in virtual time, with what can go wrong on the way of an order. */

import type {
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {as, sleepFor, sleepUntil} from '@siskinmux/kernel';
import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {
  EngineAddress,
  EngineOrder,
  EngineOrders,
  EngineReport,
  OrderOutcome,
} from '../src/index.js';
import {EngineBook} from '../src/index.js';

export const SERVICE = as<ServiceName>('engines');

const ANSWER_MILLISECONDS = 3;
const REPORT_LAG_MILLISECONDS = 100;
const UNLOAD_MILLISECONDS = 45;

/** A declaration with `models` models, of which an engine holds `places`. */
export function createDeclaration(models: number, places: number): EngineDeclaration {
  return {
    slots: 16,
    memoryTokens: 50_000,
    weightsMegabytes: places * 70 + 10,
    maximumAdapters: 2,
    storeLoadsPerSecond: 2,
    models: new Map(
      Array.from({length: models}, (_, index) => {
        const name = as<ModelName>(`m${index}`);
        return [
          name,
          {
            name,
            weightsMegabytes: 70,
            adapterMegabytes: 1,
            loadMilliseconds: {memory: 450, disk: 650, store: 6_000},
          },
        ];
      }),
    ),
  };
}

/** The book of an engine whose state was read: it holds some models and has nothing else. */
export function bookOf(name: string, held: readonly ModelName[]): EngineBook {
  const book = EngineBook.create({
    id: as<EndpointId>(name),
    incarnation: as<Incarnation>(name),
    service: SERVICE,
    address: '127.0.0.1:1',
    failureDomain: as<FailureDomain>('a'),
    slots: 16,
    isDraining: false,
    orderCount: 0,
    models: [],
    copies: {inMemory: [], onDisk: []},
  });
  book.orderCount = 0;
  const since = as<Instant>(0);
  for (const model of held) {
    book.models.set(model, {model, state: 'ready', since, readyAt: since});
  }
  return book;
}

interface Change {
  readonly at: Instant;
  readonly models: readonly ModelName[];
  readonly adapters: readonly string[];
  readonly orderCount: number;
  readonly isBusy: boolean;
}

/** One engine: what it holds, and the rules that its orders keep. */
export class SimulatedEngine {
  readonly models = new Set<ModelName>();
  readonly adapters = new Set<string>();
  readonly onDisk = new Set<ModelName>();
  orderCount = 0;
  isBusy = false;
  life = 1;
  private highestTerm = 0;
  private readonly history: Change[] = [];

  constructor(
    readonly id: EndpointId,
    private readonly clock: Clock,
    private readonly declaration: EngineDeclaration,
    held: readonly ModelName[],
    onDisk: readonly ModelName[],
    /** Called with what went wrong when a rule is broken. */
    private readonly onBroken: (what: string) => void,
  ) {
    for (const model of held) this.models.add(model);
    for (const model of [...held, ...onDisk]) this.onDisk.add(model);
    this.note();
  }

  get description(): EndpointDescription {
    return {
      id: this.id,
      incarnation: as<Incarnation>(`${this.id}@${this.life}`),
      service: SERVICE,
      address: '127.0.0.1:1',
      failureDomain: as<FailureDomain>('a'),
      slots: 16,
      isDraining: false,
      orderCount: this.orderCount,
      models: [...this.models].map(model => ({model, adapters: []})),
      copies: {inMemory: [], onDisk: [...this.onDisk]},
    };
  }

  /** Takes an order that has arrived. */
  receive(order: EngineOrder): OrderOutcome {
    if (order.fencingNumber < this.highestTerm) return 'fenced';
    this.highestTerm = order.fencingNumber;
    if (
      order.expectedOrderCount !== undefined &&
      order.expectedOrderCount !== this.orderCount
    ) {
      return 'refused';
    }
    const {operation, model, adapter} = order.change;
    if (this.isBusy) return 'refused';
    if (adapter !== undefined) {
      return this.takeAdapter(operation, model, adapter);
    }
    if (operation === 'load') return this.load(model);
    if (!this.models.has(model)) return 'done';
    this.begin();
    void this.finish(UNLOAD_MILLISECONDS, () => {
      this.models.delete(model);
      for (const held of this.adapters) {
        if (held.startsWith(`${model}/`)) this.adapters.delete(held);
      }
    });
    return 'accepted';
  }

  /** Ends and starts again, empty. */
  restart(): void {
    this.life += 1;
    this.orderCount = 0;
    this.isBusy = false;
    this.highestTerm = 0;
    this.models.clear();
    this.adapters.clear();
    this.note();
  }

  /** What the engine said some time ago. */
  report(): EngineReport {
    const at = this.clock.now() - REPORT_LAG_MILLISECONDS;
    const change =
      this.history.findLast(entry => entry.at <= at) ?? this.history[0];
    return {
      models: (change?.models ?? []).map(model => ({
        model,
        adapters: (change?.adapters ?? [])
          .filter(held => held.startsWith(`${model}/`))
          .map(held => as(held.slice(model.length + 1))),
      })),
      arriving: [],
      copies: {inMemory: [], onDisk: [...this.onDisk]},
      isBusy: change?.isBusy ?? false,
      orderCount: change?.orderCount ?? 0,
      queued: 0,
      running: 0,
      usedTokens: 0,
      totalTokens: 0,
    };
  }

  private takeAdapter(
    operation: 'load' | 'unload',
    model: ModelName,
    adapter: string,
  ): OrderOutcome {
    const key = `${model}/${adapter}`;
    if (operation === 'load') {
      if (this.adapters.has(key)) return 'done';
      if (!this.models.has(model)) return 'invalid';
      this.orderCount += 1;
      this.adapters.add(key);
      if (this.adapters.size > this.declaration.maximumAdapters) {
        this.onBroken(`${this.id}: ${this.adapters.size} adapters`);
      }
      this.note();
      return 'accepted';
    }
    this.orderCount += 1;
    this.adapters.delete(key);
    this.note();
    return 'done';
  }

  private load(model: ModelName): OrderOutcome {
    if (this.models.has(model)) return 'done';
    const megabytes = (this.models.size + 1) * 70;
    if (megabytes > this.declaration.weightsMegabytes) {
      this.onBroken(`${this.id}: ${megabytes} MB of weights`);
    }
    const tier = this.onDisk.has(model) ? 'disk' : 'store';
    const declared = this.declaration.models.get(model);
    this.begin();
    void this.finish(declared?.loadMilliseconds[tier] ?? 0, () => {
      this.models.add(model);
      this.onDisk.add(model);
    });
    return 'accepted';
  }

  private begin(): void {
    this.orderCount += 1;
    this.isBusy = true;
    this.note();
  }

  private async finish(wait: number, change: () => void): Promise<void> {
    const {life} = this;
    await sleepFor(this.clock, wait);
    if (life !== this.life) return;
    this.isBusy = false;
    change();
    this.note();
  }

  private note(): void {
    this.history.push({
      at: this.clock.now(),
      models: [...this.models],
      adapters: [...this.adapters],
      orderCount: this.orderCount,
      isBusy: this.isBusy,
    });
  }
}

/** What may happen to an order, each as a share of all. */
export interface OrderTrouble {
  /** The answer is lost after the order was carried out. */
  readonly answerLost: number;
  /** No answer; the order arrives 2 to 12 s later. */
  readonly late: number;
  /** The order never arrives. */
  readonly lost: number;
}

/** The way to the engines. */
export class SimulatedOrders implements EngineOrders {
  readonly sent: EngineOrder[] = [];

  constructor(
    private readonly engines: ReadonlyMap<EndpointId, SimulatedEngine>,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly trouble: OrderTrouble = {answerLost: 0, late: 0, lost: 0},
  ) {}

  async send(order: EngineOrder, until: Instant): Promise<OrderOutcome> {
    this.sent.push(order);
    const {answerLost, late, lost} = this.trouble;
    const chance = this.random();
    if (chance < lost) return this.unanswered(until);
    if (chance < lost + late) {
      const wait = 2_000 + this.random() * 10_000;
      void this.arrive(order, wait);
      return this.unanswered(until);
    }
    const outcome = await this.arrive(order, ANSWER_MILLISECONDS);
    return chance < lost + late + answerLost ? this.unanswered(until) : outcome;
  }

  async report(engine: EngineAddress): Promise<EngineReport | undefined> {
    await sleepFor(this.clock, ANSWER_MILLISECONDS);
    return this.engines.get(engine.id)?.report();
  }

  private async arrive(
    order: EngineOrder,
    wait: number,
  ): Promise<OrderOutcome> {
    await sleepFor(this.clock, wait);
    return this.engines.get(order.engine.id)?.receive(order) ?? 'unknown';
  }

  private async unanswered(until: Instant): Promise<OrderOutcome> {
    await sleepUntil(this.clock, until);
    return 'unknown';
  }
}
