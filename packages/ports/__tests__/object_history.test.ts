import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ObjectVersion} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {compareWithKnown} from '../src/index.js';

const KNOWN = {version: as<ObjectVersion>(7), value: 'a b'};

function changeTo(version: number, value: string) {
  const stored = {key: 'log', version: as<ObjectVersion>(version), value};
  return compareWithKnown(KNOWN, stored, (known, found) =>
    found.startsWith(known),
  );
}

describe('compareWithKnown', () => {
  it('finds an object unchanged, or continued by others', () => {
    expect(changeTo(7, 'a b')).toEqual('unchanged');
    expect(changeTo(9, 'a b c')).toEqual('continued');
  });

  it('finds that the object went back, to a lower version or to none', () => {
    expect(changeTo(5, 'a')).toEqual('went back');
    expect(compareWithKnown(KNOWN, undefined, () => true)).toEqual('removed');
  });

  it('finds that the object went back, though its versions were given out again', () => {
    expect(changeTo(7, 'a c')).toEqual('went back');
    expect(changeTo(9, 'a c d')).toEqual('went back');
    expect(changeTo(5, 'a b c')).toEqual('went back');
  });
});
