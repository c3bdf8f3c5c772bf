/** Reads a node's settings file. */

import {readFileSync} from 'node:fs';
import type {RawSettings} from '@siskinmux/kernel';
import {SettingsError} from '@siskinmux/kernel';
import {TomlError, parse} from 'smol-toml';

/** Parses a TOML settings file into its tables. Throws {@link SettingsError}. */
export function readSettings(file: string): RawSettings {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    throw new SettingsError(file, "the file can't be read");
  }
  try {
    return parse(text);
  } catch (failure) {
    if (!(failure instanceof TomlError)) throw failure;
    const [problem = 'not valid TOML'] = failure.message.split('\n');
    throw new SettingsError(`${file}:${failure.line}`, problem);
  }
}
