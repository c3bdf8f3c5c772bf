/**
 * Which model is loaded where, and what gives way. Answers many rarely used models over
 * few places: requests wait for a model that an engine can load from its own disk within
 * their time, loads from the weight store spread copies for later, and idle models give
 * way, those whose return would cost least first.
 */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';
import type {
  EngineDeclaration,
  ModelDeclaration,
  WeightTier,
} from '@siskinmux/routes';
import type {DemandBook} from './demand_book.js';
import type {EngineBook, ModelPlace} from './engine_book.js';

/**
 * Part of an engine's slots from which a model wants another replica: taken by its own
 * requests, or by all of the engine's and a fair part of its own. Fuller engines are slow.
 */
const BUSY_SHARE = 0.35;
const CROWDED_SHARE = 0.5;
const FAIR_SHARE = 0.12;

/** A model that was just loaded stays for its first requests. */
const SETTLING_MILLISECONDS: Milliseconds = 400;

/** Requests per second below which a model counts as unused. */
const UNUSED_PER_SECOND = 0.02;

/** Arrivals of so many seconds count like requests that wait. */
const SCORED_SECONDS = 2;

/**
 * Callers from which a model is loaded beside all loads that are under way: each of them
 * then takes a little longer, and the many callers wait for one load instead of two.
 */
const URGENT_SCORE = 8;
const URGENT_SHARE = 0.5;

/** Arrivals per second from which a second replica fills a free place, against the loss of the first. */
const SPARED_PER_SECOND = 2;

/** Weight of losing a replica beside others, as part of losing the last one. */
const SPARE_REPLICA_WEIGHT = 0.1;

/** Seconds of waiting that a change costs where adapters are in use: none is loaded meanwhile. */
const ADAPTERS_WAIT_SECONDS = 0.3;

const MILLISECONDS_PER_SECOND = 1_000;

/** One change: a model to load at an engine, and the models that give way there. */
export interface ModelChange {
  readonly engine: EndpointId;
  readonly load: ModelName;
  readonly unload: readonly ModelName[];
  readonly tier: WeightTier;
  readonly reason: 'waiting' | 'busy' | 'spread';
}

/** What a plan is made from. */
export interface ModelPlanInput {
  readonly now: Instant;
  readonly declaration: EngineDeclaration;
  readonly engines: readonly EngineBook[];
  readonly demand: DemandBook;
  /** Loads from the weight store that may begin. */
  readonly storeLoads: number;
  /** Loads that the weight store carries at full speed, as far as is known. */
  readonly loadsAtOnce: number;
}

/** Changes to begin now, each at another engine. */
export function planModels(input: ModelPlanInput): ModelChange[] {
  return new ModelPlanner(input).plan();
}

interface MissingModel {
  readonly model: ModelName;
  /** Callers that a replica would serve soon. */
  readonly score: number;
  readonly step: number;
  readonly priority: number;
  readonly uselessAt: Instant;
}

interface Offer {
  readonly engine: EngineBook;
  readonly unload: readonly ModelPlace[];
  readonly tier: WeightTier;
  readonly cost: number;
}

class ModelPlanner {
  private readonly changes: ModelChange[] = [];
  private readonly changingEngines = new Set<EndpointId>();
  private readonly replicas = new Map<ModelName, number>();
  /** Models of which an engine that stays has a copy. */
  private readonly copied = new Set<ModelName>();
  private storeLoads: number;

  constructor(private readonly input: ModelPlanInput) {
    this.storeLoads = input.storeLoads;
    for (const engine of input.engines) {
      const {models, inMemory, onDisk, incoming} = engine;
      if (engine.isDraining) continue;
      // The model of a change counts from its plan on, while others still give way to it.
      if (incoming !== undefined && !models.has(incoming.model)) {
        this.addReplica(incoming.model);
      }
      for (const model of inMemory) this.copied.add(model);
      for (const model of onDisk) this.copied.add(model);
      for (const {model, state} of models.values()) {
        if (state === 'ready' || state === 'loading') this.addReplica(model);
      }
    }
  }

