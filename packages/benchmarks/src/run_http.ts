/**
 * `npm run bench`: compares requests through siskinmux with requests sent directly to
 * the stand-in.
 */

import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {request} from 'undici';
import {readDeclarationFolder} from '../../cli/src/declaration_folder.js';
import {checkBounds} from './bounds.js';
import type {HttpTarget} from './http_load.js';
import {runClosedLoop, runOpenLoop} from './http_load.js';
import {BenchmarkProcesses, readProcessorSeconds, sleep} from './processes.js';

const DECLARATIONS = 'examples/brindlecote';
const SETTINGS = 'examples/settings/node-1.toml';
const PLATFORM_URL = 'http://127.0.0.1:17100';
const NODE_URL = 'http://127.0.0.1:17001';
const OPERATOR_URL = 'http://127.0.0.1:17021';

const CALLERS = 64;
const SECONDS = 5;
const WARM_UP_SECONDS = 3;
const ACTIVATION_WAIT_MILLISECONDS = 1_000;
const FIRST_TOKEN_SAMPLES = 40;

/** Bounds from the performance targets. */
const MAXIMUM_ADDED_MILLISECONDS = 1;
const MINIMUM_REQUESTS_PER_CORE_SECOND = 3_000;
/** Time to the first token through siskinmux, as a multiple of that of a direct request. */
const MAXIMUM_FIRST_TOKEN_RATIO = 1.25;

const print = (line: string): void => console.log(line);

const processes = BenchmarkProcesses.create();
await processes.start(
  'scripts/stand_ins.ts',
  ['--declarations', DECLARATIONS],
  `${PLATFORM_URL}/hosts`,
);
const node = await processes.start(
  'packages/cli/src/main.ts',
  ['serve', '--settings', SETTINGS],
  `${NODE_URL}/health/live`,
);
const declarations = readDeclarationFolder(DECLARATIONS);
await request(`${OPERATOR_URL}/patches`, {
  method: 'POST',
  body: JSON.stringify({
    id: 'benchmark-1',
    based_on: 0,
    author: 'benchmark',
    reason: 'benchmark',
    changes: diffDeclarations(emptyDeclarations(), declarations),
  }),
});
await sleep(ACTIVATION_WAIT_MILLISECONDS);

const directTarget: HttpTarget = {
  url: `${declarations.endpoints['coupon-a']?.url}/balance/7`,
  method: 'GET',
};
const proxiedTarget: HttpTarget = {
  url: `${NODE_URL}/services/coupons/balance/7`,
  method: 'GET',
};

await runClosedLoop(proxiedTarget, CALLERS, WARM_UP_SECONDS);
await runClosedLoop(directTarget, CALLERS, WARM_UP_SECONDS);
const processorSecondsBefore = readProcessorSeconds(node);
const saturated = await runClosedLoop(proxiedTarget, CALLERS, SECONDS);
const processorSecondsUsed =
  readProcessorSeconds(node) - processorSecondsBefore;
const requestsPerCoreSecond = saturated.count / processorSecondsUsed;
const halfLoad = saturated.requestsPerSecond / 2;
const directAtHalfLoad = await runOpenLoop(directTarget, halfLoad, SECONDS);
const proxiedAtHalfLoad = await runOpenLoop(proxiedTarget, halfLoad, SECONDS);

print(
  `saturated: ${saturated.requestsPerSecond.toFixed(0)} requests/s with ${CALLERS} callers, ${(processorSecondsUsed / SECONDS).toFixed(2)} cores, ${saturated.failures} failures`,
);
print(
  `at ${halfLoad.toFixed(0)}/s direct:  p50 ${directAtHalfLoad.p50Milliseconds.toFixed(2)} ms, p99 ${directAtHalfLoad.p99Milliseconds.toFixed(2)} ms`,
);
print(
  `at ${halfLoad.toFixed(0)}/s through: p50 ${proxiedAtHalfLoad.p50Milliseconds.toFixed(2)} ms, p99 ${proxiedAtHalfLoad.p99Milliseconds.toFixed(2)} ms, ${proxiedAtHalfLoad.failures} failures`,
);
const firstToken = await measureFirstToken();
const areWithinBounds = checkBounds(
  [
    {
      name: 'added latency at half of saturation, p50',
      value:
        proxiedAtHalfLoad.p50Milliseconds - directAtHalfLoad.p50Milliseconds,
      unit: 'ms',
      maximum: MAXIMUM_ADDED_MILLISECONDS,
    },
    {
      name: 'added latency at half of saturation, p99',
      value:
        proxiedAtHalfLoad.p99Milliseconds - directAtHalfLoad.p99Milliseconds,
      unit: 'ms',
      maximum: MAXIMUM_ADDED_MILLISECONDS,
    },
    {
      name: 'small requests on one core',
      value: requestsPerCoreSecond,
      unit: 'requests/s',
      minimum: MINIMUM_REQUESTS_PER_CORE_SECOND,
    },
    {
      name: 'first token, through siskinmux over direct, p50',
      value: firstToken.ratio,
      unit: 'times',
      maximum: MAXIMUM_FIRST_TOKEN_RATIO,
    },
  ],
  print,
);
processes.killAll();
process.exit(areWithinBounds ? 0 : 1);

/**
 * Streams text through siskinmux and directly, one request at a time, and compares the
 * times to the first token.
 */
async function measureFirstToken(): Promise<{ratio: number}> {
  const model = 'offers-01';
  const body = JSON.stringify({
    model,
    stream: true,
    max_tokens: 4,
    prompt: 'an offer',
  });
  await timeToFirstToken(`${NODE_URL}/v1/completions`, body);
  const engine = await findEngine(`${model}@v2`);
  const engineBody = body.replace(model, `${model}@v2`);
  const proxiedMilliseconds: number[] = [];
  const directMilliseconds: number[] = [];
  for (let index = 0; index < FIRST_TOKEN_SAMPLES; index += 1) {
    proxiedMilliseconds.push(
      await timeToFirstToken(`${NODE_URL}/v1/completions`, body),
    );
    directMilliseconds.push(
      await timeToFirstToken(`${engine}/v1/completions`, engineBody),
    );
  }
  const proxiedMedian = median(proxiedMilliseconds);
  const directMedian = median(directMilliseconds);
  print(
    `first token direct ${directMedian.toFixed(2)} ms, through ${proxiedMedian.toFixed(2)} ms`,
  );
  return {ratio: proxiedMedian / directMedian};
}

async function findEngine(modelVersion: string): Promise<string> {
  const [model] = modelVersion.split('@');
  for (const endpoint of Object.values(declarations.endpoints)) {
    if (endpoint.kind !== 'engine') continue;
    const response = await request(`${endpoint.url}/standin/observe`);
    const {models} = (await response.body.json()) as {models: string[]};
    if (models.includes(model ?? '')) return endpoint.url;
  }
  throw new RangeError(`no engine has loaded ${modelVersion}`);
}

async function timeToFirstToken(url: string, body: string): Promise<number> {
  const startedAt = performance.now();
  const response = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body,
  });
  let firstTokenMilliseconds: number | undefined;
  for await (const _chunk of response.body) {
    firstTokenMilliseconds ??= performance.now() - startedAt;
  }
  return firstTokenMilliseconds ?? NaN;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}
