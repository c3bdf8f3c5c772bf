/** Types that all commands share, and helpers to read their options. */

import type {ParseArgsConfig} from 'node:util';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {ExitCode} from './exit_code.js';

/** Output streams of a command. */
export interface CommandOutput {
  /** Writes a line of the result to standard output. */
  writeLine(text: string): void;
  /** Writes a diagnostic to standard error. */
  writeError(text: string): void;
}

/** Reads standard input to its end; at most `limitBytes`, undefined if there are more. */
export type ReadInput = (limitBytes: number) => Promise<Buffer | undefined>;

/** Options as `util.parseArgs` returns them. */
export type OptionValues = Readonly<
  Record<string, string | boolean | undefined>
>;

/** An example invocation for the help, with its purpose. */
export interface CommandExample {
  readonly commandLine: string;
  readonly purpose: string;
}

/** An option of `util.parseArgs`, with the texts for the help. */
export type OptionSpec = NonNullable<ParseArgsConfig['options']>[string] & {
  readonly help: string;
  /** Stands for the value in the help, such as `FILE`. */
  readonly placeholder?: string;
};

/** A subcommand of `siskinmux`. */
export interface Command {
  /** Words that select the command, such as `config plan`. */
  readonly name: string;
  readonly summary: string;
  /**
   * Names of the positional arguments; a last one that ends in `...` is repeatable, and in
   * brackets it may also be missing.
   */
  readonly positionals: readonly string[];
  readonly options: Readonly<Record<string, OptionSpec>>;
  readonly examples: readonly CommandExample[];
  run(
    positionals: readonly string[],
    options: OptionValues,
    output: CommandOutput,
    readInput: ReadInput,
  ): Promise<ExitCode>;
}

/** The command line is not valid. */
export class UsageError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.UsageError, detail);
  }
}

/** Value of a string option; undefined if it was not given. */
export function stringOption(
  options: OptionValues,
  name: string,
): string | undefined {
  const value = options[name];
  return typeof value === 'string' ? value : undefined;
}

/** Value of a string option. Throws {@link UsageError} if it was not given. */
export function requiredOption(options: OptionValues, name: string): string {
  const value = stringOption(options, name);
  if (value === undefined) throw new UsageError(`--${name} is missing.`);
  return value;
}
