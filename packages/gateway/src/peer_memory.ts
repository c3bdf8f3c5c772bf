/** Bounds the memory of what connections between nodes hold. */

/** What one connection holds. */
export interface PeerMemoryHolder {
  /** Sets the bytes that the connection holds now. */
  set(bytes: number): void;
  /** The connection has ended. */
  end(): void;
}

interface Holder {
  bytes: number;
  readonly close: () => void;
}

/**
 * Memory of messages that have not arrived completely, or that their receivers have not read, on
 * all connections together. Above the limit, the connection that holds most is closed: usual
 * messages are short and arrive at once.
 */
export class PeerMemory {
  private readonly holders = new Set<Holder>();
  private held = 0;

  private constructor(private readonly limitBytes: number) {}

  static create(limitBytes: number): PeerMemory {
    return new PeerMemory(limitBytes);
  }

  /** Counts a connection; `close` is called if it has to be closed. */
  createHolder(close: () => void): PeerMemoryHolder {
    const holder: Holder = {bytes: 0, close};
    this.holders.add(holder);
    return {
      set: bytes => {
        if (!this.holders.has(holder)) return;
        this.held += bytes - holder.bytes;
        holder.bytes = bytes;
        while (this.held > this.limitBytes) this.closeLargest();
      },
      end: () => this.remove(holder),
    };
  }

  private remove(holder: Holder): void {
    if (this.holders.delete(holder)) this.held -= holder.bytes;
  }

  private closeLargest(): void {
    let largest: Holder | undefined;
    for (const holder of this.holders)
      if (holder.bytes > (largest?.bytes ?? -1)) largest = holder;
    if (largest === undefined) return;
    this.remove(largest);
    largest.close();
  }
}
