/**
 * Plans which model to load on which engine, and which models to evict for it. Designed
 * for many rarely used models on few engines: a request waits for a model that an engine
 * can load from its own disk in time, loads from the weight store distribute copies for
 * later, and idle models are evicted, those that are cheapest to load again first.
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
  ServiceModel,
  WeightTier,
} from '@siskinmux/routes';
import {slowSeconds, slownessOf} from './engine_pace.js';
import type {EngineView, PlacedModel} from './engine_view.js';
import type {ServiceDemand} from './service_demand.js';

/**
 * Share of its replicas' slots that a model's requests use before it gets another replica,
 * as fuller engines are slow.
 */
const REPLICA_LOAD_SHARE = 0.35;

/**
 * Share of an engine's slots that the requests of all models use before the engine counts
 * as highly loaded.
 */
const HIGH_ENGINE_LOAD_SHARE = 0.5;

/**
 * Minimum share of its replicas' slots that a model's requests have to use for the model
 * to get another replica because all its engines are highly loaded.
 */
const MINIMUM_OWN_SHARE = 0.12;

/**
 * Minimum time for which a loaded model stays ready, so that it can serve its first
 * requests.
 */
const MINIMUM_READY_MILLISECONDS: Milliseconds = 400;

/** A model with a lower arrival rate counts as unused. */
const UNUSED_BELOW_ARRIVALS_PER_SECOND = 0.02;

/**
 * Models are copied from the weight store ahead of requests only if all models without a copy
 * can be copied in this time, or nothing is requested. Otherwise the loads are kept for models that
 * requests ask for.
 */
const COPYING_AHEAD_MILLISECONDS: Milliseconds = 120_000;

/** A model's score is the number of its waiting requests plus its arrivals in this time. */
const SCORED_ARRIVAL_SECONDS = 2;

/**
 * Score, or number of in-flight requests, from which a model may be loaded in excess of the
 * limit on concurrent loads. Each load then takes slightly longer, but the model's many
 * callers wait for one load instead of two.
 */
const URGENT_SCORE = 8;

/** Maximum excess of concurrent loads, as a share of their limit. */
const URGENT_SHARE = 0.5;

/**
 * Arrival rate from which a model gets a second replica if no eviction is needed, in case
 * the first is lost.
 */
const SPARE_REPLICA_ARRIVALS_PER_SECOND = 2;

/**
 * Share of the slots of a model's other replicas that its requests may have used at their recent
 * peak for a replica in use to be evicted.
 */
const SPARED_LOAD_SHARE = 0.5;

/** Cost of evicting a replica in use for each of its requests, whose end the change waits for. */
const DRAINED_REQUEST_SECONDS = 0.1;

/** Cost of evicting one of several replicas, relative to evicting the last one. */
const SPARE_REPLICA_WEIGHT = 0.1;

/**
 * Cost of a change on an engine whose adapters are in use, in seconds of waiting: it
 * loads no adapter meanwhile.
 */
const ADAPTER_WAIT_SECONDS = 0.3;

/** Cost of a change on an engine that limits its requests, in seconds of waiting. */
const LIMITED_ENGINE_SECONDS = 10;

/**
 * Share of their engines' request limits that the arrivals of models without any other
 * engine use before these models get replicas on engines without a limit.
 */
const LIMIT_USE_SHARE = 0.5;

/**
 * Arrival rate from which a model is moved; a rarely used one is soon evicted anyway, and its move
 * would evict another that is used as often.
 */
const MOVED_FROM_ARRIVALS_PER_SECOND = 2;

/** A faster engine has at most this share of the slowness. */
const FASTER_SHARE = 0.7;

const MILLISECONDS_PER_SECOND = 1_000;

/** A model to load on an engine, and the models to evict for it. */
export interface ModelChange {
  readonly engine: EndpointId;
  readonly load: ModelName;
  readonly unload: readonly ModelName[];
  readonly tier: WeightTier;
  /**
   * `waiting`: there is no replica. `busy`: another replica. `spread`: no engine has a
   * copy. `slow`: the engines that have it are slow.
   */
  readonly reason: 'waiting' | 'busy' | 'spread' | 'slow';
  /** Whether the evicted models are in use; other replicas take their requests from now on. */
  readonly isDraining: boolean;
}

