import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ConfigurationNumber} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {emptyDeclarations} from '@siskinmux/declarations';
import type {AcceptedPatch} from '../src/index.js';
import {ConfigurationState} from '../src/index.js';

const numberOf = (value: number): ConfigurationNumber =>
  as<ConfigurationNumber>(value);

function patch(number: number, retention: number): AcceptedPatch {
  return {
    number,
    id: `patch-${number}`,
    author: 'test',
    reason: 'test',
    accepted_at: 0,
    changes: [
      {
        section: 'policy',
        name: 'default',
        after: {claim_retention_milliseconds: retention},
      },
    ],
  };
}

describe(ConfigurationState.name, () => {
  it('never goes back, whatever arrives late', () => {
    const state = ConfigurationState.create();
    state.applyPatches([patch(1, 1_000), patch(2, 2_000)]);
    const old = {number: numberOf(1), declarations: emptyDeclarations()};
    expect(state.applySnapshot(old)).toEqual(false);
    state.applyPatches([patch(1, 9_000)]);
    expect(state.current.number).toEqual(numberOf(2));
    const {policy} = state.current.declarations;
    expect(policy.default.claim_retention_milliseconds).toEqual(2_000);
  });

  it('takes only what continues the number in force', () => {
    const state = ConfigurationState.create();
    expect(state.applyPatches([patch(3, 1_000)])).toEqual(false);
    expect(state.current.number).toEqual(numberOf(0));
    expect(state.applyPatches([patch(1, 1_000), patch(2, 1)])).toEqual(true);
    expect(state.current.number).toEqual(numberOf(2));
  });

  it('gives a peer the patches that it lacks, or the whole', () => {
    const state = ConfigurationState.create();
    state.applySnapshot({number: numberOf(5), declarations: emptyDeclarations()});
    state.applyPatches([patch(6, 1_000)]);
    expect(state.updateSince(numberOf(6)).kind).toEqual('current');
    expect(state.updateSince(numberOf(7)).kind).toEqual('current');
    expect(state.updateSince(numberOf(5)).kind).toEqual('patches');
    expect(state.updateSince(numberOf(2)).kind).toEqual('whole');
  });
});
