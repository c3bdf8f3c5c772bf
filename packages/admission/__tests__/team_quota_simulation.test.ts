import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {TeamName} from '@siskinmux/kernel';
import {as, randomBelow} from '@siskinmux/kernel';
import type {SimulatedTeam} from './team_quota_cluster.js';
import {QuotaCluster, RULES, boundOf} from './team_quota_cluster.js';

const NODE_COUNTS = [7, 58, 91, 570];

/** TEAM_QUOTA_SEEDS sets how many seeds each case runs with. */
const SEEDS = Number(process.env['TEAM_QUOTA_SEEDS'] ?? 1);

const ADMITTED_SHARE = 0.97;

function team(
  name: string,
  perSecond: number,
  load: number,
  meanAmount = 1_000,
): SimulatedTeam {
  const quota = {unit: 'tokens' as const, perSecond, burst: perSecond};
  return {name: as<TeamName>(name), quota, load, meanAmount};
}

/** Quotas of which the smallest is that of a few requests a second. */
function createTeams(load: number): SimulatedTeam[] {
  return [6_216, 14_000, 35_000, 90_000, 173_147].map((perSecond, index) =>
    team(`t${index}`, perSecond, load),
  );
}

interface Case {
  readonly name: string;
  readonly run: (cluster: QuotaCluster) => void;
}

/** Runs a case with all node counts and seeds, and checks the bound. */
function checkBound({name, run}: Case, load = 0.55): void {
  for (const nodeCount of NODE_COUNTS) {
    it(`${name}, ${nodeCount} nodes`, () => {
      let worst = 0;
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const teams = createTeams(load);
        const bounds = new Map(
          teams.map(each => [each.name, boundOf(each.quota)]),
        );
        const cluster = QuotaCluster.create(nodeCount, teams, seed);
        cluster.runFor(12_000);
        run(cluster);
        for (const [teamName, tally] of cluster.tallies) {
          const most = tally.mostInWindow(RULES.windowMilliseconds);
          worst = Math.max(worst, most / bounds.get(teamName)!);
        }
      }
      console.log(
        `${name}, ${nodeCount} nodes: at most ${worst.toFixed(3)} of the bound`,
      );
      expect(worst).toBeLessThanOrEqual(1);
    });
  }
}

function surge(
  cluster: QuotaCluster,
  factor: number,
  milliseconds: number,
): void {
  for (const each of cluster.teams) each.load *= factor;
  cluster.runFor(milliseconds);
  for (const each of cluster.teams) each.load /= factor;
}

/** Longest time for which a caller comes back. */
const DRAIN_MILLISECONDS = 12_000;

/** Figures of each team over some time, once its callers have been admitted or have given up. */
function measure(cluster: QuotaCluster, milliseconds: number) {
  const before = new Map(
    [...cluster.tallies].map(([name, tally]) => [name, {...tally}]),
  );
  cluster.runFor(milliseconds);
  const loads = cluster.teams.map(({load}) => load);
  for (const each of cluster.teams) each.load = 0;
  cluster.runFor(DRAIN_MILLISECONDS);
  for (const [index, each] of cluster.teams.entries())
    each.load = loads[index] ?? 0;
  return cluster.teams.map(({name, quota}) => {
    const tally = cluster.tallies.get(name)!;
    const start = before.get(name)!;
    const demanded = tally.demanded - start.demanded;
    const requests = Math.max(1, tally.requests - start.requests);
    const quotaAmount = (quota.perSecond * milliseconds) / 1_000;
    return {
      /** Admitted part of the demand below the quota. */
      share:
        (demanded - (tally.lost - start.lost)) /
        Math.min(demanded, quotaAmount),
      asked: (tally.asked - start.asked) / requests,
      refused: (tally.refusals - start.refusals) / requests,
    };
  });
}

describe('team quotas in steady state', () => {
  // Guards against refusals of demand below the quota, by the quota.
  for (const nodeCount of NODE_COUNTS) {
    for (const load of [0.55, 0.9]) {
      it(`admits demand of ${load} of the quota, ${nodeCount} nodes`, () => {
        for (let seed = 1; seed <= SEEDS; seed += 1) {
          const cluster = QuotaCluster.create(
            nodeCount,
            createTeams(load),
            seed,
          );
          cluster.runFor(12_000);
          const figures = measure(cluster, 20_000);
          const texts = figures.map(
            ({share, asked, refused}) =>
              `${share.toFixed(3)} (asked ${asked.toFixed(2)}, refused ${refused.toFixed(3)})`,
          );
          console.log(
            `${nodeCount} nodes, load ${load}: admitted ${texts.join(', ')}`,
          );
          for (const {share} of figures)
            expect(share).toBeGreaterThanOrEqual(ADMITTED_SHARE);
        }
      });
    }
  }
});