/** Input of {@link planModels}. */
export interface ModelPlanInput {
  readonly now: Instant;
  readonly declaration: EngineDeclaration;
  readonly engines: readonly EngineView[];
  readonly demand: ServiceDemand;
  /**
   * Loads from the weight store that may start now; negative when too many are in
   * progress.
   */
  readonly availableStoreLoads: number;
  /** Concurrent loads that the weight store is assumed to serve at full speed. */
  readonly storeLoadLimit: number;
  /** Whether no request for any model is known, as before the first ones arrive. */
  readonly isIdle?: boolean;
  /**
   * Shortest objective for the gap between two events of the service's streams; undefined if
   * there is none.
   */
  readonly gapObjective?: Milliseconds | undefined;
}

/** Plans the changes to start now, at most one per engine. */
export function planModels(input: ModelPlanInput): ModelChange[] {
  return new ModelPlanner(input).plan();
}

interface UnservedModel {
  readonly model: ModelName;
  /** Waiting and soon arriving requests that a replica would serve. */
  readonly score: number;
  readonly scoreMagnitude: number;
  readonly priority: number;
  readonly earliestDeadline: Instant;
}

interface CandidateRules {
  /** Whether only spare replicas and unused models may be evicted. */
  readonly isEvictionRestricted: boolean;
  /** Whether an engine that limits its requests may be used if there is no other. */
  readonly limitedEngines: 'all' | 'with unused permits' | 'none';
  /** Whether replicas in use may be evicted whose requests other replicas can take. */
  readonly mayDrain: boolean;
}

const WAITING_RULES: CandidateRules = {
  isEvictionRestricted: false,
  limitedEngines: 'all',
  mayDrain: false,
};
/** Rules for a model whose copies are all on engines with replicas in use. */
const DRAINING_RULES: CandidateRules = {...WAITING_RULES, mayDrain: true};
const STUCK_RULES: CandidateRules = {
  isEvictionRestricted: false,
  limitedEngines: 'with unused permits',
  mayDrain: false,
};
const BUSY_RULES: CandidateRules = {
  isEvictionRestricted: false,
  limitedEngines: 'none',
  mayDrain: false,
};
const SPARE_RULES: CandidateRules = {
  isEvictionRestricted: true,
  limitedEngines: 'none',
  mayDrain: false,
};

interface LoadCandidate {
  readonly engine: EngineView;
  readonly unload: readonly PlacedModel[];
  readonly tier: WeightTier;
  readonly cost: number;
}

class ModelPlanner {
  private readonly changes: ModelChange[] = [];
  private readonly changingEngines = new Set<EndpointId>();
  private readonly replicaCounts = new Map<ModelName, number>();
  /** Models of which an engine that isn't draining has a local copy. */
  private readonly copiedModels = new Set<ModelName>();
  /** Of these, those that could be loaded from a copy now, with the number of such engines. */
  private readonly loadableCopies = new Map<ModelName, number>();
  private remainingStoreLoads: number;
  private readonly hasLimitedEngines: boolean;

  constructor(private readonly input: ModelPlanInput) {
    this.remainingStoreLoads = input.availableStoreLoads;
    this.hasLimitedEngines = input.engines.some(
      ({requestLimit}) => requestLimit !== undefined,
    );
    for (const engine of input.engines) {
      const {models, pendingLoad} = engine;
      if (engine.isDraining) continue;
      // The model of a change counts as a replica while the evictions for it are in
      // progress.
      if (pendingLoad !== undefined && !models.has(pendingLoad.model)) {
        this.addReplica(pendingLoad.model);
      }
      for (const model of copiesOf(engine)) {
        this.copiedModels.add(model);
        if (engine.canPlanChange) this.addLoadableCopy(model);
      }
      for (const {model, state} of models.values()) {
        if (state === 'ready' || state === 'loading') this.addReplica(model);
      }
    }
  }

  plan(): ModelChange[] {
    this.loadForContinuedStreams();
    for (const {model, score} of this.prioritizedUnservedModels()) {
      const hasReplica = this.replicaCount(model) > 0;
      const candidate = hasReplica
        ? this.cheapestCandidate(model, score, STUCK_RULES)
        : (this.cheapestCandidate(model, score, WAITING_RULES) ??
          this.drainingCandidate(model, score));
      if (candidate !== undefined) this.addChange(model, candidate, 'waiting');
    }
    this.addExtraReplicas();
    this.moveToFasterEngine();
    this.loadUncopiedModels();
    return this.changes;
  }

