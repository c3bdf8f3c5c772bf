/** `siskinmux check`: checks settings and declarations without a node. */

import {systemClock, systemRandom} from '@siskinmux/adapters';
import {SECTIONS} from '@siskinmux/declarations';
import {checkGatewaySettings} from '@siskinmux/gateway';
import {SiskinmuxNode} from '@siskinmux/node';
import type {Command} from '../command.js';
import {UsageError, stringOption} from '../command.js';
import {readDeclarationFolder} from '../declaration_folder.js';
import {ExitCode} from '../exit_code.js';
import {readSettings} from '@siskinmux/runtime';

/** Checks files offline. */
export const checkCommand: Command = {
  name: 'check',
  summary: 'Check a settings file and a folder of declarations, offline.',
  positionals: [],
  options: {
    settings: {type: 'string', placeholder: 'FILE', help: 'settings of a node'},
    gateway: {type: 'string', placeholder: 'FILE', help: 'settings of a gateway'},
    declarations: {
      type: 'string',
      placeholder: 'FOLDER',
      help: 'folder of .toml files',
    },
    json: {type: 'boolean', help: 'print JSON for programs'},
  },
  examples: [
    {
      commandLine: 'siskinmux check --declarations ./declarations',
      purpose: 'find mistakes before you plan a change',
    },
    {
      commandLine: 'siskinmux check --gateway gateway.toml',
      purpose: 'find mistakes in what a gateway is started with',
    },
    {
      commandLine: 'siskinmux check --settings node.toml',
      purpose: 'find mistakes before you start a node',
    },
  ],
  async run(_positionals, options, output) {
    const settings = stringOption(options, 'settings');
    const gateway = stringOption(options, 'gateway');
    const folder = stringOption(options, 'declarations');
    if ((settings ?? gateway ?? folder) === undefined) {
      throw new UsageError('Name --settings, --gateway or --declarations.');
    }
    const checked: Record<string, unknown> = {};
    if (settings !== undefined) {
      checkSettings(settings);
      checked['settings'] = settings;
    }
    if (gateway !== undefined) {
      checkGatewaySettings(readSettings(gateway));
      checked['gateway'] = gateway;
    }
    if (folder !== undefined) checked['declarations'] = countEntries(folder);
    output.writeLine(
      options['json'] === true
        ? JSON.stringify(checked)
        : describe([settings, gateway], checked['declarations']),
    );
    return ExitCode.Success;
  },
};

/** Building a node reads every table of the settings and opens nothing. */
function checkSettings(file: string): void {
  SiskinmuxNode.create({
    settings: readSettings(file),
    clock: systemClock,
    random: systemRandom,
    writeLog: () => {},
  });
}

function countEntries(folder: string): Record<string, number> {
  const declarations = readDeclarationFolder(folder);
  return Object.fromEntries(
    SECTIONS.map(section => [
      section,
      Object.keys(declarations[section]).length,
    ]),
  );
}

function describe(
  files: readonly (string | undefined)[],
  counts: unknown,
): string {
  const lines = files.flatMap(file =>
    file === undefined ? [] : [`Settings in ${file} are valid.`],
  );
  if (counts !== undefined) {
    const parts = Object.entries(counts as Record<string, number>);
    const text = parts.map(([section, count]) => `${count} ${section}`);
    lines.push(`Declarations are valid: ${text.join(', ')}.`);
  }
  return lines.join('\n');
}
