/**
 * The task that allocates one failure domain: it gathers demands and engine reports,
 * plans, writes the plan, and only then sends its orders.
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
import type {PlannedOrder, Refusal} from './allocation_draft.js';
import {
  ALLOCATION_LOST,
  ALLOCATION_STEP_FAILED,
  ORDER_ENDED,
  REPLICA_REFUSED,
} from './allocation_events.js';
import {AllocationLostError, AllocationStore} from './allocation_store.js';
import type {
  ExchangeAnswer,
  ExchangeMessage,
  ReplicaView,
  ReservationReport,
} from './exchange.js';
import {DemandBook} from './demand_book.js';
import type {HostSighting} from './engine_watcher.js';
import {EngineWatcher} from './engine_watcher.js';
import type {PlanFacts} from './facts.js';
import {replicaLimit} from './facts.js';
import type {KeepAlivePolicy} from './keep_alive.js';
import {planAllocation} from './plan_allocation.js';
import type {OrderEnd, OrderResult} from './settle_order.js';

/** Pause between plans when nothing else asks for one. */
const PLAN_INTERVAL_MILLISECONDS: Milliseconds = 500;

/** Pause between two looks whether another node has written; well below the drain notice. */
const VERIFY_INTERVAL_MILLISECONDS: Milliseconds = 1_000;

/** Loads that the weight store serves at once at full speed. */
const FULL_SPEED_LOADS = 4;

/** What an allocator needs from its surroundings. */
export interface DomainAllocatorOptions {
  readonly objects: ObjectService;
  readonly clock: Clock;
  readonly node: NodeId;
  readonly failureDomain: FailureDomain;
  readonly declarations: () => Declarations;
  readonly engine: (id: EndpointId) => Engine;
  readonly hostOf: (host: string) => HostSighting;
  readonly weightStore: WeightStore | undefined;
  readonly isNodeGone: (node: NodeId) => boolean;
  readonly emit: EmitEvent;
  /** Makes the policy that decides how long one model is kept. */
  readonly createKeepAlive: () => KeepAlivePolicy;
  readonly onLost: (holder: NodeId | undefined) => void;
}

type Message =
  | {readonly kind: 'plan'}
  | {readonly kind: 'order_ended'; readonly result: OrderResult};

/** Allocator of one failure domain, for as long as nobody else takes over. */
export class DomainAllocator {
  private readonly startedAt: Instant;
  private readonly store: AllocationStore;
  private readonly mailbox: Mailbox<Message>;
  private readonly watcher: EngineWatcher;
  private readonly book: DemandBook;
  /** Ends of orders that no written allocation reflects yet. */
  private results: OrderResult[] = [];
  private refusals: readonly Refusal[] = [];
  private loadsElsewhere = 0;
  /** Orders that left this process; a written one that did not is sent anew. */
  private readonly sent = new Set<FencingNumber>();
  private readonly stopping = new AbortController();
  private readonly timers = new Set<CancelTimer>();
  private isPlanQueued = false;
  private verifyAt: Instant;
  private readonly whenRead: Promise<void>;
  private noteRead: () => void = () => {};

  private constructor(private readonly options: DomainAllocatorOptions) {
    this.whenRead = new Promise(resolve => {
      this.noteRead = resolve;
    });
    this.startedAt = options.clock.now();
    this.verifyAt = this.startedAt;
    this.store = AllocationStore.create(options);
    this.book = DemandBook.create(options);
    this.watcher = EngineWatcher.create({
      ...options,
      declaredEngines: () =>
        enginesIn(options.declarations().endpoints, options.failureDomain),
      onFirstReport: () => this.requestPlan(),
    });
    this.mailbox = Mailbox.create(
      message => this.handle(message),
      failure => this.noteFailure(failure),
    );
  }

  /** Reads the allocation and starts to plan. */
  static create(options: DomainAllocatorOptions): DomainAllocator {
    const allocator = new DomainAllocator(options);
    allocator.tick();
    return allocator;
  }

  /** Takes a node's demands and answers what it can use. */
  exchange(message: ExchangeMessage): ExchangeAnswer {
    this.book.hear(message.node, message.demands);
    if (message.demands.some(({waiting}) => waiting > 0)) this.requestPlan();
    return this.answerFor(new Set(message.models));
  }

