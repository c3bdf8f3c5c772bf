/** Loads the example declarations from the repository or from inside the binary. */

import {createRequire} from 'node:module';
import type {Declarations} from '@siskinmux/declarations';
import {parseDeclarations} from '@siskinmux/declarations';
import {readDeclarationFolder} from './declaration_folder.js';

/** Path of the examples, relative to the root of the repository. */
const EXAMPLES_FOLDER = 'examples/brindlecote';

/** Asset in which the build embeds the examples. */
const EXAMPLES_ASSET = 'examples.json';

/** The part of `node:sea` (single executable applications) that is used here. */
interface SingleExecutable {
  isSea(): boolean;
  getAsset(name: string, encoding: string): string;
}

/** Reads the declarations that the demonstration applies. */
export function readExampleDeclarations(): Declarations {
  const executable = loadSingleExecutable();
  if (executable === undefined) return readDeclarationFolder(EXAMPLES_FOLDER);
  return parseDeclarations(
    JSON.parse(executable.getAsset(EXAMPLES_ASSET, 'utf8')),
  );
}

/** Loads the API for embedded assets; undefined when the program runs from source. */
function loadSingleExecutable(): SingleExecutable | undefined {
  const requireModule = createRequire(process.execPath);
  try {
    const executable = requireModule('node:sea') as SingleExecutable;
    return executable.isSea() ? executable : undefined;
  } catch {
    return undefined;
  }
}
