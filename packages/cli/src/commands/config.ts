/** `siskinmux config …`: reads and changes the numbered configuration. */

import {randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import type {Change, Declarations, Patch} from '@siskinmux/declarations';
import {
  describeChange,
  diffDeclarations,
  hideDigests,
  patchSchema,
} from '@siskinmux/declarations';
import type {Command, CommandOutput, OptionValues} from '../command.js';
import {UsageError, requiredOption, stringOption} from '../command.js';
import {readDeclarationFolder} from '../declaration_folder.js';
import {ExitCode} from '../exit_code.js';
import {CONNECTION_OPTIONS, OperatorClient} from '../operator_client.js';
import {renderTable} from '../render_table.js';

interface NumberedConfiguration {
  readonly number: number;
  readonly declarations: Declarations;
}

const NO_TEAMS: Pick<Declarations, 'teams'> = {teams: {}};

interface HistoryEntry {
  readonly number: number;
  readonly author: string;
  readonly reason: string;
  readonly accepted_at: number;
  readonly changes: readonly Change[];
}

/** Content of a plan file; `config apply` adds the reason and the author. */
type Plan = Omit<Patch, 'author' | 'reason'>;

const planSchema = patchSchema.omit({author: true, reason: true});

/** Shows the newest or an older configuration. */
export const configShowCommand: Command = {
  name: 'config show',
  summary: 'Show the newest configuration, or an older one by number.',
  positionals: [],
  options: {
    ...CONNECTION_OPTIONS,
    number: {type: 'string', placeholder: 'N', help: 'configuration number'},
  },
  examples: [
    {
      commandLine: 'siskinmux config show',
      purpose: 'show the newest configuration',
    },
    {
      commandLine: 'siskinmux config show --number 41',
      purpose: 'show an older configuration',
    },
  ],
  async run(_positionals, options, output) {
    const number = stringOption(options, 'number');
    const path = number === undefined ? '' : `/${number}`;
    const configuration = await getConfiguration(
      options,
      `/configuration${path}`,
    );
    if (options['json'] === true)
      output.writeLine(JSON.stringify(configuration));
    else printConfiguration(configuration, output);
    return ExitCode.Success;
  },
};

/** Compares a folder of declarations with the newest configuration. */
export const configPlanCommand: Command = {
  name: 'config plan',
  summary: 'Print what a folder of declarations would change.',
  positionals: ['FOLDER'],
  options: {
    ...CONNECTION_OPTIONS,
    out: {
      type: 'string',
      placeholder: 'FILE',
      help: 'write the plan for `apply`',
    },
  },
  examples: [
    {
      commandLine: 'siskinmux config plan ./declarations --out plan.json',
      purpose: 'review a change, then submit exactly that with `config apply`',
    },
  ],
  async run([folder = ''], options, output) {
    const target = readDeclarationFolder(folder);
    const current = await getConfiguration(options, '/configuration');
    const plan = createPlan(current, target);
    const file = stringOption(options, 'out');
    if (file !== undefined) writeFileSync(file, JSON.stringify(plan, null, 2));
    if (options['json'] === true) output.writeLine(JSON.stringify(plan));
    else printPlan(plan, current.declarations, file, output);
    return ExitCode.Success;
  },
};

/** Submits a plan; the node rejects it if the configuration has changed since. */
export const configApplyCommand: Command = {
  name: 'config apply',
  summary: 'Submit a plan; it fails if the configuration has changed since.',
  positionals: ['PLAN'],
  options: {
    ...CONNECTION_OPTIONS,
    reason: {
      type: 'string',
      placeholder: 'TEXT',
      help: 'reason for the change; stored in the history',
    },
    author: {
      type: 'string',
      placeholder: 'NAME',
      help: 'author of the change (default: your login name)',
    },
  },
  examples: [
    {
      commandLine:
        'siskinmux config apply plan.json --reason "autumn campaign"',
      purpose: 'submit; safe to retry if the response was lost',
    },
  ],
  async run([file = ''], options, output) {
    const patch: Patch = {
      ...readPlan(file),
      author: stringOption(options, 'author') ?? userInfo().username,
      reason: requiredOption(options, 'reason'),
    };
    return submitPatch(patch, options, output);
  },
};

/** Submits a patch that restores an older configuration under a new number. */
export const configRollbackCommand: Command = {
  name: 'config rollback',
  summary: 'Restore an older configuration under a new number.',
  positionals: ['NUMBER'],
  options: configApplyCommand.options,
  examples: [
    {
      commandLine: 'siskinmux config rollback 41 --reason "wrong limits"',
      purpose: 'undo all changes after number 41',
    },
  ],
  async run([number = ''], options, output) {
    const current = await getConfiguration(options, '/configuration');
    const old = await getConfiguration(options, `/configuration/${number}`);
    const plan = createPlan(current, old.declarations);
    if (plan.changes.length === 0) {
      output.writeLine(
        `Configuration ${current.number} already equals configuration ${number}.`,
      );
      return ExitCode.Success;
    }
    const patch: Patch = {
      ...plan,
      author: stringOption(options, 'author') ?? userInfo().username,
      reason: requiredOption(options, 'reason'),
    };
    return submitPatch(patch, options, output);
  },
};

/** Lists the accepted patches. */
export const configHistoryCommand: Command = {
  name: 'config history',
  summary: 'List who changed what, when and why.',
  positionals: [],
  options: {
    ...CONNECTION_OPTIONS,
    first: {type: 'string', placeholder: 'N', help: 'first number to list'},
  },
  examples: [
    {
      commandLine: 'siskinmux config history',
      purpose: 'list all accepted changes',
    },
  ],
  async run(_positionals, options, output) {
    const first = stringOption(options, 'first') ?? '1';
    const path = `/history?first=${encodeURIComponent(first)}`;
    const rows = await getResource<HistoryEntry[]>(options, path);
    if (options['json'] === true) output.writeLine(serializeHistory(rows));
    else output.writeLine(renderHistory(rows));
    return ExitCode.Success;
  },
};

/** Prints the difference between two configurations. */
export const configDiffCommand: Command = {
  name: 'config diff',
  summary: 'Print the changes between two configurations.',
  positionals: ['FROM', 'TO'],
  options: CONNECTION_OPTIONS,
  examples: [
    {
      commandLine: 'siskinmux config diff 41 44',
      purpose: 'show the changes of three patches',
    },
  ],
  async run([from = '', to = ''], options, output) {
    const before = await getConfiguration(options, `/configuration/${from}`);
    const after = await getConfiguration(options, `/configuration/${to}`);
    const changes = diffDeclarations(before.declarations, after.declarations);
    if (options['json'] === true)
      output.writeLine(JSON.stringify(changes.map(hideDigests)));
    else {
      for (const change of changes) {
        output.writeLine(describeChange(before.declarations, change));
      }
      if (changes.length === 0) output.writeLine('Nothing changed.');
    }
    return ExitCode.Success;
  },
};

/** Nodes of versions without teams send no section for them. */
async function getConfiguration(
  options: OptionValues,
  path: string,
): Promise<NumberedConfiguration> {
  const found = await getResource<NumberedConfiguration>(options, path);
  return {...found, declarations: {...NO_TEAMS, ...found.declarations}};
}

async function getResource<Shape>(
  options: OptionValues,
  path: string,
): Promise<Shape> {
  return (await OperatorClient.create(options).get(path)) as Shape;
}

async function submitPatch(
  patch: Patch,
  options: OptionValues,
  output: CommandOutput,
): Promise<ExitCode> {
  const response = await OperatorClient.create(options).post('/patches', patch);
  const {number} = response as {number: number};
  output.writeLine(
    options['json'] === true
      ? JSON.stringify({number})
      : `Accepted as number ${number}. It becomes active on all nodes within seconds.`,
  );
  return ExitCode.Success;
}

function createPlan(
  current: NumberedConfiguration,
  target: Declarations,
): Plan {
  return {
    id: randomUUID(),
    based_on: current.number,
    changes: diffDeclarations(current.declarations, target),
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

function printConfiguration(
  configuration: NumberedConfiguration,
  output: CommandOutput,
): void {
  output.writeLine(`Configuration ${configuration.number}`);
  for (const [section, entries] of Object.entries(configuration.declarations)) {
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
    output.writeLine(
      `Submit with: siskinmux config apply ${file} --reason "…"`,
    );
  }
}

function serializeHistory(rows: readonly HistoryEntry[]): string {
  return JSON.stringify(
    rows.map(row => ({...row, changes: row.changes.map(hideDigests)})),
  );
}

function renderHistory(rows: readonly HistoryEntry[]): string {
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
