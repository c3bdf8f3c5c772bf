/** What a command of the command line is. */

import type {ParseArgsConfig} from 'node:util';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {ExitCode} from './exit_code.js';

/** Where a command writes. */
export interface Output {
  /** Results, for people or programs. */
  line(text: string): void;
  /** Anything else. */
  error(text: string): void;
}

/** Options as `util.parseArgs` returns them. */
export type OptionValues = Readonly<
  Record<string, string | boolean | undefined>
>;

/** One example of a command, with what it is good for. */
export interface Example {
  readonly line: string;
  readonly purpose: string;
}

/** An option with its description. */
export type OptionSpec = NonNullable<ParseArgsConfig['options']>[string] & {
  readonly help: string;
  /** Placeholder of the value in the help. */
  readonly value?: string;
};

/** A command. */
export interface Command {
  /** Words after the program's name, such as `config plan`. */
  readonly name: string;
  readonly summary: string;
  /** Names of the positional arguments. */
  readonly positionals: readonly string[];
  readonly options: Readonly<Record<string, OptionSpec>>;
  readonly examples: readonly Example[];
  run(
    positionals: readonly string[],
    options: OptionValues,
    output: Output,
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
