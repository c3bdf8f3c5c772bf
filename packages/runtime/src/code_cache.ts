/**
 * Runs a bundle with the code cache of V8 that the build has put beside it, so that a process
 * does not compile its modules when it starts.
 */

import {createHash} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire, wrap} from 'node:module';
import {dirname} from 'node:path';
import {Script} from 'node:vm';

const DIGEST_ALGORITHM = 'sha256';
const DIGEST_BYTES = 32;

/**
 * What became of a bundle's code cache. One that belongs to another bundle, is damaged, or was
 * written by another version of Node.js or with other options is rejected; the bundle is then compiled.
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
  const source = readFileSync(file, 'utf8');
  const cache = readIfPresent(cacheFile);
  const cachedData = cache && verify(source, cache);
  const script = new Script(wrap(source), {
    filename: file,
    cachedData,
  });
  const module = {exports: {}};
  const load = script.runInThisContext() as ModuleFunction;
  load(module.exports, createRequire(file), module, file, dirname(file));
  return {
    exports: module.exports,
    codeCache: cache === undefined ? 'missing' : stateOf(script, cachedData),
    writeCodeCache: () => {
      const data = script.createCachedData();
      writeFileSync(cacheFile, Buffer.concat([digestOf(source, data), data]));
    },
  };
}

function stateOf(script: Script, cachedData?: Buffer): CodeCacheState {
  return cachedData === undefined || script.cachedDataRejected === true
    ? 'rejected'
    : 'used';
}

/** V8 itself compares no more than the length of the source, and no checksum of the data. */
function verify(source: string, cache: Buffer): Buffer | undefined {
  const data = cache.subarray(DIGEST_BYTES);
  const digest = cache.subarray(0, DIGEST_BYTES);
  return digest.equals(digestOf(source, data)) ? data : undefined;
}

function digestOf(source: string, data: Buffer): Buffer {
  return createHash(DIGEST_ALGORITHM).update(source).update(data).digest();
}

function readIfPresent(file: string): Buffer | undefined {
  try {
    return readFileSync(file);
  } catch (failure) {
    if ((failure as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw failure;
  }
}
