/** Input of the planner, and helpers that read it. */

import type {
  EndpointId,
  FailureDomain,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';
import type {CacheTier, EngineStatus} from '@siskinmux/ports';
import type {Subject} from './allocation.js';

/** State of one engine of the failure domain when a plan is made. */
export interface EngineSnapshot {
  readonly id: EndpointId;
  readonly memoryBytes: number;
  readonly checksFencing: boolean;
  /** The newest report, which may be outdated. */
  readonly status: EngineStatus | undefined;
  /**
   * When a reservation on the engine was last released, or else when the allocator
   * started.
   */
  readonly releasedAt: Instant;
  /** The engine or its host announced that it is about to stop. */
  readonly isLeaving: boolean;
  /** The engine has reported recently. */
  readonly isReachable: boolean;
  /** The platform no longer lists its host, and the engine does not respond. */
  readonly isHostReclaimed: boolean;
}

/** Demand of all nodes for one model version or adapter. */
export interface Demand {
  readonly subject: Subject;
  readonly waiting: number;
  readonly inFlight: number;
  readonly earliestDeadline: Instant | undefined;
}

/** Everything that a plan depends on, besides the allocation and the order results. */
export interface PlanInput {
  readonly now: Instant;
  readonly node: NodeId;
  /** When this allocator started; earlier responses came from a previous holder. */
  readonly startedAt: Instant;
  readonly failureDomain: FailureDomain;
  readonly declarations: Declarations;
  readonly engines: ReadonlyMap<EndpointId, EngineSnapshot>;
  readonly demands: readonly Demand[];
  /** Until when an idle model stays loaded. */
  readonly keepUntil: (model: ModelName) => Instant;
  readonly isNodeTerminated: (node: NodeId) => boolean;
  /**
   * When the latest exchange took place among the nodes whose last exchange with this
   * allocator was before an instant.
   */
  readonly lastExchangeBefore: (instant: Instant) => Instant | undefined;
  /** Whether this process has sent the order with this fencing number. */
  readonly hasSentOrder: (number: FencingNumber) => boolean;
  /**
   * Every engine has reported or had enough time to; before that a missing report
   * proves nothing.
   */
  readonly hasInitialReports: boolean;
  /** Further loads that the weight store is expected to serve now at full speed. */
  readonly availableLoads: number;
}

const BYTES_PER_GIBIBYTE = 1024 ** 3;
const BYTES_PER_MEBIBYTE = 1024 ** 2;

/** Converts gibibytes to bytes. */
export function fromGibibytes(gibibytes: number): number {
  return Math.round(gibibytes * BYTES_PER_GIBIBYTE);
}

/** Converts mebibytes to bytes. */
export function fromMebibytes(mebibytes: number): number {
  return Math.round(mebibytes * BYTES_PER_MEBIBYTE);
}

/** Returns the memory that a subject needs, in bytes; undefined if it is not declared. */
export function memoryOf(
  declarations: Declarations,
  subject: Subject,
): number | undefined {
  if (subject.kind === 'model') {
    const model = declarations.models[subject.model];
    return model === undefined ? undefined : fromGibibytes(model.memory_gib);
  }
  const adapter = declarations.adapters[subject.adapter];
  return adapter === undefined ? undefined : fromMebibytes(adapter.memory_mib);
}

/** Returns how many replicas of a model operators allow in a failure domain. */
export function replicaLimit(
  declarations: Declarations,
  model: ModelName,
  domain: FailureDomain,
): number {
  return declarations.models[model]?.replicas[domain] ?? 0;
}

/** Returns the cache tier of an engine's host that has the model's checkpoint. */
export function cacheTierOf(
  engine: EngineSnapshot,
  subject: Subject,
): CacheTier {
  if (subject.kind !== 'model') return 'remote';
  const key = `${subject.model}@${subject.version}`;
  return engine.status?.cached[key] ?? 'remote';
}

/** Whether the engine's newest report shows the subject as ready. */
export function isReportedReady(
  engine: EngineSnapshot,
  subject: Subject,
): boolean {
  const {status} = engine;
  if (status === undefined) return false;
  if (subject.kind === 'adapter') {
    return status.adapters.includes(subject.adapter);
  }
  return status.models.some(
    loaded =>
      loaded.model === subject.model &&
      loaded.version === subject.version &&
      loaded.state === 'ready',
  );
}