  plan(): ModelChange[] {
    for (const {model, score} of this.missingInOrder()) {
      const offer = this.bestOffer(model, score, false);
      if (offer !== undefined) this.accept(model, offer, 'waiting');
    }
    this.relieveBusy();
    this.spreadCopies();
    return this.changes;
  }

  /**
   * Models without a replica that requests wait for, or were refused for lack of any
   * copy: those that serve most callers first, in steps of two, then the most urgent.
   */
  private missingInOrder(): MissingModel[] {
    const missing: MissingModel[] = [];
    for (const model of this.input.declaration.models.keys()) {
      if (this.replicasOf(model) > 0) continue;
      const found = this.missingModel(model);
      if (found !== undefined) missing.push(found);
    }
    return missing.sort(
      (left, right) =>
        right.step - left.step ||
        left.priority - right.priority ||
        left.uselessAt - right.uselessAt,
    );
  }

  private missingModel(model: ModelName): MissingModel | undefined {
    const {demand, now} = this.input;
    const waiting = demand.waitingModels.get(model);
    const rate = demand.rateOf(model, now);
    const isLost = rate >= UNUSED_PER_SECOND && !this.hasCopy(model);
    if (waiting === undefined && !isLost) return undefined;
    const score = (waiting?.count ?? 0) + rate * SCORED_SECONDS;
    return {
      model,
      score,
      step: Math.floor(Math.log2(score)),
      priority: waiting?.priority ?? Infinity,
      uselessAt: waiting?.uselessAt ?? now,
    };
  }

  /** Whether an engine that stays has a copy of the weights. */
  private hasCopy(model: ModelName): boolean {
    return this.copied.has(model);
  }

  /** One more replica for each model whose replicas are busy, or which has one only. */
  private relieveBusy(): void {
    const {demand, declaration, now} = this.input;
    for (const model of declaration.models.keys()) {
      const replicas = this.replicasOf(model);
      if (replicas === 0) continue;
      if (this.isBusy(model, replicas)) {
        const offer = this.bestOffer(model, demand.runningOf(model), false);
        if (offer !== undefined) this.accept(model, offer, 'busy');
        continue;
      }
      if (replicas > 1 || demand.rateOf(model, now) < SPARED_PER_SECOND)
        continue;
      const offer = this.bestOffer(model, demand.runningOf(model), true);
      if (offer?.unload.length === 0) this.accept(model, offer, 'busy');
    }
  }

  private isBusy(model: ModelName, replicas: number): boolean {
    const {demand, declaration, engines} = this.input;
    const own = demand.runningOf(model) / (replicas * declaration.slots);
    if (own >= BUSY_SHARE) return true;
    if (own < FAIR_SHARE) return false;
    return engines
      .filter(engine => engine.isReady(model))
      .every(
        engine =>
          demand.totalAt(engine.id) >= CROWDED_SHARE * declaration.slots,
      );
  }

  /** Brings models that no engine has a copy of, where nothing in use gives way. */
  private spreadCopies(): void {
    for (const model of this.input.declaration.models.keys()) {
      if (this.storeLoads <= 0) return;
      if (this.replicasOf(model) > 0 || this.hasCopy(model)) continue;
      const offer = this.bestOffer(model, 0, true);
      // Without a copy every engine is as good for one model as for the next.
      if (offer === undefined) return;
      this.accept(model, offer, 'spread');
    }
  }

  /**
   * The cheapest engine for a model. With `onlySpare`, only spare replicas and unused
   * models give way.
   */
  private bestOffer(
    model: ModelName,
    gain: number,
    onlySpare: boolean,
  ): Offer | undefined {
    const declared = this.input.declaration.models.get(model);
    if (declared === undefined) return undefined;
    let best: Offer | undefined;
    for (const engine of this.input.engines) {
      if (!engine.isOperable || this.changingEngines.has(engine.id)) continue;
      if (engine.models.has(model)) continue;
      const offer = this.offer(engine, declared, onlySpare);
      if (offer === undefined || (best && offer.cost >= best.cost)) continue;
      best = offer;
    }
    if (best?.tier !== 'store') return best;
    return this.mayLoadFromStore(model, gain) ? best : undefined;
  }

