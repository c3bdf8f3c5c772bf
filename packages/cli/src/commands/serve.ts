/** `siskinmux serve`: runs one node until it is told to stop. */

import {systemClock, systemRandom} from '@siskinmux/adapters';
import {SiskinmuxNode} from '@siskinmux/node';
import type {Command} from '../command.js';
import {requiredOption} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {readSettings} from '@siskinmux/runtime';

/** Runs a node. */
export const serveCommand: Command = {
  name: 'serve',
  summary: 'Run one node until SIGTERM, then stop gracefully.',
  positionals: [],
  options: {
    settings: {type: 'string', placeholder: 'FILE', help: 'settings of this node'},
  },
  examples: [
    {
      commandLine: 'siskinmux serve --settings /etc/siskinmux/node.toml',
      purpose: 'run a node in the foreground, logging to standard output',
    },
  ],
  async run(_positionals, options) {
    const settings = readSettings(requiredOption(options, 'settings'));
    const node = SiskinmuxNode.create({
      settings,
      clock: systemClock,
      random: systemRandom,
      writeLog: line => process.stdout.write(line),
    });
    await node.start();
    await toldToStop();
    await node.stop();
    return ExitCode.Success;
  },
};

function toldToStop(): Promise<void> {
  return new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => resolve());
    }
  });
}
