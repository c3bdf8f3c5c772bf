/** Demand of this node's requests for models and adapters, as reported to the allocators. */

import type {Clock, Instant, Milliseconds, ModelName} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {NodeDemand, Subject} from '@siskinmux/allocation';
import type {ModelTarget} from '@siskinmux/declarations';

/** How long a model stays in the reports after its last request arrived. */
const REPORT_AFTER_LAST_ARRIVAL_MILLISECONDS: Milliseconds = 3_000;

interface SubjectDemand {
  readonly subject: Subject;
  readonly waitingEntries: Set<{readonly deadline: Instant}>;
  inFlight: number;
  lastArrivalAt: Instant;
}

/** Updates the demand as the state of one request changes. */
export interface TrackedDemand {
  /** The request got a slot. */
  start(): void;
  /** The request lost its slot and waits again. */
  wait(): void;
  /** The request has ended. */
  end(): void;
}

/** Waiting and running requests by model version and adapter. */
export class DemandTracker {
  private readonly demandBySubject = new Map<string, SubjectDemand>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): DemandTracker {
    return new DemandTracker(options.clock);
  }

  /** Counts a request that waits for a target. */
  track(target: ModelTarget, deadline: Instant): TrackedDemand {
    const tracked = subjectsOf(target).map(subject => this.demandOf(subject));
    const entry = {deadline};
    let isInFlight = false;
    for (const demand of tracked) demand.waitingEntries.add(entry);
    const setInFlight = (value: boolean): void => {
      if (isInFlight === value) return;
      isInFlight = value;
      for (const demand of tracked) {
        demand.inFlight += value ? 1 : -1;
        if (value) demand.waitingEntries.delete(entry);
        else demand.waitingEntries.add(entry);
      }
    };
    return {
      start: () => setInFlight(true),
      wait: () => setInFlight(false),
      end: () => {
        setInFlight(false);
        for (const demand of tracked) demand.waitingEntries.delete(entry);
      },
    };
  }

  /** Models with current or recent requests. */
  activeModels(): ModelName[] {
    this.removeIdle();
    const models = [...this.demandBySubject.values()].map(
      ({subject}) => subject.model,
    );
    return [...new Set(models)];
  }

  /** Demand for the given models. */
  demandsFor(models: ReadonlySet<ModelName>): NodeDemand[] {
    return [...this.demandBySubject.values()]
      .filter(({subject}) => models.has(subject.model))
      .map(({subject, waitingEntries, inFlight, lastArrivalAt}) => ({
        subject,
        waiting: waitingEntries.size,
        inFlight,
        earliestDeadline: earliestDeadlineOf(waitingEntries),
        lastArrivalAt,
      }));
  }

  private demandOf(subject: Subject): SubjectDemand {
    const key = JSON.stringify(subject);
    const now = this.clock.now();
    let demand = this.demandBySubject.get(key);
    if (demand === undefined) {
      demand = {
        subject,
        waitingEntries: new Set(),
        inFlight: 0,
        lastArrivalAt: now,
      };
      this.demandBySubject.set(key, demand);
    }
    demand.lastArrivalAt = now;
    return demand;
  }

  private removeIdle(): void {
    const now = this.clock.now();
    for (const [key, demand] of this.demandBySubject) {
      const isBusy = demand.waitingEntries.size > 0 || demand.inFlight > 0;
      const keepUntil = after(
        demand.lastArrivalAt,
        REPORT_AFTER_LAST_ARRIVAL_MILLISECONDS,
      );
      if (!isBusy && keepUntil <= now) this.demandBySubject.delete(key);
    }
  }
}

function subjectsOf(target: ModelTarget): Subject[] {
  const {model, version, adapter} = target;
  const subjects: Subject[] = [{kind: 'model', model, version}];
  if (adapter !== undefined) subjects.push({kind: 'adapter', model, adapter});
  return subjects;
}

function earliestDeadlineOf(
  entries: ReadonlySet<{readonly deadline: Instant}>,
): Instant | undefined {
  let earliest: Instant | undefined;
  for (const {deadline} of entries) {
    if (earliest === undefined || deadline < earliest) earliest = deadline;
  }
  return earliest;
}
