/** `npm run bench`: what a hop through siskinmux adds, beside the stand-in straight. */

import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {request} from 'undici';
import {readDeclarationFolder} from '../../cli/src/declaration_folder.js';
import {checkBounds} from './bounds.js';
import type {HttpTarget} from './http_load.js';
import {runClosedLoop, runOpenLoop} from './http_load.js';
import {BenchmarkProcesses, readProcessorSeconds, sleep} from './processes.js';

const DECLARATIONS = 'examples/brindlecote';
const SETTINGS = 'examples/settings/node-1.toml';
const PLATFORM = 'http://127.0.0.1:17100';
const NODE = 'http://127.0.0.1:17001';
const OPERATOR = 'http://127.0.0.1:17021';

const CALLERS = 64;
const SECONDS = 5;
const WARM_UP_SECONDS = 3;
const IN_FORCE_MILLISECONDS = 1_000;
const FIRST_TOKEN_SAMPLES = 40;

/** Bounds that the target sets. */
const MOST_ADDED_MILLISECONDS = 1;
const LEAST_PER_CORE = 3_000;
/** The first token through siskinmux, as a multiple of the stand-in's own. */
const MOST_FIRST_TOKEN_RATIO = 1.25;

const print = (line: string): void => console.log(line);

const processes = BenchmarkProcesses.create();
await processes.start(
  'scripts/stand_ins.ts',
  ['--declarations', DECLARATIONS],
  `${PLATFORM}/hosts`,
);
const node = await processes.start(
  'packages/cli/src/main.ts',
  ['serve', '--settings', SETTINGS],
  `${NODE}/health/live`,
);
const declarations = readDeclarationFolder(DECLARATIONS);
await request(`${OPERATOR}/patches`, {
  method: 'POST',
  body: JSON.stringify({
    id: 'benchmark-1',
    based_on: 0,
    author: 'benchmark',
    reason: 'benchmark',
    changes: diffDeclarations(emptyDeclarations(), declarations),
  }),
});
await sleep(IN_FORCE_MILLISECONDS);

const straight: HttpTarget = {
  url: `${declarations.endpoints['coupon-a']?.url}/balance/7`,
  method: 'GET',
};
const through: HttpTarget = {
  url: `${NODE}/services/coupons/balance/7`,
  method: 'GET',
};

await runClosedLoop(through, CALLERS, WARM_UP_SECONDS);
await runClosedLoop(straight, CALLERS, WARM_UP_SECONDS);
const before = readProcessorSeconds(node);
const saturated = await runClosedLoop(through, CALLERS, SECONDS);
const used = readProcessorSeconds(node) - before;
const perCore = saturated.count / used;
const half = saturated.requestsPerSecond / 2;
const straightHalf = await runOpenLoop(straight, half, SECONDS);
const throughHalf = await runOpenLoop(through, half, SECONDS);

print(
  `saturated: ${saturated.requestsPerSecond.toFixed(0)} requests/s with ${CALLERS} callers, ${(used / SECONDS).toFixed(2)} cores, ${saturated.failures} failures`,
);
print(
  `at ${half.toFixed(0)}/s straight: p50 ${straightHalf.p50Milliseconds.toFixed(2)} ms, p99 ${straightHalf.p99Milliseconds.toFixed(2)} ms`,
);
print(
  `at ${half.toFixed(0)}/s through:  p50 ${throughHalf.p50Milliseconds.toFixed(2)} ms, p99 ${throughHalf.p99Milliseconds.toFixed(2)} ms, ${throughHalf.failures} failures`,
);
const firstToken = await measureFirstToken();
const areKept = checkBounds(
  [
    {
      name: 'added latency at half of saturation, p50',
      value: throughHalf.p50Milliseconds - straightHalf.p50Milliseconds,
      unit: 'ms',
      maximum: MOST_ADDED_MILLISECONDS,
    },
    {
      name: 'added latency at half of saturation, p99',
      value: throughHalf.p99Milliseconds - straightHalf.p99Milliseconds,
      unit: 'ms',
      maximum: MOST_ADDED_MILLISECONDS,
    },
    {
      name: 'small requests on one core',
      value: perCore,
      unit: 'requests/s',
      minimum: LEAST_PER_CORE,
    },
    {
      name: 'first token, through over straight, p50',
      value: firstToken.ratio,
      unit: 'times',
      maximum: MOST_FIRST_TOKEN_RATIO,
    },
  ],
  print,
);
processes.killAll();
process.exit(areKept ? 0 : 1);

/** Streams text both ways, one at a time, and compares the first tokens. */
async function measureFirstToken(): Promise<{ratio: number}> {
  const model = 'offers-01';
  const body = JSON.stringify({
    model,
    stream: true,
    max_tokens: 4,
    prompt: 'an offer',
  });
  await firstTokenOf(`${NODE}/v1/completions`, body);
  const engine = await findEngine(`${model}@v2`);
  const engineBody = body.replace(model, `${model}@v2`);
  const throughTimes: number[] = [];
  const straightTimes: number[] = [];
  for (let index = 0; index < FIRST_TOKEN_SAMPLES; index += 1) {
    throughTimes.push(await firstTokenOf(`${NODE}/v1/completions`, body));
    straightTimes.push(
      await firstTokenOf(`${engine}/v1/completions`, engineBody),
    );
  }
  const throughMedian = median(throughTimes);
  const straightMedian = median(straightTimes);
  print(
    `first token straight ${straightMedian.toFixed(2)} ms, through ${throughMedian.toFixed(2)} ms`,
  );
  return {ratio: throughMedian / straightMedian};
}

async function findEngine(modelVersion: string): Promise<string> {
  const [model] = modelVersion.split('@');
  for (const endpoint of Object.values(declarations.endpoints)) {
    if (endpoint.kind !== 'engine') continue;
    const answer = await request(`${endpoint.url}/standin/observe`);
    const {models} = (await answer.body.json()) as {models: string[]};
    if (models.includes(model ?? '')) return endpoint.url;
  }
  throw new RangeError(`no engine holds ${modelVersion}`);
}

async function firstTokenOf(url: string, body: string): Promise<number> {
  const startedAt = performance.now();
  const answer = await request(url, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body,
  });
  let first: number | undefined;
  for await (const _chunk of answer.body) {
    first ??= performance.now() - startedAt;
  }
  return first ?? NaN;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}
