/**
 * Aggregates the nodes' usage reports for one service: waiting and in-flight requests, and
 * arrival rates.
 */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {EventGaps} from './engine_pace.js';
import type {WaitingKey, WaitingRequests} from './waiting_requests.js';
import {addWaiting} from './waiting_requests.js';

/**
 * Time constant of the exponentially decaying arrival rates. It covers several requests of
 * a rarely used model and still follows a shift of demand.
 */
const RATE_DECAY_MILLISECONDS: Milliseconds = 8_000;

/** Time constant with which the peak of a model's requests in flight is forgotten. */
const PEAK_DECAY_MILLISECONDS: Milliseconds = 8_000;

/** Requests that one node has in flight for a model at one engine. */
export interface InFlightRequests {
  readonly engine: EndpointId;
  readonly model: ModelName;
  readonly count: number;
}

/** Usage report of a node; `arrived` counts the requests since its previous report. */
export interface NodeUsage {
  readonly waiting: readonly WaitingRequests[];
  readonly inFlight: readonly InFlightRequests[];
  readonly arrived: readonly {
    readonly model: ModelName;
    readonly count: number;
  }[];
  /** Gaps between events since the previous report; none from nodes that don't measure them. */
  readonly gaps?: readonly EventGaps[] | undefined;
}

/** Demand of all nodes for one service's models, by model and by engine. */
export class ServiceDemand {
  private readonly usageByNode = new Map<NodeId, NodeUsage>();
  private readonly rates = new Map<
    ModelName,
    {perSecond: number; updatedAt: Instant}
  >();
  private inFlightByModelAndEngine = new Map<string, number>();
  private inFlightByModel = new Map<ModelName, number>();
  private inFlightTotals = new Map<EndpointId, number>();
  private readonly peaks = new Map<
    ModelName,
    {inFlight: number; updatedAt: Instant}
  >();
  private waitingByKey = new Map<WaitingKey, WaitingRequests>();
  private waiting = new Map<ModelName, WaitingRequests>();
  /** Whether the totals are older than the latest report. */
  private hasStaleTotals = false;

  private constructor() {}

  static create(): ServiceDemand {
    return new ServiceDemand();
  }

  /** Replaces a node's previous report, and adds its arrivals to the rates. */
  recordUsage(node: NodeId, usage: NodeUsage, now: Instant): void {
    this.usageByNode.set(node, usage);
    for (const {model, count} of usage.arrived)
      this.recordArrivals(model, count, now);
    this.hasStaleTotals = true;
  }

  /** Removes the requests of a node that has left. */
  removeNode(node: NodeId): void {
    this.usageByNode.delete(node);
    this.hasStaleTotals = true;
  }

  /** Whether requests wait for a model at a node, by its latest report. */
  hasWaiting(node: NodeId): boolean {
    return (this.usageByNode.get(node)?.waiting.length ?? 0) > 0;
  }

  /** Requests that wait for a model at one software version, because they continue a stream. */
  get boundWaiting(): readonly WaitingRequests[] {
    this.updateTotals();
    return [...this.waitingByKey.values()].filter(
      ({boundTo}) => boundTo !== undefined,
    );
  }

  /** Whether any request waits for a model. */
  isWaitedFor(model: ModelName): boolean {
    return (
      this.waitingByModel.has(model) ||
      this.boundWaiting.some(waiting => waiting.model === model)
    );
  }

  /** Requests that wait for a model at any software version, by model. */
  get waitingByModel(): ReadonlyMap<ModelName, WaitingRequests> {
    this.updateTotals();
    return this.waiting;
  }

  /** In-flight requests for a model at one engine. */
  inFlightForModelAt(engine: EndpointId, model: ModelName): number {
    this.updateTotals();
    return this.inFlightByModelAndEngine.get(`${engine} ${model}`) ?? 0;
  }

  /** In-flight requests for all models at one engine. */
  inFlightAtEngine(engine: EndpointId): number {
    this.updateTotals();
    return this.inFlightTotals.get(engine) ?? 0;
  }

  /** In-flight requests for all models, by engine; engines without requests are left out. */
  get inFlightByEngine(): ReadonlyMap<EndpointId, number> {
    this.updateTotals();
    return this.inFlightTotals;
  }

  /** In-flight requests for a model at all engines. */
  inFlightForModel(model: ModelName): number {
    this.updateTotals();
    return this.inFlightByModel.get(model) ?? 0;
  }

  /** Recent peak of the in-flight requests for a model; see {@link recordPeaks}. */
  peakInFlightForModel(model: ModelName): number {
    return Math.max(
      this.inFlightForModel(model),
      this.peaks.get(model)?.inFlight ?? 0,
    );
  }

  /** Updates the peaks of the in-flight requests for each model. */
  recordPeaks(now: Instant): void {
    this.updateTotals();
    for (const [model, peak] of this.peaks) {
      const elapsed = Math.max(0, until(peak.updatedAt, now));
      peak.inFlight *= Math.exp(-elapsed / PEAK_DECAY_MILLISECONDS);
      peak.updatedAt = now;
      if (peak.inFlight < 1) this.peaks.delete(model);
    }
    for (const [model, inFlight] of this.inFlightByModel) {
      if (inFlight > (this.peaks.get(model)?.inFlight ?? 0))
        this.peaks.set(model, {inFlight, updatedAt: now});
    }
  }

  /** Recent arrival rate of requests for a model. */
  arrivalsPerSecond(model: ModelName, now: Instant): number {
    const rate = this.rates.get(model);
    return rate === undefined ? 0 : decayedRate(rate, now);
  }

  /** Whether no request has arrived, waits or is in flight, as far as nodes have reported. */
  get isIdle(): boolean {
    return (
      this.rates.size === 0 &&
      this.waitingByModel.size === 0 &&
      this.inFlightByEngine.size === 0
    );
  }

  private recordArrivals(model: ModelName, count: number, now: Instant): void {
    const previous = this.arrivalsPerSecond(model, now);
    const added = (count * 1_000) / RATE_DECAY_MILLISECONDS;
    this.rates.set(model, {perSecond: previous + added, updatedAt: now});
  }

  /** Totals are updated on reads, as nodes send more reports than there are plans. */
  private updateTotals(): void {
    if (!this.hasStaleTotals) return;
    this.hasStaleTotals = false;
    this.inFlightByModelAndEngine = new Map();
    this.inFlightByModel = new Map();
    this.inFlightTotals = new Map();
    this.waitingByKey = new Map();
    for (const {inFlight, waiting} of this.usageByNode.values()) {
      for (const {engine, model, count} of inFlight) {
        add(this.inFlightByModelAndEngine, `${engine} ${model}`, count);
        add(this.inFlightByModel, model, count);
        add(this.inFlightTotals, engine, count);
      }
      for (const requests of waiting) addWaiting(this.waitingByKey, requests);
    }
    this.waiting = new Map(
      [...this.waitingByKey.values()].flatMap(requests =>
        requests.boundTo === undefined ? [[requests.model, requests]] : [],
      ),
    );
  }
}

function decayedRate(
  rate: {perSecond: number; updatedAt: Instant},
  now: Instant,
): number {
  const age = Math.max(0, until(rate.updatedAt, now));
  return rate.perSecond * Math.exp(-age / RATE_DECAY_MILLISECONDS);
}

function add<Key>(totals: Map<Key, number>, key: Key, count: number): void {
  totals.set(key, (totals.get(key) ?? 0) + count);
}
