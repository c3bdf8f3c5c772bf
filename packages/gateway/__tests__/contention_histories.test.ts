import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ClusterReport, ClusterScenario} from './contention_cluster.js';
import {simulateCluster} from './contention_cluster.js';

const SURGING_TEAM = 2;

const SMALL = {
  nodes: 30,
  engines: 6,
  hasTeams: true,
  seconds: 60,
  countFromSeconds: 20,
  seed: 1,
  load: () => 0.9,
} satisfies ClusterScenario;

const surge = (at: number, team: number): number =>
  team === SURGING_TEAM && at > 30_000 && at < 60_000 ? 0.9 * 4.8 : 0.9;

async function play(
  name: string,
  scenario: ClusterScenario,
): Promise<ClusterReport> {
  const report = await simulateCluster(scenario);
  const {all, byRoute, byTeam, rejections, outcomes} = report;
  const percent = (part: number, whole: number): string =>
    `${((100 * part) / whole).toFixed(1)}%`;
  console.log(
    `${name}: offered ${all.offered}, served ${percent(all.served, all.offered)}; ` +
      [...byRoute]
        .map(
          ([route, {served, late, offered}]) =>
            `${route} ${percent(served, offered)} (late ${percent(late, offered)})`,
        )
        .join(', ') +
      `; rejections by engines ${rejections}; ${JSON.stringify(outcomes)}; ` +
      `idle slots while held ${percent(report.idleShareWhileHeld, 1)}; teams % ` +
      byTeam
        .map(({served, offered}) => Math.round((100 * served) / offered))
        .join(' '),
  );
  expect(report.unsettled).toEqual(0);
  return report;
}

const shareOf = ({served, offered}: {served: number; offered: number}) =>
  served / Math.max(1, offered);

describe('requests held at nodes, in simulated clusters', () => {
  it('holds nothing on an ordinary day', async () => {
    const {outcomes, all} = await play('ordinary day', {
      ...SMALL,
      load: () => 0.8,
    });
    expect(outcomes.held + outcomes.refused).toEqual(0);
    expect(all.served).toEqual(all.offered);
  });

  it('holds nothing in a configuration without teams', async () => {
    const {outcomes} = await play('without teams', {
      ...SMALL,
      hasTeams: false,
      seconds: 40,
      load: () => 1.3,
    });
    expect(outcomes.held + outcomes.refused).toEqual(0);
  });

  it('keeps one surging team from taking the slots of the others, and engines from rejecting', async () => {
    const scenario = {...SMALL, load: surge};
    const before = await play('surge, sent at once', {
      ...scenario,
      hasTeams: false,
    });
    const after = await play('surge, held', scenario);
    expect(after.rejections).toBeLessThan(0.1 * before.rejections);
    expect(shareOf(after.all)).toBeGreaterThan(shareOf(before.all) - 0.01);
    for (const [team, tally] of after.byTeam.entries()) {
      const bound = team === SURGING_TEAM ? 0.25 : 0.93;
      expect(shareOf(tally)).toBeGreaterThan(bound);
    }
    // Slots that are idle while requests are held would be lost capacity.
    expect(after.idleShareWhileHeld).toBeLessThan(0.02);
  });

  it('goes on when no reports arrive during an overload', async () => {
    const report = await play('reports lost', {
      ...SMALL,
      load: at => (at > 20_000 ? 1.3 : 0.9),
      hasReports: at => at < 30_000,
    });
    expect(shareOf(report.all)).toBeGreaterThan(0.7);
  });

  it('goes on sending when the reports say wrongly that all engines are full', async () => {
    const report = await play('wrong reports', {
      ...SMALL,
      load: () => 0.5,
      reportError: 100,
    });
    expect(report.outcomes.held).toBeGreaterThan(0);
    expect(shareOf(report.all)).toBeGreaterThan(0.95);
  });

  it('holds by its own counts in a small cluster without reports', async () => {
    const report = await play('small cluster', {
      ...SMALL,
      nodes: 2,
      engines: 2,
      load: at => (at > 20_000 ? 1.5 : 0.9),
      hasReports: () => false,
    });
    expect(shareOf(report.all)).toBeGreaterThan(0.6);
  });
});