  /** Resolves once the allocation was read, so that answers mean something. */
  get ready(): Promise<void> {
    return this.whenRead;
  }

  /** All reservations, for people. */
  report(): ReservationReport[] {
    const demands = this.book.current();
    return this.store.current.reservations.map(entry => ({
      failureDomain: this.options.failureDomain,
      subject: entry.subject,
      engine: entry.engine,
      state: entry.state,
      reason: entry.reason,
      memoryBytes: entry.memoryBytes,
      changedAt: entry.changedAt,
      readyAt: entry.state === 'loading' ? this.readyAt(entry) : undefined,
      keepUntil:
        entry.state === 'ready'
          ? this.book.keepUntil(entry.subject.model)
          : undefined,
      waiting: demands
        .filter(demand => demand.subject.model === entry.subject.model)
        .reduce((sum, demand) => sum + demand.waiting, 0),
    }));
  }

  /** What was refused for want of room, for people. */
  get recentRefusals(): readonly Refusal[] {
    return this.refusals;
  }

  /** Plans and orders nothing more. */
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
    this.later(PLAN_INTERVAL_MILLISECONDS, () => this.tick());
  }

  private requestPlan(): void {
    if (this.isPlanQueued) return;
    this.isPlanQueued = true;
    this.mailbox.post({kind: 'plan'});
  }

  private async handle(message: Message): Promise<void> {
    if (message.kind === 'order_ended') {
      this.results.push(message.result);
      this.requestPlan();
      return;
    }
    this.isPlanQueued = false;
    await this.plan();
  }

  private async plan(): Promise<void> {
    if (!this.store.isKnown) await this.store.read();
    else await this.verifyNowAndThen();
    this.noteRead();
    await this.readWeightStore();
    const taken = this.results.length;
    const facts = this.facts();
    const plan = planAllocation(this.store.current, facts, this.results);
    this.noteRefusals(plan.refusals);
    const before = this.store.current;
    if (plan.isChanged) await this.store.write(plan.allocation);
    this.noteReleases(before, plan.allocation);
    this.results = this.results.slice(taken);
    if (this.isStopped) return;
    for (const planned of plan.orders) void this.send(planned);
  }

  private async verifyNowAndThen(): Promise<void> {
    const now = this.options.clock.now();
    if (now < this.verifyAt) return;
    await this.store.verify();
    this.verifyAt = after(now, VERIFY_INTERVAL_MILLISECONDS);
  }

  private noteReleases(before: Allocation, next: Allocation): void {
    const kept = new Set(next.reservations.map(({id}) => id));
    for (const {id, engine} of before.reservations) {
      if (!kept.has(id)) this.watcher.noteRelease(engine);
    }
  }

  private async send(planned: PlannedOrder): Promise<void> {
    const {engine, order} = planned;
    this.sent.add(order.fencingNumber);
    const abort = new AbortController();
    const cancel = this.options.clock.schedule(order.deadline, () =>
      abort.abort(),
    );
    const result = await this.carryOut(planned, abort.signal);
    cancel();
    this.options.emit(ORDER_ENDED, {
      engine,
      action: order.action.kind,
      fencing_number: order.fencingNumber,
      end: result.end,
      detail: result.detail,
    });
    this.mailbox.post({kind: 'order_ended', result});
  }

  private async carryOut(
    planned: PlannedOrder,
    signal: AbortSignal,
  ): Promise<OrderResult> {
    const end = (kind: OrderEnd, detail = ''): OrderResult => ({
      planned,
      end: kind,
      detail,
    });
    // Between the write and this line the node may have been paused for long.
    if (this.options.clock.now() >= planned.order.deadline) {
      return end('unreached', 'too late to be sent');
    }
    if (this.isForbiddenNow(planned)) {
      return end('unreached', 'the limit was lowered meanwhile');
    }
    try {
      await this.options.engine(planned.engine).order(planned.order, signal);
      return end('done');
    } catch (failure) {
      return end(endOf(failure), describe(failure));
    }
  }

  /** Operators may have lowered the limit while the reservation was being written. */
  private isForbiddenNow(planned: PlannedOrder): boolean {
    const {action} = planned.order;
    if (action.kind !== 'load_model') return false;
    const {declarations, failureDomain} = this.options;
    const limit = replicaLimit(declarations(), action.model, failureDomain);
    return replicasOf(this.store.current, action.model).length > limit;
  }

  private facts(): PlanFacts {
    const {clock, node, failureDomain, declarations, isNodeGone} = this.options;
    const now = clock.now();
    return {
      now,
      node,
      startedAt: this.startedAt,
      failureDomain,
      declarations: declarations(),
      engines: this.watcher.views(),
      demands: this.book.current(),
      keepUntil: model => this.book.keepUntil(model),
      isNodeGone,
      lastAskedBefore: instant => this.book.lastAskedBefore(instant),
      wasSent: number => this.sent.has(number),
      hasSettled: this.watcher.hasSettled,
      freeLoads:
        FULL_SPEED_LOADS - Math.max(this.loadsElsewhere, this.ownLoads()),
    };
  }

  private async readWeightStore(): Promise<void> {
    const {weightStore} = this.options;
    if (weightStore === undefined || !this.hasUnmetDemand()) return;
    try {
      const report = await weightStore.report(this.stopping.signal);
      this.loadsElsewhere = report.loadsInTransit;
    } catch (failure) {
      // Without a report the domain's own loads are the only bound.
      if (!(failure instanceof SiskinmuxError)) throw failure;
      this.loadsElsewhere = 0;
    }
  }

  private ownLoads(): number {
    return this.store.current.reservations.filter(
      entry => entry.state === 'loading' && entry.subject.kind === 'model',
    ).length;
  }

  private hasUnmetDemand(): boolean {
    return this.book.current().some(({waiting}) => waiting > 0);
  }

  private answerFor(models: ReadonlySet<ModelName>): ExchangeAnswer {
    const replicas: ReplicaView[] = [];
    for (const entry of this.store.current.reservations) {
      const isServing = entry.state === 'loading' || entry.state === 'ready';
      if (isServing && models.has(entry.subject.model)) {
        replicas.push(this.viewOf(entry, entry.state));
      }
    }
    return {
      failureDomain: this.options.failureDomain,
      replicas,
      refusals: this.refusals.filter(refusal =>
        models.has(refusal.subject.model),
      ),
    };
  }

  private viewOf(
    entry: Reservation,
    state: 'loading' | 'ready' | string,
  ): ReplicaView {
    const status = this.watcher.statusOf(entry.engine);
    return {
      subject: entry.subject,
      engine: entry.engine,
      state: state === 'ready' ? 'ready' : 'loading',
      readyAt: this.readyAt(entry),
      running: status?.running ?? 0,
      queued: status?.queued ?? 0,
      slots: status?.slots ?? 1,
      reportedAt: status?.reportedAt,
    };
  }

  private readyAt(entry: Reservation): Instant {
    const {subject, changedAt, state} = entry;
    if (state === 'ready' || subject.kind === 'adapter') return changedAt;
    const declared = this.options.declarations().models[subject.model];
    return after(changedAt, declared?.expected_load_milliseconds ?? 0);
  }

  private noteRefusals(refusals: readonly Refusal[]): void {
    for (const refusal of refusals) {
      const isKnown = this.refusals.some(
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
    this.refusals = refusals;
  }

  private noteFailure(failure: unknown): void {
    if (failure instanceof AllocationLostError) {
      this.options.emit(ALLOCATION_LOST, {
        failure_domain: this.options.failureDomain,
        holder: failure.holder,
      });
      // Orders of this node may be under way; their reservations name it.
      this.stop();
      this.options.onLost(failure.holder);
      return;
    }
    this.options.emit(ALLOCATION_STEP_FAILED, {
      failure_domain: this.options.failureDomain,
      failure: describe(failure),
    });
  }

  private later(pause: Milliseconds, callback: () => void): void {
    const {clock} = this.options;
    const cancel = clock.schedule(after(clock.now(), pause), () => {
      this.timers.delete(cancel);
      callback();
    });
    this.timers.add(cancel);
  }
}

function endOf(failure: unknown): OrderEnd {
  if (failure instanceof StaleOrderError) return 'stale';
  if (failure instanceof OrderRefusedError) return 'refused';
  if (failure instanceof EndpointUnreachableError) return 'unreached';
  return 'unknown';
}

function describe(failure: unknown): string {
  return failure instanceof SiskinmuxError ? failure.message : String(failure);
}
