/** Runs the command that the arguments name and maps failures to exit codes. */

import {parseArgs} from 'node:util';
import {SettingsError, SiskinmuxError} from '@siskinmux/kernel';
import {DeclarationError, formatFault} from '@siskinmux/declarations';
import type {Command, CommandOutput, ReadInput} from './command.js';
import {UsageError} from './command.js';
import {checkCommand} from './commands/check.js';
import {
  configApplyCommand,
  configDiffCommand,
  configHistoryCommand,
  configPlanCommand,
  configRollbackCommand,
  configShowCommand,
} from './commands/config.js';
import {demoCommand} from './commands/demo.js';
import {explainCommand} from './commands/explain.js';
import {keysDigestCommand} from './commands/keys.js';
import {serveCommand} from './commands/serve.js';
import {statusCommand} from './commands/status.js';
import {versionCommand} from './commands/version.js';
import {ExitCode} from './exit_code.js';
import {renderCommandHelp, renderOverview} from './help.js';
import {NodeUnreachableError, ProblemResponseError} from './operator_client.js';
import {readToEnd} from './read_input.js';

/** All commands, in the order in which the help lists them. */
export const COMMANDS: readonly Command[] = [
  serveCommand,
  checkCommand,
  configShowCommand,
  configPlanCommand,
  configApplyCommand,
  configRollbackCommand,
  configHistoryCommand,
  configDiffCommand,
  keysDigestCommand,
  statusCommand,
  explainCommand,
  demoCommand,
  versionCommand,
];

const HELP_WORDS = new Set(['help', '--help', '-h']);

/** Runs the command that `arguments_` name and returns the exit code of the process. */
export async function runCommandLine(
  arguments_: readonly string[],
  output: CommandOutput,
  readInput: ReadInput = limitBytes => readToEnd(process.stdin, limitBytes),
): Promise<ExitCode> {
  try {
    return await run(arguments_, output, readInput);
  } catch (failure) {
    return reportFailure(failure, output);
  }
}

async function run(
  arguments_: readonly string[],
  output: CommandOutput,
  readInput: ReadInput,
): Promise<ExitCode> {
  const command = findCommand(arguments_);
  if (command === undefined) return showOverview(arguments_, output);
  const remaining = arguments_.slice(command.name.split(' ').length);
  if (remaining.some(word => HELP_WORDS.has(word))) {
    output.writeLine(renderCommandHelp(command));
    return ExitCode.Success;
  }
  const {positionals, values} = parseOptions(command, remaining);
  if (!isPositionalCountValid(command, positionals.length)) {
    const expected = command.positionals.join(' ') || 'no arguments';
    throw new UsageError(`${command.name} expects ${expected}.`);
  }
  return command.run(positionals, values, output, readInput);
}

/**
 * A last positional whose name ends in dots stands for one or more arguments; in brackets, for
 * any number.
 */
function isPositionalCountValid(
  {positionals}: Command,
  count: number,
): boolean {
  const last = positionals.at(-1);
  if (last?.endsWith('...]') === true) return count >= positionals.length - 1;
  const isRepeatable = last?.endsWith('...') === true;
  return isRepeatable
    ? count >= positionals.length
    : count === positionals.length;
}

function parseOptions(command: Command, remaining: readonly string[]) {
  try {
    return parseArgs({
      args: [...remaining],
      options: Object.fromEntries(
        Object.entries(command.options).map(([name, {type}]) => [name, {type}]),
      ),
      allowPositionals: true,
      strict: true,
    }) as {
      positionals: string[];
      values: Record<string, string | boolean | undefined>;
    };
  } catch (failure) {
    if (!(failure instanceof TypeError)) throw failure;
    throw new UsageError(failure.message);
  }
}

function findCommand(arguments_: readonly string[]): Command | undefined {
  return COMMANDS.find(({name}) => {
    const words = name.split(' ');
    return words.every((word, index) => arguments_[index] === word);
  });
}

function showOverview(
  arguments_: readonly string[],
  output: CommandOutput,
): ExitCode {
  const words = arguments_.filter(word => !HELP_WORDS.has(word));
  const [prefix = ''] = words;
  const isKnown = COMMANDS.some(({name}) => name.split(' ')[0] === prefix);
  if (words.length === 0 || (isKnown && words.length === 1)) {
    output.writeLine(renderOverview(COMMANDS, prefix));
    const isHelpRequested =
      words.length < arguments_.length || words.length === 0;
    return isHelpRequested ? ExitCode.Success : ExitCode.Usage;
  }
  throw new UsageError(
    `there is no command "${words.slice(0, 2).join(' ')}"; try: siskinmux help`,
  );
}

function reportFailure(failure: unknown, output: CommandOutput): ExitCode {
  if (!(failure instanceof SiskinmuxError)) throw failure;
  if (failure instanceof ProblemResponseError) {
    return reportProblem(failure, output);
  }
  output.writeError(
    failure instanceof DeclarationError
      ? failure.faults.map(formatFault).join('\n')
      : failure.message,
  );
  return exitCodeOf(failure);
}

function exitCodeOf(failure: SiskinmuxError): ExitCode {
  if (failure instanceof UsageError) return ExitCode.Usage;
  if (failure instanceof SettingsError) return ExitCode.Invalid;
  if (failure instanceof DeclarationError) return ExitCode.Invalid;
  if (failure instanceof NodeUnreachableError) return ExitCode.Unreachable;
  return ExitCode.Failure;
}

function reportProblem(
  failure: ProblemResponseError,
  output: CommandOutput,
): ExitCode {
  output.writeError(failure.detail.trim());
  const {theirs, yours, faults} = failure.problem as {
    theirs?: string[];
    yours?: string[];
    faults?: {path: string; problem: string}[];
  };
  if (theirs !== undefined && yours !== undefined) {
    output.writeError('Others changed meanwhile:');
    for (const line of theirs) output.writeError(`  ${line}`);
    output.writeError('You would have changed:');
    for (const line of yours) output.writeError(`  ${line}`);
    output.writeError(
      'Plan again: siskinmux config plan FOLDER --out plan.json',
    );
    return ExitCode.Conflict;
  }
  for (const fault of faults ?? []) {
    output.writeError(`  ${fault.path}: ${fault.problem}`);
  }
  if (failure.status === 422) return ExitCode.Invalid;
  return failure.status >= 500 ? ExitCode.Unreachable : ExitCode.Failure;
}
