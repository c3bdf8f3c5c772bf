/**
 * Finds engines for this node's requests. Requests wait for a model that no engine has
 * loaded; those that can't be served before their deadline are refused.
 */

import type {
  EndpointDescription,
  EndpointTable,
  EndpointTableChange,
  SoftwareVersion,
} from '@siskinmux/endpoints';
import {meetsVersion} from '@siskinmux/endpoints';
import type {
  AdapterName,
  CancelTimer,
  Clock,
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  RefusalError,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  createNotRunRefusal,
  earlier,
  jitter,
  sleepUntil,
  until,
} from '@siskinmux/kernel';
import type {
  AdapterGrant,
  AvailableModels,
  NodeUsage,
  ReadinessForecast,
  WaitingKey,
  WaitingRequests,
} from '@siskinmux/placement';
import {adapterKey, addWaiting, waitingKey} from '@siskinmux/placement';
import type {AllocatorApi, AllocatorListener} from './allocator_api.js';
import type {CapacityOutcome} from './capacity_holds.js';
import {CapacityHolds} from './capacity_holds.js';
import type {
  DecisionPreview,
  KnownForecast,
  ModelPreview,
  PlacementPreview,
} from './limited_choice_preview.js';
import {TYPICAL_RANDOM, previewWithinLimits} from './limited_choice_preview.js';
import type {
  ChoiceDependencies,
  EndpointRequirements,
  FindEndpoint,
  HasAlternative,
} from './endpoint_choice.js';
import {
  chooseEngine,
  hasFreeAlternative,
  isListed,
  preferUnavoided,
  weighByClusterLoad,
} from './endpoint_choice.js';
import type {EventGapCounts} from './event_gap_counts.js';
import type {InFlightCounts} from './in_flight_counts.js';
import type {LimitDependencies} from './limited_choice.js';
import {chooseWithinLimits} from './limited_choice.js';

/**
 * Minimum interval between usage reports: the second value times the number of nodes, but at
 * least the first. This limits the reports of all nodes together to about 250 per second. A
 * request that starts to wait, or that is in flight for a model about to be evicted, is
 * reported at once.
 */
const USAGE_INTERVAL_MILLISECONDS: Milliseconds = 25;
const USAGE_INTERVAL_MILLISECONDS_PER_NODE: Milliseconds = 4;

/** Maximum interval between usage reports, which double as the node's heartbeat. */
export const USAGE_HEARTBEAT_MILLISECONDS: Milliseconds = 500;

/** Expected time from sending a request to its first event on an engine with free capacity. */
const TIME_TO_FIRST_EVENT_MILLISECONDS: Milliseconds = 250;

/** Jitter of retry times as a share of the delay, so that callers don't retry all at once. */
const RETRY_AFTER_JITTER = 0.25;

/** `Retry-After` for requests refused without a forecast; a takeover takes about as long. */
const RETRY_AFTER_MILLISECONDS: Milliseconds = 1_000;

/**
 * How long requests wait for a new allocator after the last one was lost; a takeover
 * takes about half a second. After that they are refused at once.
 */
const TAKEOVER_WAIT_MILLISECONDS: Milliseconds = 1_000;

/** Delay before engines that refused a model or an adapter are tried again. */
const ENGINE_RETRY_DELAY_MILLISECONDS: Milliseconds = 30;

/** An engine that lacked a model is excluded for it while the allocator reads its state. */
const MISSING_MODEL_EXCLUSION_MILLISECONDS: Milliseconds = 120;

/** Bound on the models whose last forecast is remembered; the one told first is dropped. */
const MAXIMUM_FORECASTS = 1_000;

/** Priorities of routes are reported below this, so that the priority of a team goes before. */
const ROUTE_PRIORITIES = 1_000;

interface Waiter {
  readonly requirements: EndpointRequirements;
  /** Whether an engine that has the model ends the wait. */
  readonly accepts: (engine: EndpointDescription) => boolean;
  /** Ends the wait: rejects with the refusal, or lets the search continue if there is none. */
  readonly settle: (refusal: RefusalError | undefined) => void;
}

