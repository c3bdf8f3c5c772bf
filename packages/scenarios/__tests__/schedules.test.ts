import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {parseScenario, runSchedules} from '../src/index.js';

const RUNS = 60;
const SEED = 1;

describe('random fault schedules', () => {
  for (const deployment of [
    'three_nodes',
    'three_nodes_unfenced',
    'seven_nodes',
  ]) {
    it(`keep the invariants on ${deployment}`, async () => {
      const base = parseScenario(
        `title = "schedules"\nproves = ["all"]\nend = 0\ndeployment = "${deployment}"`,
        name => readFileSync(`scenarios/deployments/${name}.toml`, 'utf8'),
      );
      const report = await runSchedules({base, runs: RUNS, seed: SEED});
      expect(report.counterexample).toEqual(undefined);
      expect(report.runs).toEqual(RUNS);
    });
  }
});
