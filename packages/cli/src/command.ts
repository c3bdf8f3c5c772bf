/** What a command of the command line is. */

import type {ParseArgsConfig} from 'node:util';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {ExitCode} from './exit_code.js';

/** Where a command writes. */
export interface CommandOutput {
  /** Results, for people or programs. */
  writeLine(text: string): void;
  /** Anything else. */
  writeError(text: string): void;
}

/** Options as `util.parseArgs` returns them. */
export type OptionValues = Readonly<
  Record<string, string | boolean | undefined>
>;

/** One example of a command, with what it is good for. */
export interface CommandExample {
  readonly commandLine: string;
  readonly purpose: string;
}

/** An option with its description. */
export type OptionSpec = NonNullable<ParseArgsConfig['options']>[string] & {
  readonly help: string;
  /** Placeholder of the value in the help. */
  readonly placeholder?: string;
};

/** A command. */
export interface Command {
  /** Words after the program's name, such as `config plan`. */
  readonly name: string;
  readonly summary: string;
  /** Names of the positional arguments. */
  readonly positionals: readonly string[];
  readonly options: Readonly<Record<string, OptionSpec>>;
  readonly examples: readonly CommandExample[];
  run(
    positionals: readonly string[],
    options: OptionValues,
    output: CommandOutput,
  ): Promise<ExitCode>;
}

/** The command line is not valid. */
export class UsageError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.UsageError, detail);
  }
}

/** A string option, or undefined. */
export function stringOption(
  options: OptionValues,
  name: string,
): string | undefined {
  const value = options[name];
  return typeof value === 'string' ? value : undefined;
}

/** A string option that has to be there. */
export function requiredOption(options: OptionValues, name: string): string {
  const value = stringOption(options, name);
  if (value === undefined) throw new UsageError(`--${name} is missing.`);
  return value;
}
