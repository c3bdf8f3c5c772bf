import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PolicyName, Report, Scenario} from './contention_simulation.js';
import {
  describeReport,
  servedShare,
  simulateSeeds,
} from './contention_simulation.js';

const SEEDS = 2;
const FIRST_SEED = Number(process.env['CONTENTION_FIRST_SEED'] ?? 1);

/** The team whose load rises, and by what. */
const SURGING_TEAM = 2;
const SURGE_FACTOR = 4.8;

const POLICIES: readonly PolicyName[] = [
  'first come',
  'strict priority',
  'fair order',
];

/** Plays a scenario with each policy and prints the figures. */
function play(name: string, scenario: Scenario): Record<PolicyName, Report> {
  const entries = POLICIES.map(policy => {
    const report = simulateSeeds(scenario, policy, SEEDS, FIRST_SEED);
    console.log(`${name}, ${describeReport(policy, report)}`);
    return [policy, report] as const;
  });
  return Object.fromEntries(entries) as Record<PolicyName, Report>;
}

const servedOf = (report: Report, route: string): number => {
  const tally = report.byRoute.get(route);
  return tally === undefined ? 0 : servedShare(tally);
};

const lateOf = (report: Report, route: string): number => {
  const tally = report.byRoute.get(route);
  return tally === undefined ? 1 : tally.late / tally.offered;
};

const isOver = (at: number, seconds: number): boolean => at > seconds * 1_000;

describe('the order of requests that wait for capacity, in simulations', () => {
  it('refuses nothing and keeps the objectives at nine tenths of the capacity', () => {
    const {'fair order': fair} = play('steady', {load: 0.9, seconds: 120});
    expect(fair.all.refused).toEqual(0);
    expect(lateOf(fair, 'chat')).toBeLessThan(0.01);
    expect(lateOf(fair, 'lookup')).toBeLessThan(0.01);
  });

  it('serves each kind and team alike in a lasting overload, most of them in time', () => {
    const reports = play('overload', {
      load: 0.9,
      seconds: 300,
      countFromSeconds: 150,
      loadFactor: (_kind, _team, at) => (isOver(at, 120) ? 1.45 : 1),
    });
    const {'fair order': fair, 'first come': firstCome} = reports;
    const overall = servedShare(fair.all);
    expect(overall).toBeGreaterThan(servedShare(firstCome.all) - 0.01);
    // No kind is served less often than a less urgent one.
    const report = servedOf(fair, 'report');
    expect(servedOf(fair, 'chat')).toBeGreaterThan(report - 0.02);
    expect(servedOf(fair, 'lookup')).toBeGreaterThan(report - 0.02);
    expect(report).toBeGreaterThan(0.8 * overall);
    for (const tally of fair.byTeam)
      expect(servedShare(tally)).toBeGreaterThan(0.8 * overall);
    // A standing queue would make all of them late, and refuse them when it is too late.
    expect(fair.all.late).toBeLessThan(0.5 * firstCome.all.late);
    expect(fair.all.expired).toBeLessThan(0.1 * fair.all.refused);
  });

  it('takes nothing from other teams while one sends 4.8 times its usual load', () => {
    const {'fair order': fair} = play('surge of a team', {
      load: 0.9,
      seconds: 240,
      countFromSeconds: 120,
      loadFactor: (_kind, team, at) =>
        team === SURGING_TEAM && isOver(at, 120) && !isOver(at, 180)
          ? SURGE_FACTOR
          : 1,
    });
    for (const [team, tally] of fair.byTeam.entries()) {
      const bound = team === SURGING_TEAM ? 0.25 : 0.995;
      expect(servedShare(tally)).toBeGreaterThan(bound);
    }
  });

  it('lets the kind that can wait give way to the urgent ones in a burst of its own', () => {
    const reports = play('burst of a kind', {
      load: 0.85,
      seconds: 120,
      countFromSeconds: 50,
      loadFactor: ({route}, _team, at) =>
        route === 'report' && isOver(at, 60) && !isOver(at, 80) ? 2.1 : 1,
    });
    const {'fair order': fair, 'first come': firstCome} = reports;
    expect(lateOf(fair, 'chat')).toBeLessThan(0.2 * lateOf(firstCome, 'chat'));
    expect(lateOf(fair, 'report')).toBeLessThan(0.1);
    expect(servedShare(fair.all)).toBeGreaterThan(0.99);
  });

  it('refuses nothing while a quarter of the capacity is gone for 4 s', () => {
    const {'fair order': fair} = play('drop of capacity', {
      load: 0.85,
      seconds: 120,
      countFromSeconds: 55,
      capacityFactor: at => (isOver(at, 60) && !isOver(at, 64) ? 0.75 : 1),
    });
    expect(fair.all.refused).toEqual(0);
    expect(lateOf(fair, 'chat')).toBeLessThan(0.01);
  });

  it('serves teams by rank, but none less than a quarter as often as all', () => {
    const ranks = 3;
    const reports = play('ranks', {
      load: 0.9,
      seconds: 300,
      countFromSeconds: 150,
      loadFactor: (_kind, _team, at) => (isOver(at, 120) ? 1.8 : 1),
      teamPriority: team => team % ranks,
    });
    const {'fair order': fair} = reports;
    const overall = servedShare(fair.all);
    for (const [team, tally] of fair.byTeam.entries()) {
      const bound = team % ranks === 0 ? 0.99 : 0.25 * overall;
      expect(servedShare(tally)).toBeGreaterThan(bound);
    }
  });

  it('is fair also where one node sees a few requests a second', () => {
    const {'fair order': fair} = play('surge of a team, few requests', {
      slots: 3,
      load: 0.9,
      seconds: 2_000,
      countFromSeconds: 600,
      loadFactor: (_kind, team, at) =>
        team === SURGING_TEAM && isOver(at, 600) && !isOver(at, 1_800)
          ? SURGE_FACTOR
          : 1,
    });
    for (const [team, tally] of fair.byTeam.entries()) {
      const bound = team === SURGING_TEAM ? 0.25 : 0.94;
      expect(servedShare(tally)).toBeGreaterThan(bound);
    }
    const report = servedOf(fair, 'report');
    expect(servedOf(fair, 'chat')).toBeGreaterThan(report - 0.02);
    expect(servedOf(fair, 'lookup')).toBeGreaterThan(report - 0.02);
  });
});
