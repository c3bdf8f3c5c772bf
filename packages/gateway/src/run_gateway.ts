/** Runs one gateway as a process, until it is told to stop. */

import {readClocks, steadyClock, systemRandom} from '@siskinmux/adapters';
import {SettingsError} from '@siskinmux/kernel';
import {LineWriter, readSettings, writeToDescriptor} from '@siskinmux/runtime';
import type {CodeCacheState} from '@siskinmux/runtime/code_cache';
import type {GatewayPlatform} from './gateway_platform.js';
import {GatewayNode} from './gateway_node.js';

/** The bundle is compiled for and tested on this major version of Node.js or newer. */
const MINIMUM_NODEJS_MAJOR_VERSION = 20;

/** Time to write out buffered log lines before the process exits. */
const LOG_DRAIN_TIMEOUT_MILLISECONDS = 200;

export interface GatewayProcessOptions {
  readonly platform: GatewayPlatform;
  readonly settingsFile: string;
  readonly codeCache: CodeCacheState;
}

/** Runs a gateway until SIGTERM or SIGINT, then ends the process. */
export function runGateway(options: GatewayProcessOptions): void {
  run(options).then(
    () => process.exit(0),
    (failure: unknown) => {
      process.stderr.write(`${String(failure)}\n`);
      process.exit(1);
    },
  );
}

async function run(options: GatewayProcessOptions): Promise<void> {
  checkNodejsVersion();
  const logWriter = LineWriter.create({
    writeText: writeToDescriptor(1),
    clock: steadyClock,
  });
  const node = GatewayNode.create({
    settings: readSettings(options.settingsFile),
    platform: options.platform,
    clock: steadyClock,
    readClocks,
    random: systemRandom,
    writeLog: line => logWriter.write(line),
    codeCache: options.codeCache,
  });
  for (const kind of ['uncaughtException', 'unhandledRejection'] as const) {
    process.on(kind, (failure: unknown) =>
      node.logUnexpectedFailure(kind, failure),
    );
  }
  const stopRequested = new Promise<void>(resolve => {
    // The node may be told more than once; a second signal must not end its requests.
    process.on('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
  await node.start();
  await stopRequested;
  await node.stop();
  await logWriter.drain(LOG_DRAIN_TIMEOUT_MILLISECONDS);
}

function checkNodejsVersion(): void {
  const {node} = process.versions;
  if (Number(node.split('.')[0]) >= MINIMUM_NODEJS_MAJOR_VERSION) return;
  throw new SettingsError(
    'node',
    `Node.js version ${node}, expected ${MINIMUM_NODEJS_MAJOR_VERSION} or newer`,
  );
}