  /**
   * Loads models that requests wait for at one software version, as they continue streams that
   * began there. They come first: what has been generated would be lost with them.
   */
  private loadForContinuedStreams(): void {
    for (const {model, boundTo, earliestDeadline} of this.input.demand
      .boundWaiting) {
      const isOfVersion = (engine: EngineView): boolean =>
        engine.softwareVersion === boundTo;
      if (this.enginesWith(model).some(isOfVersion)) continue;
      const candidate = this.cheapestCandidate(
        model,
        0,
        WAITING_RULES,
        isOfVersion,
      );
      if (candidate === undefined) continue;
      const declared = this.input.declaration.models.get(model);
      const loadMilliseconds = declared?.loadMilliseconds[candidate.tier] ?? 0;
      if (loadMilliseconds >= until(this.input.now, earliestDeadline)) continue;
      this.addChange(model, candidate, 'waiting');
    }
  }

  /**
   * The engine with the lowest cost for loading a model that requests wait for from its own copy, if a
   * replica that is in use there isn't needed.
   */
  private drainingCandidate(
    model: ModelName,
    score: number,
  ): LoadCandidate | undefined {
    if (!this.input.demand.isWaitedFor(model) || !this.hasCopy(model))
      return undefined;
    return this.cheapestCandidate(
      model,
      score,
      DRAINING_RULES,
      engine => engine.nearestWeightTier(model) !== 'store',
    );
  }

  /**
   * Models without a replica, or with replicas only on engines at their limits, that requests
   * wait for, or that are in use by their arrival rate while no engine has a copy: those requests may have been refused instead of
   * waiting. Highest score first, in powers of two, then the most urgent.
   */
  private prioritizedUnservedModels(): UnservedModel[] {
    const unserved: UnservedModel[] = [];
    for (const model of this.input.declaration.models.keys()) {
      if (this.replicaCount(model) > 0 && !this.isStuckAtLimit(model)) continue;
      const unservedModel = this.unservedModel(model);
      if (unservedModel !== undefined) unserved.push(unservedModel);
    }
    return unserved.sort(
      (left, right) =>
        right.scoreMagnitude - left.scoreMagnitude ||
        left.priority - right.priority ||
        left.earliestDeadline - right.earliestDeadline,
    );
  }

  private unservedModel(model: ModelName): UnservedModel | undefined {
    const {demand, now} = this.input;
    const waiting = demand.waitingByModel.get(model);
    const rate = demand.arrivalsPerSecond(model, now);
    const isWithoutCopy =
      rate >= UNUSED_BELOW_ARRIVALS_PER_SECOND && !this.hasCopy(model);
    if (waiting === undefined && !isWithoutCopy) return undefined;
    const score = (waiting?.count ?? 0) + rate * SCORED_ARRIVAL_SECONDS;
    return {
      model,
      score,
      scoreMagnitude: Math.floor(Math.log2(score)),
      priority: waiting?.priority ?? Infinity,
      earliestDeadline: waiting?.earliestDeadline ?? now,
    };
  }

  /** Whether an engine that isn't draining has a local copy of the weights. */
  private hasCopy(model: ModelName): boolean {
    return this.copiedModels.has(model);
  }

  /**
   * Adds a replica of each model whose replicas are too loaded, and a second one of each
   * frequently used model.
   */
  private addExtraReplicas(): void {
    const {demand, declaration, now} = this.input;
    for (const model of declaration.models.keys()) {
      const replicas = this.replicaCount(model);
      if (replicas === 0) continue;
      if (this.needsReplica(model, replicas)) {
        const candidate = this.cheapestCandidate(
          model,
          demand.inFlightForModel(model),
          BUSY_RULES,
          // Requests at an engine that was lost are no reason for a second load of the model.
          engine =>
            engine.nearestWeightTier(model) !== 'store' ||
            !this.isLoading(model),
        );
        if (candidate !== undefined) this.addChange(model, candidate, 'busy');
        continue;
      }
      if (this.isLimitReached(model) && !this.isPlanned(model)) {
        const candidate = this.cheapestCandidate(model, 0, SPARE_RULES);
        if (candidate !== undefined) this.addChange(model, candidate, 'busy');
        continue;
      }
      if (
        replicas > 1 ||
        demand.arrivalsPerSecond(model, now) < SPARE_REPLICA_ARRIVALS_PER_SECOND
      )
        continue;
      const candidate = this.cheapestCandidate(
        model,
        demand.inFlightForModel(model),
        SPARE_RULES,
      );
      if (candidate?.unload.length === 0)
        this.addChange(model, candidate, 'busy');
    }
  }

