import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import type {ReceiveMeter} from '../src/index.js';
import {ReceiveScheduler} from '../src/index.js';

const QUOTA = 512;
const SECOND_MILLISECONDS = 1_000;

/** A connection that has short chunks for as long as it isn't paused. */
class Sender {
  isPaused = false;
  received = 0;
  readonly resumedAt: number[] = [];
  private readonly meter: ReceiveMeter;

  constructor(
    scheduler: ReceiveScheduler,
    private readonly clock: VirtualClock,
    private readonly chunksPerRead: number,
  ) {
    this.meter = scheduler.createMeter({
      pause: () => {
        this.isPaused = true;
      },
      resume: () => {
        this.isPaused = false;
        this.resumedAt.push(clock.now());
        this.deliver(chunksPerRead);
      },
    });
  }

  /** Delivers chunks in one turn, those of one read even if it is paused meanwhile. */
  deliver(count = this.chunksPerRead, bytes = 1): void {
    for (let index = 0; index < count; index += 1) {
      this.received += 1;
      this.meter.record(bytes);
    }
  }

  end(): void {
    this.meter.end();
  }

  get resumedCount(): number {
    return this.resumedAt.filter(at => at <= this.clock.now()).length;
  }
}

function createWorld(processorShare = 1) {
  const clock = VirtualClock.create();
  const turns: (() => void)[] = [];
  const scheduler = ReceiveScheduler.create({
    clock,
    processorShare,
    onNextTurn: callback => turns.push(callback),
  });
  const nextTurn = (): void => {
    for (const callback of turns.splice(0)) callback();
  };
  return {clock, scheduler, nextTurn};
}

describe('receive scheduler', () => {
  it('never pauses a connection within its quota, however long it goes on', () => {
    const {clock, scheduler, nextTurn} = createWorld();
    const sender = new Sender(scheduler, clock, QUOTA - 1);
    for (let turn = 0; turn < 100; turn += 1) {
      sender.deliver();
      nextTurn();
    }
    expect(sender.isPaused).toEqual(false);
  });

  it('never pauses a connection that delivers less than 64 KiB of long chunks a turn, however long it goes on', () => {
    const {clock, scheduler, nextTurn} = createWorld();
    const sender = new Sender(scheduler, clock, 1);
    for (let turn = 0; turn < 100; turn += 1) {
      sender.deliver(255, 256);
      nextTurn();
    }
    expect(sender.isPaused).toEqual(false);
  });

  // What sockets had read was collected so late that 200 senders took 50 MB more than the bound.
  for (const count of [1, 4, 200]) {
    it(`takes no more than 32 MiB a second from ${count} connections that always have more`, async () => {
      const {clock, scheduler} = createWorld();
      let bytes = 0;
      const senders = Array.from({length: count}, () => {
        const deliver = (): void => {
          bytes += 65_536;
          meter.record(65_536);
        };
        const meter: ReceiveMeter = scheduler.createMeter({
          pause: () => {},
          resume: deliver,
        });
        return deliver;
      });
      for (const deliver of senders) deliver();
      const before = bytes;
      await clock.advance(20 * SECOND_MILLISECONDS);
      const most = 20 * 33_554_432 + 2 * 65_536;
      expect(bytes - before).toBeLessThanOrEqual(most);
      expect(bytes - before).toBeGreaterThan(most / 2);
    });
  }

  // One connection took most of a core, and the requests of others waited for seconds.
  for (const count of [1, 4, 64]) {
    it(`takes no more than 100 short chunks a millisecond from ${count} connections that always have more`, async () => {
      for (const chunksPerRead of [QUOTA, 11_000]) {
        const {clock, scheduler} = createWorld();
        const senders = Array.from(
          {length: count},
          () => new Sender(scheduler, clock, chunksPerRead),
        );
        for (const sender of senders) sender.deliver();
        const before = senders.reduce((sum, {received}) => sum + received, 0);
        await clock.advance(20 * SECOND_MILLISECONDS);
        const all = senders.reduce((sum, {received}) => sum + received, 0);
        // The read that begins at the end of the time counts whole.
        const most = 20 * SECOND_MILLISECONDS * 100 + chunksPerRead;
        expect(all - before).toBeLessThanOrEqual(most);
        expect(all - before).toBeGreaterThan(most / 2);
      }
    });
  }

  it('takes less with less of a processor', async () => {
    const {clock, scheduler} = createWorld(0.25);
    const sender = new Sender(scheduler, clock, QUOTA);
    sender.deliver();
    await clock.advance(SECOND_MILLISECONDS);
    expect(sender.received).toBeLessThanOrEqual(25_000 + 2 * QUOTA);
  });

  it('resumes the waiting connections in turn', async () => {
    const {clock, scheduler} = createWorld();
    const senders = Array.from(
      {length: 8},
      () => new Sender(scheduler, clock, QUOTA),
    );
    for (const sender of senders) sender.deliver();
    await clock.advance(SECOND_MILLISECONDS);
    const counts = senders.map(({resumedCount}) => resumedCount);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
  });

  it('does not wait for a connection that has ended', async () => {
    const {clock, scheduler} = createWorld();
    const [first, second] = [1, 2].map(
      () => new Sender(scheduler, clock, QUOTA),
    );
    first?.deliver();
    second?.deliver();
    first?.end();
    await clock.advance(1);
    expect(first?.resumedCount).toEqual(0);
    expect((second?.resumedCount ?? 0) > 0).toEqual(true);
  });
});
