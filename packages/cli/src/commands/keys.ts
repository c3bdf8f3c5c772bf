/** `siskinmux keys …`: prepares keys of callers for the declarations. */

import {digestApiKey} from '@siskinmux/routes';
import type {Command} from '../command.js';
import {UsageError} from '../command.js';
import {ExitCode} from '../exit_code.js';

/** Longest key that is accepted; the headers of a request have at most 16 KiB in total. */
const MAXIMUM_KEY_BYTES = 4_096;

/** Printable ASCII without spaces around it, since callers send the key in a header. */
const KEY_PATTERN = /^[!-~]([ -~]*[!-~])?$/;

/** Prints the digest of a key from standard input, so that no shell history has the key. */
export const keysDigestCommand: Command = {
  name: 'keys digest',
  summary: 'Print the digest of a key that standard input has.',
  positionals: [],
  options: {json: {type: 'boolean', help: 'print JSON'}},
  examples: [
    {
      commandLine: 'siskinmux keys digest < key.txt',
      purpose: 'make the entry for `key_digests` of a team',
    },
  ],
  async run(_positionals, options, output, readInput) {
    const digest = digestApiKey(parseKey(await readInput(MAXIMUM_KEY_BYTES)));
    output.writeLine(
      options['json'] === true ? JSON.stringify({digest}) : digest,
    );
    return ExitCode.Success;
  },
};

/** The key without the line break at its end. The errors don't quote it. */
function parseKey(input: Buffer | undefined): string {
  if (input === undefined) {
    throw new UsageError(
      `standard input has more than ${MAXIMUM_KEY_BYTES} bytes.`,
    );
  }
  const key = input.toString('utf8').replace(/\r?\n$/, '');
  if (key === '') throw new UsageError('standard input has no key.');
  if (KEY_PATTERN.test(key)) return key;
  throw new UsageError(
    "the key on standard input can't be sent in a header: expected one line of printable ASCII without spaces around it.",
  );
}