  private isLoading(model: ModelName): boolean {
    return this.enginesWith(model).some(engine => !engine.isReady(model));
  }

  /** Whether the model's replicas, or all engines that have one, are too loaded. */
  private needsReplica(model: ModelName, replicas: number): boolean {
    const {demand, declaration, engines} = this.input;
    const ownShare = this.ownLoadShare(model, replicas);
    if (ownShare >= REPLICA_LOAD_SHARE) return true;
    if (ownShare < MINIMUM_OWN_SHARE) return false;
    return engines
      .filter(engine => engine.isReady(model))
      .every(
        engine =>
          demand.inFlightAtEngine(engine.id) >=
          HIGH_ENGINE_LOAD_SHARE * declaration.slots,
      );
  }

  /** Share of its replicas' slots that a model's requests use. */
  private ownLoadShare(model: ModelName, replicas: number): number {
    const {demand, declaration} = this.input;
    return demand.inFlightForModel(model) / (replicas * declaration.slots);
  }

  private isLimitAllowed(
    engine: EngineView,
    limitedEngines: CandidateRules['limitedEngines'],
  ): boolean {
    if (engine.requestLimit === undefined || limitedEngines === 'all')
      return true;
    return limitedEngines === 'with unused permits' && engine.hasUnusedPermits;
  }

  /** Whether requests wait for the model although engines that limit their requests have it. */
  private isStuckAtLimit(model: ModelName): boolean {
    return (
      this.hasLimitedEngines &&
      this.input.demand.waitingByModel.has(model) &&
      this.isOnlyAtLimitedEngines(model) &&
      this.enginesWith(model).every(engine => engine.isReady(model))
    );
  }

  /**
   * Whether the model is in use, has replicas only on engines that limit their requests, and
   * the arrivals of such models use up the limit of one of these engines.
   */
  private isLimitReached(model: ModelName): boolean {
    const {demand, now} = this.input;
    return (
      this.hasLimitedEngines &&
      demand.arrivalsPerSecond(model, now) >=
        UNUSED_BELOW_ARRIVALS_PER_SECOND &&
      this.isOnlyAtLimitedEngines(model) &&
      this.enginesWith(model).some(
        engine => this.boundArrivals(engine) >= this.usableLimit(engine),
      )
    );
  }

  private usableLimit({requestLimit}: EngineView): number {
    return (requestLimit ?? Infinity) * LIMIT_USE_SHARE;
  }

  /** Arrivals a second of the models on an engine that have no engine without a limit. */
  private boundArrivals({models}: EngineView): number {
    const {demand, now} = this.input;
    let sum = 0;
    for (const model of models.keys()) {
      if (this.isOnlyAtLimitedEngines(model))
        sum += demand.arrivalsPerSecond(model, now);
    }
    return sum;
  }

  private isOnlyAtLimitedEngines(model: ModelName): boolean {
    const engines = this.enginesWith(model);
    return (
      engines.length > 0 &&
      engines.every(({requestLimit}) => requestLimit !== undefined)
    );
  }

  private isPlanned(model: ModelName): boolean {
    return this.changes.some(({load}) => load === model);
  }

  /** Engines that have the model or load it, and don't drain. */
  private enginesWith(model: ModelName): EngineView[] {
    return this.input.engines.filter(
      ({isDraining, models, pendingLoad}) =>
        !isDraining && (models.has(model) || pendingLoad?.model === model),
    );
  }

