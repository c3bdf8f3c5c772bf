/** Bundles a program with all that it imports into one file, by esbuild. */

import {build} from 'esbuild';

/** Packages that NestJS loads only if they are installed. */
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

/** What is bundled, and for which version of Node.js. */
export interface BundleOptions {
  readonly entry: string;
  readonly outfile: string;
  readonly target: 'node20' | 'node24';
}

/** Writes the bundle. */
export async function bundle(options: BundleOptions): Promise<void> {
  await build({
    entryPoints: [options.entry],
    outfile: options.outfile,
    bundle: true,
    platform: 'node',
    target: options.target,
    format: 'cjs',
    minifySyntax: true,
    external: OPTIONAL_PACKAGES,
    logLevel: 'error',
  });
}
