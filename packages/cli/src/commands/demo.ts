/** `siskinmux demo`: the whole system on loopback, with failures, in a minute. */

import {systemClock, systemRandom} from '@siskinmux/adapters';
import {runStory} from '@siskinmux/demo';
import type {Command} from '../command.js';
import {readExampleDeclarations} from '../example_files.js';
import {ExitCode} from '../exit_code.js';

/** Runs the demonstration. */
export const demoCommand: Command = {
  name: 'demo',
  summary: 'Show the system at work on loopback, with stand-ins and failures.',
  positionals: [],
  options: {json: {type: 'boolean', help: 'print only the figures, as JSON'}},
  examples: [
    {commandLine: 'siskinmux demo', purpose: 'see what it does, in under a minute'},
  ],
  async run(_positionals, options, output) {
    const isJson = options['json'] === true;
    const result = await runStory({
      clock: systemClock,
      random: systemRandom,
      declarations: readExampleDeclarations(),
      tell: line => {
        if (!isJson) output.writeLine(line);
      },
    });
    if (isJson) output.writeLine(JSON.stringify(result));
    return result.failures.length === 0 ? ExitCode.Success : ExitCode.Failure;
  },
};
