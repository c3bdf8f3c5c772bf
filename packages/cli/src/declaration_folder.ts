/** Reads a folder of declarations. */

import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import type {DeclarationFile, Declarations} from '@siskinmux/declarations';
import {parseDeclarations} from '@siskinmux/declarations';
import {UsageError} from './command.js';

/** All `.toml` files of a folder, parsed and checked as one whole. */
export function readDeclarationFolder(folder: string): Declarations {
  return parseDeclarations(readFiles(folder));
}

function readFiles(folder: string): DeclarationFile[] {
  let names: string[];
  try {
    names = readdirSync(folder).filter(name => name.endsWith('.toml'));
  } catch {
    throw new UsageError(`the folder ${folder} can't be read.`);
  }
  if (names.length === 0) {
    throw new UsageError(`the folder ${folder} holds no .toml files.`);
  }
  return names.sort().map(name => {
    const file = join(folder, name);
    return {name: file, text: readFileSync(file, 'utf8')};
  });
}
