/**
 * Allocates one failure domain: collects demands and engine reports, plans, writes the
 * planned allocation, and only then sends the orders.
 */

import type {
  CancelTimer,
  Clock,
  EmitEvent,
  EndpointId,
  FailureDomain,
  FencingNumber,
  Instant,
  Milliseconds,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {Mailbox, SiskinmuxError, after} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import {enginesIn} from '@siskinmux/declarations';
import type {Engine, ObjectService, WeightStore} from '@siskinmux/ports';
import {
  EndpointUnreachableError,
  OrderRefusedError,
  StaleOrderError,
} from '@siskinmux/ports';
import type {Allocation, Reservation} from './allocation.js';
import {replicasOf} from './allocation.js';
import type {PlannedOrder, PlacementRefusal} from './allocation_draft.js';
import {
  ALLOCATION_LOST,
  ALLOCATION_RESTORED,
  ALLOCATION_STEP_FAILED,
  ORDER_ENDED,
  REPLICA_REFUSED,
} from './allocation_events.js';
import {
  AllocationLostError,
  AllocationStore,
  AllocationWentBackError,
} from './allocation_store.js';
import type {OrderOutcome, OrderResult} from './apply_order_result.js';
import {DemandAggregator} from './demand_aggregator.js';
import type {HostStatus} from './engine_watcher.js';
import {EngineWatcher} from './engine_watcher.js';
import type {
  ExchangeRequest,
  ExchangeResponse,
  ReplicaView,
  ReservationReport,
} from './exchange.js';
import type {KeepAlivePolicy} from './keep_alive.js';
import {planAllocation} from './plan_allocation.js';
import type {PlanInput} from './plan_input.js';
import {replicaLimit} from './plan_input.js';

/** Interval between plans when nothing triggers one earlier. */
const PLAN_INTERVAL_MILLISECONDS: Milliseconds = 500;

/**
 * Interval between checks whether another node has written the allocation. It is well
 * below the drain propagation time, so that a replaced holder soon stops listing replicas
 * that the new one drains.
 */
const VERIFY_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/**
 * Concurrent loads that the weight store is assumed to serve at full speed. The number in
 * its report, `fullSpeedLoads`, is not read.
 */
const MAXIMUM_FULL_SPEED_LOADS = 4;

/** Dependencies of a {@link DomainAllocator}. */
export interface DomainAllocatorOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly node: NodeId;
  readonly failureDomain: FailureDomain;
  readonly declarations: () => Declarations;
  readonly engine: (id: EndpointId) => Engine;
  readonly hostStatusOf: (host: string) => HostStatus;
  readonly weightStore: WeightStore | undefined;
  readonly isNodeTerminated: (node: NodeId) => boolean;
  readonly emit: EmitEvent;
  /** Creates the policy that decides how long one idle model stays loaded. */
  readonly createKeepAlivePolicy: () => KeepAlivePolicy;
  /** Called when another node took the domain over; `holder` is undefined if unknown. */
  readonly onLost: (holder: NodeId | undefined) => void;
}

type Message =
  | {readonly kind: 'plan'}
  | {readonly kind: 'order_ended'; readonly result: OrderResult};

/** Allocator of one failure domain. It stops when another node takes the domain over. */
export class DomainAllocator {
  private readonly startedAt: Instant;
  private readonly store: AllocationStore;
  private readonly mailbox: Mailbox<Message>;
  private readonly watcher: EngineWatcher;
  private readonly demandAggregator: DemandAggregator;
  /** Results of orders that no written allocation reflects yet. */
  private unappliedResults: OrderResult[] = [];
  private currentRefusals: readonly PlacementRefusal[] = [];
  /** Loads in transit, as last reported by the weight store; 0 if unknown. */
  private reportedLoads = 0;
  /** Orders that this process has sent; a written order not among them is sent again. */
  private readonly sentFencingNumbers = new Set<FencingNumber>();
  private readonly stopping = new AbortController();
  private readonly timers = new Set<CancelTimer>();
  private isPlanQueued = false;
  private nextVerifyAt: Instant;
  private readonly firstRead: Promise<void>;
  private resolveFirstRead: () => void = () => {};

  private constructor(private readonly options: DomainAllocatorOptions) {
    this.firstRead = new Promise(resolve => {
      this.resolveFirstRead = resolve;
    });
    this.startedAt = options.clock.now();
    this.nextVerifyAt = this.startedAt;
    this.store = AllocationStore.create(options);
    this.demandAggregator = DemandAggregator.create(options);
    this.watcher = EngineWatcher.create({
      ...options,
      declaredEngines: () =>
        enginesIn(options.declarations().endpoints, options.failureDomain),
      onFirstReport: () => this.requestPlan(),
    });
    this.mailbox = Mailbox.create(
      message => this.handleMessage(message),
      failure => this.handleFailure(failure),
    );
  }

  /** Reads the allocation and starts to plan. */
  static create(options: DomainAllocatorOptions): DomainAllocator {
    const allocator = new DomainAllocator(options);
    allocator.tick();
    return allocator;
  }

