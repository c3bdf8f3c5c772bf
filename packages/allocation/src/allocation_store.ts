/**
 * Stores a failure domain's allocation in the object service, with one writer at a
 * time.
 */

import type {FailureDomain, NodeId, ObjectVersion} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  KnownObject,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  VersionConflictError,
  WriteOutcomeUnknownError,
  compareWithKnown,
} from '@siskinmux/ports';
import type {Allocation} from './allocation.js';
import {
  EMPTY_ALLOCATION,
  parseAllocation,
  restoreAllocation,
} from './allocation.js';

/**
 * Attempts at one write while its outcome is unknown; after these the next plan reads
 * the object again.
 */
const MAXIMUM_WRITE_ATTEMPTS = 3;

/** Another node has written the domain's allocation and is its holder now. */
export class AllocationLostError extends SiskinmuxError {
  constructor(
    readonly failureDomain: FailureDomain,
    readonly holder: NodeId | undefined,
  ) {
    super(
      ErrorCode.NotOwner,
      `the allocation of failure domain ${failureDomain} is held by ${holder ?? 'nobody'}`,
    );
  }
}

/**
 * The object service has lost what this node had written: it returned from an older copy. The
 * store has restored what it knows; the next plan writes it.
 */
export class AllocationWentBackError extends SiskinmuxError {
  constructor(
    readonly failureDomain: FailureDomain,
    /** Number of reservations that this node knows. */
    readonly reservations: number,
  ) {
    super(
      ErrorCode.VersionConflict,
      `the allocation of failure domain ${failureDomain} went back; ${reservations} reservations are written again`,
    );
  }
}

/** Reads and conditionally writes one allocation, based on its last known version. */
export class AllocationStore {
  private version: ExpectedVersion = 'absent';
  private isVersionKnown = false;
  /** The object as last read or written; undefined if it was absent, or never read. */
  private known: KnownObject | undefined;
  /** Whether `lastKnown` holds what the stored object lacks. */
  private isRestoring = false;
  private lastKnown: Allocation = EMPTY_ALLOCATION;

  private constructor(
    private readonly objects: ObjectService,
    private readonly failureDomain: FailureDomain,
    private readonly node: NodeId,
  ) {}

  static create(options: {
    objects: ObjectService;
    failureDomain: FailureDomain;
    node: NodeId;
  }): AllocationStore {
    return new AllocationStore(
      options.objects,
      options.failureDomain,
      options.node,
    );
  }

  /** The allocation as last read or written by this store. */
  get current(): Allocation {
    return this.lastKnown;
  }

  /** Whether the allocation was read and no later write has an unknown outcome. */
  get hasKnownVersion(): boolean {
    return this.isVersionKnown;
  }

  /**
   * Reads the newest allocation. Throws `PlatformUnavailableError` and
   * {@link AllocationWentBackError}.
   */
  async read(): Promise<void> {
    const stored = await this.objects.read(this.key);
    this.throwIfWentBack(stored);
    this.version = stored?.version ?? 'absent';
    this.known = stored;
    if (!this.isRestoring) this.lastKnown = this.parse(stored);
    this.isVersionKnown = true;
  }

  /**
   * Throws {@link AllocationLostError} when another node has written. A holder that has
   * nothing to write would not detect this and would serve outdated replicas to nodes.
   * Throws {@link AllocationWentBackError}.
   */
  async verifyUnchanged(): Promise<void> {
    const stored = await this.objects.read(this.key);
    this.throwIfWentBack(stored);
    if ((stored?.version ?? 'absent') === this.version) return;
    this.isVersionKnown = false;
    throw this.createLostError(stored);
  }

  /**
   * Writes `next` if the stored version is unchanged. Throws {@link AllocationLostError}
   * when another node has written, and `WriteOutcomeUnknownError` or
   * `PlatformUnavailableError` when the outcome is unknown: then no order may be sent
   * before {@link read} has returned the stored state.
   */
  async write(next: Allocation): Promise<void> {
    const value = JSON.stringify(next);
    const version = await this.writeValue(value);
    this.version = version;
    this.known = {version, value};
    this.lastKnown = next;
    this.isVersionKnown = true;
    this.isRestoring = false;
  }

  private async writeValue(value: string): Promise<ObjectVersion> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.objects.write(this.key, value, this.version);
      } catch (failure) {
        if (failure instanceof VersionConflictError)
          return this.confirmOwnWrite(value);
        const isOutcomeUnknown = failure instanceof WriteOutcomeUnknownError;
        if (!isOutcomeUnknown || attempt >= MAXIMUM_WRITE_ATTEMPTS) {
          // An attempt that is still in flight may take effect after the next read.
          this.isVersionKnown = false;
          throw failure;
        }
      }
    }
  }

  /** Accepts a conflict that was caused by an earlier attempt of the same write. */
  private async confirmOwnWrite(value: string): Promise<ObjectVersion> {
    this.isVersionKnown = false;
    const stored = await this.objects.read(this.key);
    if (stored?.value === value) return stored.version;
    this.throwIfWentBack(stored);
    throw this.createLostError(stored);
  }

  private throwIfWentBack(stored: StoredObject | undefined): void {
    if (!this.hasGoneBack(stored)) return;
    const restored = restoreAllocation(this.lastKnown, this.parse(stored));
    this.lastKnown = restored;
    this.version = stored?.version ?? 'absent';
    this.known = stored;
    this.isVersionKnown = true;
    this.isRestoring = true;
    throw new AllocationWentBackError(
      this.failureDomain,
      restored.reservations.length,
    );
  }

  private hasGoneBack(stored: StoredObject | undefined): boolean {
    const {known, isRestoring} = this;
    // Another node may continue an older copy before it is restored.
    if (known === undefined) return isRestoring && stored !== undefined;
    const change = compareWithKnown(
      known,
      stored,
      (before, now) => this.numberIn(before) <= this.numberIn(now),
    );
    if (change === 'continued') return isRestoring;
    // Nobody removes an allocation.
    return change !== 'unchanged';
  }

  private numberIn(value: string): number {
    return parseAllocation(this.key, value).nextFencingNumber;
  }

  private parse(stored: StoredObject | undefined): Allocation {
    return stored === undefined
      ? EMPTY_ALLOCATION
      : parseAllocation(this.key, stored.value);
  }

  /**
   * Creates the error that names the node that has written instead. It names none if that
   * was this node, by an earlier write that took effect late.
   */
  private createLostError(
    stored: StoredObject | undefined,
  ): AllocationLostError {
    const holder =
      stored === undefined
        ? undefined
        : parseAllocation(this.key, stored.value).holder;
    return new AllocationLostError(
      this.failureDomain,
      holder === this.node ? undefined : holder,
    );
  }

  private get key(): string {
    return `allocation/${this.failureDomain}`;
  }
}
