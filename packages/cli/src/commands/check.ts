/** `siskinmux check`: validates settings and declarations offline. */

import {systemClock, systemRandom} from '@siskinmux/adapters';
import type {Declarations} from '@siskinmux/declarations';
import {SECTIONS} from '@siskinmux/declarations';
import {checkGatewaySettings} from '@siskinmux/gateway';
import {SiskinmuxNode} from '@siskinmux/node';
import type {Command} from '../command.js';
import {UsageError, stringOption} from '../command.js';
import {readDeclarationFolder} from '../declaration_folder.js';
import {ExitCode} from '../exit_code.js';
import {readSettings} from '@siskinmux/runtime';

/** Names that a warning lists. */
const MAXIMUM_LISTED_TEAMS = 8;

/** Validates files without a running node. */
export const checkCommand: Command = {
  name: 'check',
  summary: 'Check a settings file and a folder of declarations, offline.',
  positionals: [],
  options: {
    settings: {type: 'string', placeholder: 'FILE', help: 'settings of a node'},
    gateway: {
      type: 'string',
      placeholder: 'FILE',
      help: 'settings of a gateway',
    },
    declarations: {
      type: 'string',
      placeholder: 'FOLDER',
      help: 'folder of .toml files',
    },
    json: {type: 'boolean', help: 'print JSON'},
  },
  examples: [
    {
      commandLine: 'siskinmux check --declarations ./declarations',
      purpose: 'validate declarations before planning a change',
    },
    {
      commandLine: 'siskinmux check --gateway gateway.toml',
      purpose: 'validate the settings of a gateway',
    },
    {
      commandLine: 'siskinmux check --settings node.toml',
      purpose: 'validate settings before starting a node',
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
    if (folder !== undefined) {
      const declarations = readDeclarationFolder(folder);
      checked['declarations'] = countEntries(declarations);
      const warning = warnOfQuotas(declarations);
      if (warning !== undefined) output.writeError(warning);
    }
    output.writeLine(
      options['json'] === true
        ? JSON.stringify(checked)
        : describeResult([settings, gateway], checked['declarations']),
    );
    return ExitCode.Success;
  },
};

/** Creating a node validates every section of its settings without opening any resource. */
function checkSettings(file: string): void {
  SiskinmuxNode.create({
    settings: readSettings(file),
    clock: systemClock,
    random: systemRandom,
    writeLog: () => {},
  });
}

/** The interface for callers identifies teams and orders by them, but has no quotas. */
function warnOfQuotas({teams}: Declarations): string | undefined {
  const names = Object.keys(teams).filter(
    name => teams[name]?.quota !== undefined,
  );
  if (names.length === 0) return undefined;
  const listed = names.slice(0, MAXIMUM_LISTED_TEAMS).join(', ');
  const others = names.length - MAXIMUM_LISTED_TEAMS;
  const subject = others > 0 ? `${listed} and ${others} more` : listed;
  return `Warning: nodes do not enforce the quotas of teams: ${subject}.`;
}

function countEntries(declarations: Declarations): Record<string, number> {
  return Object.fromEntries(
    SECTIONS.map(section => [
      section,
      Object.keys(declarations[section]).length,
    ]),
  );
}

function describeResult(
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