  /** A copy at an engine that is changing now is nearer than the weight store. */
  private mayLoadFromStore(model: ModelName, gain: number): boolean {
    const {loadsAtOnce} = this.input;
    const extra = gain >= URGENT_SCORE ? loadsAtOnce * URGENT_SHARE : 0;
    if (this.storeLoads + extra < 1) return false;
    return gain === 0 || !this.hasCopy(model);
  }

  private offer(
    engine: EngineBook,
    declared: ModelDeclaration,
    onlySpare: boolean,
  ): Offer | undefined {
    const tier = engine.tierOf(declared.name);
    const unload = this.givingWay(engine, declared.weightsMegabytes, onlySpare);
    if (unload === undefined) return undefined;
    const loss = unload.reduce((sum, place) => sum + this.lossOf(place), 0);
    const seconds = declared.loadMilliseconds[tier] / MILLISECONDS_PER_SECOND;
    // Engines with few copies take new ones, so that copies lie on all of them.
    const crowding = tier === 'store' ? engine.onDisk.size / 10 : 0;
    const adapters = engine.hasGrantedAdapters(this.input.now)
      ? ADAPTERS_WAIT_SECONDS
      : 0;
    return {engine, unload, tier, cost: seconds + loss + crowding + adapters};
  }

  /** The models that give way for `megabytes`, cheapest first; undefined if too few may. */
  private givingWay(
    engine: EngineBook,
    megabytes: number,
    onlySpare: boolean,
  ): ModelPlace[] | undefined {
    const {declaration} = this.input;
    let free = engine.freeMegabytes(declaration);
    const chosen: ModelPlace[] = [];
    const candidates = [...engine.models.values()]
      .filter(place => this.mayGiveWay(engine, place, onlySpare))
      .sort((left, right) => this.lossOf(left) - this.lossOf(right));
    for (const place of candidates) {
      if (free >= megabytes) break;
      chosen.push(place);
      free += declaration.models.get(place.model)?.weightsMegabytes ?? 0;
    }
    return free >= megabytes ? chosen : undefined;
  }

  private mayGiveWay(
    engine: EngineBook,
    place: ModelPlace,
    onlySpare: boolean,
  ): boolean {
    const {demand, now} = this.input;
    if (place.state !== 'ready') return false;
    if (until(place.since, now) < SETTLING_MILLISECONDS) return false;
    if (demand.runningAt(engine.id, place.model) > 0) return false;
    if (demand.waitingModels.has(place.model)) return false;
    if (!onlySpare) return true;
    return (
      this.replicasOf(place.model) > 1 ||
      demand.rateOf(place.model, now) < UNUSED_PER_SECOND
    );
  }

  /** Requests per second that would have to wait, times the seconds of their wait. */
  private lossOf(place: ModelPlace): number {
    const {demand, now, declaration} = this.input;
    const rate = demand.rateOf(place.model, now);
    const disk =
      declaration.models.get(place.model)?.loadMilliseconds.disk ?? 0;
    const weight = this.replicasOf(place.model) > 1 ? SPARE_REPLICA_WEIGHT : 1;
    return (rate * weight * disk) / MILLISECONDS_PER_SECOND;
  }

  private accept(
    model: ModelName,
    offer: Offer,
    reason: ModelChange['reason'],
  ): void {
    const {engine, unload, tier} = offer;
    if (tier === 'store') this.storeLoads -= 1;
    this.changingEngines.add(engine.id);
    this.addReplica(model);
    for (const place of unload) this.addReplica(place.model, -1);
    this.changes.push({
      engine: engine.id,
      load: model,
      unload: unload.map(place => place.model),
      tier,
      reason,
    });
  }

  private replicasOf(model: ModelName): number {
    return this.replicas.get(model) ?? 0;
  }

  private addReplica(model: ModelName, count = 1): void {
    this.replicas.set(model, this.replicasOf(model) + count);
  }
}
