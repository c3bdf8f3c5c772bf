/**
 * The numbered configuration in the object service. Conditional writes of the head
 * object give all patches one order. When the response to a write is lost, the
 * head is read back and searched for the id of the submitted patch.
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
  toStored,
} from './stored_configuration.js';

/** Size of the patches in the head above which they move to history and a snapshot. */
const COMPACTION_THRESHOLD_BYTES = 200_000;

/** Maximum size of one part of a snapshot. */
const SNAPSHOT_PART_BYTES = 500_000;

/** Attempts to read a head whose snapshot is replaced concurrently. */
const MAXIMUM_SNAPSHOT_READ_ATTEMPTS = 3;

/** Attempts to write the head despite lost responses and concurrent writers. */
const MAXIMUM_SUBMIT_ATTEMPTS = 4;

/** A patch is based on a number that is no longer the current one. */
export class ConfigurationConflictError extends SiskinmuxError {
  constructor(
    readonly basedOn: number,
    readonly currentNumber: number,
    /** Changes accepted since the base of the patch, one line each. */
    readonly theirs: readonly string[],
    /** Changes in the rejected patch, one line each. */
    readonly yours: readonly string[],
  ) {
    super(
      ErrorCode.ConfigurationConflict,
      `The patch is based on ${basedOn}, the newest is ${currentNumber}.`,
    );
  }
}

/** A configuration head with the version of its object. */
export interface VersionedHead {
  readonly head: ConfigurationHead;
  readonly version: ExpectedVersion;
}

/** Reads the configuration in the object service and submits patches to it. */
export class ConfigurationStore {
  private constructor(
    private readonly objects: ObjectService,
    private readonly clock: Clock,
    private readonly createId: () => string,
  ) {}

  static create(options: {
    objects: ObjectService;
    clock: Clock;
    /** Creates unique ids for snapshots. */
    createId: () => string;
  }): ConfigurationStore {
    return new ConfigurationStore(
      options.objects,
      options.clock,
      options.createId,
    );
  }

  /** The current head; an empty one before the first patch. */
  async readHead(): Promise<VersionedHead> {
    return this.decodeHead(await this.objects.read(HEAD_KEY));
  }

  /** Decodes the head from an object that was read or watched. */
  decodeHead(stored: StoredObject | undefined): VersionedHead {
    if (stored === undefined) return {head: EMPTY_HEAD, version: 'absent'};
    return {head: parseHead(stored.value), version: stored.version};
  }

  /** The whole current configuration. */
  async readCurrent(): Promise<NumberedConfiguration> {
    for (let attempt = 1; ; attempt += 1) {
      const {head} = await this.readHead();
      try {
        return await this.load(head);
      } catch (failure) {
        // Snapshot parts may be removed after the head was read.
        const isLast = attempt >= MAXIMUM_SNAPSHOT_READ_ATTEMPTS;
        if (isLast || !(failure instanceof StoredObjectInvalidError)) {
          throw failure;
        }
      }
    }
  }

  /** Loads the configuration of a head: its snapshot with the patches applied. */
  async load(head: ConfigurationHead): Promise<NumberedConfiguration> {
    let declarations = await this.loadSnapshot(head);
    for (const patch of head.patches) {
      declarations = applyChanges(declarations, patch.changes);
    }
    return {number: numberOf(head), declarations};
  }

  /**
   * Submits a patch. Resolves with its number once it is accepted, also when an
   * earlier submission was accepted but its response was lost. Throws
   * {@link ConfigurationConflictError} or `DeclarationError`. When the outcome is
   * unknown, throws `PlatformUnavailableError` or `WriteOutcomeUnknownError`; it is
   * safe to submit the same patch again.
   */
  submitPatch(patch: Patch): Promise<ConfigurationNumber> {
    return this.submitAttempt(patch, 1);
  }

  private async submitAttempt(
    patch: Patch,
    attempt: number,
  ): Promise<ConfigurationNumber> {
    const read = await this.readHead();
    const acceptedNumber = findAcceptedNumber(read.head, patch.id);
    if (acceptedNumber !== undefined) return acceptedNumber;
    if (read.head.number !== patch.based_on) {
      return this.resolveStaleBase(read.head, patch);
    }
    const current = await this.load(read.head);
    // Validates the resulting declarations before anything is written.
    applyChanges(current.declarations, patch.changes);
    const head = await this.appendPatch(read.head, patch, current.declarations);
    return this.writeHead(head, read.version, patch, attempt);
  }

  /** At most `count` patches, starting with number `first`, oldest first. */
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

  /** The configuration at `number`, rebuilt from history. */
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

  /** Resolves a patch with an outdated base: it was accepted before, or it conflicts. */
  private async resolveStaleBase(
    head: ConfigurationHead,
    patch: Patch,
  ): Promise<ConfigurationNumber> {
    const patchesSinceBase = await this.history(
      patch.based_on + 1,
      head.number - patch.based_on,
    );
    const ownPatch = patchesSinceBase.find(
      accepted => accepted.id === patch.id,
    );
    if (ownPatch !== undefined) return as<ConfigurationNumber>(ownPatch.number);
    const base = await this.readAt(patch.based_on);
    throw new ConfigurationConflictError(
      patch.based_on,
      head.number,
      describePatches(base.declarations, patchesSinceBase),
      patch.changes.map(change => describeChange(base.declarations, change)),
    );
  }

  private async appendPatch(
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
      JSON.stringify(head.patches).length > COMPACTION_THRESHOLD_BYTES
        ? await this.compact(head, current)
        : head;
    return {
      ...base,
      number: accepted.number,
      patches: [...base.patches, accepted],
    };
  }

  /**
   * Writes the history and the snapshot that a smaller head refers to. They are not
   * referenced until that head is written.
   */
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
    // Accepted patches never change, so an existing history object has the same content.
    await this.writeOnce(
      `${HISTORY_PREFIX}${first}`,
      JSON.stringify(head.patches),
    );
    const serialized = JSON.stringify(toStored(current));
    let parts = 0;
    for (
      let start = 0;
      start < serialized.length;
      start += SNAPSHOT_PART_BYTES
    ) {
      const part = serialized.slice(start, start + SNAPSHOT_PART_BYTES);
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
      const canRetry =
        failure instanceof VersionConflictError ||
        failure instanceof WriteOutcomeUnknownError;
      if (!canRetry || attempt >= MAXIMUM_SUBMIT_ATTEMPTS) throw failure;
    }
    // The head read back contains this patch, a patch of another writer, or neither. In
    // the last case the same conditional write is repeated; at most one takes effect.
    return this.submitAttempt(patch, attempt + 1);
  }
}

function findAcceptedNumber(
  head: ConfigurationHead,
  id: string,
): ConfigurationNumber | undefined {
  const ownPatch = head.patches.find(patch => patch.id === id);
  return ownPatch === undefined
    ? undefined
    : as<ConfigurationNumber>(ownPatch.number);
}

function describePatches(
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
