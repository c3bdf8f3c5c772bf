import {Readable} from 'node:stream';
import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {ReceiveScheduler, SocketPacer} from '../src/index.js';

const SLICE_BYTES = 4_096;
const READ_BYTES = 65_536;

function createWorld() {
  const clock = VirtualClock.create();
  const pacedAddresses: string[] = [];
  const pacer = SocketPacer.create(
    ReceiveScheduler.create({
      clock,
      onNextTurn: setImmediate,
      processorShare: 1,
    }),
    address => pacedAddresses.push(address),
  );
  let reads = 0;
  const stream = new Readable({
    read: () => {
      reads += 1;
    },
  });
  const meter = pacer.pace(stream as Socket);
  const countReads = (): number => reads;
  return {clock, stream, meter, pacedAddresses, countReads};
}

describe('paced socket', () => {
  it('passes all bytes on in order, in slices, and then the end', async () => {
    const {stream} = createWorld();
    const bytes = Buffer.alloc(READ_BYTES, 'abcdefg');
    const sizes: number[] = [];
    const received: Buffer[] = [];
    stream.on('data', (slice: Buffer) => {
      sizes.push(slice.length);
      received.push(slice);
    });
    const ended = new Promise(resolve => stream.once('end', resolve));
    stream.push(bytes);
    stream.push(null);
    await ended;
    expect(Buffer.concat(received).equals(bytes)).toEqual(true);
    expect(Math.max(...sizes)).toBeLessThanOrEqual(SLICE_BYTES);
  });

  // A read of chunks of one byte was parsed whole, 20 ms without a break.
  it('holds back what follows a slice that exceeds the quota, and the end with it', async () => {
    const {clock, stream, meter, pacedAddresses} = createWorld();
    let received = 0;
    let hasEnded = false;
    // A first read, so that the stream passes on at once what it gets.
    stream.read(0);
    stream.on('data', (slice: Buffer) => {
      received += slice.length;
      for (let index = 0; index < slice.length; index += 1) meter.record(1);
    });
    stream.once('end', () => {
      hasEnded = true;
    });
    const canContinue = stream.push(Buffer.alloc(2 * SLICE_BYTES));
    stream.push(null);
    await new Promise(resolve => setImmediate(resolve));
    expect(canContinue).toEqual(false);
    expect(received).toEqual(SLICE_BYTES);
    expect(hasEnded).toEqual(false);
    await clock.advance(1_000);
    await new Promise(resolve => setImmediate(resolve));
    expect(received).toEqual(2 * SLICE_BYTES);
    expect(hasEnded).toEqual(true);
    // Held back twice, reported once.
    expect(pacedAddresses.length).toEqual(1);
  });

  // Each slice that was passed on made the stream read again, so that what was held grew.
  it('reads no more while it holds bytes back', async () => {
    const {clock, stream, meter, countReads} = createWorld();
    stream.read(0);
    stream.on('data', (slice: Buffer) => {
      for (let index = 0; index < slice.length; index += 1) meter.record(1);
    });
    await new Promise(resolve => setImmediate(resolve));
    const before = countReads();
    stream.push(Buffer.alloc(4 * SLICE_BYTES));
    await clock.advance(1);
    await new Promise(resolve => setImmediate(resolve));
    expect(countReads()).toEqual(before);
    await clock.advance(1_000);
    await new Promise(resolve => setImmediate(resolve));
    expect(countReads() > before).toEqual(true);
  });

  it('passes nothing more on once its connection is stopped', async () => {
    const {clock, stream, meter} = createWorld();
    let received = 0;
    stream.on('data', (slice: Buffer) => {
      received += slice.length;
    });
    meter.stop();
    expect(stream.push(Buffer.alloc(SLICE_BYTES))).toEqual(false);
    await clock.advance(60_000);
    expect(received).toEqual(0);
  });
});
