import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Patch} from '@siskinmux/declarations';
import {DeclarationError} from '@siskinmux/declarations';
import {
  PlatformUnavailableError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {ConfigurationConflictError, ConfigurationStore} from '../src/index.js';

/** Patches of this size make the head compact after a few hundred. */
const MANY_PATCHES = 1_500;

function setUp(seed = 1) {
  const clock = VirtualClock.create();
  const objects = ObjectServiceStandIn.create({
    clock,
    random: createSeededRandom(seed),
  });
  let ids = 0;
  const store = ConfigurationStore.create({
    objects,
    clock,
    createId: () => `snapshot-${(ids += 1)}`,
  });
  return {objects, store};
}

function patch(id: string, basedOn: number, retention: number): Patch {
  return {
    id: id.padEnd(8, '-'),
    based_on: basedOn,
    author: `author of ${id}`,
    reason: 'test',
    changes: [
      {
        section: 'policy',
        name: 'default',
        after: {claim_retention_milliseconds: retention},
      },
    ],
  };
}

const numberOf = (value: number): ConfigurationNumber =>
  as<ConfigurationNumber>(value);

describe(ConfigurationStore.name, () => {
  it('lets exactly one of two racing operators win and shows both sides', async () => {
    const {store} = setUp();
    const results = await Promise.allSettled([
      store.submitPatch(patch('one', 0, 1_000)),
      store.submitPatch(patch('two', 0, 2_000)),
    ]);
    const won = results.filter(({status}) => status === 'fulfilled');
    expect(won.length).toEqual(1);
    const lost = results.find(({status}) => status === 'rejected');
    const reason = lost?.status === 'rejected' ? lost.reason : undefined;
    expect(reason instanceof ConfigurationConflictError).toEqual(true);
    const {theirs, yours} = reason as ConfigurationConflictError;
    expect([theirs.length, yours.length]).toEqual([1, 1]);
  });

  it('recognises a patch whose answer was lost, also long afterwards', async () => {
    const {objects, store} = setUp();
    objects.faults.lostAnswerShare = 1;
    const lost = patch('lost', 0, 1_000);
    expect(await store.submitPatch(lost)).toEqual(numberOf(1));
    objects.faults.lostAnswerShare = 0;
    await store.submitPatch(patch('next', 1, 2_000));
    expect(await store.submitPatch(lost)).toEqual(numberOf(1));
    expect((await store.readCurrent()).number).toEqual(numberOf(2));
  });

  it('never accepts a patch twice when writes and answers are lost', async () => {
    const {objects, store} = setUp(7);
    objects.faults.lostAnswerShare = 0.4;
    objects.faults.lostWriteShare = 0.3;
    for (let number = 0; number < 50;) {
      try {
        const accepted = await store.submitPatch(patch(`p${number}`, number, 1_000));
        expect(accepted).toEqual(numberOf(number + 1));
        number += 1;
      } catch (failure) {
        const isOpen =
          failure instanceof WriteOutcomeUnknownError ||
          failure instanceof PlatformUnavailableError;
        if (!isOpen) throw failure;
      }
    }
    const history = await store.history(1, 100);
    expect(history.map(({id}) => id)).toEqual(
      Array.from({length: 50}, (_, index) => `p${index}`.padEnd(8, '-')),
    );
  });

  it('keeps its history and its values small over many changes', async () => {
    const {objects, store} = setUp();
    for (let number = 0; number < MANY_PATCHES; number += 1) {
      await store.submitPatch(patch(`p${number}`, number, 1_000 + number));
    }
    const current = await store.readCurrent();
    expect(current.number).toEqual(numberOf(MANY_PATCHES));
    expect(
      current.declarations.policy.default.claim_retention_milliseconds,
    ).toEqual(1_000 + MANY_PATCHES - 1);
    const history = await store.history(1, MANY_PATCHES);
    expect(history.map(({number}) => number)).toEqual(
      Array.from({length: MANY_PATCHES}, (_, index) => index + 1),
    );
    const old = await store.readAt(10);
    expect(
      old.declarations.policy.default.claim_retention_milliseconds,
    ).toEqual(1_009);
    const snapshots = await objects.list('configuration/snapshot/');
    expect(snapshots.length > 0).toEqual(true);
  });

  it('checks the whole before it accepts anything', async () => {
    const {store} = setUp();
    const wrong: Patch = {
      ...patch('wrong', 0, 1),
      changes: [
        {
          section: 'adapters',
          name: 'orphan',
          after: {model: 'missing', memory_mib: 1},
        },
      ],
    };
    await expect(store.submitPatch(wrong)).toBeRejectedWith(DeclarationError);
    expect((await store.readCurrent()).number).toEqual(numberOf(0));
  });
});
