/** Models that engines report although no reservation names them. */

import type {Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {EngineModel} from '@siskinmux/ports';
import type {Subject} from './allocation.js';
import {isSameSubject} from './allocation.js';
import type {AllocationDraft} from './allocation_draft.js';
import type {EngineSnapshot} from './plan_input.js';

/** Minimum time between a change and the report that is assumed to reflect it. */
export const REPORT_LAG_MILLISECONDS: Milliseconds = 1_000;

/** Models that an engine reports without a reservation. */
export function unreservedModelsOf(
  draft: AllocationDraft,
  engine: EngineSnapshot,
): readonly EngineModel[] {
  return (engine.status?.models ?? []).filter(
    loaded => !isReserved(draft, engine, subjectOf(loaded)),
  );
}

/**
 * Those that may use memory, though the report is too old to reserve them: this allocator has
 * just started and has released none. The stored allocation may have lost their reservations.
 */
export function unclearModelsOf(
  draft: AllocationDraft,
  engine: EngineSnapshot,
): readonly EngineModel[] {
  const isNew = engine.releasedAt <= draft.input.startedAt;
  if (!isNew || isReportedAfterRelease(engine)) return [];
  return unreservedModelsOf(draft, engine);
}

/** A report from before the last release would still show the released model. */
export function isReportedAfterRelease(engine: EngineSnapshot): boolean {
  const {status, releasedAt} = engine;
  if (status === undefined) return false;
  return status.reportedAt > after(releasedAt, REPORT_LAG_MILLISECONDS);
}

export function subjectOf({model, version}: EngineModel): Subject {
  return {kind: 'model', model, version};
}

function isReserved(
  draft: AllocationDraft,
  engine: EngineSnapshot,
  subject: Subject,
): boolean {
  return draft.reservations.some(
    reservation =>
      reservation.engine === engine.id &&
      isSameSubject(reservation.subject, subject),
  );
}
