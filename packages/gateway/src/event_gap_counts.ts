/** Measures the gaps between the events of this node's streams, by engine. */

import type {EndpointId, Milliseconds} from '@siskinmux/kernel';
import type {EventGaps} from '@siskinmux/placement';

/** Longer gaps count as this long: a caller that doesn't read makes them, not the engine. */
const MAXIMUM_GAP_MILLISECONDS: Milliseconds = 500;

/** Gaps since they were last taken. */
export class EventGapCounts {
  private counts = new Map<EndpointId, {count: number; milliseconds: number}>();

  private constructor() {}

  static create(): EventGapCounts {
    return new EventGapCounts();
  }

  /** Records that `events` have arrived `sincePrevious` milliseconds after the event before them. */
  record(
    engine: EndpointId,
    events: number,
    sincePrevious: Milliseconds,
  ): void {
    if (events <= 0) return;
    const known = this.counts.get(engine) ?? {count: 0, milliseconds: 0};
    known.count += events;
    known.milliseconds += Math.min(sincePrevious, MAXIMUM_GAP_MILLISECONDS);
    this.counts.set(engine, known);
  }

  /** Takes the gaps at the engines that `accepts` selects. */
  take(accepts: (engine: EndpointId) => boolean): EventGaps[] {
    const taken: EventGaps[] = [];
    for (const [engine, gaps] of this.counts) {
      if (!accepts(engine)) continue;
      taken.push({engine, ...gaps});
      this.counts.delete(engine);
    }
    return taken;
  }

  /** Drops the gaps at an engine that has ended. */
  forget(engine: EndpointId): void {
    this.counts.delete(engine);
  }

  /** Drops all gaps. */
  clear(): void {
    this.counts.clear();
  }
}