/** Dependencies of {@link PlacementClient}. */
export interface PlacementClientOptions {
  readonly table: EndpointTable;
  readonly inFlightCounts: InFlightCounts;
  readonly eventGaps: EventGapCounts;
  readonly choice: ChoiceDependencies;
  readonly limitDependencies: LimitDependencies;
  readonly clock: Clock;
  readonly random: Random;
  /** Whether a service's engines are declared to offer a model. */
  readonly isDeclared: (service: ServiceName, model: ModelName) => boolean;
  readonly engineServices: () => readonly ServiceName[];
  /** Whether the configuration has teams; requests are held only then. */
  readonly hasTeams: () => boolean;
  /** Called for each request that engines had no room for. */
  readonly onCapacityWait: (outcome: CapacityOutcome) => void;
}

/** Finds engines for requests and reports this node's usage to the allocator. */
export class PlacementClient implements AllocatorListener {
  private allocator: AllocatorApi | undefined;
  private availableModels = new Map<EndpointId, ReadonlySet<ModelName>>();
  /**
   * The available models of an allocator that was lost, without engines whose entries have
   * changed since; empty while there is an allocator.
   */
  private lastAvailableModels = new Map<EndpointId, ReadonlySet<ModelName>>();
  private readonly waiters = new Set<Waiter>();
  private readonly arrivalCounts = new Map<
    ServiceName,
    Map<ModelName, number>
  >();
  private readonly grants = new Map<string, AdapterGrant>();
  /** End of the exclusion by engine and model; see {@link reportMissingModel}. */
  private readonly excludedUntil = new Map<string, Instant>();
  /** Last forecasts of the lease holder by service and model, for explanations. */
  private readonly forecasts = new Map<string, KnownForecast>();
  private nodeCount = 1;
  private cancelUsageReports: CancelTimer | undefined;
  private usageReportsDueAt: Instant | undefined;
  private usageReportsSentAt: Instant | undefined;

  /** When the last allocator was lost. Before the first one is found, the start of this client. */
  private allocatorLostAt: Instant;
  private readonly allocatorWaiters = new Set<() => void>();
  private readonly holds: CapacityHolds;

  private constructor(private readonly options: PlacementClientOptions) {
    const {choice, limitDependencies} = options;
    this.holds = CapacityHolds.create({
      ...options,
      emit: limitDependencies.emit,
      clusterLoad: choice.clusterLoad,
      nodeCount: () => this.nodeCount,
    });
    this.allocatorLostAt = options.clock.now();
  }

  static create(options: PlacementClientOptions): PlacementClient {
    return new PlacementClient(options);
  }

  /**
   * Switches to another allocator, which may have sent the available models already; undefined
   * when the connection to it was lost.
   */
  setAllocator(allocator: AllocatorApi | undefined): void {
    if (this.allocator !== undefined) {
      this.allocatorLostAt = this.options.clock.now();
      this.lastAvailableModels = this.availableModels;
    }
    this.allocator = allocator;
    this.forecasts.clear();
    // Gaps that nobody took meanwhile say nothing of the present.
    this.options.eventGaps.clear();
    if (allocator === undefined) {
      this.availableModels = new Map();
      return;
    }
    this.lastAvailableModels = new Map();
    for (const service of this.options.engineServices())
      this.endWaitsForModels(service);
    this.sendUsageReports();
    for (const endWait of this.allocatorWaiters) endWait();
  }

  /** Called when a request starts or ends on an engine. */
  onInFlightChange(): void {
    this.scheduleUsageReports(this.usageIntervalMilliseconds);
    this.holds.onInFlightChange();
  }

  /** Called when a report of the engines' load may have arrived. */
  onLoadReport(): void {
    this.holds.onReport();
  }

  /** Sets the number of nodes, on which the interval between usage reports depends. */
  setNodeCount(nodeCount: number): void {
    this.nodeCount = nodeCount;
  }

  /**
   * Excludes an engine for a model for a short time, discards the engine's adapter grants,
   * and reports it to the allocator.
   */
  reportMissingModel(engine: EndpointId, model: ModelName): void {
    const service = this.options.table.get(engine)?.service;
    if (service === undefined) return;
    const now = this.options.clock.now();
    const endsAt = after(now, MISSING_MODEL_EXCLUSION_MILLISECONDS);
    for (const [key, end] of this.excludedUntil)
      if (end <= now) this.excludedUntil.delete(key);
    this.excludedUntil.set(`${engine} ${model}`, endsAt);
    for (const [key, grant] of this.grants) {
      if (grant.engine === engine) this.grants.delete(key);
    }
    this.allocator?.reportMissingModel(service, engine, model);
  }

