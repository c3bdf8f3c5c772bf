/**
 * Bounded waiting room of one node. Earliest deadline goes first within a priority
 * class, targets share fairly, and a lower class is never starved for longer than
 * a bound.
 */

import {Heap} from 'heap-js';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, after} from '@siskinmux/kernel';

/** How long a request of a lower class may be passed over before it counts as urgent. */
export const STARVATION_LIMIT_MILLISECONDS: Milliseconds = 5_000;

/** Of so many requests taken, one may be a promoted one of a lower class. */
const PROMOTION_INTERVAL = 4;

/** Number of priority classes; class 0 is the most urgent. */
export const PRIORITY_CLASSES = 3;

/** What the queue needs to know of a waiting request. */
export interface QueuedRequest {
  /** Requests of one target share its endpoints. */
  readonly target: string;
  /** From 0, the most urgent, to {@link PRIORITY_CLASSES} - 1. */
  readonly priorityClass: number;
  readonly deadline: Instant;
  /** From then on it can't be answered in time any more. */
  readonly refuseAt: Instant;
  readonly enqueuedAt: Instant;
}

/** Too many requests wait for one target. */
export class QueueFullError extends SiskinmuxError {
  constructor(target: string, limit: number) {
    super(ErrorCode.QueueFull, `${target}: ${limit} wait already`);
  }
}

interface TargetQueue<Item extends QueuedRequest> {
  readonly target: string;
  readonly classes: readonly Heap<Item>[];
  size: number;
  /** Fair-queueing tag: the target with the smallest one is served next. */
  virtualTime: number;
}

/** Requests that wait for an endpoint. */
export class RequestQueue<Item extends QueuedRequest> {
  private readonly targets = new Map<string, TargetQueue<Item>>();
  private virtualTime = 0;
  private takenSincePromotion = 0;
  private total = 0;

  private constructor() {}

  static create<Item extends QueuedRequest>(): RequestQueue<Item> {
    return new RequestQueue();
  }

  /** Requests that wait in all. */
  get size(): number {
    return this.total;
  }

  /** Requests that wait for one target. */
  sizeOf(target: string): number {
    return this.targets.get(target)?.size ?? 0;
  }

  /** Adds a request. Throws {@link QueueFullError}. */
  enqueue(item: Item, limit: number): void {
    const queue = this.targets.get(item.target) ?? this.open(item.target);
    if (queue.size >= limit) throw new QueueFullError(item.target, limit);
    queue.classes[item.priorityClass]?.push(item);
    queue.size += 1;
    this.total += 1;
  }

  /** How many requests of its target would be served before `item`. */
  countAhead(item: QueuedRequest): number {
    const queue = this.targets.get(item.target);
    if (queue === undefined) return 0;
    let ahead = 0;
    for (const [index, heap] of queue.classes.entries()) {
      if (index < item.priorityClass) ahead += heap.size();
      if (index !== item.priorityClass) continue;
      for (const other of heap.toArray()) {
        if (other.deadline <= item.deadline) ahead += 1;
      }
    }
    return ahead;
  }

  /** Takes the next request whose target can be served now. */
  dequeue(now: Instant, canServe: (target: string) => boolean): Item | undefined {
    const open = [...this.targets.values()].filter(queue =>
      canServe(queue.target),
    );
    if (open.length === 0) return undefined;
    const promoted = this.promotedQueue(open, now);
    const [queue, heap] = promoted ?? this.mostUrgentQueue(open) ?? [];
    if (queue === undefined || heap === undefined) return undefined;
    this.takenSincePromotion =
      promoted === undefined ? this.takenSincePromotion + 1 : 0;
    const item = heap.pop();
    if (item !== undefined) this.noteRemoved(queue, true);
    return item;
  }

  /** Removes a request, as when its caller has gone; false when it was taken before. */
  remove(item: Item): boolean {
    const queue = this.targets.get(item.target);
    const isRemoved = queue?.classes[item.priorityClass]?.remove(item) ?? false;
    if (queue !== undefined && isRemoved) this.noteRemoved(queue, false);
    return isRemoved;
  }

  /** Removes and returns the requests that can't be answered in time any more. */
  takeExpired(now: Instant): Item[] {
    const expired: Item[] = [];
    for (const queue of this.targets.values()) {
      for (const heap of queue.classes) {
        for (const item of heap.toArray()) {
          if (item.refuseAt <= now) expired.push(item);
        }
      }
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  private open(target: string): TargetQueue<Item> {
    const queue: TargetQueue<Item> = {
      target,
      classes: Array.from(
        {length: PRIORITY_CLASSES},
        () => new Heap<Item>((left, right) => left.deadline - right.deadline),
      ),
      size: 0,
      // A target that was idle gains no credit from that.
      virtualTime: this.virtualTime,
    };
    this.targets.set(target, queue);
    return queue;
  }

  private mostUrgentQueue(
    open: readonly TargetQueue<Item>[],
  ): [TargetQueue<Item>, Heap<Item>] | undefined {
    for (let index = 0; index < PRIORITY_CLASSES; index += 1) {
      let chosen: [TargetQueue<Item>, Heap<Item>] | undefined;
      for (const queue of open) {
        const heap = queue.classes[index];
        if (heap === undefined || heap.isEmpty()) continue;
        if (chosen === undefined || queue.virtualTime < chosen[0].virtualTime) {
          chosen = [queue, heap];
        }
      }
      if (chosen !== undefined) return chosen;
    }
    return undefined;
  }

  private promotedQueue(
    open: readonly TargetQueue<Item>[],
    now: Instant,
  ): [TargetQueue<Item>, Heap<Item>] | undefined {
    if (this.takenSincePromotion < PROMOTION_INTERVAL - 1) return undefined;
    for (const queue of open) {
      for (const heap of queue.classes.slice(1)) {
        const head = heap.peek();
        if (head === undefined) continue;
        const promoteAt = after(head.enqueuedAt, STARVATION_LIMIT_MILLISECONDS);
        if (promoteAt <= now) return [queue, heap];
      }
    }
    return undefined;
  }

  private noteRemoved(queue: TargetQueue<Item>, isServed: boolean): void {
    queue.size -= 1;
    this.total -= 1;
    if (isServed) {
      this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
      queue.virtualTime += 1;
    }
    if (queue.size === 0) this.targets.delete(queue.target);
  }
}
