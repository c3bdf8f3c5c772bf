/**
 * How fast engines write the events of streams, from what all nodes measure. Engines of one
 * service differ several times over, and a stream is late if the gap between two of its events
 * exceeds the objective of its route.
 */

import type {EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {until} from '@siskinmux/kernel';

/** Gaps between the events of streams at one engine, since a node's previous report. */
export interface EventGaps {
  readonly engine: EndpointId;
  readonly count: number;
  /** Sum of the gaps. */
  readonly milliseconds: Milliseconds;
}

/** Time constant with which measured gaps lose their weight; an engine may turn slow or recover. */
const GAP_DECAY_MILLISECONDS: Milliseconds = 6_000;

/** Weight of the gaps from which a mean is used; fewer may all come from one slow moment. */
const MINIMUM_GAP_WEIGHT = 20;

/**
 * Typical number of events of a stream, by which the gap of an engine is turned into the time that
 * a stream takes there.
 */
const EVENTS_PER_STREAM = 30;

/** How long the replica of a rarely used model is expected to stay. */
const PLACEMENT_SECONDS = 2;

const MILLISECONDS_PER_SECOND = 1_000;

interface DecayedGaps {
  weight: number;
  milliseconds: number;
  updatedAt: Instant;
}

/** Mean gaps of engines, decayed over time. */
export class EnginePace {
  private readonly byEngine = new Map<EndpointId, DecayedGaps>();

  private constructor() {}

  static create(): EnginePace {
    return new EnginePace();
  }

  /** Adds the gaps that a node has measured. */
  record({engine, count, milliseconds}: EventGaps, now: Instant): void {
    const known = this.byEngine.get(engine);
    const kept = known === undefined ? 0 : remainingShare(known, now);
    this.byEngine.set(engine, {
      weight: (known?.weight ?? 0) * kept + count,
      milliseconds: (known?.milliseconds ?? 0) * kept + milliseconds,
      updatedAt: now,
    });
  }

  /** Forgets an engine that has left. */
  remove(engine: EndpointId): void {
    this.byEngine.delete(engine);
  }

  /** Mean gap between two events at an engine; undefined if too few were measured recently. */
  gapOf(engine: EndpointId, now: Instant): Milliseconds | undefined {
    const known = this.byEngine.get(engine);
    if (known === undefined) return undefined;
    const {weight, milliseconds} = known;
    return weight * remainingShare(known, now) < MINIMUM_GAP_WEIGHT
      ? undefined
      : milliseconds / weight;
  }

  /** The engines whose mean gaps are known. */
  gaps(now: Instant): ReadonlyMap<EndpointId, Milliseconds> {
    const gaps = new Map<EndpointId, Milliseconds>();
    for (const engine of this.byEngine.keys()) {
      const gap = this.gapOf(engine, now);
      if (gap !== undefined) gaps.set(engine, gap);
    }
    return gaps;
  }
}

function remainingShare({updatedAt}: DecayedGaps, now: Instant): number {
  return Math.exp(-Math.max(0, until(updatedAt, now)) / GAP_DECAY_MILLISECONDS);
}

/**
 * Share of the objective for the gap between two events that the mean gap of an engine may reach
 * before the engine counts as slow: the longest gap of a stream is several times the mean one, as
 * the prompts of other requests are read in between.
 */
const TOLERATED_GAP_SHARE = 0.2;

/** Mean gap of an engine relative to the greatest one that isn't slow; 1 if it is unknown. */
export function slownessOf(
  gap: Milliseconds | undefined,
  gapObjective: Milliseconds | undefined,
): number {
  if (gap === undefined || gapObjective === undefined) return 1;
  return Math.max(1, gap / (gapObjective * TOLERATED_GAP_SHARE));
}

/**
 * Seconds by which the streams of a model take longer at a slow engine than at one that is just not
 * slow, over the time for which the model is expected to stay there.
 */
export function slowSeconds(
  arrivalsPerSecond: number,
  slowness: number,
  gapObjective: Milliseconds,
): number {
  const streams = arrivalsPerSecond * PLACEMENT_SECONDS;
  const excess = (slowness - 1) * gapObjective * TOLERATED_GAP_SHARE;
  return (streams * EVENTS_PER_STREAM * excess) / MILLISECONDS_PER_SECOND;
}
