import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {LongResponsePacer} from '../src/long_response_pacer.js';

const PART_BYTES = 65_536;
const RESPONSES = 63;
const SECONDS = 2;
const BYTES_PER_SECOND = 33_554_432;
/** Chunks of one byte in 4,096 bytes, with their framing. */
const CHUNKS_IN_SLICE = 682;
const CHUNKS_PER_SECOND = 131_072;

/** A connection that delivers parts, one for each `deliver`, unless it is paused. */
class Connection {
  private isPaused = false;
  receivedBytes = 0;

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
  }

  deliver(onPart: (bytes: number) => void): void {
    if (this.isPaused) return;
    this.receivedBytes += PART_BYTES;
    onPart(PART_BYTES);
  }
}

describe('long responses to the own calls of a node', () => {
  // Buffers of responses without end were allocated faster than they were collected.
  it('are read at a bounded rate together, and each in its turn', async () => {
    const clock = VirtualClock.create();
    const pacer = LongResponsePacer.create(clock);
    const senders = Array.from({length: RESPONSES}, () => {
      const connection = new Connection();
      return {connection, response: pacer.begin(connection)};
    });
    for (let millisecond = 0; millisecond < SECONDS * 1_000; millisecond += 1) {
      for (const {connection, response} of senders)
        connection.deliver(bytes => response.record(bytes));
      await clock.advance(1);
    }
    const received = senders.map(({connection}) => connection.receivedBytes);
    const total = received.reduce((sum, bytes) => sum + bytes, 0);
    // Each may have two parts more: the short one, and the one after which it is paused.
    const atOnce = RESPONSES * 2 * PART_BYTES;
    expect(total).toBeLessThanOrEqual(BYTES_PER_SECOND * SECONDS + atOnce);
    expect(total).toBeGreaterThan((BYTES_PER_SECOND * SECONDS) / 2);
    expect(Math.max(...received) - Math.min(...received)).toBeLessThanOrEqual(
      2 * PART_BYTES,
    );
  });

  // On a fast machine, chunks of one byte took memory faster than it was collected.
  it('are read at a bounded number of chunks together', async () => {
    const clock = VirtualClock.create();
    const pacer = LongResponsePacer.create(clock);
    let chunks = 0;
    const senders = Array.from({length: RESPONSES}, () => {
      let isPaused = false;
      const response = pacer.begin({
        pause: () => (isPaused = true),
        resume: () => (isPaused = false),
      });
      return () => {
        for (let count = 0; count < CHUNKS_IN_SLICE && !isPaused; count += 1) {
          response.record(1);
          chunks += 1;
        }
      };
    });
    for (let millisecond = 0; millisecond < SECONDS * 1_000; millisecond += 1) {
      for (const deliver of senders) deliver();
      await clock.advance(1);
    }
    const atOnce = RESPONSES * CHUNKS_IN_SLICE;
    expect(chunks).toBeLessThanOrEqual(CHUNKS_PER_SECOND * SECONDS + atOnce);
  });

  it('do not hold short responses back', () => {
    const pacer = LongResponsePacer.create(VirtualClock.create());
    const connection = new Connection();
    for (let count = 0; count < 1_000; count += 1) {
      const response = pacer.begin(connection);
      connection.deliver(bytes => response.record(bytes));
    }
    expect(connection.receivedBytes).toEqual(1_000 * PART_BYTES);
  });
});
