/** Deadlines of responses whose bodies arrive fast, slowly, in a trickle or not at all. */

import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Instant, Milliseconds} from '@siskinmux/kernel';
import {after, until} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {ProgressDeadline} from '../src/index.js';

const HEAD_MILLISECONDS = 1_500;
const STALL_MILLISECONDS = 1_000;
const MINIMUM_BYTES_PER_SECOND = 10_000;

interface Response {
  readonly clock: VirtualClock;
  readonly deadline: ProgressDeadline;
  /** Time from the request to the expiry. */
  expiredAfter(): Milliseconds | undefined;
}

function createResponse(): Response {
  const clock = VirtualClock.create();
  const sentAt = clock.now();
  let expiredAt: Instant | undefined;
  const deadline = ProgressDeadline.create({
    clock,
    headUntil: after(sentAt, HEAD_MILLISECONDS),
    stallMilliseconds: STALL_MILLISECONDS,
    minimumBytesPerSecond: MINIMUM_BYTES_PER_SECOND,
    onExpired: () => {
      assert.equal(expiredAt, undefined, 'expires once');
      expiredAt = clock.now();
    },
  });
  return {
    clock,
    deadline,
    expiredAfter: () =>
      expiredAt === undefined ? undefined : until(sentAt, expiredAt),
  };
}

/** Receives the head at once, then a part of `bytes` each `milliseconds`, `count` times. */
async function receive(
  {clock, deadline}: Response,
  part: {bytes: number; milliseconds: Milliseconds; count: number},
): Promise<void> {
  deadline.recordProgress(0);
  for (let index = 1; index <= part.count; index += 1) {
    await clock.advance(part.milliseconds);
    deadline.recordProgress(index * part.bytes);
  }
}

describe('ProgressDeadline', () => {
  it('expires when the head is late', async () => {
    const response = createResponse();
    await response.clock.advance(HEAD_MILLISECONDS - 1);
    assert.equal(response.expiredAfter(), undefined);
    await response.clock.advance(60_000);
    assert.equal(response.expiredAfter(), HEAD_MILLISECONDS);
  });

  it('counts the time to the first byte of the body from the head', async () => {
    const early = createResponse();
    early.deadline.recordProgress(0);
    await early.clock.advance(60_000);
    assert.equal(early.expiredAfter(), STALL_MILLISECONDS);

    const late = createResponse();
    await late.clock.advance(HEAD_MILLISECONDS - 1);
    late.deadline.recordProgress(0);
    await late.clock.advance(60_000);
    assert.equal(
      late.expiredAfter(),
      HEAD_MILLISECONDS - 1 + STALL_MILLISECONDS,
    );
  });

  it('lets a body above the minimum rate take as long as its size needs', async () => {
    const response = createResponse();
    await receive(response, {bytes: 6_000, milliseconds: 500, count: 240});
    assert.equal(response.expiredAfter(), undefined);
    response.deadline.cancel();
    await response.clock.advance(60_000);
    assert.equal(response.expiredAfter(), undefined);
  });

  it('expires when no byte has come for a time, however many came before', async () => {
    const response = createResponse();
    await receive(response, {bytes: 1_000_000, milliseconds: 100, count: 10});
    await response.clock.advance(60_000);
    assert.equal(response.expiredAfter(), 1_000 + STALL_MILLISECONDS);
  });

  it('does not count a report without a new byte as progress', async () => {
    const response = createResponse();
    response.deadline.recordProgress(0);
    for (let index = 0; index < 10; index += 1) {
      await response.clock.advance(STALL_MILLISECONDS / 2);
      response.deadline.recordProgress(0);
    }
    assert.equal(response.expiredAfter(), STALL_MILLISECONDS);
  });

  it('expires when a byte comes now and then', async () => {
    const response = createResponse();
    await receive(response, {bytes: 1, milliseconds: 500, count: 100});
    const expiredAfter = response.expiredAfter() ?? Infinity;
    assert.ok(expiredAfter >= STALL_MILLISECONDS);
    assert.ok(expiredAfter < STALL_MILLISECONDS + 1);
  });

  it('expires when a body falls behind the minimum rate', async () => {
    const response = createResponse();
    await receive(response, {bytes: 50, milliseconds: 10, count: 1_000});
    // Half the minimum rate uses up the allowance of one stall in the time of two.
    const expiredAfter = response.expiredAfter() ?? Infinity;
    assert.ok(expiredAfter > 2 * STALL_MILLISECONDS - 20);
    assert.ok(expiredAfter <= 2 * STALL_MILLISECONDS);
  });

  it('ignores progress after its end', async () => {
    const response = createResponse();
    await response.clock.advance(HEAD_MILLISECONDS);
    response.deadline.recordProgress(0);
    response.deadline.cancel();
    await response.clock.advance(60_000);
    assert.equal(response.expiredAfter(), HEAD_MILLISECONDS);
  });
});
