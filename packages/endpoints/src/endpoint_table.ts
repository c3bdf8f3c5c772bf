/** The registered endpoints, kept up to date from the platform's endpoint list. */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {EndpointDescription, Incarnation} from './endpoint.js';

/**
 * How long an endpoint that is missing from the list stays in use after a platform
 * outage. Entries that expired during the outage are registered again within two seconds.
 */
export const REREGISTRATION_GRACE_MILLISECONDS: Milliseconds = 2_200;

/**
 * How long an endpoint that has crashed isn't used, unless it registers its next start before.
 * By then, the platform has removed its entry, or the report of the crash was wrong.
 */
const CRASHED_MILLISECONDS: Milliseconds = 5_000;

/**
 * How long an endpoint that said it leaves isn't used though the platform still lists it as
 * ready. It ends within seconds, or what said so was wrong.
 */
const LEAVING_MILLISECONDS: Milliseconds = 60_000;

/** Bound on the endpoints that have said so; the first one is dropped. */
const MAXIMUM_LEAVING = 2_000;

/** How long the end of a run is remembered; an older copy of the list is some seconds old. */
const ENDED_MILLISECONDS: Milliseconds = 60_000;

/**
 * How long an endpoint isn't used that an older copy lists though its run has ended. Its entry
 * expires within four seconds of silence, during which the store may return once more.
 */
const ENDED_IN_COPY_MILLISECONDS: Milliseconds = 10_000;

/** Bound on the runs that have ended; the first one is dropped. */
const MAXIMUM_ENDED = 5_000;

/** One change of the platform's endpoint list. */
export interface EndpointChange {
  readonly id: EndpointId;
  /** Undefined when the entry was removed, or doesn't describe a usable endpoint. */
  readonly description: EndpointDescription | undefined;
  readonly isRemoved: boolean;
}

/** A change of the table: an endpoint was added, updated or removed. */
export interface EndpointTableChange {
  readonly id: EndpointId;
  /** Undefined when the endpoint was added. */
  readonly before: EndpointDescription | undefined;
  /** The description from now on; undefined when the endpoint was removed. */
  readonly now: EndpointDescription | undefined;
}

/** The registered endpoints, indexed by id and by service. */
export class EndpointTable {
  private readonly byId = new Map<EndpointId, EndpointDescription>();
  /** The endpoints as the platform lists them, without what they have said themselves. */
  private readonly entries = new Map<EndpointId, EndpointDescription>();
  private readonly byService = new Map<ServiceName, EndpointDescription[]>();
  /** When to remove endpoints that were missing from the list after an outage. */
  private readonly removalDeadlines = new Map<EndpointId, Instant>();
  /** Endpoints whose listed incarnation has crashed, and when they may be used again. */
  private readonly crashed = new Map<EndpointId, Instant>();

  /** Runs of endpoints that have said that they leave, and when. */
  private readonly leavingSince = new Map<Incarnation, Instant>();

  /** Runs whose entries have been removed or replaced, and until when they are remembered. */
  private readonly ended = new Map<Incarnation, Instant | undefined>();

  /** Endpoints that count as crashed because their run had ended when a copy listed it again. */
  private readonly endedInCopy = new Set<EndpointId>();

  private constructor() {}

  static create(): EndpointTable {
    return new EndpointTable();
  }

  /** All endpoints, including draining ones, without those that have crashed. */
  get running(): EndpointDescription[] {
    return [...this.byId.values()].filter(({id}) => !this.crashed.has(id));
  }

  get size(): number {
    return this.byId.size;
  }

  /** Undefined when no endpoint is registered under the id. */
  get(id: EndpointId): EndpointDescription | undefined {
    return this.byId.get(id);
  }

  /** The endpoint's entry as the platform lists it now; undefined if it is missing. */
  listedEntry(id: EndpointId): EndpointDescription | undefined {
    return this.removalDeadlines.has(id) ? undefined : this.entries.get(id);
  }

  /** Endpoints of a service that accept new requests: neither draining nor crashed ones. */
  availableFor(service: ServiceName): readonly EndpointDescription[] {
    return this.byService.get(service) ?? [];
  }

  /** Endpoints of a service that are registered, also those that accept no requests. */
  registeredFor(service: ServiceName): EndpointDescription[] {
    return [...this.byId.values()].filter(each => each.service === service);
  }

