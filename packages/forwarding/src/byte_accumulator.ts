/** Collects bytes that arrive in chunks, in memory that is proportional to their number. */

import type {BufferMemory} from './buffer_budget.js';
import {UNBOUNDED_MEMORY} from './buffer_budget.js';

/** Capacity of an accumulator that holds anything. */
const INITIAL_CAPACITY_BYTES = 1_024;

/** Length of a block after which another one is begun. */
const BLOCK_BYTES = 65_536;

/**
 * Copies chunks into blocks. A list of the chunks would need more than a hundred bytes for each of
 * them, however short it is; one buffer that doubles would leave as much behind for the collector
 * as it holds.
 */
export class ByteAccumulator {
  private fullBlocks: Buffer[] = [];
  private block: Buffer = Buffer.alloc(0);
  private usedOfBlock = 0;
  private size = 0;
  private takenBytes = 0;

  private constructor(private readonly memory: BufferMemory) {}

  /** `memory` is what the blocks take their bytes from. */
  static create(memory = UNBOUNDED_MEMORY): ByteAccumulator {
    return new ByteAccumulator(memory);
  }

  /** Number of bytes collected. */
  get length(): number {
    return this.size;
  }

  /** Bytes of memory that the blocks have taken. */
  get capacity(): number {
    return this.takenBytes;
  }

  /** Bytes of memory that the blocks would have taken after a chunk of `bytes`. */
  capacityWith(bytes: number): number {
    const needed = this.usedOfBlock + bytes;
    return this.takenBytes + this.growthFor(needed);
  }

  /** Adds a chunk; false if there is no memory for it, and nothing is added. */
  append(chunk: Buffer): boolean {
    const needed = this.usedOfBlock + chunk.length;
    const growth = this.growthFor(needed);
    if (growth > 0 && !this.memory.grow(growth)) return false;
    this.takenBytes += growth;
    let copied = 0;
    if (needed > this.block.length) {
      if (needed <= BLOCK_BYTES) this.extendBlock(growth);
      else {
        copied = chunk.copy(this.block, this.usedOfBlock);
        this.beginBlock(growth);
      }
    }
    this.usedOfBlock += chunk.copy(this.block, this.usedOfBlock, copied);
    this.size += chunk.length;
    return true;
  }

  /** Returns the collected bytes and begins anew. Their memory stays taken. */
  take(): Buffer {
    const last = this.block.subarray(0, this.usedOfBlock);
    const taken =
      this.fullBlocks.length === 0
        ? last
        : Buffer.concat([...this.fullBlocks, last], this.size);
    this.fullBlocks = [];
    this.block = Buffer.alloc(0);
    this.usedOfBlock = 0;
    this.size = 0;
    this.takenBytes = 0;
    return taken;
  }

  /** Returns the collected bytes, gives their memory back and begins anew. */
  release(): Buffer {
    this.memory.shrink(this.takenBytes);
    return this.take();
  }

  /** Bytes that are missing for a block filled to `needed`, or for the block after it. */
  private growthFor(needed: number): number {
    const {length} = this.block;
    if (needed <= length) return 0;
    if (needed > BLOCK_BYTES) return Math.max(needed - length, BLOCK_BYTES);
    const capacity = Math.max(needed, 2 * length, INITIAL_CAPACITY_BYTES);
    return Math.min(capacity, BLOCK_BYTES) - length;
  }

  private extendBlock(bytes: number): void {
    const extended = Buffer.allocUnsafe(this.block.length + bytes);
    this.block.copy(extended, 0, 0, this.usedOfBlock);
    this.block = extended;
  }

  private beginBlock(bytes: number): void {
    if (this.block.length > 0) this.fullBlocks.push(this.block);
    this.block = Buffer.allocUnsafe(bytes);
    this.usedOfBlock = 0;
  }
}
