/** The example declarations, from the repository or from inside the binary. */

import {createRequire} from 'node:module';
import type {Declarations} from '@siskinmux/declarations';
import {parseDeclarations} from '@siskinmux/declarations';
import {readDeclarationFolder} from './declaration_folder.js';

/** Folder of the examples in the repository. */
const FOLDER = 'examples/brindlecote';

/** Name under which the build puts the examples into the binary. */
const ASSET = 'examples.json';

interface SingleExecutable {
  isSea(): boolean;
  getAsset(name: string, encoding: string): string;
}

/** The declarations that the demonstration applies. */
export function readExampleDeclarations(): Declarations {
  const binary = singleExecutable();
  if (binary === undefined) return readDeclarationFolder(FOLDER);
  return parseDeclarations(JSON.parse(binary.getAsset(ASSET, 'utf8')));
}

/** Undefined when the program runs from the repository. */
function singleExecutable(): SingleExecutable | undefined {
  const load = createRequire(process.execPath);
  try {
    const binary = load('node:sea') as SingleExecutable;
    return binary.isSea() ? binary : undefined;
  } catch {
    return undefined;
  }
}
