/** What an allocator knows when it plans. */

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

/** One engine of the domain. */
export interface EngineView {
  readonly id: EndpointId;
  readonly memoryBytes: number;
  readonly checksFencing: boolean;
  /** The newest report; it may lag. */
  readonly status: EngineStatus | undefined;
  /** When a reservation on it was last released, or the allocator began. */
  readonly releasedAt: Instant;
  /** The engine or its host said that it goes away. */
  readonly isLeaving: boolean;
  /** The engine answered lately. */
  readonly isReachable: boolean;
  /** The platform no longer lists its host, and it does not answer. */
  readonly isHostGone: boolean;
}

/** What all nodes together want of one subject. */
export interface Demand {
  readonly subject: Subject;
  readonly waiting: number;
  readonly inFlight: number;
  readonly earliestDeadline: Instant | undefined;
}

/** The allocator's surroundings at one instant. */
export interface PlanInput {
  readonly now: Instant;
  readonly node: NodeId;
  /** When this allocator began; before that it has told nobody anything. */
  readonly startedAt: Instant;
  readonly failureDomain: FailureDomain;
  readonly declarations: Declarations;
  readonly engines: ReadonlyMap<EndpointId, EngineView>;
  readonly demands: readonly Demand[];
  /** Until when an idle model is worth keeping. */
  readonly keepUntil: (model: ModelName) => Instant;
  readonly isNodeGone: (node: NodeId) => boolean;
  /** When a node asked last that has not asked since an instant. */
  readonly lastExchangeBefore: (instant: Instant) => Instant | undefined;
  /** Whether this process has sent the order with this number. */
  readonly hasSentOrder: (number: FencingNumber) => boolean;
  /** Every engine has reported, or had time to: absence means something now. */
  readonly hasInitialReports: boolean;
  /** Loads that the weight store can take now without slowing down. */
  readonly availableLoads: number;
}

const GIBIBYTE = 1024 ** 3;
const MEBIBYTE = 1024 ** 2;

/** Bytes of a number of gibibytes. */
export function fromGibibytes(gibibytes: number): number {
  return Math.round(gibibytes * GIBIBYTE);
}

/** Bytes of a number of mebibytes. */
export function fromMebibytes(mebibytes: number): number {
  return Math.round(mebibytes * MEBIBYTE);
}

/** Memory that a subject needs; undefined when it is not declared any more. */
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

/** Replicas of a model that operators allow in a domain. */
export function replicaLimit(
  declarations: Declarations,
  model: ModelName,
  domain: FailureDomain,
): number {
  return declarations.models[model]?.replicas[domain] ?? 0;
}

/** Where an engine's host caches a model's checkpoint. */
export function cacheTierOf(engine: EngineView, subject: Subject): CacheTier {
  if (subject.kind !== 'model') return 'remote';
  const key = `${subject.model}@${subject.version}`;
  return engine.status?.cached[key] ?? 'remote';
}

/** Whether the engine's newest report shows the subject as ready. */
export function isReportedReady(engine: EngineView, subject: Subject): boolean {
  const {status} = engine;
  if (status === undefined) return false;
  if (subject.kind === 'adapter') {
    return status.adapters.includes(subject.adapter);
  }
  return status.models.some(
    held =>
      held.model === subject.model &&
      held.version === subject.version &&
      held.state === 'ready',
  );
}
