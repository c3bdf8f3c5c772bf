import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Fingerprint} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {ClaimReply, ClaimRequest, ShardOwner} from '../src/index.js';
import {RETENTION_MILLISECONDS, setUp} from './shard_fixture.js';

/** Fills a segment, so that the write of its claim seals it. */
const FULL = {fingerprint: as<Fingerprint>('f'.repeat(48_000))};

type Fixture = ReturnType<typeof setUp>;

/** What the owner replies; `lost` if it doesn't own the shard any more. */
async function replyOf(
  {claim}: Fixture,
  owner: ShardOwner,
  request: ClaimRequest,
): Promise<ClaimReply['kind'] | 'lost'> {
  try {
    return (await claim(owner, request)).kind;
  } catch {
    return 'lost';
  }
}

/** Whether the key is granted by an owner, or by the node that opens the shard then. */
async function isGrantedAgain(
  fixture: Fixture,
  owner: ShardOwner,
  key: string,
): Promise<boolean> {
  const {open, request} = fixture;
  const replies = [await replyOf(fixture, owner, request(key, `${key}-again`))];
  const next = await open('next');
  replies.push(await replyOf(fixture, next, request(key, `${key}-next`)));
  return replies.includes('granted');
}

describe('shard whose object service returns from an older copy', () => {
  for (const keepsCounting of [false, true]) {
    const versions = keepsCounting ? 'rising' : 'given out again';
    for (const opened of ['after', 'before'])
      for (const segments of [0, 1, 2])
        it(`keeps the claims of its owner, opened ${opened} the copy, ${segments} sealed segments lost, versions ${versions}`, async () => {
          const fixture = setUp();
          const {objects, open, claim, request} = fixture;
          const isOpenedBefore = opened === 'before';
          let owner = isOpenedBefore ? await open('one') : undefined;
          const copy = objects.copy();
          owner ??= await open('one');
          await claim(owner, request('key', 'first'));
          for (let index = 0; index < segments; index += 1)
            await claim(owner, request(`k${index}`, `a${index}`, FULL));
          objects.comeBack(copy, keepsCounting);
          expect(await replyOf(fixture, owner, request('new', 'new'))).toEqual(
            'granted',
          );
          expect(await isGrantedAgain(fixture, owner, 'key')).toEqual(false);
        });

    it(`notices the return without a claim, versions ${versions}`, async () => {
      const fixture = setUp();
      const {clock, objects, open, claim, request} = fixture;
      const owner = await open('one');
      const copy = objects.copy();
      await claim(owner, request('key', 'first'));
      objects.comeBack(copy, keepsCounting);
      await clock.runUntilSettled(owner.verify());
      const next = await open('next');
      const reply = await replyOf(fixture, next, request('key', 'again'));
      // It waited for the first attempt until that one's deadline.
      expect(reply).toEqual('unknown');
    });

    it(`takes the shard back from a node that opened the older log, versions ${versions}`, async () => {
      const fixture = setUp();
      const {clock, objects, open, claim, request} = fixture;
      const owner = await open('one');
      const copy = objects.copy();
      await claim(owner, request('key', 'first'));
      await claim(owner, request('other', 'other'));
      objects.comeBack(copy, keepsCounting);
      const second = await open('two');
      await claim(second, request('of the second', 'second'));
      await clock.runUntilSettled(owner.verify());
      expect(await isGrantedAgain(fixture, second, 'key')).toEqual(false);
      expect(await isGrantedAgain(fixture, owner, 'of the second')).toEqual(
        false,
      );
    });
  }

  it('keeps outcomes, and what it knows through a second return', async () => {
    const fixture = setUp();
    const {clock, objects, open, claim, request} = fixture;
    const owner = await open('one');
    const copy = objects.copy();
    const first = request('key', 'first');
    await claim(owner, first);
    const answer = {status: 200, contentType: 'text/plain', body: 'done'};
    void owner.recordOutcome(first.key, first.attempt, {
      kind: 'answered',
      answer,
    });
    await clock.advance(6_000);
    for (let returns = 0; returns < 2; returns += 1) {
      objects.comeBack(copy, returns === 1);
      await clock.runUntilSettled(owner.verify());
    }
    const next = await open('next');
    expect(await claim(next, request('key', 'again'))).toEqual({
      kind: 'answered',
      answer,
    });
  });

  it('grants a key once that is claimed while the owner writes its claims again', async () => {
    for (let delay = 0; delay < 20; delay += 1) {
      const fixture = setUp();
      const {clock, objects, open, claim, request} = fixture;
      const owner = await open('one');
      const copy = objects.copy();
      await claim(owner, request('key', 'first'));
      objects.comeBack(copy, true);
      const verified = owner.verify();
      await clock.advance(delay);
      expect((await claim(owner, request('late', 'late'))).kind).toEqual(
        'granted',
      );
      await clock.runUntilSettled(verified);
      expect(await isGrantedAgain(fixture, owner, 'late')).toEqual(false);
    }
  });

  it('is given up to a node that continues the log, also when its segments have expired', async () => {
    const fixture = setUp();
    const {clock, open, claim, request} = fixture;
    const paused = await open('one');
    await claim(paused, request('full', 'full', FULL));
    const second = await open('two');
    for (let index = 0; index < 3; index += 1)
      await claim(second, request(`k${index}`, `a${index}`, FULL));
    await clock.advance(2 * RETENTION_MILLISECONDS);
    await claim(second, request('sweep', 'sweep'));
    await clock.advance(1_000);
    await clock.runUntilSettled(paused.verify());
    expect(await replyOf(fixture, paused, request('late', 'late'))).toEqual(
      'lost',
    );
    expect(await replyOf(fixture, second, request('next', 'next'))).toEqual(
      'granted',
    );
  });
});
