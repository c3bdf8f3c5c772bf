/** Teams in the stored configuration, beside nodes of versions without teams. */

import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Change, Patch} from '@siskinmux/declarations';
import {declarationsSchema, emptyDeclarations} from '@siskinmux/declarations';
import {StoredObjectInvalidError} from '@siskinmux/ports';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {
  ConfigurationConflictError,
  ConfigurationState,
  ConfigurationStore,
  HEAD_KEY,
  parseSnapshot,
} from '../src/index.js';

const DIGEST_A = 'A'.repeat(43);
const DIGEST_B = 'E'.repeat(43);
const KEY = 'mytdqf5swkcup4umfwwq';

/** Enough patches for a compaction of the head. */
const MANY_PATCHES = 1_200;

/** The schema of versions without teams. */
const earlierSchema = declarationsSchema.omit({teams: true});

const numberOf = (value: number): ConfigurationNumber =>
  as<ConfigurationNumber>(value);

function setUp() {
  const clock = VirtualClock.create();
  const objects = ObjectServiceStandIn.create({
    clock,
    random: createSeededRandom(1),
  });
  let ids = 0;
  const store = ConfigurationStore.create({
    objects,
    clock,
    createId: () => `snapshot-${(ids += 1)}`,
  });
  return {objects, store};
}

function patch(basedOn: number, changes: Change[]): Patch {
  return {
    id: `patch-${basedOn}`.padEnd(10, '-'),
    based_on: basedOn,
    author: 'test',
    reason: 'test',
    changes,
  };
}

function teamChange(name: string, ...digests: string[]): Change {
  return {section: 'teams', name, after: {key_digests: digests}};
}

function retentionChange(milliseconds: number): Change {
  return {
    section: 'policy',
    name: 'default',
    after: {claim_retention_milliseconds: milliseconds},
  };
}

async function fillHistory(
  store: ConfigurationStore,
  first: number,
): Promise<void> {
  for (let number = first; number < MANY_PATCHES; number += 1) {
    await store.submitPatch(patch(number, [retentionChange(1_000 + number)]));
  }
}

describe('stored teams', () => {
  it('come back from patches, from a snapshot and from history', async () => {
    const {objects, store} = setUp();
    await store.submitPatch(patch(0, [teamChange('fizi', DIGEST_A)]));
    await store.submitPatch(
      patch(1, [teamChange('fizi', DIGEST_B), teamChange('kelp', DIGEST_A)]),
    );
    const afterPatches = (await store.readCurrent()).declarations.teams;
    expect(afterPatches['fizi']?.key_digests).toEqual([DIGEST_B]);
    expect(afterPatches['kelp']?.priority).toEqual(0);
    await fillHistory(store, 2);
    expect((await objects.list('configuration/snapshot/')).length > 0).toEqual(
      true,
    );
    expect((await store.readCurrent()).declarations.teams).toEqual(
      afterPatches,
    );
    const first = (await store.readAt(1)).declarations.teams;
    expect(first['fizi']?.key_digests).toEqual([DIGEST_A]);
  });

  // During an upgrade, nodes of an earlier version read the same snapshots and ask these nodes.
  it('leave no trace in what earlier versions read while no team is declared', async () => {
    const {objects, store} = setUp();
    await fillHistory(store, 0);
    const snapshots = await objects.list('configuration/snapshot/');
    expect(snapshots.length > 0).toEqual(true);
    for (const {key} of snapshots) {
      const value = (await objects.read(key))?.value ?? '';
      expect(earlierSchema.safeParse(JSON.parse(value)).success).toEqual(true);
    }

    const state = ConfigurationState.create();
    state.applySnapshot({
      number: numberOf(5),
      declarations: emptyDeclarations(),
    });
    state.applyPatches(
      [
        {...patch(5, [teamChange('fizi')]), number: 6, accepted_at: 0},
        {
          ...patch(6, [{section: 'teams', name: 'fizi'}]),
          number: 7,
          accepted_at: 0,
        },
      ].map(({based_on: _basedOn, ...accepted}) => accepted),
    );
    const update = state.updateSince(numberOf(1));
    expect(update.kind).toEqual('whole');
    const sent = update.kind === 'whole' ? update.declarations : undefined;
    expect(earlierSchema.safeParse(sent).success).toEqual(true);
  });

  it('read a snapshot of an earlier version', () => {
    const stored = JSON.stringify(earlierSchema.parse({}));
    expect(parseSnapshot('key', stored)).toEqual(emptyDeclarations());
  });

  it('do not appear in errors about unreadable objects', async () => {
    const {objects, store} = setUp();
    const text = `["${DIGEST_A}", x]`;
    await objects.write(HEAD_KEY, text, 'absent');
    let message = '';
    try {
      await store.readCurrent();
    } catch (failure) {
      expect(failure instanceof StoredObjectInvalidError).toEqual(true);
      message = (failure as Error).message;
    }
    expect(message).toInclude(HEAD_KEY);
    expect(message).not.toInclude(DIGEST_A.slice(0, 4));
  });

  it('do not appear in a conflict, nor does a key in a patch that is not valid', async () => {
    const {store} = setUp();
    await store.submitPatch(patch(0, [teamChange('fizi', DIGEST_A)]));
    const stale = {...patch(0, [teamChange('kelp', KEY)]), id: 'stale-patch'};
    let conflict: unknown;
    try {
      await store.submitPatch(stale);
    } catch (failure) {
      conflict = failure;
    }
    expect(conflict instanceof ConfigurationConflictError).toEqual(true);
    const {theirs, yours} = conflict as ConfigurationConflictError;
    expect(theirs.length).toEqual(1);
    expect(theirs[0]).toInclude('+ add teams.fizi {"priority":0,"keys":1}');
    expect(yours).toEqual(['+ add teams.kelp {"valid":false}']);
  });
});
