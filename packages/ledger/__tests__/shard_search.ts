/** Searches the states of the shard in a process of its own, which the test runner does not follow. */

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {createSeededRandom} from '@siskinmux/testkit';
import type {SearchResult} from '../../gateway/__tests__/model_search.js';
import {searchStates} from '../../gateway/__tests__/model_search.js';
import type {ShardModelOptions} from './shard_model.js';
import {ShardModel} from './shard_model.js';

/** All paths up to `depth` actions, or `walks` random ones of `depth` actions. */
export interface ShardSearch extends ShardModelOptions {
  readonly depth: number;
  readonly walks?: {readonly count: number; readonly seed: number};
}

/** Adjacent seeds begin with similar numbers. */
const SEED_SPACING = 7_919;

const FILE = fileURLToPath(import.meta.url);

/** Searches the states that each of the searches permits. */
export function searchShards(
  searches: readonly ShardSearch[],
): Promise<readonly SearchResult[]> {
  return new Promise((resolve, reject) => {
    const child = fork(FILE, [JSON.stringify(searches)], {
      execArgv: ['--import', 'tsx'],
    });
    child.once('message', message => resolve(message as SearchResult[]));
    child.once('error', reject);
    child.once('exit', code => reject(new RangeError(`exited with ${code}`)));
  });
}

async function walk(search: ShardSearch): Promise<SearchResult> {
  const {count, seed} = search.walks!;
  const seen = new Set<string>();
  const counterexamples: string[] = [];
  let transitions = 0;
  for (let index = 0; index < count; index += 1) {
    const random = createSeededRandom((seed + index) * SEED_SPACING);
    const model = await ShardModel.create(search);
    const path: string[] = [];
    while (path.length < search.depth && model.violations.length === 0) {
      const actions = model.actions();
      const action = actions[Math.floor(random() * actions.length)]!;
      path.push(action);
      await model.perform(action);
      seen.add(model.fingerprint());
      transitions += 1;
    }
    await model.conclude();
    if (model.violations.length > 0)
      counterexamples.push(
        `seed ${seed + index}: ${path.join(', ')}: ${model.violations.join('; ')}`,
      );
    model.stop();
  }
  return {states: seen.size, transitions, counterexamples};
}

if (process.argv[1] === FILE && process.send !== undefined) {
  Error.stackTraceLimit = 0;
  const searches = JSON.parse(process.argv[2] ?? '') as ShardSearch[];
  const results: SearchResult[] = [];
  for (const search of searches)
    results.push(
      search.walks === undefined
        ? await searchStates(() => ShardModel.create(search), search.depth)
        : await walk(search),
    );
  process.send(results, () => process.exit(0));
}
