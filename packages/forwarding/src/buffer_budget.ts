/** Bounds the memory of what a process has received and has not passed on yet. */

/** A holder up to this size may use the whole budget. */
const SMALL_HOLDER_BYTES = 65_536;

/** Share of the budget that larger holders may use; the rest is left to small ones. */
const LARGE_HOLDERS_SHARE = 0.75;

/** Share below which a budget that was used up counts as free again. */
const FREE_SHARE = 0.5;

/** Use of a {@link BufferBudget}, in bytes. */
export interface BufferUse {
  readonly heldBytes: number;
  readonly limitBytes: number;
}

/** Options of {@link BufferBudget}. */
export interface BufferBudgetOptions {
  /** Most bytes that all holders have together. */
  readonly limitBytes: number;
  /** A holder gets no more memory. */
  readonly onDenied: () => void;
  /** Holders are denied memory from now on, or the budget is free again. */
  readonly onChange: (isUsedUp: boolean, use: BufferUse) => void;
}

/** Memory that a buffer may take. */
export interface BufferMemory {
  /** Takes `bytes` more; false if they are denied, and nothing is taken. */
  grow(bytes: number): boolean;
  /** Gives `bytes` back. */
  shrink(bytes: number): void;
}

/** Memory without a bound, for buffers that have one of their own. */
export const UNBOUNDED_MEMORY: BufferMemory = {
  grow: () => true,
  shrink: () => {},
};

/**
 * The memory of all buffers of a process together. A holder that is denied more has to refuse its
 * request or to pass on what it has; what others hold is not touched.
 */
export class BufferBudget {
  private held = 0;
  private isUsedUp = false;

  private constructor(private readonly options: BufferBudgetOptions) {}

  static create(options: BufferBudgetOptions): BufferBudget {
    return new BufferBudget(options);
  }

  /** Bytes that all holders have together. */
  get heldBytes(): number {
    return this.held;
  }

  createHolder(): BufferHolder {
    return BufferHolder.create(this);
  }

  /** @internal Whether a holder of so many bytes fits into the budget while there is no other. */
  fits(holderBytes: number): boolean {
    return holderBytes <= this.limitOf(holderBytes);
  }

  /** @internal Takes bytes for a holder that would have `holderBytes` then. */
  take(bytes: number, holderBytes: number): boolean {
    if (this.held + bytes > this.limitOf(holderBytes)) {
      this.options.onDenied();
      this.setUsedUp(true);
      return false;
    }
    this.held += bytes;
    return true;
  }

  /** @internal */
  giveBack(bytes: number): void {
    this.held -= bytes;
    if (this.held <= this.options.limitBytes * FREE_SHARE)
      this.setUsedUp(false);
  }

  /** Most bytes that all holders may have together after one of this size has grown. */
  private limitOf(holderBytes: number): number {
    const {limitBytes} = this.options;
    return holderBytes > SMALL_HOLDER_BYTES
      ? limitBytes * LARGE_HOLDERS_SHARE
      : limitBytes;
  }

  private setUsedUp(isUsedUp: boolean): void {
    if (this.isUsedUp === isUsedUp) return;
    this.isUsedUp = isUsedUp;
    const {limitBytes, onChange} = this.options;
    onChange(isUsedUp, {heldBytes: this.held, limitBytes});
  }
}

/** What one request and its response take of a budget. */
export class BufferHolder implements BufferMemory {
  private bytes = 0;
  private isReleased = false;

  private constructor(private readonly budget: BufferBudget) {}

  /** @internal */
  static create(budget: BufferBudget): BufferHolder {
    return new BufferHolder(budget);
  }

  grow(bytes: number): boolean {
    const total = this.bytes + bytes;
    if (this.isReleased || !this.budget.take(bytes, total)) return false;
    this.bytes = total;
    return true;
  }

  /** Whether it could have so many bytes if there were no other holder. */
  fits(bytes: number): boolean {
    return this.budget.fits(bytes);
  }

  shrink(bytes: number): void {
    const given = Math.min(bytes, this.bytes);
    this.bytes -= given;
    this.budget.giveBack(given);
  }

  /** Gives all bytes back for good; further ones are denied. */
  release(): void {
    this.isReleased = true;
    this.shrink(this.bytes);
  }
}