  /**
   * Replaces the content with a complete list. When `keepMissingUntil` is set, endpoints
   * that are missing from the list stay until then, as they may register again.
   */
  replaceAll(
    listed: readonly EndpointDescription[],
    keepMissingUntil: Instant | undefined,
  ): EndpointTableChange[] {
    const present = new Set(listed.map(({id}) => id));
    const changes = listed.flatMap(description =>
      this.put(description.id, description),
    );
    for (const id of [...this.byId.keys()]) {
      if (present.has(id)) continue;
      changes.push(...this.remove(id, keepMissingUntil));
    }
    return changes;
  }

  /**
   * Replaces the content with a list that may be older than what is known, as the store has
   * returned from a copy. Endpoints that drain go on draining. Those of a run that has ended
   * aren't used for a while, unless they write their entries again.
   */
  replaceByOlder(
    listed: readonly EndpointDescription[],
    keepMissingUntil: Instant,
    now: Instant,
  ): EndpointTableChange[] {
    for (const {incarnation, isDraining} of this.byId.values())
      if (isDraining) this.addLeaving(incarnation, now);
    // Of two runs under one id, the one that hasn't ended is kept like a missing endpoint.
    const usable = listed.filter(
      ({id, incarnation}) =>
        !this.ended.has(incarnation) ||
        (this.byId.get(id)?.incarnation ?? incarnation) === incarnation,
    );
    const ended = usable.filter(
      ({id, incarnation}) =>
        this.ended.has(incarnation) &&
        (!this.byId.has(id) || this.endedInCopy.has(id)),
    );
    const changes = this.replaceAll(usable, keepMissingUntil);
    for (const {id, service} of ended) {
      this.crashed.set(id, after(now, ENDED_IN_COPY_MILLISECONDS));
      this.endedInCopy.add(id);
      this.updateServiceIndex(service);
    }
    return changes;
  }

  /** Applies changes in order; `keepMissingUntil` works as in {@link replaceAll}. */
  apply(
    changes: readonly EndpointChange[],
    keepMissingUntil: Instant | undefined,
  ): EndpointTableChange[] {
    return changes.flatMap(({id, description, isRemoved}) => {
      if (isRemoved) return this.remove(id, keepMissingUntil);
      if (this.endedInCopy.delete(id)) this.crashed.delete(id);
      if (description !== undefined) this.ended.delete(description.incarnation);
      return this.put(id, description);
    });
  }

  /** Runs of endpoints that have said that they leave. */
  get leaving(): {incarnation: Incarnation; saidAt: Instant}[] {
    return [...this.leavingSince].map(([incarnation, saidAt]) => ({
      incarnation,
      saidAt,
    }));
  }

  /**
   * Records that an endpoint itself has said that it leaves, which its entry may show later:
   * it drains from now on. Returns undefined if that was known or is long ago, otherwise the
   * changes, none if the endpoint isn't listed yet.
   */
  recordLeaving(
    incarnation: Incarnation,
    saidAt: Instant,
    now: Instant,
  ): EndpointTableChange[] | undefined {
    if (this.leavingSince.has(incarnation)) return undefined;
    if (now >= after(saidAt, LEAVING_MILLISECONDS)) return undefined;
    this.addLeaving(incarnation, saidAt);
    const endpoint = [...this.byId.values()].find(
      listed => listed.incarnation === incarnation,
    );
    return endpoint === undefined || endpoint.isDraining
      ? []
      : this.put(endpoint.id, endpoint);
  }

  /** Whether the listed incarnation of an endpoint has crashed. */
  hasCrashed(id: EndpointId): boolean {
    return this.crashed.has(id);
  }

  /**
   * Takes an endpoint out of use whose incarnation has crashed; the platform's list shows it
   * seconds later. Returns the endpoint if it was in use.
   */
  recordCrash(
    incarnation: Incarnation,
    now: Instant,
  ): EndpointDescription | undefined {
    const endpoint = [...this.byId.values()].find(
      listed => listed.incarnation === incarnation,
    );
    if (endpoint === undefined || this.crashed.has(endpoint.id))
      return undefined;
    this.crashed.set(endpoint.id, after(now, CRASHED_MILLISECONDS));
    this.updateServiceIndex(endpoint.service);
    return endpoint;
  }

