/** Counts what this node's requests want, for the allocators. */

import type {Clock, Instant, Milliseconds, ModelName} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {NodeDemand, Subject} from '@siskinmux/allocation';
import type {ModelTarget} from '@siskinmux/declarations';

/** How long a model without requests is still reported on. */
const REPORT_AFTER_LAST_MILLISECONDS: Milliseconds = 3_000;

interface Counts {
  readonly subject: Subject;
  readonly deadlines: Set<{readonly deadline: Instant}>;
  inFlight: number;
  lastArrivalAt: Instant;
}

/** One request's part in the counts. */
export interface TrackedDemand {
  /** The request got a place. */
  start(): void;
  /** The request lost its place and waits again. */
  wait(): void;
  /** The request is over. */
  end(): void;
}

/** Demands by subject. */
export class DemandTracker {
  private readonly counts = new Map<string, Counts>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): DemandTracker {
    return new DemandTracker(options.clock);
  }

  /** Notes a request that waits for a target. */
  track(target: ModelTarget, deadline: Instant): TrackedDemand {
    const all = subjectsOf(target).map(subject => this.countsOf(subject));
    const mark = {deadline};
    let isInFlight = false;
    for (const counts of all) counts.deadlines.add(mark);
    const setInFlight = (value: boolean): void => {
      if (isInFlight === value) return;
      isInFlight = value;
      for (const counts of all) {
        counts.inFlight += value ? 1 : -1;
        if (value) counts.deadlines.delete(mark);
        else counts.deadlines.add(mark);
      }
    };
    return {
      start: () => setInFlight(true),
      wait: () => setInFlight(false),
      end: () => {
        setInFlight(false);
        for (const counts of all) counts.deadlines.delete(mark);
      },
    };
  }

  /** Models that the allocators should hear of now. */
  activeModels(): ModelName[] {
    this.forgetIdle();
    const models = [...this.counts.values()].map(({subject}) => subject.model);
    return [...new Set(models)];
  }

  /** Demands for the given models. */
  demands(models: ReadonlySet<ModelName>): NodeDemand[] {
    return [...this.counts.values()]
      .filter(({subject}) => models.has(subject.model))
      .map(({subject, deadlines, inFlight, lastArrivalAt}) => ({
        subject,
        waiting: deadlines.size,
        inFlight,
        earliestDeadline: earliestOf(deadlines),
        lastArrivalAt,
      }));
  }

  private countsOf(subject: Subject): Counts {
    const key = JSON.stringify(subject);
    const now = this.clock.now();
    let counts = this.counts.get(key);
    if (counts === undefined) {
      counts = {subject, deadlines: new Set(), inFlight: 0, lastArrivalAt: now};
      this.counts.set(key, counts);
    }
    counts.lastArrivalAt = now;
    return counts;
  }

  private forgetIdle(): void {
    const now = this.clock.now();
    for (const [key, counts] of this.counts) {
      const isBusy = counts.deadlines.size > 0 || counts.inFlight > 0;
      const keepUntil = after(
        counts.lastArrivalAt,
        REPORT_AFTER_LAST_MILLISECONDS,
      );
      if (!isBusy && keepUntil <= now) this.counts.delete(key);
    }
  }
}

function subjectsOf(target: ModelTarget): Subject[] {
  const {model, version, adapter} = target;
  const subjects: Subject[] = [{kind: 'model', model, version}];
  if (adapter !== undefined) subjects.push({kind: 'adapter', model, adapter});
  return subjects;
}

function earliestOf(
  marks: ReadonlySet<{readonly deadline: Instant}>,
): Instant | undefined {
  let earliest: Instant | undefined;
  for (const {deadline} of marks) {
    if (earliest === undefined || deadline < earliest) earliest = deadline;
  }
  return earliest;
}
