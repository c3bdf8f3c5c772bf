/**
 * Stores a failure domain's allocation in the object service, with one writer at a
 * time.
 */

import type {FailureDomain, NodeId} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {VersionConflictError, WriteOutcomeUnknownError} from '@siskinmux/ports';
import type {Allocation} from './allocation.js';
import {EMPTY_ALLOCATION, parseAllocation} from './allocation.js';

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

/** Reads and conditionally writes one allocation, based on its last known version. */
export class AllocationStore {
  private version: ExpectedVersion = 'absent';
  private isVersionKnown = false;
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

  /** Reads the newest allocation. Throws `PlatformUnavailableError`. */
  async read(): Promise<void> {
    const stored = await this.objects.read(this.key);
    this.version = stored?.version ?? 'absent';
    this.lastKnown =
      stored === undefined
        ? EMPTY_ALLOCATION
        : parseAllocation(this.key, stored.value);
    this.isVersionKnown = true;
  }

  /**
   * Throws {@link AllocationLostError} when another node has written. A holder that has
   * nothing to write would not detect this and would serve outdated replicas to nodes.
   */
  async verifyUnchanged(): Promise<void> {
    const stored = await this.objects.read(this.key);
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
    for (let attempt = 1; ; attempt += 1) {
      try {
        this.version = await this.objects.write(this.key, value, this.version);
        break;
      } catch (failure) {
        if (failure instanceof VersionConflictError) {
          await this.confirmOwnWrite(value);
          break;
        }
        const isOutcomeUnknown = failure instanceof WriteOutcomeUnknownError;
        if (!isOutcomeUnknown || attempt >= MAXIMUM_WRITE_ATTEMPTS) {
          // An attempt that is still in flight may take effect after the next read.
          this.isVersionKnown = false;
          throw failure;
        }
      }
    }
    this.lastKnown = next;
    this.isVersionKnown = true;
  }

  /** Accepts a conflict that was caused by an earlier attempt of the same write. */
  private async confirmOwnWrite(value: string): Promise<void> {
    this.isVersionKnown = false;
    const stored = await this.objects.read(this.key);
    if (stored?.value === value) {
      this.version = stored.version;
      return;
    }
    throw this.createLostError(stored);
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
