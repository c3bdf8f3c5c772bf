import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseScenario, runScenario} from '../src/index.js';

const FOLDER = 'scenarios';

const readDeployment = (name: string): string =>
  readFileSync(`${FOLDER}/deployments/${name}.toml`, 'utf8');

describe('scenario files', () => {
  for (const file of readdirSync(FOLDER)) {
    if (!file.endsWith('.toml')) continue;
    it(file, async () => {
      const text = readFileSync(`${FOLDER}/${file}`, 'utf8');
      const result = await runScenario(parseScenario(text, readDeployment));
      expect(result.failures).toEqual([]);
    });
  }
});