  onAvailableModels(
    service: ServiceName,
    changes: readonly AvailableModels[],
  ): void {
    for (const {engine, models} of changes) {
      this.reportInFlightOnEvicted(engine, models);
      this.availableModels.set(engine, new Set(models));
    }
    this.endWaitsForModels(service);
  }

  private endWaitsForModels(service: ServiceName): void {
    for (const waiter of this.waitersInOrder()) {
      if (waiter.requirements.service !== service) continue;
      if (this.enginesWithModel(waiter.requirements).some(waiter.accepts))
        waiter.settle(undefined);
    }
  }

  /** The first to continue get the first slots. */
  private waitersInOrder(): Iterable<Waiter> {
    if (!this.options.hasTeams()) return this.waiters;
    return [...this.waiters].sort((left, right) =>
      compareUrgency(left.requirements, right.requirements),
    );
  }

  onForecasts(
    service: ServiceName,
    forecasts: readonly ReadinessForecast[],
  ): void {
    const readyAt = new Map(
      forecasts.map(forecast => [waitingKey(forecast), forecast.readyAt]),
    );
    this.rememberForecasts(service, readyAt);
    for (const {requirements, settle} of this.waiters) {
      if (requirements.service !== service || requirements.model === undefined)
        continue;
      const {model} = requirements;
      const boundTo = boundVersion(requirements);
      const at = readyAt.get(waitingKey({model, boundTo}));
      if (at === undefined || isInTime(at, requirements)) continue;
      settle(this.createRefusalWithRetry(requirements.model, at));
    }
  }

  private rememberForecasts(
    service: ServiceName,
    readyAt: ReadonlyMap<WaitingKey, Instant>,
  ): void {
    const toldAt = this.options.clock.now();
    for (const [key, at] of readyAt) {
      const remembered = `${service} ${key}`;
      this.forecasts.delete(remembered);
      this.forecasts.set(remembered, {readyAt: at, toldAt});
      const [oldest] = this.forecasts.keys();
      if (this.forecasts.size > MAXIMUM_FORECASTS && oldest !== undefined)
        this.forecasts.delete(oldest);
    }
  }

  /** What {@link find} would decide now on a request that has not been sent yet. */
  preview(requirements: EndpointRequirements): PlacementPreview {
    const {service, model} = requirements;
    const nothing = {weights: new Map(), excluded: new Map(), usable: []};
    const refuse = (refusal: RefusalError): PlacementPreview => ({
      ...nothing,
      decision: {kind: 'refuse', refusal},
      model: undefined,
    });
    if (model === undefined)
      return refuse(createNotRunRefusal(ErrorCode.NoEndpoint, service));
    if (!this.options.isDeclared(service, model))
      return refuse(createNotRunRefusal(ErrorCode.NoEndpoint, model));
    const usable = this.enginesWithModel(requirements);
    const state = this.previewModel(requirements, model, usable);
    const refusal = this.refusalOfGoneVersion(requirements);
    if (refusal !== undefined) return {...refuse(refusal), model: state};
    if (usable.length === 0) {
      const decision = this.previewWait(requirements, model, state.forecast);
      return {...nothing, decision, model: state};
    }
    return {...this.previewChoice(requirements, model, usable), model: state};
  }

  private previewModel(
    requirements: EndpointRequirements,
    model: ModelName,
    engines: readonly EndpointDescription[],
  ): ModelPreview {
    const {service} = requirements;
    const boundTo = boundVersion(requirements);
    const key = `${service} ${waitingKey({model, boundTo})}`;
    const forecast = this.forecasts.get(key);
    const isPast =
      forecast !== undefined && forecast.readyAt <= this.options.clock.now();
    return {
      name: model,
      readyAt: engines.map(({id}) => id),
      forecast: isPast ? undefined : forecast,
      waiting: [...this.waiters].filter(
        ({requirements: waiting}) =>
          waiting.service === service && waiting.model === model,
      ).length,
    };
  }

  /** What becomes of a request for a model that no engine has. */
  private previewWait(
    requirements: EndpointRequirements,
    model: ModelName,
    forecast: KnownForecast | undefined,
  ): DecisionPreview {
    const now = this.options.clock.now();
    const refuseUntil = (retryAt: Instant): DecisionPreview => ({
      kind: 'refuse',
      refusal: this.createRefusalWithRetry(model, retryAt, TYPICAL_RANDOM),
    });
    if (this.allocator === undefined) {
      const endsAt = this.allocatorWaitEnd(requirements);
      return now < endsAt
        ? {kind: 'wait', reason: 'lease_holder', endsAt}
        : refuseUntil(after(now, RETRY_AFTER_MILLISECONDS));
    }
    if (forecast !== undefined && !isInTime(forecast.readyAt, requirements))
      return refuseUntil(forecast.readyAt);
    return {kind: 'wait', reason: 'model', endsAt: requirements.deadline};
  }

