/** Bundles a program and its imports into one file with esbuild. */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

/** Packages that NestJS loads only if they are installed; left out of the bundle. */
const OPTIONAL_PACKAGES = [
  '@nestjs/platform-express',
  '@nestjs/microservices',
  '@nestjs/websockets',
  '@fastify/static',
  '@fastify/view',
  '@fastify/multipart',
  'class-validator',
  'class-transformer',
];

/** Takes the place of `node:assert`, whose failures stop a bundled process for seconds. */
const ASSERT_FILE = fileURLToPath(
  new URL('../packages/runtime/src/assert.cts', import.meta.url),
);

/** Entry point, output file and Node.js version of a bundle. */
export interface BundleOptions {
  readonly entry: string;
  readonly outfile: string;
  readonly target: 'node20' | 'node24';
}

/** Bundles `entry` into `outfile`. */
export async function bundle(options: BundleOptions): Promise<void> {
  await build({
    entryPoints: [options.entry],
    outfile: options.outfile,
    bundle: true,
    platform: 'node',
    target: options.target,
    format: 'cjs',
    // Node.js does not resolve import() in a script that comes with a code cache.
    supported: {'dynamic-import': false},
    minifySyntax: true,
    minifyWhitespace: true,
    alias: {assert: ASSERT_FILE, 'node:assert': ASSERT_FILE},
    external: OPTIONAL_PACKAGES,
    logLevel: 'error',
  });
}
