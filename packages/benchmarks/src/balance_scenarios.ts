/** Deployments, loads and faults of the load balancing simulation. */

import type {Milliseconds} from '@siskinmux/kernel';
import type {
  BalanceScenario,
  BalanceSimulation,
  ScenarioEvent,
} from './balance_simulation.js';

const SEED = 1;

const slow = (
  engine: number,
  at: Milliseconds,
  factor: number,
): ScenarioEvent => ({
  at,
  apply: ({engines}) => {
    engines[engine]!.slowness *= factor;
  },
});

const restart = (
  engine: number,
  downAt: Milliseconds,
  upAt: Milliseconds,
): ScenarioEvent[] => [
  {at: downAt, apply: ({engines}) => engines[engine]!.stop()},
  {
    at: upAt,
    apply: ({engines}) => {
      engines[engine]!.isUp = true;
    },
  },
];

/** From 8 to 12 s, heartbeats leave out one engine and name far too many requests at another. */
const wrongReports: ScenarioEvent[] = [
  {
    at: 8_000,
    apply: (simulation: BalanceSimulation) => {
      simulation.falsify = loads => {
        const [omitted, exaggerated] = [...loads.keys()].sort();
        if (omitted !== undefined) loads.delete(omitted);
        if (exaggerated !== undefined) loads.set(exaggerated, 5_000);
      };
    },
  },
  {
    at: 12_000,
    apply: simulation => {
      simulation.falsify = undefined;
    },
  },
];

const base = {seconds: 24, seed: SEED, warmUpMilliseconds: 6_000};
const usual = {...base, nodes: 91, engines: 16, load: 0.8};

/** All scenarios of `npm run bench:balance`. */
export const BALANCE_SCENARIOS: readonly BalanceScenario[] = [
  {...base, name: '7 nodes', nodes: 7, engines: 6, load: 0.6},
  {
    ...base,
    name: '7 nodes in one domain',
    nodes: 7,
    engines: 6,
    load: 0.7,
    isOneDomain: true,
  },
  {
    ...base,
    name: '7 nodes, rare models',
    nodes: 7,
    engines: 6,
    load: 0.6,
    rareShare: 0.3,
  },
  {...base, name: '58 nodes', nodes: 58, engines: 16, load: 0.6},
  {...usual, name: '91 nodes', load: 0.6},
  {...usual, name: '91 nodes in one domain', load: 0.6, isOneDomain: true},
  {...usual, name: 'load 0.3', load: 0.3},
  {...usual, name: 'load 0.95', load: 0.95},
  {...usual, name: 'load 1.1', load: 1.1},
  {...usual, name: 'short requests', load: 0.7, requestScale: 0.2},
  {
    ...usual,
    name: 'long requests',
    load: 0.7,
    requestScale: 4,
    seconds: 60,
    warmUpMilliseconds: 20_000,
  },
  {...usual, name: 'rare models', rareShare: 0.3},
  {...usual, name: 'more rare models, load 0.9', load: 0.9, rareShare: 0.5},
  {
    ...usual,
    name: 'only rare models, short requests',
    load: 0.35,
    rareShare: 1,
    requestScale: 0.3,
  },
  {...usual, name: 'reports of 5 ms', usageIntervalMilliseconds: 5},
  {...usual, name: 'reports of 0.1 s', usageIntervalMilliseconds: 100},
  {...usual, name: 'reports of 1 s', usageIntervalMilliseconds: 1_000},
  {...usual, name: 'reports of 2 s', usageIntervalMilliseconds: 2_000},
  {
    ...usual,
    name: 'reports of 1 s, load 1',
    load: 1,
    usageIntervalMilliseconds: 1_000,
  },
  {
    ...usual,
    name: 'reports of 1 s, 3 engines',
    engines: 3,
    load: 0.9,
    usageIntervalMilliseconds: 1_000,
    requestScale: 0.3,
  },
  {...usual, name: 'half of the reports lost', lostShare: 0.5},
  {
    ...usual,
    name: 'heartbeats 0.5 s late',
    heartbeatDelayMilliseconds: 500,
  },
  {
    ...usual,
    name: '2 engines slow down 4 times',
    load: 0.75,
    events: [slow(3, 5_000, 4), slow(7, 5_000, 4)],
  },
  {
    ...usual,
    name: '3 engines slow down 6 times',
    load: 0.85,
    events: [slow(3, 5_000, 6), slow(7, 5_000, 6), slow(8, 5_000, 6)],
  },
  {
    ...usual,
    name: 'engines leave and join',
    load: 0.75,
    events: [
      ...restart(3, 6_000, 8_000),
      ...restart(5, 9_000, 11_000),
      ...restart(8, 14_000, 16_000),
    ],
  },
  {...usual, name: '20 nodes cut off', cutNodes: 20},
  {...usual, name: 'all nodes cut off', cutNodes: 91},
  {
    ...usual,
    name: 'all nodes cut off, one domain',
    cutNodes: 91,
    isOneDomain: true,
  },
  {
    ...usual,
    name: '30 nodes pause for 1 s, twice',
    events: [8_000, 14_000].map(at => ({
      at,
      apply: simulation => simulation.pauseNodes(30, 1_000),
    })),
  },
  {
    ...usual,
    name: '45 nodes restart without state, twice',
    events: [8_000, 14_000].map(at => ({
      at,
      apply: simulation => simulation.restartNodes(45),
    })),
  },
  {...usual, name: 'wrong reports', events: wrongReports},
  {
    ...usual,
    name: 'all nodes start at once',
    warmUpMilliseconds: 0,
    seconds: 6,
  },
  {...base, name: '129 engines', nodes: 91, engines: 129, load: 0.6},
  {
    ...base,
    name: '129 engines, load 0.15',
    nodes: 91,
    engines: 129,
    load: 0.15,
  },
  {...base, name: '570 nodes', nodes: 570, engines: 129, load: 0.6},
];
