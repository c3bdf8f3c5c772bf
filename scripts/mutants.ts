/**
 * Puts known faults into copies of the source and checks that the scenarios notice.
 * A check that notices none of them would prove nothing.
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

const LIST = 'scripts/mutants.toml';
const PARALLEL = 4;
const SCOPE = '@siskinmux';
const COPIED = [
  'packages',
  'scenarios',
  'scripts',
  'package.json',
  'tsconfig.json',
];
const SCHEDULES = 60;

const listSchema = z.strictObject({
  mutants: z.array(
    z.strictObject({
      name: z.string(),
      proves: z.string(),
      file: z.string(),
      find: z.string(),
      replace: z.string(),
    }),
  ),
});

type Mutant = z.infer<typeof listSchema>['mutants'][number];

const {mutants} = listSchema.parse(parse(readFileSync(LIST, 'utf8')));
const pending = [...mutants];
const survivors: string[] = [];
await Promise.all(Array.from({length: PARALLEL}, work));
console.log(
  `${mutants.length} mutants, ${mutants.length - survivors.length} noticed, ${survivors.length} not noticed`,
);
process.exit(survivors.length === 0 ? 0 : 1);

async function work(): Promise<void> {
  for (let mutant = pending.shift(); mutant; mutant = pending.shift()) {
    const noticedBy = await examine(mutant);
    console.log(
      `${noticedBy === undefined ? 'NOT NOTICED' : 'noticed'}: ${mutant.name} (${mutant.proves})${noticedBy === undefined ? '' : `; by ${noticedBy}`}`,
    );
    if (noticedBy === undefined) survivors.push(mutant.name);
  }
}

/** What noticed the mutant; undefined when nothing did. */
async function examine(mutant: Mutant): Promise<string | undefined> {
  const folder = copyTree();
  try {
    mutate(join(folder, mutant.file), mutant);
    const scenarios = await run(folder, [
      '--test',
      '--test-force-exit',
      '--test-reporter=tap',
      'packages/configuration/__tests__/configuration_state.test.ts',
      'packages/configuration/__tests__/configuration_store.test.ts',
      'packages/scenarios/__tests__/scenarios.test.ts',
    ]);
    if (scenarios.code !== 0) return firstFailure(scenarios.output);
    const schedules = await run(folder, [
      'scripts/faults.ts',
      '--runs',
      String(SCHEDULES),
      '--workers',
      '1',
    ]);
    return schedules.code === 0 ? undefined : 'random schedules';
  } finally {
    rmSync(folder, {recursive: true, force: true});
  }
}

function copyTree(): string {
  const folder = mkdtempSync(join(tmpdir(), 'mutant-'));
  for (const entry of COPIED) {
    cpSync(entry, join(folder, entry), {recursive: true});
  }
  const modules = join(folder, 'node_modules');
  mkdirSync(join(modules, SCOPE), {recursive: true});
  for (const name of readdirSync('node_modules')) {
    if (name === SCOPE) continue;
    symlinkSync(resolve('node_modules', name), join(modules, name));
  }
  for (const name of readdirSync('packages')) {
    symlinkSync(join(folder, 'packages', name), join(modules, SCOPE, name));
  }
  return folder;
}

function mutate(file: string, mutant: Mutant): void {
  const text = readFileSync(file, 'utf8');
  if (!text.includes(mutant.find)) {
    throw new RangeError(`${mutant.name}: the text to replace is gone`);
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

function run(
  folder: string,
  arguments_: readonly string[],
): Promise<{code: number; output: string}> {
  return new Promise(done => {
    const child = spawn(process.execPath, ['--import', 'tsx', ...arguments_], {
      cwd: folder,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', data => (output += String(data)));
    child.stderr.on('data', data => (output += String(data)));
    child.on('close', code => done({code: code ?? 1, output}));
  });
}