  /**
   * Removes endpoints that did not register again in time, and ends the effect of crashes, and
   * that of leaving on endpoints that the platform lists as ready long after. What the platform
   * acknowledged before `knownUntil` is contained in this table; an endpoint is missing for too
   * long only if that is after its deadline.
   */
  expire(now: Instant, knownUntil: Instant = now): EndpointTableChange[] {
    const changes = this.expireLeaving(now);
    this.expireEnded(now);
    for (const [id, deadline] of this.crashed) {
      const endpoint = this.byId.get(id);
      if (deadline > now || endpoint === undefined) continue;
      this.crashed.delete(id);
      this.endedInCopy.delete(id);
      this.updateServiceIndex(endpoint.service);
      changes.push({id, before: endpoint, now: endpoint});
    }
    for (const [id, deadline] of this.removalDeadlines) {
      if (deadline > knownUntil) continue;
      const incarnation = this.byId.get(id)?.incarnation;
      changes.push(...this.put(id, undefined));
      // It may still run without reaching the store.
      if (incarnation !== undefined) this.ended.delete(incarnation);
    }
    return changes;
  }

  private addLeaving(incarnation: Incarnation, saidAt: Instant): void {
    this.leavingSince.set(incarnation, saidAt);
    const [first] = this.leavingSince.keys();
    if (this.leavingSince.size > MAXIMUM_LEAVING && first !== undefined)
      this.leavingSince.delete(first);
  }

  private expireLeaving(now: Instant): EndpointTableChange[] {
    const ended = [...this.leavingSince].filter(
      ([, saidAt]) => now >= after(saidAt, LEAVING_MILLISECONDS),
    );
    return ended.flatMap(([incarnation]) => {
      this.leavingSince.delete(incarnation);
      const entry = [...this.byId.keys()]
        .map(id => this.entries.get(id))
        .find(listed => listed?.incarnation === incarnation);
      return entry === undefined ? [] : this.put(entry.id, entry);
    });
  }

  /** Removes an endpoint at once that drains or has ended, as it won't register again. */
  private remove(
    id: EndpointId,
    keepMissingUntil: Instant | undefined,
  ): EndpointTableChange[] {
    const known = this.byId.get(id);
    const isRemovedNow =
      keepMissingUntil === undefined ||
      known === undefined ||
      known.isDraining ||
      this.endedInCopy.has(id);
    if (isRemovedNow) return this.put(id, undefined);
    this.removalDeadlines.set(id, keepMissingUntil);
    return [];
  }

  private put(
    id: EndpointId,
    description: EndpointDescription | undefined,
  ): EndpointTableChange[] {
    this.removalDeadlines.delete(id);
    const before = this.byId.get(id);
    if (before === undefined && description === undefined) return [];
    if (before?.incarnation !== description?.incarnation) {
      this.crashed.delete(id);
      this.endedInCopy.delete(id);
      if (before !== undefined) this.ended.set(before.incarnation, undefined);
    }
    if (
      before !== undefined &&
      description !== undefined &&
      before.incarnation !== description.incarnation
    ) {
      this.leavingSince.delete(before.incarnation);
    }
    const now = this.withOwnStatement(description);
    if (now === undefined || description === undefined) {
      this.byId.delete(id);
      this.entries.delete(id);
    } else {
      this.byId.set(id, now);
      this.entries.set(id, description);
    }
    this.updateServiceIndex(before?.service);
    this.updateServiceIndex(now?.service);
    return [{id, before, now}];
  }

  /** Sets the deadlines of runs that have ended since the last call. */
  private expireEnded(now: Instant): void {
    for (const [incarnation, until] of this.ended) {
      if (until === undefined)
        this.ended.set(incarnation, after(now, ENDED_MILLISECONDS));
      else if (until <= now) this.ended.delete(incarnation);
      if (this.ended.size > MAXIMUM_ENDED) this.ended.delete(incarnation);
    }
  }

  /** An endpoint that has said it leaves drains, whatever its entry says. */
  private withOwnStatement(
    description: EndpointDescription | undefined,
  ): EndpointDescription | undefined {
    return description !== undefined &&
      this.leavingSince.has(description.incarnation)
      ? {...description, isDraining: true}
      : description;
  }

  private updateServiceIndex(service: ServiceName | undefined): void {
    if (service === undefined) return;
    this.byService.set(
      service,
      [...this.byId.values()].filter(
        endpoint =>
          endpoint.service === service &&
          !endpoint.isDraining &&
          !this.crashed.has(endpoint.id),
      ),
    );
  }
}
