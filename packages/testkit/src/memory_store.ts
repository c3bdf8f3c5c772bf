/** An in-memory store in virtual time, with injectable faults. */

import type {Clock, Instant, ObjectVersion, Random} from '@siskinmux/kernel';
import {as, sleepFor} from '@siskinmux/kernel';
import type {
  MetadataChangeBatch,
  MetadataListing,
  MetadataObject,
  MetadataStore,
} from '@siskinmux/ports';
import {
  HistoryGoneError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

const RESPONSE_MILLISECONDS = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_500;

/** Contents and history of the store, shared by the clients of all nodes. */
export class SharedObjects {
  readonly objects = new Map<string, MetadataObject>();
  readonly changes: {
    kind: string;
    object: MetadataObject;
    isRemoved: boolean;
  }[] = [];
  revision = 10;
  compactedBefore = 0;

  put(kind: string, name: string, content: unknown): ObjectVersion {
    this.revision += 1;
    const revision = as<ObjectVersion>(this.revision);
    const object = {name, revision, content};
    this.objects.set(`${kind}/${name}`, object);
    this.changes.push({kind, object, isRemoved: false});
    return revision;
  }

  remove(kind: string, name: string): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    const revision = as<ObjectVersion>(this.revision);
    this.changes.push({kind, object: {...object, revision}, isRemoved: true});
  }
}

/** One node's client of the store. */
export class MemoryStore implements MetadataStore {
  isUnreachable = false;
  /** Share of the writes that are applied without a response. */
  lostWriteResponseShare = 0;
  calls = 0;

  constructor(
    private readonly shared: SharedObjects,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  async list(kind: string): Promise<MetadataListing> {
    await this.call();
    const objects = [...this.shared.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return {objects, revision: as<ObjectVersion>(this.shared.revision)};
  }

  async read(kind: string, name: string): Promise<MetadataObject | undefined> {
    await this.call();
    return this.shared.objects.get(`${kind}/${name}`);
  }

  async watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch> {
    await this.call();
    const matchingChanges = () => {
      if (this.isUnreachable) throw new PlatformUnavailableError(kind);
      if (revision < this.shared.compactedBefore) {
        throw new HistoryGoneError(kind, revision);
      }
      return this.shared.changes.filter(
        change => change.kind === kind && change.object.revision > revision,
      );
    };
    while (matchingChanges().length === 0 && this.clock.now() < waitUntil) {
      await sleepFor(this.clock, 20);
    }
    return {
      changes: matchingChanges(),
      revision: as<ObjectVersion>(this.shared.revision),
    };
  }

  async write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion> {
    await this.call();
    const current = this.shared.objects.get(`${kind}/${name}`);
    if ((current?.revision ?? 'absent') !== expected) {
      throw new VersionConflictError(`${kind}/${name}`, expected);
    }
    const revision = this.shared.put(kind, name, content);
    if (this.random() < this.lostWriteResponseShare) {
      await sleepFor(this.clock, CALL_TIMEOUT_MILLISECONDS);
      throw new WriteOutcomeUnknownError(`${kind}/${name}`);
    }
    return revision;
  }

  async remove(kind: string, name: string): Promise<void> {
    await this.call();
    this.shared.remove(kind, name);
  }

  private async call(): Promise<void> {
    this.calls += 1;
    const delay = this.isUnreachable
      ? CALL_TIMEOUT_MILLISECONDS
      : RESPONSE_MILLISECONDS;
    await sleepFor(this.clock, delay);
    if (this.isUnreachable) throw new PlatformUnavailableError('away');
  }
}
