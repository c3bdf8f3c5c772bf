/** Collects bytes that arrive in chunks, in memory that is proportional to their number. */

/** Capacity of an accumulator that holds anything. */
const INITIAL_CAPACITY_BYTES = 1_024;

/**
 * Copies chunks into one buffer that doubles when it is full. A list of the chunks would need
 * more than a hundred bytes for each of them, however short it is.
 */
export class ByteAccumulator {
  private bytes = Buffer.alloc(0);
  private size = 0;

  private constructor() {}

  static create(): ByteAccumulator {
    return new ByteAccumulator();
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  append(chunk: Buffer): void {
    const needed = this.size + chunk.length;
    if (needed > this.bytes.length) {
      const capacity = Math.max(
        needed,
        2 * this.bytes.length,
        INITIAL_CAPACITY_BYTES,
      );
      const grown = Buffer.allocUnsafe(capacity);
      this.bytes.copy(grown, 0, 0, this.size);
      this.bytes = grown;
    }
    chunk.copy(this.bytes, this.size);
    this.size = needed;
  }

  /** Returns the collected bytes and begins anew. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.size);
    this.bytes = Buffer.alloc(0);
    this.size = 0;
    return taken;
  }
}
