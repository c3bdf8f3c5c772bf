/** `siskinmux config …`: the numbered configuration. */

import {randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import type {Declarations, Patch} from '@siskinmux/declarations';
import {
  describeChange,
  diffDeclarations,
  patchSchema,
} from '@siskinmux/declarations';
import type {Command, OptionValues, CommandOutput} from '../command.js';
import {UsageError, requiredOption, stringOption} from '../command.js';
import {readDeclarationFolder} from '../declaration_folder.js';
import {ExitCode} from '../exit_code.js';
import {NODE_OPTIONS, OperatorClient} from '../operator_client.js';
import {renderTable} from '../render_table.js';

interface Numbered {
  readonly number: number;
  readonly declarations: Declarations;
}

interface HistoryRow {
  readonly number: number;
  readonly author: string;
  readonly reason: string;
  readonly accepted_at: number;
  readonly changes: readonly unknown[];
}

/** What a plan file holds; the reason and the author come with `apply`. */
type Plan = Omit<Patch, 'author' | 'reason'>;

const planSchema = patchSchema.omit({author: true, reason: true});

/** Shows the configuration. */
export const configShowCommand: Command = {
  name: 'config show',
  summary: 'Show the newest configuration, or the one at a number.',
  positionals: [],
  options: {
    ...NODE_OPTIONS,
    number: {type: 'string', placeholder: 'N', help: 'configuration number'},
  },
  examples: [
    {commandLine: 'siskinmux config show', purpose: 'see what is in force'},
    {commandLine: 'siskinmux config show --number 41', purpose: 'see an old one'},
  ],
  async run(_positionals, options, output) {
    const number = stringOption(options, 'number');
    const path = number === undefined ? '' : `/${number}`;
    const shown = await read<Numbered>(options, `/configuration${path}`);
    if (options['json'] === true) output.writeLine(JSON.stringify(shown));
    else printConfiguration(shown, output);
    return ExitCode.Success;
  },
};

/** Prints what a folder would change. */
export const configPlanCommand: Command = {
  name: 'config plan',
  summary: 'Print what a folder of declarations would change.',
  positionals: ['FOLDER'],
  options: {
    ...NODE_OPTIONS,
    out: {type: 'string', placeholder: 'FILE', help: 'write the plan for `apply`'},
  },
  examples: [
    {
      commandLine: 'siskinmux config plan ./declarations --out plan.json',
      purpose: 'review a change, then submit just that with `config apply`',
    },
  ],
  async run([folder = ''], options, output) {
    const wanted = readDeclarationFolder(folder);
    const current = await read<Numbered>(options, '/configuration');
    const plan = planBetween(current, wanted);
    const file = stringOption(options, 'out');
    if (file !== undefined) writeFileSync(file, JSON.stringify(plan, null, 2));
    if (options['json'] === true) output.writeLine(JSON.stringify(plan));
    else printPlan(plan, current.declarations, file, output);
    return ExitCode.Success;
  },
};

/** Submits a plan. */
export const configApplyCommand: Command = {
  name: 'config apply',
  summary: 'Submit a plan against the number that it was made from.',
  positionals: ['PLAN'],
  options: {
    ...NODE_OPTIONS,
    reason: {type: 'string', placeholder: 'TEXT', help: 'why; kept in the history'},
    author: {type: 'string', placeholder: 'NAME', help: 'who (default: your login)'},
  },
  examples: [
    {
      commandLine: 'siskinmux config apply plan.json --reason "autumn campaign"',
      purpose: 'submit; safe to repeat if the answer was lost',
    },
  ],
  async run([file = ''], options, output) {
    const patch: Patch = {
      ...readPlan(file),
      author: stringOption(options, 'author') ?? userInfo().username,
      reason: requiredOption(options, 'reason'),
    };
    return submit(patch, options, output);
  },
};

/** Goes back to an older configuration by a new one. */
export const configRollbackCommand: Command = {
  name: 'config rollback',
  summary: 'Make a new configuration that equals an older one.',
  positionals: ['NUMBER'],
  options: configApplyCommand.options,
  examples: [
    {
      commandLine: 'siskinmux config rollback 41 --reason "wrong limits"',
      purpose: 'undo all changes after number 41',
    },
  ],
  async run([number = ''], options, output) {
    const current = await read<Numbered>(options, '/configuration');
    const old = await read<Numbered>(options, `/configuration/${number}`);
    const plan = planBetween(current, old.declarations);
    if (plan.changes.length === 0) {
      output.writeLine(`Number ${current.number} equals ${number} already.`);
      return ExitCode.Success;
    }
    const patch: Patch = {
      ...plan,
      author: stringOption(options, 'author') ?? userInfo().username,
      reason: requiredOption(options, 'reason'),
    };
    return submit(patch, options, output);
  },
};

/** Lists accepted patches. */
export const configHistoryCommand: Command = {
  name: 'config history',
  summary: 'List who changed what, when and why.',
  positionals: [],
  options: {
    ...NODE_OPTIONS,
    first: {type: 'string', placeholder: 'N', help: 'number to start from'},
  },
  examples: [
    {commandLine: 'siskinmux config history', purpose: 'see what happened since'},
  ],
  async run(_positionals, options, output) {
    const first = stringOption(options, 'first') ?? '1';
    const path = `/history?first=${encodeURIComponent(first)}`;
    const rows = await read<HistoryRow[]>(options, path);
    if (options['json'] === true) output.writeLine(JSON.stringify(rows));
    else output.writeLine(renderHistory(rows));
    return ExitCode.Success;
  },
};

/** Compares two configurations. */
export const configDiffCommand: Command = {
  name: 'config diff',
  summary: 'Print what changed between two numbers.',
  positionals: ['FROM', 'TO'],
  options: NODE_OPTIONS,
  examples: [
    {
      commandLine: 'siskinmux config diff 41 44',
      purpose: 'see what three patches did',
    },
  ],
  async run([from = '', to = ''], options, output) {
    const before = await read<Numbered>(options, `/configuration/${from}`);
    const after = await read<Numbered>(options, `/configuration/${to}`);
    const changes = diffDeclarations(before.declarations, after.declarations);
    if (options['json'] === true) output.writeLine(JSON.stringify(changes));
    else {
      for (const change of changes) {
        output.writeLine(describeChange(before.declarations, change));
      }
      if (changes.length === 0) output.writeLine('Nothing changed.');
    }
    return ExitCode.Success;
  },
};

async function read<Shape>(
  options: OptionValues,
  path: string,
): Promise<Shape> {
  return (await OperatorClient.create(options).get(path)) as Shape;
}

async function submit(
  patch: Patch,
  options: OptionValues,
  output: CommandOutput,
): Promise<ExitCode> {
  const answer = await OperatorClient.create(options).post('/patches', patch);
  const {number} = answer as {number: number};
  output.writeLine(
    options['json'] === true
      ? JSON.stringify({number})
      : `Accepted as number ${number}. It is in force on all nodes within seconds.`,
  );
  return ExitCode.Success;
}

function planBetween(current: Numbered, wanted: Declarations): Plan {
  return {
    id: randomUUID(),
    based_on: current.number,
    changes: diffDeclarations(current.declarations, wanted),
  };
}

function readPlan(file: string): Plan {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    throw new UsageError(`the plan ${file} can't be read.`);
  }
  const parsed = planSchema.safeParse(parseJson(text));
  if (parsed.success) return parsed.data;
  throw new UsageError(`${file} is not a plan made by \`config plan --out\`.`);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function printConfiguration(shown: Numbered, output: CommandOutput): void {
  output.writeLine(`Configuration ${shown.number}`);
  for (const [section, entries] of Object.entries(shown.declarations)) {
    output.writeLine(`\n${section}`);
    const rows = Object.entries(entries as Record<string, unknown>).map(
      ([name, entry]) => [name, JSON.stringify(entry)],
    );
    output.writeLine(renderTable(['name', 'declaration'], rows));
  }
}

function printPlan(
  plan: Plan,
  before: Declarations,
  file: string | undefined,
  output: CommandOutput,
): void {
  output.writeLine(`Plan against number ${plan.based_on}:`);
  for (const change of plan.changes) {
    output.writeLine(`  ${describeChange(before, change)}`);
  }
  output.writeLine(
    plan.changes.length === 0
      ? '  nothing to change'
      : `${plan.changes.length} changes. Nothing has been submitted.`,
  );
  if (file !== undefined) {
    output.writeLine(`Submit with: siskinmux config apply ${file} --reason "…"`);
  }
}

function renderHistory(rows: readonly HistoryRow[]): string {
  return renderTable(
    ['number', 'when', 'who', 'changes', 'why'],
    rows.map(row => [
      String(row.number),
      new Date(row.accepted_at).toISOString(),
      row.author,
      String(row.changes.length),
      row.reason,
    ]),
  );
}
