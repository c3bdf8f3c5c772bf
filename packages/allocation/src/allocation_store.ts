/** A failure domain's allocation in the object service, written by one holder at a time. */

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

/** Tries to find out the fate of one write before it is left to the next plan. */
const WRITE_ATTEMPTS = 3;

/** Another node holds the domain's allocation now. */
export class AllocationLostError extends SiskinmuxError {
  constructor(
    readonly failureDomain: FailureDomain,
    readonly holder: NodeId | undefined,
  ) {
    super(
      ErrorCode.NotOwner,
      `allocation of ${failureDomain}, held by ${holder ?? 'nobody'}`,
    );
  }
}

/** Reads and writes one allocation, remembering the version it stands at. */
export class AllocationStore {
  private version: ExpectedVersion = 'absent';
  private isRead = false;
  private written: Allocation = EMPTY_ALLOCATION;

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

  /** The allocation as it was last read or written here. */
  get current(): Allocation {
    return this.written;
  }

  /** Whether {@link current} was ever read. */
  get hasRead(): boolean {
    return this.isRead;
  }

  /** Reads the newest allocation. Throws `PlatformUnavailableError`. */
  async read(): Promise<void> {
    const stored = await this.objects.read(this.key);
    this.version = stored?.version ?? 'absent';
    this.written =
      stored === undefined
        ? EMPTY_ALLOCATION
        : parseAllocation(this.key, stored.value);
    this.isRead = true;
  }

  /**
   * Throws {@link AllocationLostError} when another node has written. A holder that
   * writes nothing would not notice, and would go on telling nodes what is gone.
   */
  async verify(): Promise<void> {
    const stored = await this.objects.read(this.key);
    if ((stored?.version ?? 'absent') === this.version) return;
    this.isRead = false;
    throw this.lostTo(stored);
  }

  /**
   * Writes `next` if nobody wrote since. Throws {@link AllocationLostError} when
   * another node did, `WriteOutcomeUnknownError` or `PlatformUnavailableError`
   * when the fate is open: then nothing may be ordered, and {@link read} decides.
   */
  async write(next: Allocation): Promise<void> {
    const value = JSON.stringify(next);
    for (let attempt = 1; ; attempt += 1) {
      try {
        this.version = await this.objects.write(this.key, value, this.version);
        break;
      } catch (failure) {
        if (failure instanceof VersionConflictError) {
          await this.recognise(value);
          break;
        }
        const isOpen = failure instanceof WriteOutcomeUnknownError;
        if (!isOpen || attempt >= WRITE_ATTEMPTS) {
          // A try that is still under way may land after the next read.
          this.isRead = false;
          throw failure;
        }
      }
    }
    this.written = next;
    this.isRead = true;
  }

  /** A conflict with one's own earlier try is no conflict. */
  private async recognise(value: string): Promise<void> {
    this.isRead = false;
    const stored = await this.objects.read(this.key);
    if (stored?.value === value) {
      this.version = stored.version;
      return;
    }
    throw this.lostTo(stored);
  }

  /** The failure that names whoever has written instead. */
  private lostTo(stored: StoredObject | undefined): AllocationLostError {
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