  /**
   * Adds a replica on a faster engine of the model whose streams lose most time on slow ones; the
   * slow replica is evicted when its place is needed. One for each plan, so that its effect is
   * known before the next.
   */
  private moveToFasterEngine(): void {
    const {declaration, demand, now} = this.input;
    let best: {model: ModelName; candidate: LoadCandidate} | undefined;
    for (const model of declaration.models.keys()) {
      const slowness = this.leastSlowness(model);
      if (slowness === undefined || slowness <= 1) continue;
      const rate = demand.arrivalsPerSecond(model, now);
      if (rate < MOVED_FROM_ARRIVALS_PER_SECOND) continue;
      const candidate = this.cheapestCandidate(
        model,
        0,
        BUSY_RULES,
        engine =>
          engine.eventGapMilliseconds !== undefined &&
          this.slownessAt(engine) <= slowness * FASTER_SHARE,
      );
      if (candidate === undefined || candidate.tier === 'store') continue;
      // The evicted models exchange their places with this one, or find no better one.
      const cost = candidate.unload.reduce(
        (sum, placed) => sum + this.slowSeconds(placed.model, slowness),
        candidate.cost - this.slowSeconds(model, slowness),
      );
      if (cost < 0 && (best === undefined || cost < best.candidate.cost))
        best = {model, candidate: {...candidate, cost}};
    }
    if (best !== undefined) this.addChange(best.model, best.candidate, 'slow');
  }

  /**
   * The least slowness among the engines that have a model ready; undefined if the pace of one of
   * them is unknown, or a change of the model is in progress.
   */
  private leastSlowness(model: ModelName): number | undefined {
    if (this.isPlanned(model)) return undefined;
    const engines = this.enginesWith(model);
    const isUnknown = engines.some(
      engine =>
        !engine.isReady(model) || engine.eventGapMilliseconds === undefined,
    );
    return isUnknown || engines.length === 0
      ? undefined
      : Math.min(...engines.map(engine => this.slownessAt(engine)));
  }

  private slownessAt({eventGapMilliseconds}: EngineView): number {
    return slownessOf(eventGapMilliseconds, this.input.gapObjective);
  }

  /** Loads models that no engine has a copy of, without evicting models in use. */
  private loadUncopiedModels(): void {
    const {declaration, storeLoadLimit, isIdle = false} = this.input;
    const uncopied = [...declaration.models.values()].filter(
      ({name}) => this.replicaCount(name) === 0 && !this.hasCopy(name),
    );
    const copyingMilliseconds = uncopied.reduce(
      (sum, {loadMilliseconds}) => sum + loadMilliseconds.store,
      0,
    );
    if (
      !isIdle &&
      copyingMilliseconds / storeLoadLimit > COPYING_AHEAD_MILLISECONDS
    )
      return;
    for (const {name: model} of uncopied) {
      if (this.remainingStoreLoads <= 0) return;
      const candidate = this.cheapestCandidate(model, 0, SPARE_RULES);
      // No engine that can change now has room for this model. The other models could only
      // use the same engines; they are left to a later plan, even smaller ones that might
      // still fit.
      if (candidate === undefined) return;
      this.addChange(model, candidate, 'spread');
    }
  }

  /**
   * The engine with the lowest cost for loading a model. `servedRequests` is the number of
   * requests that the replica would serve.
   */
  private cheapestCandidate(
    model: ModelName,
    servedRequests: number,
    rules: CandidateRules,
    accepts: (engine: EngineView) => boolean = () => true,
  ): LoadCandidate | undefined {
    const declared = this.input.declaration.models.get(model);
    if (declared === undefined) return undefined;
    let cheapest: LoadCandidate | undefined;
    for (const engine of this.input.engines) {
      if (!engine.canPlanChange || this.changingEngines.has(engine.id))
        continue;
      if (engine.models.has(model) || !accepts(engine)) continue;
      if (!this.isLimitAllowed(engine, rules.limitedEngines)) continue;
      const candidate = this.candidateAt(engine, declared, rules);
      if (
        candidate === undefined ||
        (cheapest && candidate.cost >= cheapest.cost)
      )
        continue;
      cheapest = candidate;
    }
    if (cheapest?.tier !== 'store') return cheapest;
    return this.canLoadFromStore(model, servedRequests) ? cheapest : undefined;
  }

