/**
 * Holds requests while all engines that have their model are loaded beyond a level, and sends them
 * in the order of the admission package when room shows.
 */

import type {CapacityRequest} from '@siskinmux/admission';
import {CapacityQueue} from '@siskinmux/admission';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  CancelTimer,
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ModelName,
  RefusalError,
  RequestId,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal, until} from '@siskinmux/kernel';
import type {ClusterLoad} from './cluster_load.js';
import type {EndpointRequirements, RequestOrdering} from './endpoint_choice.js';
import {CAPACITY_WAIT_ENDED} from './gateway_events.js';
import type {InFlightCounts} from './in_flight_counts.js';

/**
 * Requests in flight per slot of an engine up to which requests are sent at once. Engines run one
 * a slot and queue three more, by their urgency. Half of that queue lasts for about a second of
 * completions, the greatest age of what a node knows, so that no slot is idle meanwhile; the
 * other half takes what nodes send at the same time.
 */
export const HOLD_LOAD_PER_SLOT = 2.5;

/**
 * The same for a request that goes before all held ones and is due within the age of what a node
 * knows: it would be late by the time that room shows. An eighth of the engine's queue is left.
 */
export const URGENT_LOAD_PER_SLOT = 3.5;

/** Greatest age of what a node knows of the engines' load. */
const KNOWLEDGE_AGE_MILLISECONDS: Milliseconds = 1_000;

/** Urgent requests that are sent before there is room for them, and make others wait longer. */
const MAXIMUM_DEBT = 8;

/** Interval at which held requests are checked without a report or a completion. */
const CHECK_MILLISECONDS: Milliseconds = 100;

/**
 * A model's requests are held no longer than this without sending one of them, whatever the reports
 * say, where there are fewer slots than nodes: the engine decides by its true load.
 */
const MAXIMUM_SILENCE_MILLISECONDS: Milliseconds = 2_000;

/** Credit that completions leave at most while there is no room; others have sent meanwhile. */
const MAXIMUM_CREDIT = 2;

/** With this many models, those without held requests are forgotten. */
const MAXIMUM_GROUPS = 1_000;

/** Requests that were let pass appear in the in-flight counts after this time at most. */
const PASSING_MILLISECONDS: Milliseconds = 20;

/** Time that an engine needs until its first event, which the deadline has to leave. */
const TIME_TO_FIRST_EVENT_MILLISECONDS: Milliseconds = 250;

/** What became of a request that engines had no room for: `held` when its wait began. */
export type CapacityOutcome = 'held' | 'sent' | 'refused' | 'expired' | 'gone';

/** Dependencies of {@link CapacityHolds}. */
export interface CapacityHoldsOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
  readonly clusterLoad: ClusterLoad;
  readonly inFlightCounts: InFlightCounts;
  /** Nodes that share the engines, this one included. */
  readonly nodeCount: () => number;
  /** Called for each request that engines had no room for, at the beginning and the end. */
  readonly onCapacityWait: (outcome: CapacityOutcome) => void;
}

/** What {@link CapacityHolds.waitForRoom} would decide. */
export type CapacityPreview =
  | {readonly kind: 'room'}
  | {readonly kind: 'held'; readonly startBy: Instant}
  | {readonly kind: 'refused'; readonly refusal: RefusalError};

interface HeldRequest extends CapacityRequest {
  readonly id: RequestId;
  readonly settle: (refusal: RefusalError | undefined) => void;
}

/** Requests of one model at the engines of one service. */
interface Group {
  readonly engines: () => readonly EndpointDescription[];
  /** Requests that may be sent when there is room for them. */
  credit: number;
  /** This node's requests in flight at the engines. */
  ownInFlight: number;
  sentAt: Instant;
  /** When requests were let pass that the in-flight counts may not include yet. */
  passed: Instant[];
}

