import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ObjectService} from '@siskinmux/ports';
import {PlatformBusyError, PlatformUnavailableError} from '@siskinmux/ports';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {PlatformClient} from '../src/index.js';

const CALLS_PER_SECOND = 10;
const OUTAGE_MILLISECONDS = 600_000;
const CALL_EVERY_MILLISECONDS = 50;

function setUp(seed = 1) {
  const clock = VirtualClock.create();
  const random = createSeededRandom(seed);
  const objects = ObjectServiceStandIn.create({clock, random});
  const client = PlatformClient.create({
    objects,
    clock,
    random,
    callsPerSecond: CALLS_PER_SECOND,
  });
  return {clock, objects, client};
}

async function isAnswered(objects: ObjectService): Promise<boolean> {
  try {
    await objects.read('key');
    return true;
  } catch {
    return false;
  }
}

describe(PlatformClient.name, () => {
  it('sends no more than its budget, claims before status', async () => {
    const {clock, objects, client} = setUp();
    const order: string[] = [];
    const calls = [];
    for (let index = 0; index < 15; index += 1) {
      calls.push(
        client
          .at('status')
          .read('s')
          .then(() => order.push('status')),
      );
    }
    for (let index = 0; index < 5; index += 1) {
      calls.push(
        client
          .at('claims')
          .read('c')
          .then(() => order.push('claims')),
      );
    }
    await clock.advance(0);
    expect(objects.counts.reads).toEqual(CALLS_PER_SECOND);
    await clock.runUntilSettled(Promise.all(calls));
    expect(order.slice(10, 15)).toEqual(Array(5).fill('claims'));
    expect(order.length).toEqual(20);
  });

  it('sends single trials while the service is away, and recovers with one', async () => {
    const {clock, objects, client} = setUp();
    const calling = client.at('configuration');
    objects.faults.isDown = true;
    let sent = 0;
    const end = clock.now() + OUTAGE_MILLISECONDS;
    while (clock.now() < end) {
      await isAnswered(calling);
      await clock.advance(CALL_EVERY_MILLISECONDS);
    }
    sent = objects.counts.reads;
    expect(client.isUnavailable).toEqual(true);
    // A trial every one to three seconds, of twelve thousand calls that were wanted.
    expect(sent < OUTAGE_MILLISECONDS / 900).toEqual(true);

    objects.faults.isDown = false;
    const backAt = clock.now();
    while (!(await isAnswered(calling))) {
      await clock.advance(CALL_EVERY_MILLISECONDS);
    }
    expect(clock.now() - backAt < 4_000).toEqual(true);
    expect(objects.counts.reads - sent).toEqual(1);
    expect(client.isUnavailable).toEqual(false);
  });

  it('says of a write that was held back that it was not done', async () => {
    const {objects, client} = setUp();
    objects.faults.isDown = true;
    for (let index = 0; index < 3; index += 1) {
      await expect(client.at('claims').read('x')).toBeRejectedWith(
        PlatformUnavailableError,
      );
    }
    const {writes} = objects.counts;
    await expect(
      client.at('claims').write('x', '1', 'absent'),
    ).toBeRejectedWith(PlatformBusyError);
    expect(objects.counts.writes).toEqual(writes);
  });

  it('spreads the trials of many nodes', async () => {
    const instants = await Promise.all(
      Array.from({length: 40}, async (_, seed) => {
        const {clock, objects, client} = setUp(seed + 1);
        const calling = client.at('status');
        objects.faults.isDown = true;
        for (let index = 0; index < 400; index += 1) {
          await isAnswered(calling);
          await clock.advance(CALL_EVERY_MILLISECONDS);
        }
        objects.faults.isDown = false;
        const backAt = clock.now();
        while (!(await isAnswered(calling))) {
          await clock.advance(CALL_EVERY_MILLISECONDS);
        }
        return clock.now() - backAt;
      }),
    );
    const distinct = new Set(instants);
    expect(distinct.size > 10).toEqual(true);
  });
});