  /**
   * A model in demand of which an engine has a copy is not loaded from the weight store:
   * that engine is soon free for a change.
   */
  private canLoadFromStore(model: ModelName, servedRequests: number): boolean {
    const {storeLoadLimit} = this.input;
    const extraLoads =
      servedRequests >= URGENT_SCORE ? storeLoadLimit * URGENT_SHARE : 0;
    if (this.remainingStoreLoads + extraLoads < 1) return false;
    return servedRequests === 0 || !this.hasCopy(model);
  }

  private candidateAt(
    engine: EngineView,
    declared: ServiceModel,
    rules: CandidateRules,
  ): LoadCandidate | undefined {
    const tier = engine.nearestWeightTier(declared.name);
    const blockedMilliseconds =
      tier === 'store' ? declared.loadMilliseconds.store : 0;
    const evictionCost = (placed: PlacedModel): number =>
      Math.max(
        this.evictionCost(placed),
        this.blockingCost(placed.model, 1, blockedMilliseconds),
      ) + this.drainCost(engine, placed.model);
    const unload = this.selectEvictions(
      engine,
      declared.weightsMegabytes,
      rules,
      evictionCost,
    );
    if (unload === undefined) return undefined;
    const evictionSeconds = unload.reduce(
      (sum, placed) => sum + evictionCost(placed),
      0,
    );
    const otherCopies = blockedMilliseconds > 0 ? copiesOf(engine) : [];
    const blockedSeconds = otherCopies.reduce(
      (sum, copy) => sum + this.blockingCost(copy, 0, blockedMilliseconds),
      0,
    );
    const loadSeconds =
      declared.loadMilliseconds[tier] / MILLISECONDS_PER_SECOND;
    // Engines with few copies are preferred, so that copies spread over all engines.
    const copyBalance = tier === 'store' ? engine.onDisk.size / 10 : 0;
    const adapterWait = engine.hasGrantedAdapters(this.input.now)
      ? ADAPTER_WAIT_SECONDS
      : 0;
    const slowness = this.slownessAt(engine);
    const slowCost = this.slowSeconds(declared.name, slowness);
    const limitCost =
      engine.requestLimit === undefined ? 0 : LIMITED_ENGINE_SECONDS;
    return {
      engine,
      unload,
      tier,
      cost:
        loadSeconds +
        evictionSeconds +
        blockedSeconds +
        copyBalance +
        adapterWait +
        slowCost +
        limitCost,
    };
  }

  /**
   * Models to evict so that `megabytes` are free, cheapest first; undefined if evictions
   * don't suffice.
   */
  private selectEvictions(
    engine: EngineView,
    megabytes: number,
    rules: CandidateRules,
    evictionCost: (placed: PlacedModel) => number,
  ): PlacedModel[] | undefined {
    const {declaration} = this.input;
    let free = engine.freeMegabytes(declaration);
    const evicted: PlacedModel[] = [];
    const evictable = [...engine.models.values()]
      .filter(placed => this.canEvict(engine, placed, rules))
      .sort((left, right) => evictionCost(left) - evictionCost(right));
    for (const placed of evictable) {
      if (free >= megabytes) break;
      evicted.push(placed);
      free += declaration.models.get(placed.model)?.weightsMegabytes ?? 0;
    }
    return free >= megabytes ? evicted : undefined;
  }

  /** What the slowness of an engine costs the streams of a model. */
  private slowSeconds(model: ModelName, slowness: number): number {
    const {demand, now, gapObjective} = this.input;
    if (gapObjective === undefined) return 0;
    const weight = this.replicaCount(model) > 1 ? SPARE_REPLICA_WEIGHT : 1;
    const rate = demand.arrivalsPerSecond(model, now) * weight;
    return slowSeconds(rate, slowness, gapObjective);
  }

  private canEvict(
    engine: EngineView,
    placed: PlacedModel,
    {isEvictionRestricted, mayDrain}: CandidateRules,
  ): boolean {
    const {demand, now} = this.input;
    if (placed.state !== 'ready') return false;
    if (until(placed.since, now) < MINIMUM_READY_MILLISECONDS) return false;
    if (
      this.isInUse(engine, placed.model) &&
      !(mayDrain && this.isSpared(engine, placed.model))
    )
      return false;
    if (demand.isWaitedFor(placed.model)) return false;
    if (!isEvictionRestricted || this.replicaCount(placed.model) > 1)
      return true;
    // Before the first requests, every model would count as unused.
    return (
      !(this.input.isIdle ?? false) &&
      demand.arrivalsPerSecond(placed.model, now) <
        UNUSED_BELOW_ARRIVALS_PER_SECOND
    );
  }

