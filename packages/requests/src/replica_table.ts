/** Replicas and adapters that this node may use, as last reported by the allocators. */

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
 * Age from which a response is used only while its allocator is unreachable. Shorter than
 * the time for which a replica drains before its allocator unloads it.
 */
const RESPONSE_LIFETIME_MILLISECONDS: Milliseconds = 2_000;

/**
 * Age up to which a response is used while its allocator is unreachable. Shorter than the
 * 5 s of notice that a leaving engine gives, and than the 5 s that an allocator waits before
 * it unloads a replica which an unresponsive node may still use
 * (`STALE_RESPONSE_LIFETIME_MILLISECONDS` in the allocation package).
 */
const UNREACHABLE_LIFETIME_MILLISECONDS: Milliseconds = 4_000;

interface ReceivedResponse {
  readonly response: ExchangeResponse;
  readonly receivedAt: Instant;
}

/** A model replica or an adapter on an engine, with its failure domain. */
export interface KnownReplica extends ReplicaView {
  readonly failureDomain: FailureDomain;
}

/** The last responses of the allocators, by failure domain and model. */
export class ReplicaTable {
  private readonly responses = new Map<string, ReceivedResponse>();
  private readonly unreachable = new Set<FailureDomain>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): ReplicaTable {
    return new ReplicaTable(options.clock);
  }

  /** Replaces the known replicas of the requested models in the allocator's domain. */
  applyResponse(
    response: ExchangeResponse,
    models: readonly ModelName[],
  ): void {
    const {failureDomain} = response;
    this.unreachable.delete(failureDomain);
    const receivedAt = this.clock.now();
    for (const model of models) {
      const replicas = response.replicas.filter(
        replica => replica.subject.model === model,
      );
      const refusals = response.refusals.filter(
        refusal => refusal.subject.model === model,
      );
      this.responses.set(keyOf(failureDomain, model), {
        response: {failureDomain, replicas, refusals},
        receivedAt,
      });
    }
  }

  /** Marks a domain's allocator as unreachable, which extends the use of its last response. */
  markUnreachable(failureDomain: FailureDomain): void {
    this.unreachable.add(failureDomain);
  }

  /** Whether the last exchange with a domain's allocator failed. */
  isUnreachable(failureDomain: FailureDomain): boolean {
    return this.unreachable.has(failureDomain);
  }

  /** Replicas of all versions of a model in one domain. */
  replicasOfModel(
    failureDomain: FailureDomain,
    model: ModelName,
  ): KnownReplica[] {
    return this.usableReplicas([failureDomain], model).filter(
      ({subject}) => subject.kind === 'model',
    );
  }

  /** Whether the domain's last response about a model has not expired. */
  hasFreshResponse(failureDomain: FailureDomain, model: ModelName): boolean {
    const received = this.responses.get(keyOf(failureDomain, model));
    return received !== undefined && this.isUsable(received);
  }

  /**
   * Why a domain can't place a model or one of its adapters; undefined if it can, or if that
   * is unknown.
   */
  placementRefusalReason(
    failureDomain: FailureDomain,
    model: ModelName,
  ): string | undefined {
    const received = this.responses.get(keyOf(failureDomain, model));
    return received?.response.refusals[0]?.reason;
  }

  /** Replicas of one version of a model in the given domains. */
  replicas(
    domains: readonly FailureDomain[],
    model: ModelName,
    version: string,
  ): KnownReplica[] {
    return this.usableReplicas(domains, model).filter(
      ({subject}) => subject.kind === 'model' && subject.version === version,
    );
  }

  /** Engines on which an adapter is ready. */
  enginesWithAdapter(
    domains: readonly FailureDomain[],
    model: ModelName,
    adapter: AdapterName,
  ): Set<EndpointId> {
    const engines = this.usableReplicas(domains, model)
      .filter(
        ({subject, state}) =>
          state === 'ready' &&
          subject.kind === 'adapter' &&
          subject.adapter === adapter,
      )
      .map(({engine}) => engine);
    return new Set(engines);
  }

  private usableReplicas(
    domains: readonly FailureDomain[],
    model: ModelName,
  ): KnownReplica[] {
    return domains.flatMap(failureDomain => {
      const received = this.responses.get(keyOf(failureDomain, model));
      if (received === undefined || !this.isUsable(received)) return [];
      return received.response.replicas.map(replica => ({
        ...replica,
        failureDomain,
      }));
    });
  }

  private isUsable(received: ReceivedResponse): boolean {
    const lifetimeMilliseconds = this.unreachable.has(
      received.response.failureDomain,
    )
      ? UNREACHABLE_LIFETIME_MILLISECONDS
      : RESPONSE_LIFETIME_MILLISECONDS;
    const expiresAt = after(received.receivedAt, lifetimeMilliseconds);
    return expiresAt > this.clock.now();
  }
}

function keyOf(failureDomain: FailureDomain, model: ModelName): string {
  return `${failureDomain} ${model}`;
}
