/** What the nodes say of their requests: what waits, what runs, how much comes. */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {WaitingRequests} from './waiting_requests.js';
import {addWaiting} from './waiting_requests.js';

/** Time over which arrivals are averaged: some requests of a rare model, one shift of demand. */
const RATE_MILLISECONDS: Milliseconds = 8_000;

/** Requests of one node that run at an engine. */
export interface RunningRequests {
  readonly engine: EndpointId;
  readonly model: ModelName;
  readonly count: number;
}

/** What one node says; `arrived` counts since it last said something. */
export interface NodeUsage {
  readonly waiting: readonly WaitingRequests[];
  readonly running: readonly RunningRequests[];
  readonly arrived: readonly {
    readonly model: ModelName;
    readonly count: number;
  }[];
}

/** Demand of all nodes. */
export class DemandBook {
  private readonly usage = new Map<NodeId, NodeUsage>();
  private readonly rates = new Map<
    ModelName,
    {perSecond: number; at: Instant}
  >();
  private running = new Map<string, number>();
  private runningModels = new Map<ModelName, number>();
  private runningEngines = new Map<EndpointId, number>();
  private waiting = new Map<ModelName, WaitingRequests>();
  /** Whether a node has spoken since the sums were made. */
  private isStale = false;

  private constructor() {}

  static create(): DemandBook {
    return new DemandBook();
  }

  /** Takes over what a node says; it replaces what it said before. */
  note(node: NodeId, usage: NodeUsage, now: Instant): void {
    this.usage.set(node, usage);
    for (const {model, count} of usage.arrived)
      this.noteArrivals(model, count, now);
    this.isStale = true;
  }

  /** Forgets a node that has gone. */
  forget(node: NodeId): void {
    this.usage.delete(node);
    this.isStale = true;
  }

  /** Whether requests of a node wait for a model, by what it said last. */
  hasWaiting(node: NodeId): boolean {
    return (this.usage.get(node)?.waiting.length ?? 0) > 0;
  }

  /** Models that requests wait for. */
  get waitingModels(): ReadonlyMap<ModelName, WaitingRequests> {
    this.updateTotals();
    return this.waiting;
  }

  /** Requests for a model that run at an engine. */
  runningAt(engine: EndpointId, model: ModelName): number {
    this.updateTotals();
    return this.running.get(`${engine} ${model}`) ?? 0;
  }

  /** Requests for any model that run at an engine. */
  totalAt(engine: EndpointId): number {
    this.updateTotals();
    return this.runningEngines.get(engine) ?? 0;
  }

  /** Requests for any model, by engine where there are any. */
  get engineTotals(): ReadonlyMap<EndpointId, number> {
    this.updateTotals();
    return this.runningEngines;
  }

  /** Requests for a model that run anywhere. */
  runningOf(model: ModelName): number {
    this.updateTotals();
    return this.runningModels.get(model) ?? 0;
  }

  /** Requests for a model that came lately, per second. */
  rateOf(model: ModelName, now: Instant): number {
    const rate = this.rates.get(model);
    return rate === undefined ? 0 : faded(rate, now);
  }

  private noteArrivals(model: ModelName, count: number, now: Instant): void {
    const before = this.rateOf(model, now);
    const added = (count * 1_000) / RATE_MILLISECONDS;
    this.rates.set(model, {perSecond: before + added, at: now});
  }

  /** Sums are made when they are read: nodes speak more often than plans are made. */
  private updateTotals(): void {
    if (!this.isStale) return;
    this.isStale = false;
    this.running = new Map();
    this.runningModels = new Map();
    this.runningEngines = new Map();
    this.waiting = new Map();
    for (const {running, waiting} of this.usage.values()) {
      for (const {engine, model, count} of running) {
        add(this.running, `${engine} ${model}`, count);
        add(this.runningModels, model, count);
        add(this.runningEngines, engine, count);
      }
      for (const requests of waiting) addWaiting(this.waiting, requests);
    }
  }
}

function faded(rate: {perSecond: number; at: Instant}, now: Instant): number {
  const age = Math.max(0, until(rate.at, now));
  return rate.perSecond * Math.exp(-age / RATE_MILLISECONDS);
}

function add<Key>(sums: Map<Key, number>, key: Key, count: number): void {
  sums.set(key, (sums.get(key) ?? 0) + count);
}
