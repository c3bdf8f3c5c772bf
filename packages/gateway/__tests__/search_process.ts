/**
 * Searches the states of models in a process of its own: the test runner follows each
 * promise, which triples the time.
 */

import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import type {LeaseModelOptions} from './lease_model.js';
import {LeaseModel} from './lease_model.js';
import type {Model, SearchResult} from './model_search.js';
import {searchStates} from './model_search.js';
import type {ViewModelOptions} from './view_model.js';
import {ViewModel} from './view_model.js';

/** A model and the greatest number of actions. */
export type ModelSearch = {readonly depth: number} & (
  | ({readonly model: 'lease'} & LeaseModelOptions)
  | ({readonly model: 'view'} & ViewModelOptions)
);

const FILE = fileURLToPath(import.meta.url);

/** Searches all states that each of the searches permits. */
export function searchModels(
  searches: readonly ModelSearch[],
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

if (process.argv[1] === FILE && process.send !== undefined) {
  Error.stackTraceLimit = 0;
  const searches = JSON.parse(process.argv[2] ?? '') as ModelSearch[];
  const results: SearchResult[] = [];
  for (const options of searches) {
    const create = (): Promise<Model> =>
      options.model === 'lease'
        ? LeaseModel.create(options)
        : ViewModel.create(options);
    results.push(await searchStates(create, options.depth));
  }
  process.send(results, () => process.exit(0));
}