/** The held requests of one node. */
export class CapacityHolds {
  private readonly queue = CapacityQueue.create<HeldRequest>();
  private readonly groups = new Map<string, Group>();
  private cancelCheck: CancelTimer | undefined;

  private constructor(private readonly options: CapacityHoldsOptions) {}

  static create(options: CapacityHoldsOptions): CapacityHolds {
    return new CapacityHolds(options);
  }

  /** Number of held requests. */
  get size(): number {
    return this.queue.size;
  }

  /**
   * Resolves when the request may be sent: at once while an engine has room and no request for the
   * same model is held, and once no engine has the model. Rejects with a `RefusalError` if it can't
   * start in time or its caller has gone. `engines` returns those that have the model.
   */
  waitForRoom(
    requirements: EndpointRequirements,
    ordering: RequestOrdering,
    model: ModelName,
    engines: () => readonly EndpointDescription[],
  ): Promise<void> {
    const {clock} = this.options;
    const now = clock.now();
    const key = groupKey(requirements, model);
    const group = this.groups.get(key) ?? this.createGroup(key, engines, now);
    const item = createItem(requirements, ordering, key, now);
    if (this.queue.sizeOf(key) === 0 && this.mayPass(group, now)) {
      this.queue.recordUnheld(item, now);
      group.passed.push(now);
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      const {signal, id} = requirements;
      const stop = (): void => {
        this.queue.remove(held, clock.now());
        this.end(held, 'gone', undefined);
        held.settle(createNotRunRefusal(ErrorCode.CallerGone, model));
      };
      const held: HeldRequest = {
        ...item,
        id,
        settle: refusal => {
          signal.removeEventListener('abort', stop);
          if (refusal === undefined) resolve();
          else reject(refusal);
        },
      };
      const isFirst = this.queue.sizeOf(key) === 0;
      const decision = this.queue.offer(held, now);
      if (decision.kind === 'refused') {
        this.refuse(held, 'refused', decision.retryAt);
        return;
      }
      if (isFirst) {
        group.credit = 0;
        group.sentAt = now;
        group.ownInFlight = this.ownInFlightOf(group);
      }
      if (this.mayPassAtOnce(held, group, this.queue, now)) {
        this.queue.take(now, other => other === key, 'urgency');
        this.recordSent(held, now);
        resolve();
        return;
      }
      this.options.onCapacityWait('held');
      signal.addEventListener('abort', stop, {once: true});
      if (signal.aborted) stop();
      this.scheduleCheck();
    });
  }

  /** Tries {@link waitForRoom} on copies of the group and the queue. */
  preview(
    requirements: EndpointRequirements,
    ordering: RequestOrdering,
    model: ModelName,
    engines: () => readonly EndpointDescription[],
  ): CapacityPreview {
    const now = this.options.clock.now();
    const key = groupKey(requirements, model);
    const group = {...(this.groups.get(key) ?? newGroup(engines, now))};
    const isFirst = this.queue.sizeOf(key) === 0;
    if (isFirst && this.mayPass(group, now)) return {kind: 'room'};
    const queue = this.queue.copy();
    const item = {
      ...createItem(requirements, ordering, key, now),
      id: requirements.id,
      settle: () => {},
    };
    const decision = queue.offer(item, now);
    if (decision.kind === 'refused')
      return {
        kind: 'refused',
        refusal: createBusyRefusal(key, decision.retryAt),
      };
    if (isFirst) group.credit = 0;
    return this.mayPassAtOnce(item, group, queue, now)
      ? {kind: 'room'}
      : {kind: 'held', startBy: item.startBy};
  }

  /** Called when a report of the engines' load has arrived. */
  onReport(): void {
    const now = this.options.clock.now();
    for (const key of this.queue.heldGroups) {
      const group = this.groups.get(key);
      if (group === undefined) continue;
      // Other nodes see the same room at the same time.
      const share = this.roomOf(group, now) / this.options.nodeCount();
      const least = this.hasIdleSlot(group) ? 1 : -MAXIMUM_DEBT;
      group.credit = Math.max(least, Math.min(1, group.credit) + share);
    }
    this.sendHeld();
  }

  /** Called when a request of this node starts or ends at an engine. */
  onInFlightChange(): void {
    if (this.queue.size === 0) return;
    let hasEnded = false;
    for (const key of this.queue.heldGroups) {
      const group = this.groups.get(key);
      if (group === undefined) continue;
      const inFlight = this.ownInFlightOf(group);
      // A request may take the place of one that has ended, whatever other nodes send.
      const ended = Math.max(0, group.ownInFlight - inFlight);
      group.ownInFlight = inFlight;
      group.credit = Math.max(
        group.credit,
        Math.min(MAXIMUM_CREDIT, group.credit + ended),
      );
      hasEnded ||= ended > 0;
    }
    if (hasEnded) this.sendHeld();
  }

  private createGroup(
    key: string,
    engines: Group['engines'],
    now: Instant,
  ): Group {
    // Models come and go with the versions of the configuration.
    if (this.groups.size >= MAXIMUM_GROUPS) {
      for (const other of this.groups.keys())
        if (this.queue.sizeOf(other) === 0) this.groups.delete(other);
    }
    const group = newGroup(engines, now);
    this.groups.set(key, group);
    return group;
  }

  private check(): void {
    const {clock, clusterLoad} = this.options;
    const now = clock.now();
    for (const {item, retryAt} of this.queue.takeExpired(now))
      this.refuse(item, 'expired', retryAt);
    for (const key of this.queue.heldGroups) {
      const group = this.groups.get(key);
      if (group === undefined) continue;
      // Without reports, each node's own counts are all that is known.
      if (!clusterLoad.isFresh) group.credit = Math.max(1, group.credit);
    }
    this.sendHeld();
    this.scheduleCheck();
  }

  private scheduleCheck(): void {
    if (this.queue.size === 0 || this.cancelCheck !== undefined) return;
    const {clock} = this.options;
    this.cancelCheck = clock.schedule(
      after(clock.now(), CHECK_MILLISECONDS),
      () => {
        this.cancelCheck = undefined;
        this.check();
      },
    );
  }

  /** Sends held requests in their order, as far as their groups have room and credit. */
  private sendHeld(): void {
    const now = this.options.clock.now();
    this.releaseWithoutEngines(now);
    for (;;) {
      const item = this.queue.take(now, key => this.maySend(key, now));
      if (item === undefined) return;
      this.recordSent(item, now);
      this.end(item, 'sent', undefined);
      item.settle(undefined);
    }
  }

  /** Without an engine that has the model, requests wait for the model instead. */
  private releaseWithoutEngines(now: Instant): void {
    for (const key of this.queue.heldGroups) {
      if (this.groups.get(key)?.engines().length !== 0) continue;
      for (const item of this.queue.takeGroup(key, now)) {
        this.end(item, 'sent', undefined);
        item.settle(undefined);
      }
    }
  }

  private recordSent(item: HeldRequest, now: Instant): void {
    const group = this.groups.get(item.group);
    if (group !== undefined) {
      group.credit -= 1;
      group.sentAt = now;
      group.passed.push(now);
    }
  }

  /** Whether a request is sent without being held, if none is held. */
  private mayPass(group: Group, now: Instant): boolean {
    return this.roomOf(group, now) >= 1 || this.isBelowShare(group, now);
  }

  /**
   * Whether a request goes before all that are held, and would be late if it was held. Requests
   * that have waited for long don't keep it back, as most of these would be late all the same in
   * the engine's queue.
   */
  private mayPassAtOnce(
    item: HeldRequest,
    group: Group,
    queue: CapacityQueue<HeldRequest>,
    now: Instant,
  ): boolean {
    return (
      until(now, item.objectiveAt) < KNOWLEDGE_AGE_MILLISECONDS &&
      group.credit > -MAXIMUM_DEBT &&
      this.roomOf(group, now, URGENT_LOAD_PER_SLOT) >= 1 &&
      queue.peek(now, key => key === item.group, 'urgency') === item
    );
  }

  private maySend(key: string, now: Instant): boolean {
    const group = this.groups.get(key);
    if (group === undefined) return true;
    if (until(group.sentAt, now) >= MAXIMUM_SILENCE_MILLISECONDS) return true;
    if (this.isBelowShare(group, now)) return true;
    return group.credit >= 1 && this.roomOf(group, now) >= 1;
  }

  /**
   * Whether this node uses less than its equal share of the slots, which all nodes can use at the
   * same time. Bounds the effect of wrong reports.
   */
  private isBelowShare(group: Group, now: Instant): boolean {
    let slots = 0;
    for (const engine of group.engines()) slots += engine.slots;
    const share = Math.floor(slots / this.options.nodeCount());
    return this.ownInFlightOf(group) + this.passing(group, now) < share;
  }

  private passing(group: Group, now: Instant): number {
    const oldest = after(now, -PASSING_MILLISECONDS);
    group.passed = group.passed.filter(at => at > oldest);
    return group.passed.length;
  }

  /** Requests that the engines of a group take before they are loaded to the level. */
  private roomOf(
    group: Group,
    now: Instant,
    loadPerSlot = HOLD_LOAD_PER_SLOT,
  ): number {
    let room = 0;
    for (const {id, slots} of group.engines())
      room += Math.max(0, slots * loadPerSlot - this.load.at(id));
    return room - this.passing(group, now);
  }

  private hasIdleSlot(group: Group): boolean {
    return group.engines().some(({id, slots}) => this.load.at(id) < slots);
  }

  private get load(): Pick<InFlightCounts, 'at'> {
    const {clusterLoad, inFlightCounts} = this.options;
    return clusterLoad.isFresh ? clusterLoad : inFlightCounts;
  }

  private ownInFlightOf(group: Group): number {
    const {inFlightCounts} = this.options;
    return group
      .engines()
      .reduce((sum, {id}) => sum + inFlightCounts.at(id), 0);
  }

  private refuse(
    item: HeldRequest,
    outcome: 'refused' | 'expired',
    retryAt: Instant,
  ): void {
    this.end(item, outcome, retryAt);
    item.settle(createBusyRefusal(item.group, retryAt));
  }

  private end(
    {id, team, route, group, arrivedAt}: HeldRequest,
    outcome: CapacityOutcome,
    retryAt: Instant | undefined,
  ): void {
    const {clock, emit, onCapacityWait} = this.options;
    const now = clock.now();
    onCapacityWait(outcome);
    emit(CAPACITY_WAIT_ENDED, {
      id,
      team,
      route,
      group,
      outcome,
      heldFor: Math.round(until(arrivedAt, now)),
      retryIn: retryAt && Math.round(until(now, retryAt)),
      stillHeld: this.queue.sizeOf(group),
    });
  }
}

function groupKey(
  {service}: EndpointRequirements,
  model: ModelName,
): HeldRequest['group'] {
  return `${service} ${model}`;
}

function newGroup(engines: Group['engines'], now: Instant): Group {
  return {engines, credit: 0, ownInFlight: 0, sentAt: now, passed: []};
}

function createItem(
  {priority, deadline}: EndpointRequirements,
  ordering: RequestOrdering,
  group: string,
  now: Instant,
) {
  return {
    ...ordering,
    group,
    routePriority: ordering.routePriority ?? priority,
    arrivedAt: now,
    startBy: after(deadline, -TIME_TO_FIRST_EVENT_MILLISECONDS),
  };
}

function createBusyRefusal(group: string, retryAt: Instant): RefusalError {
  return createNotRunRefusal(ErrorCode.EndpointBusy, group, retryAt);
}
