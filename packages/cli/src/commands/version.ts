/** `siskinmux version`. */

import type {Command} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {VERSION} from '../version.js';

/** Prints the version. */
export const versionCommand: Command = {
  name: 'version',
  summary: 'Print the version of this binary.',
  positionals: [],
  options: {json: {type: 'boolean', help: 'print JSON for programs'}},
  examples: [{commandLine: 'siskinmux version', purpose: 'see what is installed'}],
  async run(_positionals, options, output) {
    const runtime = process.version;
    output.writeLine(
      options['json'] === true
        ? JSON.stringify({version: VERSION, runtime})
        : `siskinmux ${VERSION} on Node.js ${runtime}`,
    );
    return ExitCode.Success;
  },
};