  private previewChoice(
    requirements: EndpointRequirements,
    model: ModelName,
    usable: readonly EndpointDescription[],
  ): Omit<PlacementPreview, 'model'> {
    const {choice, limitDependencies} = this.options;
    const {adapter, deadline} = requirements;
    const granted = adapter && this.previewGrant(requirements, model, adapter);
    const endpoints = granted === undefined ? usable : granted.engines.slice();
    const limited = previewWithinLimits(
      {
        requirements,
        serviceMilliseconds: TIME_TO_FIRST_EVENT_MILLISECONDS,
        endpoints,
        weigh: open => weighByClusterLoad(open, choice),
        canBeAdded: true,
      },
      limitDependencies,
    );
    const decision =
      this.previewRoom(requirements, model) ??
      granted?.wait ??
      limited.decision ??
      ({kind: 'wait', reason: 'model', endsAt: deadline} as const);
    return {...limited, usable: endpoints, decision};
  }

  /** Undefined if the request is not held. */
  private previewRoom(
    requirements: EndpointRequirements,
    model: ModelName,
  ): DecisionPreview | undefined {
    const {ordering, service, version} = requirements;
    if (!this.isHoldable(requirements) || ordering === undefined)
      return undefined;
    const engines = (): EndpointDescription[] =>
      this.enginesWithModel({service, model, version});
    const held = this.holds.preview(requirements, ordering, model, engines);
    if (held.kind === 'room') return undefined;
    return held.kind === 'refused'
      ? {kind: 'refuse', refusal: held.refusal}
      : {kind: 'wait', reason: 'room', endsAt: held.startBy};
  }

  /** Engines that have the adapter as far as this node knows, and what the request waits for. */
  private previewGrant(
    requirements: EndpointRequirements,
    model: ModelName,
    adapter: AdapterName,
  ): {
    readonly engines: readonly EndpointDescription[];
    readonly wait: DecisionPreview | undefined;
  } {
    const {clock, table} = this.options;
    const {service, deadline} = requirements;
    const none = new Set<EndpointId>();
    const grant = this.grants.get(`${service}/${adapterKey(model, adapter)}`);
    if (this.isGrantUsable(grant, requirements, model, none)) {
      const engine = table.get(grant.engine);
      const endsAt = grant.usableAt;
      return {
        engines: engine === undefined ? [] : [engine],
        wait:
          endsAt > clock.now()
            ? {kind: 'wait', reason: 'adapter', endsAt}
            : undefined,
      };
    }
    const wait = {kind: 'wait', reason: 'adapter', endsAt: deadline} as const;
    const listed = this.enginesWithAdapter(requirements, model, adapter, none);
    if (this.allocator !== undefined) return {engines: listed, wait};
    return {
      engines: listed,
      wait:
        listed.length > 0
          ? undefined
          : this.previewWait(requirements, model, undefined),
    };
  }

  /** Finds an engine that has the model, and the adapter if one is needed. */
  readonly find: FindEndpoint = async requirements => {
    const {model, service} = requirements;
    if (model === undefined)
      throw createNotRunRefusal(ErrorCode.NoEndpoint, service);
    if (!this.options.isDeclared(service, model)) {
      throw createNotRunRefusal(ErrorCode.NoEndpoint, model);
    }
    if (requirements.isFirstAttempt) this.countArrival(service, model);
    let mayPass = !this.isHoldable(requirements);
    for (;;) {
      const refusal = this.refusalOfGoneVersion(requirements);
      if (refusal !== undefined) throw refusal;
      const engines = this.enginesWithModel(requirements);
      const untried = engines.filter(
        ({id}) => !requirements.triedEndpoints.has(id),
      );
      if (engines.length === 0) {
        if (this.allocator === undefined)
          await this.waitForAllocator(requirements, model);
        else await this.waitForModel(requirements, model, () => true);
        continue;
      }
      if (!mayPass) {
        await this.waitForRoom(requirements, model);
        // Held requests are also released when their model has left; they are held again with it.
        mayPass = this.enginesWithModel(requirements).length > 0;
        continue;
      }
      // An engine that refused a request may accept it after the allocator's next order.
      if (untried.length === 0) await this.waitBeforeRetry(requirements);
      const found = await this.chooseWithinLimits(requirements, model);
      if (found !== undefined) return found;
      await this.waitBeforeRetry(requirements);
    }
  };

