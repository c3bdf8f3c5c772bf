/** Collects bytes that arrive in chunks, in memory that is proportional to their number. */

import type {BufferMemory} from './buffer_budget.js';
import {UNBOUNDED_MEMORY} from './buffer_budget.js';

/** Capacity of an accumulator that holds anything. */
const INITIAL_CAPACITY_BYTES = 1_024;

/**
 * Copies chunks into one buffer that doubles when it is full. A list of the chunks would need
 * more than a hundred bytes for each of them, however short it is.
 */
export class ByteAccumulator {
  private bytes = Buffer.alloc(0);
  private size = 0;

  private constructor(private readonly memory: BufferMemory) {}

  /** `memory` is what the buffer takes its bytes from. */
  static create(memory = UNBOUNDED_MEMORY): ByteAccumulator {
    return new ByteAccumulator(memory);
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that the buffer has taken. */
  get capacity(): number {
    return this.bytes.length;
  }

  /** Adds a chunk; false if there is no memory for it, and nothing is added. */
  append(chunk: Buffer): boolean {
    const needed = this.size + chunk.length;
    if (needed > this.bytes.length) {
      const capacity = Math.max(
        needed,
        2 * this.bytes.length,
        INITIAL_CAPACITY_BYTES,
      );
      if (!this.memory.grow(capacity - this.bytes.length)) return false;
      const grown = Buffer.allocUnsafe(capacity);
      this.bytes.copy(grown, 0, 0, this.size);
      this.bytes = grown;
    }
    chunk.copy(this.bytes, this.size);
    this.size = needed;
    return true;
  }

  /** Returns the collected bytes and begins anew. Their memory stays taken. */
  take(): Buffer {
    const taken = this.bytes.subarray(0, this.size);
    this.bytes = Buffer.alloc(0);
    this.size = 0;
    return taken;
  }

  /** Returns the collected bytes, gives their memory back and begins anew. */
  release(): Buffer {
    this.memory.shrink(this.bytes.length);
    return this.take();
  }
}
