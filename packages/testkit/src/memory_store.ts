/** An in-memory store in virtual time, with injectable faults. */

import type {
  Clock,
  Instant,
  ObjectVersion,
  Random,
  StoreEra,
} from '@siskinmux/kernel';
import {
  UNKNOWN_ERA,
  after,
  as,
  eraOf,
  revisionOf,
  sleepFor,
  versionOf,
} from '@siskinmux/kernel';
import type {
  MetadataChangeBatch,
  MetadataListing,
  MetadataObject,
  MetadataStore,
} from '@siskinmux/ports';
import {
  EraTracker,
  HistoryGoneError,
  PlatformUnavailableError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';

const RESPONSE_MILLISECONDS = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_500;
const MAXIMUM_LATENESS_MILLISECONDS = 6_000;

/** An object as the store holds it, with a revision that says nothing without the era. */
interface StoredObject {
  readonly name: string;
  readonly revision: number;
  readonly content: unknown;
}

/** What an older copy of the store holds. */
export interface StoreCopy {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
}

/** Contents and history of the store, shared by the clients of all nodes. */
export class SharedObjects {
  readonly objects = new Map<string, StoredObject>();
  changes: {
    kind: string;
    object: StoredObject;
    isRemoved: boolean;
  }[] = [];
  revision = 10;
  compactedBefore = 0;
  /** Named in all responses. */
  era = UNKNOWN_ERA;
  /** Whether all calls fail. */
  isAway = false;

  copy(): StoreCopy {
    return {revision: this.revision, objects: new Map(this.objects)};
  }

  /** Returns from an older copy: what was written since is lost, and revisions are given out again. */
  comeBack(copy: StoreCopy): void {
    this.era = as<StoreEra>(this.era + 1);
    this.isAway = false;
    this.revision = copy.revision;
    this.compactedBefore = copy.revision;
    this.changes = [];
    this.objects.clear();
    for (const [key, object] of copy.objects) this.objects.set(key, object);
  }

  put(kind: string, name: string, content: unknown): ObjectVersion {
    this.revision += 1;
    const object = {name, revision: this.revision, content};
    this.objects.set(`${kind}/${name}`, object);
    this.changes.push({kind, object, isRemoved: false});
    return versionOf(this.era, this.revision);
  }

  remove(kind: string, name: string): void {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    const {revision} = this;
    this.changes.push({kind, object: {...object, revision}, isRemoved: true});
  }
}

/** One node's client of the store. */
export class MemoryStore implements MetadataStore {
  isUnreachable = false;
  /** Share of the writes that are applied without a response. */
  lostWriteResponseShare = 0;
  /** Share of the writes that are applied seconds later, if their condition still holds. */
  lateWriteShare = 0;
  calls = 0;
  /** Called once, just before a write is applied. */
  beforeNextWrite: (() => void) | undefined;
  /** Called when a response names a later era. */
  onEra: () => void = () => {};
  private readonly eras = EraTracker.create({
    onEra: () => this.onEra(),
    onUnusableEra: () => {},
  });

  constructor(
    private readonly shared: SharedObjects,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  get era(): StoreEra {
    return this.eras.current;
  }

  async list(kind: string): Promise<MetadataListing> {
    const era = await this.call();
    const objects = [...this.shared.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => decode(object, era));
    return {objects, revision: versionOf(era, this.shared.revision)};
  }

  async read(kind: string, name: string): Promise<MetadataObject | undefined> {
    const era = await this.call();
    const object = this.shared.objects.get(`${kind}/${name}`);
    return object && decode(object, era);
  }

  async watch(
    kind: string,
    revision: ObjectVersion,
    waitUntil: Instant,
  ): Promise<MetadataChangeBatch> {
    if (eraOf(revision) < this.era) throw new HistoryGoneError(kind, revision);
    await this.call();
    const from = revisionOf(revision);
    const matchingChanges = () => {
      this.throwIfAway(kind);
      const era = this.observeEra(eraOf(revision));
      const isGone =
        from < this.shared.compactedBefore || from > this.shared.revision;
      if (isGone || era !== eraOf(revision))
        throw new HistoryGoneError(kind, revision);
      return this.shared.changes.filter(
        change => change.kind === kind && change.object.revision > from,
      );
    };
    while (matchingChanges().length === 0 && this.clock.now() < waitUntil) {
      await sleepFor(this.clock, 20);
    }
    const era = eraOf(revision);
    return {
      changes: matchingChanges().map(({object, isRemoved}) => ({
        object: decode(object, era),
        isRemoved,
      })),
      revision: versionOf(era, this.shared.revision),
    };
  }

  async write(
    kind: string,
    name: string,
    content: unknown,
    expected: ObjectVersion | 'absent',
  ): Promise<ObjectVersion> {
    if (expected !== 'absent' && eraOf(expected) < this.era)
      throw new VersionConflictError(`${kind}/${name}`, expected);
    await this.call();
    const apply = (): ObjectVersion => {
      const current = this.shared.objects.get(`${kind}/${name}`);
      const expectedRevision =
        expected === 'absent' ? undefined : revisionOf(expected);
      if (current?.revision !== expectedRevision)
        throw new VersionConflictError(`${kind}/${name}`, expected);
      return this.shared.put(kind, name, content);
    };
    if (this.random() < this.lateWriteShare) {
      this.applyLate(apply);
      await sleepFor(this.clock, CALL_TIMEOUT_MILLISECONDS);
      throw new WriteOutcomeUnknownError(`${kind}/${name}`);
    }
    const {beforeNextWrite} = this;
    this.beforeNextWrite = undefined;
    beforeNextWrite?.();
    const revision = apply();
    this.observeEra(this.shared.era);
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

  private applyLate(apply: () => ObjectVersion): void {
    const delay = this.random() * MAXIMUM_LATENESS_MILLISECONDS;
    this.clock.schedule(after(this.clock.now(), delay), () => {
      try {
        apply();
      } catch (failure) {
        if (!(failure instanceof VersionConflictError)) throw failure;
      }
    });
  }

  /** Resolves with the era that the response names. */
  private async call(): Promise<StoreEra> {
    this.calls += 1;
    const known = this.era;
    const delay = this.isUnreachable
      ? CALL_TIMEOUT_MILLISECONDS
      : RESPONSE_MILLISECONDS;
    await sleepFor(this.clock, delay);
    this.throwIfAway('away');
    return this.observeEra(known);
  }

  private throwIfAway(detail: string): void {
    if (this.isUnreachable || this.shared.isAway)
      throw new PlatformUnavailableError(detail);
  }

  private observeEra(known: StoreEra): StoreEra {
    const {era} = this.shared;
    return this.eras.observe(
      era === UNKNOWN_ERA ? undefined : String(era),
      known,
    );
  }
}

function decode(
  {name, revision, content}: StoredObject,
  era: StoreEra,
): MetadataObject {
  return {name, revision: versionOf(era, revision), content};
}
