/**
 * Exchanges state with the allocators: reports this node's demand and receives the
 * replicas that it may use. Nothing is sent for models without recent requests.
 */

import type {
  CancelTimer,
  Clock,
  FailureDomain,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {SiskinmuxError, after, as} from '@siskinmux/kernel';
import type {ExchangeRequest, ExchangeResponse} from '@siskinmux/allocation';
import type {Declarations} from '@siskinmux/declarations';
import {rankMembers} from '@siskinmux/routing';
import type {DemandTracker} from './demand_tracker.js';
import type {ReplicaTable} from './replica_table.js';

/** Interval between two exchanges with one failure domain. */
const EXCHANGE_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Interval while requests wait for a model to load. */
const WAITING_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** Timeout of one exchange. */
const EXCHANGE_TIMEOUT_MILLISECONDS: Milliseconds = 1_500;

/** Waiting requests per slot above which the model is requested from the next domain too. */
const MAXIMUM_WAITING_PER_SLOT = 2;

/** Dependencies of {@link ReplicaExchange}. */
export interface ReplicaExchangeOptions {
  readonly clock: Clock;
  readonly node: NodeId;
  readonly declarations: () => Declarations;
  readonly demands: DemandTracker;
  readonly replicas: ReplicaTable;
  readonly sendExchange: (
    domain: FailureDomain,
    request: ExchangeRequest,
    deadline: ReturnType<Clock['now']>,
  ) => Promise<ExchangeResponse>;
  /** Called after the replica table has changed. */
  readonly onTableChange: () => void;
}

/**
 * Reports this node's demands to the allocators of all failure domains, periodically and on
 * request, and stores the replicas that they respond with in the {@link ReplicaTable}.
 */
export class ReplicaExchange {
  private readonly inProgress = new Set<FailureDomain>();
  /** Domains to exchange with again as soon as the exchange in progress has ended. */
  private readonly repeatRequested = new Set<FailureDomain>();
  private readonly scheduledDomains = new Set<FailureDomain>();
  private readonly timers = new Set<CancelTimer>();
  private isStopped = false;

  private constructor(private readonly options: ReplicaExchangeOptions) {}

  static create(options: ReplicaExchangeOptions): ReplicaExchange {
    return new ReplicaExchange(options);
  }

  /** Starts the periodic exchanges. */
  start(): void {
    this.exchangeAll();
  }

  /** Stops the exchanges; one in progress still completes. */
  stop(): void {
    this.isStopped = true;
    for (const cancel of this.timers) cancel();
  }

  /** Reports at once to a model's allocators that a request waits for the model. */
  notifyAllocators(model: ModelName): void {
    for (const domain of this.requestedDomains(model)) this.exchange(domain);
  }

  /** Failure domains that may hold a model, in the order in which it is requested from them. */
  rankedDomains(model: ModelName): FailureDomain[] {
    const declared = this.options.declarations().models[model]?.replicas ?? {};
    const domains = Object.entries(declared)
      .filter(([, limit]) => limit > 0)
      .map(([domain]) => as<FailureDomain>(domain));
    return rankMembers(`model/${model}`, domains);
  }

  private exchangeAll(): void {
    if (this.isStopped) return;
    const models = this.options.demands.activeModels();
    const domains = new Set(
      models.flatMap(model => this.requestedDomains(model)),
    );
    for (const domain of domains) this.exchange(domain);
    this.schedule(EXCHANGE_INTERVAL_MILLISECONDS, () => this.exchangeAll());
  }

  private schedule(
    delayMilliseconds: Milliseconds,
    callback: () => void,
  ): void {
    const {clock} = this.options;
    const cancel = clock.schedule(after(clock.now(), delayMilliseconds), () => {
      this.timers.delete(cancel);
      callback();
    });
    this.timers.add(cancel);
  }

  /** Whether requests wait for a model that is requested from this domain. */
  private hasWaitingRequests(domain: FailureDomain): boolean {
    const {demands} = this.options;
    const models = demands
      .activeModels()
      .filter(model => this.requestedDomains(model).includes(domain));
    return demands.demandsFor(new Set(models)).some(({waiting}) => waiting > 0);
  }

  /**
   * The first domain in the model's order, and each following one while those before
   * it can't place the model or can't serve all waiting requests. All nodes use the
   * same order, so that they request the model from the same allocator.
   */
  private requestedDomains(model: ModelName): FailureDomain[] {
    const ranked = this.rankedDomains(model);
    const selected: FailureDomain[] = [];
    for (const domain of ranked) {
      selected.push(domain);
      if (!this.needsNextDomain(domain, model)) break;
    }
    return selected;
  }

  private needsNextDomain(domain: FailureDomain, model: ModelName): boolean {
    const {replicas, demands} = this.options;
    if (replicas.isUnreachable(domain)) return true;
    if (!replicas.hasFreshResponse(domain, model)) return false;
    if (replicas.placementRefusalReason(domain, model) !== undefined)
      return true;
    const modelReplicas = replicas.replicasOfModel(domain, model);
    const waiting = demands
      .demandsFor(new Set([model]))
      .reduce((sum, demand) => sum + demand.waiting, 0);
    const slots = modelReplicas.reduce(
      (sum, replica) => sum + replica.slots,
      0,
    );
    return (
      modelReplicas.length > 0 && waiting > slots * MAXIMUM_WAITING_PER_SLOT
    );
  }

  private exchange(domain: FailureDomain): void {
    if (this.isStopped) return;
    if (this.inProgress.has(domain)) {
      this.repeatRequested.add(domain);
      return;
    }
    this.inProgress.add(domain);
    void this.runExchange(domain).finally(() => {
      this.inProgress.delete(domain);
      if (this.repeatRequested.delete(domain)) this.exchange(domain);
      else if (this.hasWaitingRequests(domain)) this.scheduleExchange(domain);
    });
  }

  private scheduleExchange(domain: FailureDomain): void {
    if (this.isStopped || this.scheduledDomains.has(domain)) return;
    this.scheduledDomains.add(domain);
    this.schedule(WAITING_INTERVAL_MILLISECONDS, () => {
      this.scheduledDomains.delete(domain);
      this.exchange(domain);
    });
  }

  private async runExchange(domain: FailureDomain): Promise<void> {
    const {clock, node, demands, replicas, sendExchange, onTableChange} =
      this.options;
    const models = demands
      .activeModels()
      .filter(model => this.rankedDomains(model).includes(domain));
    const reportedModels = new Set(
      models.filter(model => this.requestedDomains(model).includes(domain)),
    );
    const request: ExchangeRequest = {
      node,
      demands: demands.demandsFor(reportedModels),
      models,
    };
    try {
      const deadline = after(clock.now(), EXCHANGE_TIMEOUT_MILLISECONDS);
      replicas.applyResponse(
        await sendExchange(domain, request, deadline),
        models,
      );
    } catch (failure) {
      if (!(failure instanceof SiskinmuxError)) throw failure;
      replicas.markUnreachable(domain);
    }
    onTableChange();
  }
}