  /** Records a node's demands and returns the replicas of the models that it names. */
  exchange(request: ExchangeRequest): ExchangeResponse {
    this.demandAggregator.update(request.node, request.demands);
    if (request.demands.some(({waiting}) => waiting > 0)) this.requestPlan();
    return this.createResponse(new Set(request.models));
  }

  /** Resolves once the allocation was read; earlier responses would be empty. */
  get ready(): Promise<void> {
    return this.firstRead;
  }

  /** Returns all reservations, for the operator's `status` command. */
  report(): ReservationReport[] {
    const demands = this.demandAggregator.current();
    return this.store.current.reservations.map(reservation => ({
      failureDomain: this.options.failureDomain,
      subject: reservation.subject,
      engine: reservation.engine,
      state: reservation.state,
      reason: reservation.reason,
      memoryBytes: reservation.memoryBytes,
      changedAt: reservation.changedAt,
      readyAt:
        reservation.state === 'loading' ? this.readyAt(reservation) : undefined,
      keepUntil:
        reservation.state === 'ready'
          ? this.demandAggregator.keepUntil(reservation.subject.model)
          : undefined,
      waiting: demands
        .filter(demand => demand.subject.model === reservation.subject.model)
        .reduce((sum, demand) => sum + demand.waiting, 0),
    }));
  }

  /**
   * Demands that the latest plan could not place, for the operator's `status` command.
   */
  get latestRefusals(): readonly PlacementRefusal[] {
    return this.currentRefusals;
  }

  /** Stops planning and sending orders. */
  stop(): void {
    this.stopping.abort();
    this.mailbox.close();
    for (const cancel of this.timers) cancel();
    this.timers.clear();
  }

  private get isStopped(): boolean {
    return this.stopping.signal.aborted;
  }

  private tick(): void {
    if (this.isStopped) return;
    this.watcher.pollAll();
    this.requestPlan();
    this.scheduleAfter(PLAN_INTERVAL_MILLISECONDS, () => this.tick());
  }

  private requestPlan(): void {
    if (this.isPlanQueued) return;
    this.isPlanQueued = true;
    this.mailbox.post({kind: 'plan'});
  }

  private async handleMessage(message: Message): Promise<void> {
    if (message.kind === 'order_ended') {
      this.unappliedResults.push(message.result);
      this.requestPlan();
      return;
    }
    this.isPlanQueued = false;
    await this.plan();
  }

  private async plan(): Promise<void> {
    if (!this.store.hasKnownVersion) await this.store.read();
    else await this.verifyIfDue();
    this.resolveFirstRead();
    await this.readWeightStore();
    const appliedCount = this.unappliedResults.length;
    const input = this.collectPlanInput();
    const plan = planAllocation(
      this.store.current,
      input,
      this.unappliedResults,
    );
    this.updateRefusals(plan.refusals);
    const before = this.store.current;
    if (plan.isChanged) await this.store.write(plan.allocation);
    this.recordReleases(before, plan.allocation);
    this.unappliedResults = this.unappliedResults.slice(appliedCount);
    if (this.isStopped) return;
    for (const planned of plan.orders) void this.executeOrder(planned);
  }

  private async verifyIfDue(): Promise<void> {
    const now = this.options.clock.now();
    if (now < this.nextVerifyAt) return;
    await this.store.verifyUnchanged();
    this.nextVerifyAt = after(now, VERIFY_INTERVAL_MILLISECONDS);
  }

  private recordReleases(before: Allocation, next: Allocation): void {
    const kept = new Set(next.reservations.map(({id}) => id));
    for (const {id, engine} of before.reservations) {
      if (!kept.has(id)) this.watcher.recordRelease(engine);
    }
  }

  private async executeOrder(planned: PlannedOrder): Promise<void> {
    const {engine, order} = planned;
    this.sentFencingNumbers.add(order.fencingNumber);
    const abort = new AbortController();
    const cancel = this.options.clock.schedule(order.deadline, () =>
      abort.abort(),
    );
    const result = await this.sendOrder(planned, abort.signal);
    cancel();
    this.options.emit(ORDER_ENDED, {
      engine,
      action: order.action.kind,
      fencing_number: order.fencingNumber,
      end: result.outcome,
      detail: result.detail,
    });
    this.mailbox.post({kind: 'order_ended', result});
  }

  private async sendOrder(
    planned: PlannedOrder,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    const resultOf = (outcome: OrderOutcome, detail = ''): OrderResult => ({
      planned,
      outcome,
      detail,
    });
    // The process may have been suspended since the allocation was written.
    if (this.options.clock.now() >= planned.order.deadline) {
      return resultOf(
        'unreached',
        'the deadline passed before the order was sent',
      );
    }
    if (this.isAboveReplicaLimit(planned)) {
      return resultOf(
        'unreached',
        'the replica limit was lowered before the order was sent',
      );
    }
    try {
      await this.options.engine(planned.engine).order(planned.order, signal);
      return resultOf('done');
    } catch (failure) {
      return resultOf(outcomeOf(failure), describeFailure(failure));
    }
  }

