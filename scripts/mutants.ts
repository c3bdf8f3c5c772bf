/**
 * Mutation test: applies known faults to copies of the source, one at a time, and
 * verifies that the scenarios, random fault schedules or unit tests detect each of them.
 */

import {spawn} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {parse} from 'smol-toml';
import {z} from 'zod';

const MUTANTS_FILE = 'scripts/mutants.toml';
const CONCURRENCY = 4;
const PACKAGE_SCOPE = '@siskinmux';
const COPIED_ENTRIES = [
  'packages',
  'scenarios',
  'scripts',
  'package.json',
  'tsconfig.json',
];
const SCHEDULE_COUNT = 60;
const SCENARIO_TESTS = [
  'packages/configuration/__tests__/configuration_state.test.ts',
  'packages/configuration/__tests__/configuration_store.test.ts',
  'packages/scenarios/__tests__/scenarios.test.ts',
];

/**
 * For faults that a second check in the product keeps from taking effect. They run last,
 * so that the output names a scenario or the schedules whenever those detect the fault.
 */
const UNIT_TESTS = [
  'packages/allocation/__tests__/plan_allocation.test.ts',
  'packages/ledger/__tests__/shard_model.test.ts',
];

/** The only tests for faults in the gateway, which no scenario runs. */
const GATEWAY_TESTS = [
  'packages/containment/__tests__/crash_suspects.test.ts',
  'packages/containment/__tests__/crash_detector.test.ts',
  'packages/containment/__tests__/crash_quarantine.test.ts',
  'packages/containment/__tests__/harmful_part_histories.test.ts',
  'packages/containment/__tests__/repeated_content_histories.test.ts',
  'packages/reach/__tests__/endpoint_reach.test.ts',
  'packages/reach/__tests__/refusal_witness.test.ts',
  'packages/relay/__tests__/peer_choice.test.ts',
  'packages/relay/__tests__/relay_header.test.ts',
  'packages/continuity/__tests__/continuity_histories.test.ts',
  'packages/continuity/__tests__/stream_continuity.test.ts',
  'packages/endpoints/__tests__/endpoint_table.test.ts',
  'packages/gateway/__tests__/attempt_chains.test.ts',
  'packages/gateway/__tests__/second_run.test.ts',
  'packages/gateway/__tests__/relay_response.test.ts',
  'packages/gateway/__tests__/kind_watcher.test.ts',
  'packages/gateway/__tests__/knowledge_histories.test.ts',
  'packages/gateway/__tests__/response_end.test.ts',
  'packages/gateway/__tests__/retry_budgets.test.ts',
  'packages/placement/__tests__/adapter_cache.test.ts',
  'packages/placement/__tests__/plan_models.test.ts',
  'packages/admission/__tests__/shared_rate.test.ts',
  'packages/gateway/__tests__/endpoint_limits.test.ts',
  'packages/gateway/__tests__/limit_histories.test.ts',
  'packages/gateway/__tests__/limited_choice.test.ts',
  'packages/gateway/__tests__/leader_election.test.ts',
  'packages/gateway/__tests__/store_return_histories.test.ts',
  'packages/gateway/__tests__/store_return_model.test.ts',
];

const mutantsSchema = z.strictObject({
  mutants: z.array(
    z.strictObject({
      name: z.string(),
      proves: z.string(),
      part: z.enum(['product', 'gateway']).default('product'),
      file: z.string(),
      find: z.string(),
      replace: z.string(),
    }),
  ),
});

type Mutant = z.infer<typeof mutantsSchema>['mutants'][number];

const {mutants} = mutantsSchema.parse(
  parse(readFileSync(MUTANTS_FILE, 'utf8')),
);
const pending = [...mutants];
const survivors: string[] = [];
await Promise.all(Array.from({length: CONCURRENCY}, runWorker));
console.log(
  `${mutants.length} mutants, ${mutants.length - survivors.length} noticed, ${survivors.length} not noticed`,
);
process.exit(survivors.length === 0 ? 0 : 1);

async function runWorker(): Promise<void> {
  for (let mutant = pending.shift(); mutant; mutant = pending.shift()) {
    const detectedBy = await findDetectingCheck(mutant);
    console.log(
      `${detectedBy === undefined ? 'NOT NOTICED' : 'noticed'}: ${mutant.name} (${mutant.proves})${detectedBy === undefined ? '' : `; by ${detectedBy}`}`,
    );
    if (detectedBy === undefined) survivors.push(mutant.name);
  }
}

/** Returns the check that detected the mutant; undefined when it survived. */
async function findDetectingCheck(mutant: Mutant): Promise<string | undefined> {
  const folder = copyTree();
  try {
    applyMutant(join(folder, mutant.file), mutant);
    if (mutant.part === 'gateway') {
      const tests = await runTests(folder, GATEWAY_TESTS);
      return tests.code === 0 ? undefined : firstFailure(tests.output);
    }
    const scenarios = await runTests(folder, SCENARIO_TESTS);
    if (scenarios.code !== 0) return firstFailure(scenarios.output);
    const schedules = await run(folder, [
      'scripts/faults.ts',
      '--runs',
      String(SCHEDULE_COUNT),
      '--workers',
      '1',
    ]);
    if (schedules.code !== 0) return 'random schedules';
    const unitTests = await runTests(folder, UNIT_TESTS);
    return unitTests.code === 0 ? undefined : firstFailure(unitTests.output);
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}

function copyTree(): string {
  const folder = mkdtempSync(join(tmpdir(), 'mutant-'));
  for (const entry of COPIED_ENTRIES) {
    cpSync(entry, join(folder, entry), {recursive: true});
  }
  const modules = join(folder, 'node_modules');
  mkdirSync(join(modules, PACKAGE_SCOPE), {recursive: true});
  for (const name of readdirSync('node_modules')) {
    if (name === PACKAGE_SCOPE) continue;
    symlinkSync(resolve('node_modules', name), join(modules, name));
  }
  for (const name of readdirSync('packages')) {
    symlinkSync(
      join(folder, 'packages', name),
      join(modules, PACKAGE_SCOPE, name),
    );
  }
  return folder;
}

function applyMutant(file: string, mutant: Mutant): void {
  const text = readFileSync(file, 'utf8');
  if (!text.includes(mutant.find)) {
    throw new RangeError(`${mutant.name}: the text to replace was not found`);
  }
  writeFileSync(
    file,
    text.replace(mutant.find, () => mutant.replace),
  );
}

function firstFailure(output: string): string {
  const line = output.split('\n').find(text => /^\s+not ok /.test(text));
  return line?.replace(/^.* - /, '').trim() ?? 'a failed run';
}

function runTests(
  folder: string,
  files: readonly string[],
): Promise<{code: number; output: string}> {
  return run(folder, [
    '--test',
    '--test-force-exit',
    '--test-reporter=tap',
    ...files,
  ]);
}

function run(
  folder: string,
  arguments_: readonly string[],
): Promise<{code: number; output: string}> {
  return new Promise(resolveRun => {
    const child = spawn(process.execPath, ['--import', 'tsx', ...arguments_], {
      cwd: folder,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', data => (output += String(data)));
    child.stderr.on('data', data => (output += String(data)));
    child.on('close', code => resolveRun({code: code ?? 1, output}));
  });
}
