/** Loads declarations from a folder of TOML files. */

import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {DeclarationFile, Declarations} from '@siskinmux/declarations';
import {parseDeclarations} from '@siskinmux/declarations';
import {UsageError} from './command.js';

/**
 * Parses all `.toml` files of a folder and validates them together. Throws
 * {@link UsageError} if the folder can't be read or has no such file, and
 * `DeclarationError` if the declarations are not valid.
 */
export function readDeclarationFolder(folder: string): Declarations {
  return parseDeclarations(readTomlFiles(folder));
}

function readTomlFiles(folder: string): DeclarationFile[] {
  let names: string[];
  try {
    names = readdirSync(folder).filter(name => name.endsWith('.toml'));
  } catch {
    throw new UsageError(`the folder ${folder} can't be read.`);
  }
  if (names.length === 0) {
    throw new UsageError(`the folder ${folder} contains no .toml files.`);
  }
  return names.sort().map(name => {
    const file = join(folder, name);
    return {name: file, text: readFileSync(file, 'utf8')};
  });
}
