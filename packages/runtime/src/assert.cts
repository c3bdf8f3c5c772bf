/**
 * Takes the place of `node:assert` in bundles. Node.js describes a failed assertion without a
 * message by its source: it parses the file synchronously, which takes seconds for a bundle.
 */

const nodeAssert = process.getBuiltinModule('node:assert');

const DEFAULT_MESSAGE = 'assertion failed';

/** Unless `value` is truthy, throws `message`, or an `AssertionError` with it. */
function assert(value: unknown, message?: string | Error): asserts value {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new nodeAssert.AssertionError({
    message: message ?? DEFAULT_MESSAGE,
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: assert,
  });
}

const strict = Object.assign(
  (value: unknown, message?: string | Error) => assert(value, message),
  nodeAssert.strict,
  {ok: assert},
);

export = Object.assign(assert, nodeAssert, {
  ok: assert,
  strict: Object.assign(strict, {strict}),
});