describe('the bound of team quotas', () => {
  checkBound({
    name: 'surges of 4.8 to 7.5 times the load',
    run: cluster => {
      surge(cluster, 7.5, 6_000);
      cluster.runFor(6_000);
      surge(cluster, 4.8, 6_000);
    },
  });

  checkBound({
    name: 'a flood of 100 times the load, from all nodes at once',
    run: cluster => {
      const [first] = cluster.teams;
      first!.load *= 100;
      cluster.runFor(6_000);
    },
  });

  checkBound({
    name: 'half of the nodes are cut off with their callers, and return',
    run: cluster => {
      surge(cluster, 2, 3_000);
      for (const [index, node] of cluster.nodes.entries())
        if (index % 2 === 1) node.group = 1;
      surge(cluster, 4, 12_000);
      for (const node of cluster.nodes) node.group = 0;
      surge(cluster, 4, 10_000);
    },
  });

  // Guards against two holders that each give out the whole quota, and shares that a node has not
  // been told any more.
  for (const [name, part] of [
    ['a third', 1 / 3],
    ['half', 1 / 2],
    ['two thirds', 2 / 3],
    ['four fifths', 4 / 5],
  ] as const) {
    checkBound({
      name: `the lease holder is cut off with ${name} of the nodes`,
      run: cluster => {
        const [holder] = cluster.holders;
        let count = 0;
        for (const node of cluster.nodes) {
          if (node !== holder && count >= cluster.nodes.length * part) continue;
          node.group = 1;
          count += 1;
        }
        surge(cluster, 4, 20_000);
        for (const node of cluster.nodes) node.group = 0;
        surge(cluster, 4, 10_000);
      },
    });
  }

  checkBound({
    name: 'the lease holder is killed in a surge, three times',
    run: cluster => {
      for (let count = 0; count < 3; count += 1) {
        surge(cluster, 5, 3_000);
        const [holder] = cluster.holders;
        if (holder !== undefined) cluster.kill(holder);
        cluster.startNode(0);
        cluster.shiftDemand();
        surge(cluster, 5, 4_000);
      }
    },
  });

  checkBound({
    name: 'nodes freeze, the holder too',
    run: cluster => {
      for (let count = 0; count < 4; count += 1) {
        for (let frozen = 0; frozen < 3; frozen += 1) {
          const index = randomBelow(cluster.random, cluster.nodes.length);
          cluster.freeze(
            cluster.nodes[index]!,
            1_000 + cluster.random() * 4_000,
          );
        }
        const [holder] = cluster.holders;
        if (count % 2 === 1 && holder !== undefined)
          cluster.freeze(holder, 500 + cluster.random() * 5_000);
        surge(cluster, 4, 5_000);
      }
    },
  });

  checkBound({
    name: 'nodes are replaced in turn',
    run: cluster => {
      for (let count = 0; count < 10; count += 1) {
        const index = randomBelow(cluster.random, cluster.nodes.length);
        cluster.kill(cluster.nodes[index]!);
        cluster.startNode(0);
        cluster.shiftDemand();
        surge(cluster, 4, 1_500);
      }
    },
  });

  checkBound({
    name: 'all nodes are killed and start again',
    run: cluster => {
      surge(cluster, 5, 3_000);
      for (const node of [...cluster.nodes]) cluster.kill(node);
      for (let index = 0; index < cluster.nodeCount; index += 1)
        cluster.startNode(0);
      cluster.shiftDemand();
      surge(cluster, 5, 10_000);
    },
  });

  checkBound({
    name: 'the store is lost, and then the holder',
    run: cluster => {
      cluster.storeGroups = new Set();
      surge(cluster, 4, 8_000);
      const [holder] = cluster.holders;
      cluster.kill(holder!);
      cluster.shiftDemand();
      surge(cluster, 4, 12_000);
    },
  });
});

describe('changes of a quota', () => {
  // Guards against a lowered quota that binds later than one window after it is in force.
  for (const nodeCount of NODE_COUNTS) {
    it(`binds when it is lowered, and admits more when it is raised, ${nodeCount} nodes`, () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const changed = team('t', 40_000, 3);
        const cluster = QuotaCluster.create(nodeCount, [changed], seed);
        cluster.runFor(10_000);
        changed.quota = {unit: 'tokens', perSecond: 20_000, burst: 20_000};
        changed.load = 6;
        cluster.applyQuotas();
        const loweredAt = cluster.now;
        cluster.runFor(20_000);
        const tally = cluster.tallies.get(changed.name)!;
        const binding = tally.admitted.filter(
          ({at}) => at >= loweredAt + RULES.windowMilliseconds,
        );
        const later = Object.assign(Object.create(tally), {admitted: binding});
        expect(
          later.mostInWindow(RULES.windowMilliseconds),
        ).toBeLessThanOrEqual(boundOf(changed.quota));
        changed.quota = {unit: 'tokens', perSecond: 80_000, burst: 80_000};
        changed.load = 0.8;
        cluster.applyQuotas();
        // Callers of the time before have been admitted or have given up by then.
        cluster.runFor(DRAIN_MILLISECONDS);
        const [{share} = {share: 0}] = measure(cluster, 10_000);
        console.log(`${nodeCount} nodes, raised: ${share.toFixed(3)}`);
        expect(share).toBeGreaterThanOrEqual(ADMITTED_SHARE);
      }
    });
  }
});
