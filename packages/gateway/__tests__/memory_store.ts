/** The platform's store in memory and virtual time, with what can go wrong with a call. */

import type {Clock, Instant, ObjectVersion, Random} from '@siskinmux/kernel';
import {as, sleepFor} from '@siskinmux/kernel';
import type {
  ObjectStore,
  StoreChanges,
  StoreListing,
  StoreObject,
} from '@siskinmux/ports';
import {
  HistoryGoneError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

const ANSWER_MILLISECONDS = 4;
const PATIENCE_MILLISECONDS = 1_500;

/** What all nodes share. */
export class SharedObjects {
  readonly objects = new Map<string, StoreObject>();
  readonly changes: {kind: string; object: StoreObject; isRemoved: boolean}[] =
    [];
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

/** One node's way to the store. */
export class MemoryStore implements ObjectStore {
  isUnreachable = false;
  /** Share of the writes that are carried out and not answered. */
  lostWriteResponseShare = 0;
  calls = 0;

  constructor(
    private readonly shared: SharedObjects,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  async list(kind: string): Promise<StoreListing> {
    await this.answer();
    const objects = [...this.shared.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object);
    return {objects, revision: as<ObjectVersion>(this.shared.revision)};
  }

  async read(kind: string, name: string): Promise<StoreObject | undefined> {
    await this.answer();
    return this.shared.objects.get(`${kind}/${name}`);
  }

  async watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<StoreChanges> {
    await this.answer();
    const found = () => {
      if (this.isUnreachable) throw new PlatformUnavailableError(kind);
      if (revision < this.shared.compactedBefore) {
        throw new HistoryGoneError(kind, revision);
      }
      return this.shared.changes.filter(
        change => change.kind === kind && change.object.revision > revision,
      );
    };
    while (found().length === 0 && this.clock.now() < waitUntil) {
      await sleepFor(this.clock, 20);
    }
    return {
      changes: found(),
      revision: as<ObjectVersion>(this.shared.revision),
    };
  }

  async write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion> {
    await this.answer();
    const known = this.shared.objects.get(`${kind}/${name}`);
    if ((known?.revision ?? 'absent') !== expected) {
      throw new VersionConflictError(`${kind}/${name}`, expected);
    }
    const revision = this.shared.put(kind, name, content);
    if (this.random() < this.lostWriteResponseShare) {
      await sleepFor(this.clock, PATIENCE_MILLISECONDS);
      throw new WriteOutcomeUnknownError(`${kind}/${name}`);
    }
    return revision;
  }

  async remove(kind: string, name: string): Promise<void> {
    await this.answer();
    this.shared.remove(kind, name);
  }

  private async answer(): Promise<void> {
    this.calls += 1;
    const wait = this.isUnreachable
      ? PATIENCE_MILLISECONDS
      : ANSWER_MILLISECONDS;
    await sleepFor(this.clock, wait);
    if (this.isUnreachable) throw new PlatformUnavailableError('away');
  }
}
