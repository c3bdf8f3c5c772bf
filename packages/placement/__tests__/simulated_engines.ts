/** Simulated engines in virtual time, and faults in the transmission of orders. */

import type {
  EndpointDescription,
  Incarnation,
  SoftwareVersion,
} from '@siskinmux/endpoints';
import type {
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  Random,
  ServiceName,
} from '@siskinmux/kernel';
import {
  as,
  earlier,
  later,
  sleepFor,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {EngineDeclaration} from '@siskinmux/routes';
import type {
  EngineAddress,
  AddressedOrder,
  EngineOrderClient,
  EngineOrderOutcome,
  EngineReport,
  ReportFailure,
} from '../src/index.js';
import {EngineView} from '../src/index.js';

export const SERVICE = as<ServiceName>('engines');

const RESPONSE_MILLISECONDS = 3;
const REPORT_LAG_MILLISECONDS = 100;
const UNLOAD_MILLISECONDS = 45;

/** A declaration of several models, of which `loadedCount` fit into an engine. */
export function createDeclaration(
  modelCount: number,
  loadedCount: number,
): EngineDeclaration {
  return {
    slots: 16,
    cacheCapacityTokens: 50_000,
    weightCapacityMegabytes: loadedCount * 70 + 10,
    maximumAdapters: 2,
    maximumStoreLoadsPerSecond: 2,
    models: new Map(
      Array.from({length: modelCount}, (_, index) => {
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

/**
 * The view of an engine whose state was read: the given ready models, no adapters and no
 * copies.
 */
export function createEngineView(
  name: string,
  loaded: readonly ModelName[],
  softwareVersion?: SoftwareVersion,
): EngineView {
  const view = EngineView.create({
    id: as<EndpointId>(name),
    incarnation: as<Incarnation>(name),
    service: SERVICE,
    softwareVersion,
    address: '127.0.0.1:1',
    failureDomain: as<FailureDomain>('a'),
    slots: 16,
    isDraining: false,
    orderCount: 0,
    models: [],
    copies: {inMemory: [], onDisk: []},
  });
  view.orderCount = 0;
  const since = as<Instant>(0);
  for (const model of loaded) {
    view.models.set(model, {model, state: 'ready', since, readyAt: since});
  }
  return view;
}

interface StateRecord {
  readonly at: Instant;
  readonly models: readonly ModelName[];
  readonly adapters: readonly string[];
  readonly orderCount: number;
  readonly isBusy: boolean;
}

/** A simulated engine that executes orders and reports violations of its limits. */
export class SimulatedEngine {
  readonly models = new Set<ModelName>();
  readonly adapters = new Set<string>();
  readonly onDisk = new Set<ModelName>();
  orderCount = 0;
  isBusy = false;
  starts = 1;
  private highestTerm = 0;
  private readonly history: StateRecord[] = [];

  constructor(
    readonly id: EndpointId,
    private readonly clock: Clock,
    private readonly declaration: EngineDeclaration,
    loaded: readonly ModelName[],
    onDisk: readonly ModelName[],
    /**
     * Called with a description when an order exceeds the engine's memory or adapter
     * limit.
     */
    private readonly onViolation: (violation: string) => void,
  ) {
    for (const model of loaded) this.models.add(model);
    for (const model of [...loaded, ...onDisk]) this.onDisk.add(model);
    this.recordState();
  }

  get description(): EndpointDescription {
    return {
      id: this.id,
      incarnation: as<Incarnation>(`${this.id}@${this.starts}`),
      service: SERVICE,
      softwareVersion: undefined,
      address: '127.0.0.1:1',
      failureDomain: as<FailureDomain>('a'),
      slots: 16,
      isDraining: false,
      orderCount: this.orderCount,
      models: [...this.models].map(model => ({model, adapters: []})),
      copies: {inMemory: [], onDisk: [...this.onDisk]},
    };
  }

  /** Handles an order that has arrived. */
  receive(order: AddressedOrder): EngineOrderOutcome {
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
      return this.receiveAdapterOrder(operation, model, adapter);
    }
    if (operation === 'load') return this.load(model);
    if (!this.models.has(model)) return 'done';
    this.beginChange();
    void this.finishChangeAfter(UNLOAD_MILLISECONDS, () => {
      this.models.delete(model);
      for (const key of this.adapters) {
        if (key.startsWith(`${model}/`)) this.adapters.delete(key);
      }
    });
    return 'accepted';
  }

  /** Restarts the engine without models and adapters. */
  restart(): void {
    this.starts += 1;
    this.orderCount = 0;
    this.isBusy = false;
    this.highestTerm = 0;
    this.models.clear();
    this.adapters.clear();
    this.recordState();
  }

  /** The engine's state as of {@link REPORT_LAG_MILLISECONDS} ago. */
  report(): EngineReport {
    const reportedAt = this.clock.now() - REPORT_LAG_MILLISECONDS;
    const state =
      this.history.findLast(entry => entry.at <= reportedAt) ?? this.history[0];
    return {
      models: (state?.models ?? []).map(model => ({
        model,
        adapters: (state?.adapters ?? [])
          .filter(key => key.startsWith(`${model}/`))
          .map(key => as(key.slice(model.length + 1))),
      })),
      loadingAdapters: [],
      copies: {inMemory: [], onDisk: [...this.onDisk]},
      isBusy: state?.isBusy ?? false,
      orderCount: state?.orderCount ?? 0,
      queued: 0,
      running: 0,
      usedTokens: 0,
      totalTokens: 0,
    };
  }

  private receiveAdapterOrder(
    operation: 'load' | 'unload',
    model: ModelName,
    adapter: string,
  ): EngineOrderOutcome {
    const key = `${model}/${adapter}`;
    if (operation === 'load') {
      if (this.adapters.has(key)) return 'done';
      if (!this.models.has(model)) return 'invalid';
      this.orderCount += 1;
      this.adapters.add(key);
      if (this.adapters.size > this.declaration.maximumAdapters) {
        this.onViolation(`${this.id}: ${this.adapters.size} adapters`);
      }
      this.recordState();
      return 'accepted';
    }
    this.orderCount += 1;
    this.adapters.delete(key);
    this.recordState();
    return 'done';
  }

  private load(model: ModelName): EngineOrderOutcome {
    if (this.models.has(model)) return 'done';
    const usedMegabytes = (this.models.size + 1) * 70;
    if (usedMegabytes > this.declaration.weightCapacityMegabytes) {
      this.onViolation(`${this.id}: ${usedMegabytes} MB of weights`);
    }
    const tier = this.onDisk.has(model) ? 'disk' : 'store';
    const declared = this.declaration.models.get(model);
    this.beginChange();
    void this.finishChangeAfter(declared?.loadMilliseconds[tier] ?? 0, () => {
      this.models.add(model);
      this.onDisk.add(model);
    });
    return 'accepted';
  }

  private beginChange(): void {
    this.orderCount += 1;
    this.isBusy = true;
    this.recordState();
  }

  private async finishChangeAfter(
    delay: number,
    change: () => void,
  ): Promise<void> {
    const {starts} = this;
    await sleepFor(this.clock, delay);
    if (starts !== this.starts) return;
    this.isBusy = false;
    change();
    this.recordState();
  }

  private recordState(): void {
    this.history.push({
      at: this.clock.now(),
      models: [...this.models],
      adapters: [...this.adapters],
      orderCount: this.orderCount,
      isBusy: this.isBusy,
    });
  }
}

/** Shares of orders that are affected by each fault. */
export interface OrderFaults {
  /** The response is lost after the order was executed. */
  readonly lostResponses: number;
  /** No response; the order arrives 2 to 12 s later. */
  readonly lateOrders: number;
  /** The order never arrives. */
  readonly lostOrders: number;
}

/** Transmits orders to simulated engines, with faults. */
export class SimulatedOrderClient implements EngineOrderClient {
  readonly sent: AddressedOrder[] = [];
  /** Engines that execute and answer nothing until then. */
  readonly pausedUntil = new Map<EndpointId, Instant>();
  /** Result of all reads of reports while it is set. */
  reportFailure: ReportFailure | undefined;
  readCount = 0;

  constructor(
    private readonly engines: ReadonlyMap<EndpointId, SimulatedEngine>,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly faults: OrderFaults = {
      lostResponses: 0,
      lateOrders: 0,
      lostOrders: 0,
    },
  ) {}

  async send(
    order: AddressedOrder,
    deadline: Instant,
  ): Promise<EngineOrderOutcome> {
    this.sent.push(order);
    const {lostResponses, lateOrders, lostOrders} = this.faults;
    const chance = this.random();
    if (chance < lostOrders) return this.timeOut(deadline);
    if (chance < lostOrders + lateOrders) {
      const delay = 2_000 + this.random() * 10_000;
      void this.deliver(order, delay);
      return this.timeOut(deadline);
    }
    const resumedAt = this.resumedAt(order.engine.id);
    if (resumedAt > deadline) {
      void this.deliver(order, until(this.clock.now(), resumedAt));
      return this.timeOut(deadline);
    }
    if (resumedAt > this.clock.now()) await sleepUntil(this.clock, resumedAt);
    const outcome = await this.deliver(order, RESPONSE_MILLISECONDS);
    return chance < lostOrders + lateOrders + lostResponses
      ? this.timeOut(deadline)
      : outcome;
  }

  async report(
    engine: EngineAddress,
    deadline: Instant,
  ): Promise<EngineReport | ReportFailure> {
    this.readCount += 1;
    const resumedAt = this.resumedAt(engine.id);
    if (resumedAt > this.clock.now())
      await sleepUntil(this.clock, earlier(resumedAt, deadline));
    if (resumedAt > deadline) return 'unanswered';
    await sleepFor(this.clock, RESPONSE_MILLISECONDS);
    if (this.reportFailure !== undefined) return this.reportFailure;
    return this.engines.get(engine.id)?.report() ?? 'unanswered';
  }

  private resumedAt(engine: EndpointId): Instant {
    const now = this.clock.now();
    return later(this.pausedUntil.get(engine) ?? now, now);
  }

  private async deliver(
    order: AddressedOrder,
    delay: number,
  ): Promise<EngineOrderOutcome> {
    await sleepFor(this.clock, delay);
    return this.engines.get(order.engine.id)?.receive(order) ?? 'unknown';
  }

  private async timeOut(deadline: Instant): Promise<EngineOrderOutcome> {
    await sleepUntil(this.clock, deadline);
    return 'unknown';
  }
}