  /** A stream that has begun goes before all that have nothing to lose yet. */
  private isHoldable({ordering, version}: EndpointRequirements): boolean {
    return (
      ordering !== undefined &&
      version.kind === 'any' &&
      this.options.hasTeams()
    );
  }

  private async waitForRoom(
    requirements: EndpointRequirements,
    model: ModelName,
  ): Promise<void> {
    const {ordering} = requirements;
    if (ordering === undefined) return;
    const {service, version} = requirements;
    const engines = (): EndpointDescription[] =>
      this.enginesWithModel({service, model, version});
    await this.holds.waitForRoom(requirements, ordering, model, engines);
  }

  /** Whether another engine that has the model has a free slot. */
  readonly hasAlternative: HasAlternative = (requirements, current) =>
    hasFreeAlternative(
      this.enginesWithModel(requirements),
      requirements,
      current,
      this.options.choice,
    );

  /** Ends the waits for versions that have left. */
  onEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {id, before, now} of changes) {
      if (before !== undefined && before.incarnation !== now?.incarnation)
        this.options.eventGaps.forget(id);
      if (!this.lastAvailableModels.has(id)) continue;
      if (before === undefined || !hasSameModels(before, now))
        this.lastAvailableModels.delete(id);
    }
    for (const {requirements, settle} of this.waiters) {
      const refusal = this.refusalOfGoneVersion(requirements);
      if (refusal !== undefined) settle(refusal);
    }
  }

  /** Waiting for a version that has left would be in vain. */
  private refusalOfGoneVersion({
    service,
    version,
  }: EndpointRequirements): RefusalError | undefined {
    if (version.kind === 'any') return undefined;
    const engines = this.options.table.availableFor(service);
    return engines.some(engine => meetsVersion(engine, version))
      ? undefined
      : createNotRunRefusal(
          ErrorCode.NoEndpoint,
          `${service} at the version that began the stream`,
        );
  }

  /** Reports usage as a heartbeat unless a report was sent recently. */
  sendHeartbeat(): void {
    const {clock} = this.options;
    const {usageReportsSentAt} = this;
    const isRecent =
      usageReportsSentAt !== undefined &&
      clock.now() < after(usageReportsSentAt, USAGE_HEARTBEAT_MILLISECONDS);
    if (!isRecent) this.sendUsageReports();
  }

  /** Sends the current usage of all engine services to the allocator. */
  sendUsageReports(): void {
    this.cancelUsageReports?.();
    this.usageReportsDueAt = undefined;
    this.usageReportsSentAt = this.options.clock.now();
    for (const service of this.options.engineServices()) {
      this.allocator?.reportUsage(service, this.takeUsage(service));
    }
    // Streams may still record gaps at engines that have gone, which no service reports.
    this.options.eventGaps.take(id => this.options.table.get(id) === undefined);
  }

  private chooseWithinLimits(
    requirements: EndpointRequirements,
    model: ModelName,
  ): Promise<EndpointDescription | undefined> {
    const {choice, table, limitDependencies} = this.options;
    const {adapter} = requirements;
    const choose = (
      excluded: ReadonlySet<EndpointId>,
    ):
      | EndpointDescription
      | undefined
      | Promise<EndpointDescription | undefined> => {
      if (adapter !== undefined)
        return this.findWithAdapter(requirements, model, adapter, excluded);
      const engines = this.enginesWithModel(requirements);
      const untried = engines.filter(
        ({id}) => !requirements.triedEndpoints.has(id),
      );
      const allowed = (untried.length > 0 ? untried : engines).filter(
        ({id}) => !excluded.has(id),
      );
      return chooseEngine(preferUnavoided(allowed, requirements), choice);
    };
    return chooseWithinLimits(
      {
        requirements,
        serviceMilliseconds: TIME_TO_FIRST_EVENT_MILLISECONDS,
        choose,
        isUsable: endpoint =>
          isListed(table, endpoint) && this.mayHaveModel(endpoint, model),
        waitForUnlimited: signal =>
          this.waitForModel(
            {...requirements, signal},
            model,
            ({incarnation}) =>
              limitDependencies.limits.get(incarnation) === undefined &&
              limitDependencies.pauses.endOf(incarnation) === undefined,
          ),
      },
      limitDependencies,
    );
  }

  /** Engines that currently accept requests for the model. */
  private enginesWithModel(
    requirements: Pick<EndpointRequirements, 'service' | 'model' | 'version'>,
  ): EndpointDescription[] {
    const {model} = requirements;
    if (model === undefined) return [];
    const engines = this.options.table
      .availableFor(requirements.service)
      .filter(endpoint => meetsVersion(endpoint, requirements.version));
    const known = engines.filter(endpoint => this.hasModel(endpoint, model));
    return known.length > 0 || this.allocator !== undefined
      ? known
      : engines.filter(endpoint => this.mayHaveModel(endpoint, model));
  }

  private hasModel(endpoint: EndpointDescription, model: ModelName): boolean {
    if (this.isExcluded(endpoint.id, model)) return false;
    const known =
      this.allocator === undefined
        ? this.lastAvailableModels
        : this.availableModels;
    const available = known.get(endpoint.id);
    if (available !== undefined) return available.has(model);
    return listsModel(endpoint, model);
  }

  /** A lost allocator may have restored a model that it had withdrawn. */
  private mayHaveModel(
    endpoint: EndpointDescription,
    model: ModelName,
  ): boolean {
    if (this.hasModel(endpoint, model)) return true;
    return (
      this.allocator === undefined &&
      !this.isExcluded(endpoint.id, model) &&
      listsModel(endpoint, model)
    );
  }

  private isExcluded(engine: EndpointId, model: ModelName): boolean {
    const key = `${engine} ${model}`;
    const endsAt = this.excludedUntil.get(key);
    return endsAt !== undefined && endsAt > this.options.clock.now();
  }

  private async findWithAdapter(
    requirements: EndpointRequirements,
    model: ModelName,
    adapter: AdapterName,
    atLimit: ReadonlySet<EndpointId>,
  ): Promise<EndpointDescription | undefined> {
    const {clock, table} = this.options;
    const key = `${requirements.service}/${adapterKey(model, adapter)}`;
    const cached = this.grants.get(key);
    const excluded = new Set([
      ...requirements.triedEndpoints,
      ...atLimit,
      ...this.enginesOfOtherVersions(requirements),
      ...this.leavingEngines(requirements.service),
    ]);
    const grant = this.isGrantUsable(cached, requirements, model, excluded)
      ? cached
      : await this.allocator?.requestAdapter(requirements.service, {
          model,
          adapter,
          excluded,
        });
    if (grant === undefined) {
      const listed = this.findListedWithAdapter(
        requirements,
        model,
        adapter,
        excluded,
      );
      if (listed === undefined)
        await this.waitForAllocator(requirements, model);
      return listed;
    }
    this.grants.set(key, grant);
    if (grant.usableAt > clock.now()) {
      await sleepUntil(clock, grant.usableAt);
    }
    const engine = table.get(grant.engine);
    const isUsable =
      engine !== undefined &&
      isListed(table, engine) &&
      meetsVersion(engine, requirements.version) &&
      this.mayHaveModel(engine, model);
    return isUsable ? engine : undefined;
  }

  /** The lease holder may not know yet that they leave. */
  private leavingEngines(service: ServiceName): EndpointId[] {
    return this.options.table.running
      .filter(engine => engine.service === service && engine.isDraining)
      .map(({id}) => id);
  }

  private enginesOfOtherVersions({
    service,
    version,
  }: EndpointRequirements): EndpointId[] {
    if (version.kind === 'any') return [];
    return this.options.table
      .availableFor(service)
      .filter(engine => !meetsVersion(engine, version))
      .map(({id}) => id);
  }

  private isGrantUsable(
    grant: AdapterGrant | undefined,
    requirements: EndpointRequirements,
    model: ModelName,
    excluded: ReadonlySet<EndpointId>,
  ): grant is AdapterGrant {
    if (grant === undefined || excluded.has(grant.engine)) return false;
    if (grant.validUntil <= this.options.clock.now()) return false;
    const engine = this.options.table.get(grant.engine);
    return (
      engine !== undefined &&
      engine.service === requirements.service &&
      !engine.isDraining &&
      this.hasModel(engine, model)
    );
  }

  /** Without an allocator, falls back to the platform's list of endpoints, which may be stale. */
  private findListedWithAdapter(
    requirements: EndpointRequirements,
    model: ModelName,
    adapter: AdapterName,
    excluded: ReadonlySet<EndpointId>,
  ): EndpointDescription | undefined {
    if (this.allocator !== undefined) return undefined;
    return chooseEngine(
      this.enginesWithAdapter(requirements, model, adapter, excluded),
      this.options.choice,
    );
  }

  private enginesWithAdapter(
    requirements: EndpointRequirements,
    model: ModelName,
    adapter: AdapterName,
    excluded: ReadonlySet<EndpointId>,
  ): EndpointDescription[] {
    return this.enginesWithModel(requirements).filter(
      ({id, models}) =>
        !excluded.has(id) &&
        models.some(
          loaded => loaded.model === model && loaded.adapters.includes(adapter),
        ),
    );
  }

  /** Resolves once there is an allocator; rejects with a refusal if there is none in time. */
  private async waitForAllocator(
    requirements: EndpointRequirements,
    model: ModelName,
  ): Promise<void> {
    const {clock} = this.options;
    const endsAt = this.allocatorWaitEnd(requirements);
    if (this.allocator === undefined && clock.now() < endsAt) {
      await new Promise<void>(resolve => {
        const endWait = (): void => {
          this.allocatorWaiters.delete(endWait);
          requirements.signal.removeEventListener('abort', endWait);
          cancel();
          resolve();
        };
        const cancel = clock.schedule(endsAt, endWait);
        requirements.signal.addEventListener('abort', endWait);
        this.allocatorWaiters.add(endWait);
      });
    }
    if (this.allocator !== undefined) return;
    throw this.createRefusalWithRetry(
      model,
      after(clock.now(), RETRY_AFTER_MILLISECONDS),
    );
  }

  /** Until when a request waits for an allocator. */
  private allocatorWaitEnd({deadline}: EndpointRequirements): Instant {
    const endsAt = after(this.allocatorLostAt, TAKEOVER_WAIT_MILLISECONDS);
    return earlier(endsAt, deadline);
  }

  /**
   * Resolves once an engine that is accepted has the model; rejects with a refusal if none
   * will have it in time.
   */
  private waitForModel(
    requirements: EndpointRequirements,
    model: ModelName,
    accepts: Waiter['accepts'],
  ): Promise<void> {
    const {clock} = this.options;
    return new Promise((resolve, reject) => {
      const settle = (refusal: RefusalError | undefined): void => {
        this.waiters.delete(waiter);
        cancel();
        requirements.signal.removeEventListener('abort', stop);
        this.scheduleUsageReports(this.usageIntervalMilliseconds);
        if (refusal === undefined) resolve();
        else reject(refusal);
      };
      const stop = (): void =>
        settle(createNotRunRefusal(ErrorCode.CallerGone, model));
      const waiter = {requirements, accepts, settle};
      const cancel = clock.schedule(requirements.deadline, () =>
        settle(
          this.createRefusalWithRetry(
            model,
            after(clock.now(), RETRY_AFTER_MILLISECONDS),
          ),
        ),
      );
      requirements.signal.addEventListener('abort', stop);
      this.waiters.add(waiter);
      this.scheduleUsageReports(0);
    });
  }

  /** Creates a refusal whose caller may retry shortly after `retryAt`. */
  private createRefusalWithRetry(
    model: ModelName,
    retryAt: Instant,
    random = this.options.random,
  ): RefusalError {
    const {clock} = this.options;
    const delay = Math.max(0, until(clock.now(), retryAt));
    const jittered = delay + jitter(random, RETRY_AFTER_JITTER / 2, 1) * delay;
    return createNotRunRefusal(
      ErrorCode.NoEndpoint,
      model,
      after(clock.now(), jittered),
    );
  }

  private async waitBeforeRetry(
    requirements: EndpointRequirements,
  ): Promise<void> {
    const {clock} = this.options;
    const at = after(clock.now(), ENGINE_RETRY_DELAY_MILLISECONDS);
    if (at >= requirements.deadline || requirements.signal.aborted) {
      throw createNotRunRefusal(
        ErrorCode.NoEndpoint,
        requirements.model ?? requirements.service,
        after(clock.now(), RETRY_AFTER_MILLISECONDS),
      );
    }
    await sleepUntil(clock, at);
  }

  private countArrival(service: ServiceName, model: ModelName): void {
    const counts =
      this.arrivalCounts.get(service) ?? new Map<ModelName, number>();
    counts.set(model, (counts.get(model) ?? 0) + 1);
    this.arrivalCounts.set(service, counts);
    this.scheduleUsageReports(this.usageIntervalMilliseconds);
  }

  private get usageIntervalMilliseconds(): Milliseconds {
    return Math.max(
      USAGE_INTERVAL_MILLISECONDS,
      this.nodeCount * USAGE_INTERVAL_MILLISECONDS_PER_NODE,
    );
  }

  private scheduleUsageReports(delay: Milliseconds): void {
    const {clock} = this.options;
    const at = after(clock.now(), delay);
    if (this.usageReportsDueAt !== undefined && this.usageReportsDueAt <= at)
      return;
    this.cancelUsageReports?.();
    this.usageReportsDueAt = at;
    this.cancelUsageReports = clock.schedule(at, () => this.sendUsageReports());
  }

  /**
   * Reports at once the requests that are in flight for a model being evicted: the
   * allocator unloads the model unless they are reported soon.
   */
  private reportInFlightOnEvicted(
    engine: EndpointId,
    models: readonly ModelName[],
  ): void {
    const hasInFlight = this.options.inFlightCounts
      .countsByModel(id => id === engine)
      .some(({model}) => !models.includes(model));
    if (hasInFlight) this.scheduleUsageReports(0);
  }

  /** Returns a service's usage, and resets its arrival counts. */
  private takeUsage(service: ServiceName): NodeUsage {
    const {table, inFlightCounts} = this.options;
    const arrived = [...(this.arrivalCounts.get(service) ?? [])];
    this.arrivalCounts.delete(service);
    return {
      waiting: this.waitingRequests(service),
      inFlight: inFlightCounts
        .countsByModel(id => table.get(id)?.service === service)
        .map(({endpoint, model, count}) => ({engine: endpoint, model, count})),
      arrived: arrived.map(([model, count]) => ({model, count})),
      gaps: this.options.eventGaps.take(
        id => table.get(id)?.service === service,
      ),
    };
  }

  private waitingRequests(service: ServiceName): WaitingRequests[] {
    const totals = new Map<WaitingKey, WaitingRequests>();
    for (const {requirements} of this.waiters) {
      const {model, deadline} = requirements;
      if (requirements.service !== service || model === undefined) continue;
      addWaiting(totals, {
        model,
        boundTo: boundVersion(requirements),
        count: 1,
        priority: reportedPriority(requirements),
        earliestDeadline: deadline,
      });
    }
    return [...totals.values()];
  }
}

