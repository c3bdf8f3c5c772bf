/**
 * Builds the binary: an esbuild bundle embedded in the Node.js executable that
 * the package for this machine's architecture brings.
 */

import {execFileSync} from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import {inject} from 'postject';
import {bundle} from './bundle.js';

const OUTPUT_FOLDER = 'build';
const BINARY_FILE = join(OUTPUT_FOLDER, 'siskinmux');
const BUNDLE_FILE = join(OUTPUT_FOLDER, 'siskinmux.cjs');
const BLOB_FILE = join(OUTPUT_FOLDER, 'siskinmux.blob');
const EXAMPLES_FILE = join(OUTPUT_FOLDER, 'examples.json');
const EXAMPLE_FOLDER = 'examples/brindlecote';

/** Marker in the executable by which Node.js detects an embedded blob. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

rmSync(OUTPUT_FOLDER, {recursive: true, force: true});
mkdirSync(OUTPUT_FOLDER);
await bundle({
  entry: 'packages/cli/src/main.ts',
  outfile: BUNDLE_FILE,
  target: 'node24',
});
writeExamplesAsset();
await createBinary();

/** Collects the declarations of the demonstration, which are embedded in the binary. */
function writeExamplesAsset(): void {
  const files = readdirSync(EXAMPLE_FOLDER)
    .filter(name => name.endsWith('.toml'))
    .sort()
    .map(name => ({
      name,
      text: readFileSync(join(EXAMPLE_FOLDER, name), 'utf8'),
    }));
  writeFileSync(EXAMPLES_FILE, JSON.stringify(files));
}

async function createBinary(): Promise<void> {
  const configuration = join(OUTPUT_FOLDER, 'sea.json');
  writeFileSync(
    configuration,
    JSON.stringify({
      main: BUNDLE_FILE,
      output: BLOB_FILE,
      disableExperimentalSEAWarning: true,
      assets: {'examples.json': EXAMPLES_FILE},
    }),
  );
  const nodeExecutable = createRequire(import.meta.url).resolve(
    `node-linux-${process.arch}/bin/node`,
  );
  execFileSync(nodeExecutable, ['--experimental-sea-config', configuration]);
  copyFileSync(nodeExecutable, BINARY_FILE);
  chmodSync(BINARY_FILE, 0o755);
  await inject(BINARY_FILE, 'NODE_SEA_BLOB', readFileSync(BLOB_FILE), {
    sentinelFuse: SENTINEL_FUSE,
  });
  for (const file of [BLOB_FILE, EXAMPLES_FILE, configuration]) rmSync(file);
}
