/** The endpoints that exist, as the platform's list shows them. */

import type {
  EndpointId,
  Instant,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import type {EndpointDescription} from './endpoint.js';

/**
 * How long after the return of the platform an endpoint that is missing from the list
 * stays in use. Entries that lapsed meanwhile are written again within two seconds.
 */
export const REAPPEARANCE_MILLISECONDS: Milliseconds = 2_200;

/** One change of the list. */
export interface EndpointChange {
  readonly id: EndpointId;
  /** Undefined when the entry was removed, or names no endpoint that can be used. */
  readonly description: EndpointDescription | undefined;
  readonly isRemoved: boolean;
}

/** What changed, for those who follow the table. */
export interface TableChange {
  readonly id: EndpointId;
  readonly before: EndpointDescription | undefined;
  readonly now: EndpointDescription | undefined;
}

/** The endpoints known now. */
export class EndpointTable {
  private readonly byId = new Map<EndpointId, EndpointDescription>();
  private readonly byService = new Map<ServiceName, EndpointDescription[]>();
  /** Endpoints that were missing after an outage, until this instant. */
  private readonly missingUntil = new Map<EndpointId, Instant>();

  private constructor() {}

  static create(): EndpointTable {
    return new EndpointTable();
  }

  /** Every endpoint, draining ones included. */
  get all(): Iterable<EndpointDescription> {
    return this.byId.values();
  }

  get size(): number {
    return this.byId.size;
  }

  /** One endpoint, if it exists. */
  get(id: EndpointId): EndpointDescription | undefined {
    return this.byId.get(id);
  }

  /** Endpoints of a service that take new work. */
  usable(service: ServiceName): readonly EndpointDescription[] {
    return this.byService.get(service) ?? [];
  }

  /**
   * Takes over a whole list. Endpoints that it lacks stay until `keepMissingUntil`,
   * if that is set: they may register again.
   */
  replaceAll(
    listed: readonly EndpointDescription[],
    keepMissingUntil: Instant | undefined,
  ): TableChange[] {
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

  /** Takes over changes in their order; `keepMissingUntil` as in {@link replaceAll}. */
  apply(
    changes: readonly EndpointChange[],
    keepMissingUntil: Instant | undefined,
  ): TableChange[] {
    return changes.flatMap(({id, description, isRemoved}) =>
      isRemoved ? this.remove(id, keepMissingUntil) : this.put(id, description),
    );
  }

  /** Drops endpoints that did not register again in time. */
  expire(now: Instant): TableChange[] {
    const changes: TableChange[] = [];
    for (const [id, until] of this.missingUntil) {
      if (until <= now) changes.push(...this.put(id, undefined));
    }
    return changes;
  }

  /** An endpoint that had announced its leaving is not waited for. */
  private remove(
    id: EndpointId,
    keepMissingUntil: Instant | undefined,
  ): TableChange[] {
    const known = this.byId.get(id);
    const isLost =
      keepMissingUntil === undefined || known === undefined || known.isDraining;
    if (isLost) return this.put(id, undefined);
    this.missingUntil.set(id, keepMissingUntil);
    return [];
  }

  private put(
    id: EndpointId,
    description: EndpointDescription | undefined,
  ): TableChange[] {
    this.missingUntil.delete(id);
    const before = this.byId.get(id);
    if (before === undefined && description === undefined) return [];
    if (description === undefined) this.byId.delete(id);
    else this.byId.set(id, description);
    this.index(before?.service);
    this.index(description?.service);
    return [{id, before, now: description}];
  }

  private index(service: ServiceName | undefined): void {
    if (service === undefined) return;
    this.byService.set(
      service,
      [...this.byId.values()].filter(
        endpoint => endpoint.service === service && !endpoint.isDraining,
      ),
    );
  }
}