/** Priority under which a waiting request is reported: by the team first, then by the route. */
function reportedPriority({ordering, priority}: EndpointRequirements): number {
  const ofRoute = ordering?.routePriority ?? priority;
  const clamped = Math.min(ROUTE_PRIORITIES - 1, Math.max(0, ofRoute));
  return (ordering?.teamPriority ?? 0) * ROUTE_PRIORITIES + clamped;
}

/** Sorts the most urgent request first: by the team, the route, and the time left. */
function compareUrgency(
  left: EndpointRequirements,
  right: EndpointRequirements,
): number {
  const dueAt = ({ordering, deadline}: EndpointRequirements): Instant =>
    ordering?.objectiveAt ?? deadline;
  return (
    reportedPriority(left) - reportedPriority(right) ||
    dueAt(left) - dueAt(right)
  );
}

function listsModel({models}: EndpointDescription, model: ModelName): boolean {
  return models.some(loaded => loaded.model === model);
}

/** Whether two entries are of one run of an engine and list the same models. */
function hasSameModels(
  before: EndpointDescription,
  now: EndpointDescription | undefined,
): boolean {
  const names = ({models}: EndpointDescription): string =>
    models
      .map(({model}) => model)
      .sort()
      .join(' ');
  return (
    before.incarnation === now?.incarnation && names(before) === names(now)
  );
}

/** Whether a model that is ready then can still serve a request. */
function isInTime(readyAt: Instant, {deadline}: EndpointRequirements): boolean {
  return after(readyAt, TIME_TO_FIRST_EVENT_MILLISECONDS) <= deadline;
}

function boundVersion({
  version,
}: EndpointRequirements): SoftwareVersion | undefined {
  return version.kind === 'only' ? version.version : undefined;
}
