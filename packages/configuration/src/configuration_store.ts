/**
 * The numbered configuration in the object service. The head object's conditional
 * write gives all patches one order; a write whose answer was lost is resolved by
 * reading back and looking for one's own patch id.
 */

import type {Clock, ConfigurationNumber} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, as} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  StoredObjectInvalidError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import type {Declarations, Patch} from '@siskinmux/declarations';
import {
  applyChanges,
  describeChange,
  emptyDeclarations,
} from '@siskinmux/declarations';
import type {NumberedConfiguration} from './configuration_state.js';
import type {AcceptedPatch, ConfigurationHead} from './stored_configuration.js';
import {
  EMPTY_HEAD,
  HEAD_KEY,
  HISTORY_PREFIX,
  numberOf,
  parseHead,
  parseHistory,
  parseSnapshot,
  snapshotKey,
} from './stored_configuration.js';

/** Size of the head from which its patches move to history and a snapshot. */
const COMPACT_HEAD_BYTES = 200_000;

/** Size of one part of a snapshot. */
const SNAPSHOT_PART_BYTES = 500_000;

/** Tries to read a head whose snapshot is replaced at the same time. */
const SNAPSHOT_READ_ATTEMPTS = 3;

/** Tries to write a head whose answers are lost or that others write too. */
const APPLY_ATTEMPTS = 4;

/** A patch was made against a number that is no longer the newest. */
export class ConfigurationConflictError extends SiskinmuxError {
  constructor(
    readonly basedOn: number,
    readonly currentNumber: number,
    /** What others changed since, one line each. */
    readonly theirs: readonly string[],
    /** What the refused patch would have changed, one line each. */
    readonly yours: readonly string[],
  ) {
    super(
      ErrorCode.ConfigurationConflict,
      `The patch is based on ${basedOn}, the newest is ${currentNumber}.`,
    );
  }
}

/** A configuration head as it was read, with its object's version. */
export interface VersionedHead {
  readonly head: ConfigurationHead;
  readonly version: ExpectedVersion;
}

/** Reads and advances the configuration in the object service. */
export class ConfigurationStore {
  private constructor(
    private readonly objects: ObjectService,
    private readonly clock: Clock,
    private readonly createId: () => string,
  ) {}

  static create(options: {
    objects: ObjectService;
    clock: Clock;
    /** Makes unique ids for snapshots. */
    createId: () => string;
  }): ConfigurationStore {
    return new ConfigurationStore(
      options.objects,
      options.clock,
      options.createId,
    );
  }

  /** The newest head; the empty one before the first patch. */
  async readHead(): Promise<VersionedHead> {
    return this.decodeHead(await this.objects.read(HEAD_KEY));
  }

  /** A head from an object that was read or watched. */
  decodeHead(stored: StoredObject | undefined): VersionedHead {
    if (stored === undefined) return {head: EMPTY_HEAD, version: 'absent'};
    return {head: parseHead(stored.value), version: stored.version};
  }

  /** The whole newest configuration. */
  async readCurrent(): Promise<NumberedConfiguration> {
    for (let attempt = 1; ; attempt += 1) {
      const {head} = await this.readHead();
      try {
        return await this.load(head);
      } catch (failure) {
        // A snapshot's parts may be removed between reading the head and them.
        const isLast = attempt >= SNAPSHOT_READ_ATTEMPTS;
        if (isLast || !(failure instanceof StoredObjectInvalidError)) {
          throw failure;
        }
      }
    }
  }

  /** The configuration that a head stands for. */
  async load(head: ConfigurationHead): Promise<NumberedConfiguration> {
    let declarations = await this.loadSnapshot(head);
    for (const patch of head.patches) {
      declarations = applyChanges(declarations, patch.changes);
    }
    return {number: numberOf(head), declarations};
  }

  /**
   * Submits a patch. Resolves with its number once it is accepted, also when it
   * was accepted before and only the answer was lost. Throws
   * {@link ConfigurationConflictError}, `DeclarationError`, or, when nothing is
   * known, `PlatformUnavailableError` or `WriteOutcomeUnknownError`; the same
   * patch may then be submitted again.
   */
  submitPatch(patch: Patch): Promise<ConfigurationNumber> {
    return this.applyAttempt(patch, 1);
  }

  private async applyAttempt(
    patch: Patch,
    attempt: number,
  ): Promise<ConfigurationNumber> {
    const read = await this.readHead();
    const mine = acceptedIn(read.head, patch.id);
    if (mine !== undefined) return mine;
    if (read.head.number !== patch.based_on) {
      return this.resolveOlder(read.head, patch);
    }
    const current = await this.load(read.head);
    // Checks the whole before anything is written.
    applyChanges(current.declarations, patch.changes);
    const head = await this.withPatch(read.head, patch, current.declarations);
    return this.writeHead(head, read.version, patch, attempt);
  }

  /** Patches from `first` on, oldest first, at most `count`. */
  async history(first: number, count: number): Promise<AcceptedPatch[]> {
    const {head} = await this.readHead();
    const found: AcceptedPatch[] = [];
    for (const [index, start] of head.history.entries()) {
      const end = head.history[index + 1] ?? head.snapshot_number + 1;
      if (end <= first || found.length >= count) continue;
      const key = `${HISTORY_PREFIX}${start}`;
      const stored = await this.objects.read(key);
      if (stored !== undefined) found.push(...parseHistory(key, stored.value));
    }
    found.push(...head.patches);
    return found.filter(patch => patch.number >= first).slice(0, count);
  }

