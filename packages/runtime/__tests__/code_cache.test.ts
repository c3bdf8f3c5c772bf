import {spawnSync} from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {bundle} from '../../../scripts/bundle.js';

const SOURCE = fileURLToPath(new URL('../src/code_cache.ts', import.meta.url));

const DAMAGE_STEP_BYTES = 200;

const BUNDLE = `
  const {sep} = require('node:path');
  const added = 41;
  exports.answer = () => sep.length + added;
`;

const PROGRAM = `
  const {loadBundle} = require('./code_cache.cjs');
  const bundle = loadBundle(require('node:path').join(__dirname, 'bundle.cjs'));
  if (process.argv.includes('write')) bundle.writeCodeCache();
  console.log(bundle.codeCache, bundle.exports.answer());
`;

describe('loadBundle', () => {
  let folder: string;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'code-cache-'));
    writeFileSync(join(folder, 'bundle.cjs'), BUNDLE);
    writeFileSync(join(folder, 'program.cjs'), PROGRAM);
    const outfile = join(folder, 'code_cache.cjs');
    await bundle({entry: SOURCE, outfile, target: 'node20'});
  });

  afterEach(() => rmSync(folder, {recursive: true}));

  function run(...options: string[]): string {
    const {stdout, stderr} = spawnSync(process.execPath, options, {
      cwd: folder,
    });
    return `${stdout}${stderr}`.trim();
  }

  it('compiles a bundle without a code cache', () => {
    expect(run('program.cjs')).toEqual('missing 42');
  });

  it('uses the code cache that an earlier process has written', () => {
    run('program.cjs', 'write');
    expect(run('program.cjs')).toEqual('used 42');
  });

  it('compiles a bundle whose code cache was written with other options', () => {
    run('--no-wasm-tier-up', 'program.cjs', 'write');
    expect(run('program.cjs')).toEqual('rejected 42');
    expect(run('--no-wasm-tier-up', 'program.cjs')).toEqual('used 42');
  });

  it('compiles a bundle whose code cache is cut off', () => {
    run('program.cjs', 'write');
    truncateSync(join(folder, 'bundle.cjs.cache'), 100);
    expect(run('program.cjs')).toEqual('rejected 42');
  });

  it('compiles a bundle whose code cache belongs to another bundle', () => {
    run('program.cjs', 'write');
    writeFileSync(join(folder, 'bundle.cjs'), `${BUNDLE}\n// changed`);
    expect(run('program.cjs')).toEqual('rejected 42');
  });

  it('runs no code of another bundle of the same length', () => {
    run('program.cjs', 'write');
    writeFileSync(join(folder, 'bundle.cjs'), BUNDLE.replace('41', '51'));
    expect(run('program.cjs')).toEqual('rejected 52');
  });

  it('compiles a bundle whose code cache is damaged', () => {
    run('program.cjs', 'write');
    const file = join(folder, 'bundle.cjs.cache');
    const written = readFileSync(file);
    for (let at = 0; at < written.length; at += DAMAGE_STEP_BYTES) {
      const damaged = Buffer.from(written);
      damaged[at] = ~damaged[at]!;
      writeFileSync(file, damaged);
      expect(run('program.cjs')).toEqual('rejected 42');
    }
  });
});