  private drainCost(engine: EngineView, model: ModelName): number {
    const {demand} = this.input;
    const inFlight = demand.inFlightForModelAt(engine.id, model);
    return inFlight * DRAINED_REQUEST_SECONDS;
  }

  private isInUse(engine: EngineView, model: ModelName): boolean {
    return this.input.demand.inFlightForModelAt(engine.id, model) > 0;
  }

  /** Whether the other replicas of a model can take all of its requests. */
  private isSpared(engine: EngineView, model: ModelName): boolean {
    const {demand, declaration, engines} = this.input;
    const others = engines.filter(
      other =>
        other !== engine &&
        !other.isDraining &&
        other.isReady(model) &&
        !this.changingEngines.has(other.id),
    );
    const isOneLightlyLoaded = others.some(
      ({id}) =>
        demand.inFlightAtEngine(id) <
        HIGH_ENGINE_LOAD_SHARE * declaration.slots,
    );
    // On a slow engine, the same requests are in flight for longer.
    const slots = others.reduce(
      (sum, other) => sum + declaration.slots / this.slownessAt(other),
      0,
    );
    return (
      isOneLightlyLoaded &&
      demand.peakInFlightForModel(model) < SPARED_LOAD_SHARE * slots
    );
  }

  /**
   * Arrival rate of the model's requests, multiplied by the seconds that they would wait
   * for its load from disk.
   */
  private evictionCost(placed: PlacedModel): number {
    const {demand, now, declaration} = this.input;
    const rate = demand.arrivalsPerSecond(placed.model, now);
    const diskMilliseconds =
      declaration.models.get(placed.model)?.loadMilliseconds.disk ?? 0;
    const weight =
      this.replicaCount(placed.model) > 1 ? SPARE_REPLICA_WEIGHT : 1;
    return (rate * weight * diskMilliseconds) / MILLISECONDS_PER_SECOND;
  }

  /**
   * An engine can't load another copy during a load from the weight store. Arrival rate of a model
   * that would have no replica and no copy elsewhere, multiplied by the seconds of that load.
   */
  private blockingCost(
    model: ModelName,
    evictedReplicas: number,
    blockedMilliseconds: Milliseconds,
  ): number {
    const {demand, now} = this.input;
    if (blockedMilliseconds === 0) return 0;
    const otherCopies = (this.loadableCopies.get(model) ?? 0) - 1;
    if (this.replicaCount(model) > evictedReplicas || otherCopies > 0) return 0;
    const rate = Math.max(
      demand.arrivalsPerSecond(model, now),
      UNUSED_BELOW_ARRIVALS_PER_SECOND,
    );
    return (rate * blockedMilliseconds) / MILLISECONDS_PER_SECOND;
  }

  private addChange(
    model: ModelName,
    candidate: LoadCandidate,
    reason: ModelChange['reason'],
  ): void {
    const {engine, unload, tier} = candidate;
    if (tier === 'store') this.remainingStoreLoads -= 1;
    this.changingEngines.add(engine.id);
    for (const copy of copiesOf(engine)) this.addLoadableCopy(copy, -1);
    this.addReplica(model);
    for (const placed of unload) this.addReplica(placed.model, -1);
    this.changes.push({
      engine: engine.id,
      load: model,
      unload: unload.map(placed => placed.model),
      tier,
      reason,
      isDraining: unload.some(placed => this.isInUse(engine, placed.model)),
    });
  }

  private addLoadableCopy(model: ModelName, count = 1): void {
    this.loadableCopies.set(
      model,
      (this.loadableCopies.get(model) ?? 0) + count,
    );
  }

  private replicaCount(model: ModelName): number {
    return this.replicaCounts.get(model) ?? 0;
  }

  private addReplica(model: ModelName, count = 1): void {
    this.replicaCounts.set(model, this.replicaCount(model) + count);
  }
}

/** Models that an engine has copies of, in its memory or on its disk. */
function copiesOf({inMemory, onDisk}: EngineView): ModelName[] {
  return [...new Set([...inMemory, ...onDisk])];
}
