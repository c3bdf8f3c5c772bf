/** `siskinmux demo`: runs the whole system on loopback for a minute, with injected failures. */

import {systemClock, systemRandom} from '@siskinmux/adapters';
import {runDemonstration} from '@siskinmux/demo';
import type {Command} from '../command.js';
import {readExampleDeclarations} from '../example_files.js';
import {ExitCode} from '../exit_code.js';

/** Runs the demonstration; fails if an expectation is not met. */
export const demoCommand: Command = {
  name: 'demo',
  summary: 'Demonstrate the system on loopback, with stand-ins and failures.',
  positionals: [],
  options: {json: {type: 'boolean', help: 'print only the results, as JSON'}},
  examples: [
    {
      commandLine: 'siskinmux demo',
      purpose: 'see the main features in under a minute',
    },
  ],
  async run(_positionals, options, output) {
    const isJson = options['json'] === true;
    const result = await runDemonstration({
      clock: systemClock,
      random: systemRandom,
      declarations: readExampleDeclarations(),
      writeLine: line => {
        if (!isJson) output.writeLine(line);
      },
    });
    if (isJson) output.writeLine(JSON.stringify(result));
    return result.failures.length === 0 ? ExitCode.Success : ExitCode.Failure;
  },
};