  /** Operators may have lowered the limit while the reservation was being written. */
  private isAboveReplicaLimit(planned: PlannedOrder): boolean {
    const {action} = planned.order;
    if (action.kind !== 'load_model') return false;
    const {declarations, failureDomain} = this.options;
    const limit = replicaLimit(declarations(), action.model, failureDomain);
    return replicasOf(this.store.current, action.model).length > limit;
  }

  private collectPlanInput(): PlanInput {
    const {clock, node, failureDomain, declarations, isNodeTerminated} =
      this.options;
    const now = clock.now();
    return {
      now,
      node,
      startedAt: this.startedAt,
      failureDomain,
      declarations: declarations(),
      engines: this.watcher.snapshots(),
      demands: this.demandAggregator.current(),
      keepUntil: model => this.demandAggregator.keepUntil(model),
      isNodeTerminated,
      lastExchangeBefore: instant =>
        this.demandAggregator.lastExchangeBefore(instant),
      hasSentOrder: number => this.sentFencingNumbers.has(number),
      hasInitialReports: this.watcher.hasInitialReports,
      availableLoads:
        MAXIMUM_FULL_SPEED_LOADS -
        Math.max(this.reportedLoads, this.countOwnLoads()),
    };
  }

  private async readWeightStore(): Promise<void> {
    const {weightStore} = this.options;
    if (weightStore === undefined || !this.hasWaitingRequests()) return;
    try {
      const report = await weightStore.report(this.stopping.signal);
      this.reportedLoads = report.loadsInTransit;
    } catch (failure) {
      // Without a report only this domain's own loads are counted.
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.reportedLoads = 0;
    }
  }

  private countOwnLoads(): number {
    return this.store.current.reservations.filter(
      reservation =>
        reservation.state === 'loading' && reservation.subject.kind === 'model',
    ).length;
  }

  private hasWaitingRequests(): boolean {
    return this.demandAggregator.current().some(({waiting}) => waiting > 0);
  }

  private createResponse(models: ReadonlySet<ModelName>): ExchangeResponse {
    const replicas: ReplicaView[] = [];
    for (const reservation of this.store.current.reservations) {
      const isServing =
        reservation.state === 'loading' || reservation.state === 'ready';
      if (isServing && models.has(reservation.subject.model)) {
        replicas.push(this.replicaViewOf(reservation, reservation.state));
      }
    }
    return {
      failureDomain: this.options.failureDomain,
      replicas,
      refusals: this.currentRefusals.filter(refusal =>
        models.has(refusal.subject.model),
      ),
    };
  }

  private replicaViewOf(
    reservation: Reservation,
    state: 'loading' | 'ready' | string,
  ): ReplicaView {
    const status = this.watcher.statusOf(reservation.engine);
    return {
      subject: reservation.subject,
      engine: reservation.engine,
      state: state === 'ready' ? 'ready' : 'loading',
      readyAt: this.readyAt(reservation),
      running: status?.running ?? 0,
      queued: status?.queued ?? 0,
      slots: status?.slots ?? 1,
      reportedAt: status?.reportedAt,
    };
  }

  private readyAt(reservation: Reservation): Instant {
    const {subject, changedAt, state} = reservation;
    if (state === 'ready' || subject.kind === 'adapter') return changedAt;
    const declared = this.options.declarations().models[subject.model];
    return after(changedAt, declared?.expected_load_milliseconds ?? 0);
  }

  private updateRefusals(refusals: readonly PlacementRefusal[]): void {
    for (const refusal of refusals) {
      const isKnown = this.currentRefusals.some(
        known =>
          known.subject.model === refusal.subject.model &&
          known.reason === refusal.reason,
      );
      if (isKnown) continue;
      this.options.emit(REPLICA_REFUSED, {
        model: refusal.subject.model,
        reason: refusal.reason,
      });
    }
    this.currentRefusals = refusals;
  }

  private handleFailure(failure: unknown): void {
    if (failure instanceof AllocationLostError) {
      this.options.emit(ALLOCATION_LOST, {
        failure_domain: this.options.failureDomain,
        holder: failure.holder,
      });
      // Orders of this node may still be in flight; their reservations name it.
      this.stop();
      this.options.onLost(failure.holder);
      return;
    }
    if (failure instanceof AllocationWentBackError) {
      const {failureDomain, reservations} = failure;
      this.options.emit(ALLOCATION_RESTORED, {
        failure_domain: failureDomain,
        reservations,
      });
      this.requestPlan();
      return;
    }
    this.options.emit(ALLOCATION_STEP_FAILED, {
      failure_domain: this.options.failureDomain,
      failure: describeFailure(failure),
    });
  }

  private scheduleAfter(
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
}

function outcomeOf(failure: unknown): OrderOutcome {
  if (failure instanceof StaleOrderError) return 'stale';
  if (failure instanceof OrderRefusedError) return 'refused';
  if (failure instanceof EndpointUnreachableError) return 'unreached';
  return 'unknown';
}

function describeFailure(failure: unknown): string {
  return failure instanceof SiskinmuxError ? failure.message : String(failure);
}
