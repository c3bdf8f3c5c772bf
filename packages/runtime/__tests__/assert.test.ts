import nodeAssert from 'node:assert';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import assert from '../src/assert.cjs';

const MESSAGE = 'the parser has ended';

/** What a call throws. */
function failureOf(call: () => void): unknown {
  try {
    call();
  } catch (failure) {
    return failure;
  }
  return undefined;
}

describe('assertions of a bundle', () => {
  it('hold for truthy values', () => {
    for (const check of [assert, assert.ok, assert.strict, assert.strict.ok])
      expect(failureOf(() => check(1))).toEqual(undefined);
  });

  // Node.js reads and parses the file of the caller to describe such an assertion.
  it('fail with a message that needs no source', () => {
    for (const check of [assert, assert.ok, assert.strict, assert.strict.ok]) {
      const failure = failureOf(() => check(0)) as nodeAssert.AssertionError;
      expect(failure instanceof nodeAssert.AssertionError).toEqual(true);
      expect(failure.message).toEqual('assertion failed');
      expect(failure.code).toEqual('ERR_ASSERTION');
    }
  });

  it('fail with the message or error of their caller', () => {
    const error = new RangeError(MESSAGE);
    expect(failureOf(() => assert(false, error))).toEqual(error);
    const failure = failureOf(() => assert(false, MESSAGE));
    expect((failure as Error).message).toEqual(MESSAGE);
  });

  it('have the other functions of Node.js', () => {
    for (const name of Object.keys(nodeAssert))
      expect([name, name in assert]).toEqual([name, true]);
    expect(failureOf(() => assert.equal(1, 2)) !== undefined).toEqual(true);
  });
});
