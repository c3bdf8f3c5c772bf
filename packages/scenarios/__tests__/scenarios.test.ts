import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseScenario, runScenario} from '../src/index.js';

const SCENARIO_FOLDER = 'scenarios';

const readDeployment = (name: string): string =>
  readFileSync(`${SCENARIO_FOLDER}/deployments/${name}.toml`, 'utf8');

describe('scenario files meet their expectations and violate no invariant', () => {
  for (const file of readdirSync(SCENARIO_FOLDER)) {
    if (!file.endsWith('.toml')) continue;
    it(file, async () => {
      const text = readFileSync(`${SCENARIO_FOLDER}/${file}`, 'utf8');
      const result = await runScenario(parseScenario(text, readDeployment));
      expect(result.failures).toEqual([]);
    });
  }
});
