/**
 * Bounded queue of one node's waiting requests. Within a priority class, targets are served
 * in turn and the earliest deadline of a target goes first. Requests of a lower class are
 * promoted after a bounded wait, so that they do not starve.
 */

import {Heap} from 'heap-js';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, after} from '@siskinmux/kernel';

/** How long a request of a lower class waits before it becomes eligible for promotion. */
export const STARVATION_LIMIT_MILLISECONDS: Milliseconds = 5_000;

/** At most one dequeued request in this many is a promoted one of a lower class. */
const PROMOTION_INTERVAL_REQUESTS = 4;

/** Properties by which waiting requests are ordered and expire. */
export interface QueuedRequest {
  /** Key of the group of endpoints that serves the request. */
  readonly target: string;
  /** A whole number; 0 is the most urgent. */
  readonly priorityClass: number;
  readonly deadline: Instant;
  /** When the request can no longer be answered before its deadline. */
  readonly refuseAt: Instant;
  readonly enqueuedAt: Instant;
}

/** The queue of a target has reached its maximum length. */
export class QueueFullError extends SiskinmuxError {
  constructor(target: string, limit: number) {
    super(ErrorCode.QueueFull, `${target}: ${limit} wait already`);
  }
}

/** Waiting requests of one target and priority class. */
interface ClassQueue<Item extends QueuedRequest> {
  readonly priorityClass: number;
  readonly heap: Heap<Item>;
}

interface TargetQueue<Item extends QueuedRequest> {
  readonly target: string;
  /** The classes with waiting requests, most urgent first. */
  readonly classes: ClassQueue<Item>[];
  size: number;
  /** Fair-queueing tag: the target with the smallest value is served next. */
  virtualTime: number;
}

/** Priority queue of the requests that wait for an endpoint. */
export class RequestQueue<Item extends QueuedRequest> {
  private readonly targets = new Map<string, TargetQueue<Item>>();
  private virtualTime = 0;
  private dequeuedSincePromotion = 0;
  private total = 0;

  private constructor() {}

  static create<Item extends QueuedRequest>(): RequestQueue<Item> {
    return new RequestQueue();
  }

  /** Number of queued requests. */
  get size(): number {
    return this.total;
  }

  /** Number of requests queued for one target. */
  sizeOf(target: string): number {
    return this.targets.get(target)?.size ?? 0;
  }

  /**
   * Adds a request. Throws {@link QueueFullError} if `limit` requests of its target
   * wait.
   */
  enqueue(item: Item, limit: number): void {
    const queue =
      this.targets.get(item.target) ?? this.createTargetQueue(item.target);
    if (queue.size >= limit) throw new QueueFullError(item.target, limit);
    heapOf(queue, item.priorityClass).push(item);
    queue.size += 1;
    this.total += 1;
  }

  /** Counts the requests of the same target that are served before `item`. */
  countAhead(item: QueuedRequest): number {
    const queue = this.targets.get(item.target);
    if (queue === undefined) return 0;
    let ahead = 0;
    for (const {priorityClass, heap} of queue.classes) {
      if (priorityClass < item.priorityClass) ahead += heap.size();
      if (priorityClass !== item.priorityClass) continue;
      for (const other of heap.toArray()) {
        if (other.deadline <= item.deadline) ahead += 1;
      }
    }
    return ahead;
  }

  /** Removes and returns the next request whose target can be served now. */
  dequeue(
    now: Instant,
    canServe: (target: string) => boolean,
  ): Item | undefined {
    const servable = [...this.targets.values()].filter(queue =>
      canServe(queue.target),
    );
    if (servable.length === 0) return undefined;
    const promoted = this.findStarvedQueue(servable, now);
    const [queue, next] = promoted ?? this.findMostUrgentQueue(servable) ?? [];
    if (queue === undefined || next === undefined) return undefined;
    this.dequeuedSincePromotion =
      promoted === undefined ? this.dequeuedSincePromotion + 1 : 0;
    const item = next.heap.pop();
    if (item !== undefined) this.recordRemoval(queue, next, true);
    return item;
  }

