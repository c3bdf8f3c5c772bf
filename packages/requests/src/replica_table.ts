/** What the allocators last said of the replicas that this node may use. */

import type {
  AdapterName,
  Clock,
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  ModelName,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {ExchangeResponse, ReplicaView} from '@siskinmux/allocation';

/**
 * Age from which an answer is used only if its allocator can't be reached. Shorter
 * than the notice that allocators give before they unload.
 */
const ANSWER_LIFETIME_MILLISECONDS: Milliseconds = 2_000;

/**
 * Age up to which an answer is used while its allocator can't be reached. An engine
 * that begins to leave gives 5 s of notice, and an allocator waits as long before it
 * unloads what a silent node may still use.
 */
const UNREACHABLE_LIFETIME_MILLISECONDS: Milliseconds = 4_000;

interface HeardAnswer {
  readonly answer: ExchangeResponse;
  readonly heardAt: Instant;
}

/** A replica with its domain. */
export interface KnownReplica extends ReplicaView {
  readonly failureDomain: FailureDomain;
}

/** Replicas by failure domain and model. */
export class ReplicaTable {
  private readonly answers = new Map<string, HeardAnswer>();
  private readonly unreachable = new Set<FailureDomain>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): ReplicaTable {
    return new ReplicaTable(options.clock);
  }

  /** Takes an allocator's answer for the models that were asked about. */
  applyAnswer(answer: ExchangeResponse, models: readonly ModelName[]): void {
    const {failureDomain} = answer;
    this.unreachable.delete(failureDomain);
    const heardAt = this.clock.now();
    for (const model of models) {
      const replicas = answer.replicas.filter(
        replica => replica.subject.model === model,
      );
      const refusals = answer.refusals.filter(
        refusal => refusal.subject.model === model,
      );
      this.answers.set(keyOf(failureDomain, model), {
        answer: {failureDomain, replicas, refusals},
        heardAt,
      });
    }
  }

  /** Notes that a domain's allocator does not answer: what it said last stays in use for a while. */
  noteUnreachable(failureDomain: FailureDomain): void {
    this.unreachable.add(failureDomain);
  }

  /** Whether a domain's allocator did not answer lately. */
  isUnreachable(failureDomain: FailureDomain): boolean {
    return this.unreachable.has(failureDomain);
  }

  /** Replicas of a model in one domain, whatever their version. */
  allReplicas(failureDomain: FailureDomain, model: ModelName): KnownReplica[] {
    return this.views([failureDomain], model).filter(
      ({subject}) => subject.kind === 'model',
    );
  }

  /** Whether a domain's last answer about a model is recent. */
  isFresh(failureDomain: FailureDomain, model: ModelName): boolean {
    const heard = this.answers.get(keyOf(failureDomain, model));
    return heard !== undefined && this.isUsable(heard);
  }

  /** Why a domain has no place for a model; undefined when it has or is not known. */
  refusalReason(failureDomain: FailureDomain, model: ModelName): string | undefined {
    const heard = this.answers.get(keyOf(failureDomain, model));
    return heard?.answer.refusals[0]?.reason;
  }

  /** Replicas of a model at one version, in the given domains. */
  replicas(
    domains: readonly FailureDomain[],
    model: ModelName,
    version: string,
  ): KnownReplica[] {
    return this.views(domains, model).filter(
      ({subject}) => subject.kind === 'model' && subject.version === version,
    );
  }

  /** Engines that hold an adapter. */
  adapterEngines(
    domains: readonly FailureDomain[],
    model: ModelName,
    adapter: AdapterName,
  ): Set<EndpointId> {
    const engines = this.views(domains, model)
      .filter(
        ({subject, state}) =>
          state === 'ready' &&
          subject.kind === 'adapter' &&
          subject.adapter === adapter,
      )
      .map(({engine}) => engine);
    return new Set(engines);
  }

  private views(
    domains: readonly FailureDomain[],
    model: ModelName,
  ): KnownReplica[] {
    return domains.flatMap(failureDomain => {
      const heard = this.answers.get(keyOf(failureDomain, model));
      if (heard === undefined || !this.isUsable(heard)) return [];
      return heard.answer.replicas.map(view => ({...view, failureDomain}));
    });
  }

  private isUsable(heard: HeardAnswer): boolean {
    const lifetime = this.unreachable.has(heard.answer.failureDomain)
      ? UNREACHABLE_LIFETIME_MILLISECONDS
      : ANSWER_LIFETIME_MILLISECONDS;
    const expiresAt = after(heard.heardAt, lifetime);
    return expiresAt > this.clock.now();
  }
}

function keyOf(failureDomain: FailureDomain, model: ModelName): string {
  return `${failureDomain} ${model}`;
}
