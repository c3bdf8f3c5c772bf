/** Which software versions of each service have been seen lately. */

import type {EndpointTableChange, SoftwareVersion} from '@siskinmux/endpoints';
import type {Instant, ServiceName, StoreEra} from '@siskinmux/kernel';
import {UNKNOWN_ERA, after, as, later} from '@siskinmux/kernel';
import {MAXIMUM_MEMORY_MILLISECONDS} from './stream_origins.js';

/** Undefined for endpoints that don't state their version. */
export type SeenVersion = SoftwareVersion | undefined;

interface Sighting {
  /** Listed endpoints of the version. */
  count: number;
  /** When the last endpoint of the version was listed; irrelevant while one is. */
  seenAt: Instant;
}

/** Versions of the listed endpoints, and of those that have left lately. */
export class ServiceVersions {
  private readonly byService = new Map<
    ServiceName,
    Map<SeenVersion, Sighting>
  >();

  private readonly recordReads = new Map<ServiceName, Instant>();
  private latestRecordEra = UNKNOWN_ERA;

  private constructor() {}

  static create(): ServiceVersions {
    return new ServiceVersions();
  }

  get services(): Iterable<ServiceName> {
    return this.byService.keys();
  }

  applyEndpointChanges(
    changes: readonly EndpointTableChange[],
    now: Instant,
  ): void {
    for (const {before, now: listed} of changes) {
      if (listed !== undefined)
        this.sightingOf(listed.service, listed.softwareVersion, now).count += 1;
      if (before === undefined) continue;
      const left = this.sightingOf(before.service, before.softwareVersion, now);
      left.count -= 1;
      left.seenAt = now;
    }
  }

  /** When the record in the store was last read that names the service; undefined before. */
  recordReadAt(service: ServiceName): Instant | undefined {
    return this.recordReads.get(service);
  }

  /** The latest era of the store for which a record was read that names all versions. */
  get recordEra(): StoreEra {
    return this.latestRecordEra;
  }

  observeRecordEra(era: StoreEra): void {
    this.latestRecordEra = as<StoreEra>(Math.max(this.latestRecordEra, era));
  }

  /** Adds what the record in the store says, read at `now`: the version was seen at `seenAt`. */
  observe(
    service: ServiceName,
    version: SeenVersion,
    seenAt: Instant,
    now: Instant,
  ): void {
    this.recordReads.set(service, now);
    const sighting = this.sightingOf(service, version, seenAt);
    sighting.seenAt = later(sighting.seenAt, seenAt);
  }

  /** Versions at which streams that callers may still resume can have begun. */
  recent(service: ServiceName, now: Instant): SeenVersion[] {
    const versions =
      this.byService.get(service) ?? new Map<SeenVersion, Sighting>();
    for (const [version, {count, seenAt}] of versions) {
      if (count <= 0 && after(seenAt, MAXIMUM_MEMORY_MILLISECONDS) <= now)
        versions.delete(version);
    }
    return [...versions.keys()];
  }

  /** The recent versions, each with when an endpoint of it was listed last. */
  sightings(
    service: ServiceName,
    now: Instant,
  ): {
    readonly version: SeenVersion;
    readonly seenAt: Instant;
    readonly isListed: boolean;
  }[] {
    return this.recent(service, now).map(version => {
      const {count, seenAt} = this.sightingOf(service, version, now);
      const isListed = count > 0;
      return {version, seenAt: isListed ? now : seenAt, isListed};
    });
  }

  /** Whether streams of several versions may be resumed. */
  isMixed(service: ServiceName, now: Instant): boolean {
    return this.recent(service, now).length > 1;
  }

  /** The only version seen lately; undefined if there are several, or it isn't known. */
  only(service: ServiceName, now: Instant): SeenVersion {
    const [version, ...others] = this.recent(service, now);
    return others.length === 0 ? version : undefined;
  }

  private sightingOf(
    service: ServiceName,
    version: SeenVersion,
    seenAt: Instant,
  ): Sighting {
    const versions =
      this.byService.get(service) ?? new Map<SeenVersion, Sighting>();
    this.byService.set(service, versions);
    const known = versions.get(version) ?? {count: 0, seenAt};
    versions.set(version, known);
    return known;
  }
}