  /**
   * Removes a request, for example because its caller disconnected. Returns false when it
   * is no longer queued.
   */
  remove(item: Item): boolean {
    const queue = this.targets.get(item.target);
    const found = queue?.classes.find(
      ({priorityClass}) => priorityClass === item.priorityClass,
    );
    if (queue === undefined || found === undefined) return false;
    const isRemoved = found.heap.remove(item);
    if (isRemoved) this.recordRemoval(queue, found, false);
    return isRemoved;
  }

  /** Removes and returns the requests that can no longer be answered in time. */
  removeExpired(now: Instant): Item[] {
    const expired: Item[] = [];
    for (const queue of this.targets.values()) {
      for (const {heap} of queue.classes) {
        for (const item of heap.toArray()) {
          if (item.refuseAt <= now) expired.push(item);
        }
      }
    }
    for (const item of expired) this.remove(item);
    return expired;
  }

  private createTargetQueue(target: string): TargetQueue<Item> {
    const queue: TargetQueue<Item> = {
      target,
      classes: [],
      size: 0,
      // Starts at the current virtual time: idle targets accumulate no credit.
      virtualTime: this.virtualTime,
    };
    this.targets.set(target, queue);
    return queue;
  }

  private findMostUrgentQueue(
    servable: readonly TargetQueue<Item>[],
  ): [TargetQueue<Item>, ClassQueue<Item>] | undefined {
    let chosen: [TargetQueue<Item>, ClassQueue<Item>] | undefined;
    for (const queue of servable) {
      const [first] = queue.classes;
      if (first === undefined) continue;
      const lead = chosen && chosen[1].priorityClass - first.priorityClass;
      if (
        chosen === undefined ||
        lead === undefined ||
        lead > 0 ||
        (lead === 0 && queue.virtualTime < chosen[0].virtualTime)
      ) {
        chosen = [queue, first];
      }
    }
    return chosen;
  }

  private findStarvedQueue(
    servable: readonly TargetQueue<Item>[],
    now: Instant,
  ): [TargetQueue<Item>, ClassQueue<Item>] | undefined {
    if (this.dequeuedSincePromotion < PROMOTION_INTERVAL_REQUESTS - 1)
      return undefined;
    for (const queue of servable) {
      for (const lower of queue.classes) {
        const head = lower.heap.peek();
        if (head === undefined || lower.priorityClass === 0) continue;
        const promoteAt = after(head.enqueuedAt, STARVATION_LIMIT_MILLISECONDS);
        if (promoteAt <= now) return [queue, lower];
      }
    }
    return undefined;
  }

  private recordRemoval(
    queue: TargetQueue<Item>,
    removedFrom: ClassQueue<Item>,
    isServed: boolean,
  ): void {
    if (removedFrom.heap.isEmpty()) {
      queue.classes.splice(queue.classes.indexOf(removedFrom), 1);
    }
    queue.size -= 1;
    this.total -= 1;
    if (isServed) {
      this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
      queue.virtualTime += 1;
    }
    if (queue.size === 0) this.targets.delete(queue.target);
  }
}

/** The requests of one class of a target; creates the class if it has none. */
function heapOf<Item extends QueuedRequest>(
  queue: TargetQueue<Item>,
  priorityClass: number,
): Heap<Item> {
  const position = queue.classes.findIndex(
    other => other.priorityClass >= priorityClass,
  );
  const found = queue.classes[position];
  if (found?.priorityClass === priorityClass) return found.heap;
  const heap = new Heap<Item>((left, right) => left.deadline - right.deadline);
  queue.classes.splice(position < 0 ? queue.classes.length : position, 0, {
    priorityClass,
    heap,
  });
  return heap;
}