  /** The configuration as it was at `number`, rebuilt from history. */
  async readAt(number: number): Promise<NumberedConfiguration> {
    let declarations = emptyDeclarations();
    for (const patch of await this.history(1, number)) {
      declarations = applyChanges(declarations, patch.changes);
    }
    return {number: as<ConfigurationNumber>(number), declarations};
  }

  private async loadSnapshot(head: ConfigurationHead): Promise<Declarations> {
    if (head.snapshot_number === 0) return emptyDeclarations();
    const parts: string[] = [];
    for (let part = 0; part < head.snapshot_parts; part += 1) {
      const key = snapshotKey(head, part);
      const stored = await this.objects.read(key);
      if (stored === undefined) {
        throw new StoredObjectInvalidError(key, 'missing');
      }
      parts.push(stored.value);
    }
    return parseSnapshot(snapshotKey(head, 0), parts.join(''));
  }

  /** A patch against an older number may be one's own, accepted long ago. */
  private async resolveOlder(
    head: ConfigurationHead,
    patch: Patch,
  ): Promise<ConfigurationNumber> {
    const since = await this.history(
      patch.based_on + 1,
      head.number - patch.based_on,
    );
    const mine = since.find(accepted => accepted.id === patch.id);
    if (mine !== undefined) return as<ConfigurationNumber>(mine.number);
    const base = await this.readAt(patch.based_on);
    throw new ConfigurationConflictError(
      patch.based_on,
      head.number,
      describeAccepted(base.declarations, since),
      patch.changes.map(change => describeChange(base.declarations, change)),
    );
  }

  private async withPatch(
    head: ConfigurationHead,
    patch: Patch,
    current: Declarations,
  ): Promise<ConfigurationHead> {
    const accepted: AcceptedPatch = {
      number: head.number + 1,
      id: patch.id,
      author: patch.author,
      reason: patch.reason,
      accepted_at: this.clock.now(),
      changes: patch.changes,
    };
    const base =
      JSON.stringify(head.patches).length > COMPACT_HEAD_BYTES
        ? await this.compact(head, current)
        : head;
    return {
      ...base,
      number: accepted.number,
      patches: [...base.patches, accepted],
    };
  }

  /** Writes what a smaller head will point to; unreferenced until the head is written. */
  private async compact(
    head: ConfigurationHead,
    current: Declarations,
  ): Promise<ConfigurationHead> {
    const first = head.patches[0]?.number ?? head.number;
    const compacted: ConfigurationHead = {
      number: head.number,
      snapshot_number: head.number,
      snapshot_id: this.createId(),
      snapshot_parts: 0,
      history: [...head.history, first],
      patches: [],
    };
    // Accepted patches never change, so a history object that stands there holds the same.
    await this.writeOnce(
      `${HISTORY_PREFIX}${first}`,
      JSON.stringify(head.patches),
    );
    const whole = JSON.stringify(current);
    let parts = 0;
    for (let start = 0; start < whole.length; start += SNAPSHOT_PART_BYTES) {
      const part = whole.slice(start, start + SNAPSHOT_PART_BYTES);
      await this.writeOnce(snapshotKey(compacted, parts), part);
      parts += 1;
    }
    return {...compacted, snapshot_parts: parts};
  }

  private async writeOnce(key: string, value: string): Promise<void> {
    try {
      await this.objects.write(key, value, 'absent');
    } catch (failure) {
      if (failure instanceof VersionConflictError) return;
      if (!(failure instanceof WriteOutcomeUnknownError)) throw failure;
      const stored = await this.objects.read(key);
      if (stored?.value !== value) throw failure;
    }
  }

  private async writeHead(
    head: ConfigurationHead,
    expected: ExpectedVersion,
    patch: Patch,
    attempt: number,
  ): Promise<ConfigurationNumber> {
    try {
      await this.objects.write(HEAD_KEY, JSON.stringify(head), expected);
      return numberOf(head);
    } catch (failure) {
      const isWorthAnotherLook =
        failure instanceof VersionConflictError ||
        failure instanceof WriteOutcomeUnknownError;
      if (!isWorthAnotherLook || attempt >= APPLY_ATTEMPTS) throw failure;
    }
    // Reading back shows one's own patch, someone else's, or neither. In the last
    // case the same conditional write is sent again: at most one of the two lands.
    return this.applyAttempt(patch, attempt + 1);
  }
}

function acceptedIn(
  head: ConfigurationHead,
  id: string,
): ConfigurationNumber | undefined {
  const mine = head.patches.find(patch => patch.id === id);
  return mine === undefined ? undefined : as<ConfigurationNumber>(mine.number);
}

function describeAccepted(
  base: Declarations,
  patches: readonly AcceptedPatch[],
): string[] {
  const lines: string[] = [];
  let declarations = base;
  for (const patch of patches) {
    for (const change of patch.changes) {
      lines.push(
        `${patch.number} by ${patch.author}: ${describeChange(declarations, change)}`,
      );
    }
    declarations = applyChanges(declarations, patch.changes);
  }
  return lines;
}
