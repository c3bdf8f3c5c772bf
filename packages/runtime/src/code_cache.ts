/**
 * Runs a bundle with the code cache of V8 that the build has put beside it, so that a process
 * does not compile its modules when it starts.
 */

import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire, wrap} from 'node:module';
import {dirname} from 'node:path';
import {Script} from 'node:vm';

/**
 * What became of a bundle's code cache. V8 rejects one that another version of Node.js, or one
 * with other options, has written; the bundle is then compiled.
 */
export type CodeCacheState = 'used' | 'rejected' | 'missing';

/** A bundle that has been loaded. */
export interface LoadedBundle {
  readonly exports: unknown;
  readonly codeCache: CodeCacheState;
  /** Writes the code that has been compiled so far beside the bundle. */
  writeCodeCache(): void;
}

type ModuleFunction = (
  exports: unknown,
  require: NodeJS.Require,
  module: {exports: unknown},
  filename: string,
  folder: string,
) => void;

/** Loads the CommonJS bundle `file`, an absolute path, which must not contain `import()`. */
export function loadBundle(file: string): LoadedBundle {
  const cacheFile = `${file}.cache`;
  const cachedData = readIfPresent(cacheFile);
  const script = new Script(wrap(readFileSync(file, 'utf8')), {
    filename: file,
    cachedData,
  });
  const module = {exports: {}};
  const load = script.runInThisContext() as ModuleFunction;
  load(module.exports, createRequire(file), module, file, dirname(file));
  return {
    exports: module.exports,
    codeCache: stateOf(script, cachedData),
    writeCodeCache: () => writeFileSync(cacheFile, script.createCachedData()),
  };
}

function stateOf(script: Script, cachedData?: Buffer): CodeCacheState {
  if (cachedData === undefined) return 'missing';
  return script.cachedDataRejected === true ? 'rejected' : 'used';
}

function readIfPresent(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch (failure) {
    if ((failure as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw failure;
  }
}
