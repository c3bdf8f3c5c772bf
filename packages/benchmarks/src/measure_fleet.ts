/** What control costs a node in fleets of different sizes, on real sockets in one process. */

import type {Declarations} from '@siskinmux/declarations';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {request} from 'undici';
import {percentile} from './bound.js';
import {sleep} from './processes.js';

/** Time until the news of all joins has gone round, for each node and at least. */
const SETTLE_MILLISECONDS_PER_NODE = 1_500;
const LEAST_SETTLE_MILLISECONDS = 25_000;

/** Time for which an idle fleet is watched. */
const WATCH_MILLISECONDS = 20_000;
const CHANGES = 20;
const CHANGE_PAUSE_MILLISECONDS = 150;

/** Headers of one call and its answer over HTTP. */
const HEADER_BYTES = 420;

const DOMAINS = ['a', 'b', 'c'];

/** Figures of one fleet, for each node unless they say otherwise. */
export interface FleetFigures {
  readonly nodes: number;
  /** Share of one core that idle control takes. */
  readonly coreShare: number;
  readonly peerBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  /** Bytes of memory that one more node in the process takes. */
  readonly memoryBytes: number;
  readonly inForceMedian: number;
  readonly inForceTail: number;
  /** Core seconds that one change of the configuration takes. */
  readonly secondsPerChange: number;
  readonly peerBytesPerChange: number;
}

/** Starts `nodes` nodes, watches them idle, then changes the configuration. */
export async function measureFleet(
  nodes: number,
  declarations: Declarations,
): Promise<FleetFigures> {
  const memoryBefore = heapBytes();
  const cluster = await LocalCluster.start({
    clock: systemClock,
    random: systemRandom,
    declarations,
    nodes: Array.from(
      {length: nodes},
      (_, index) => DOMAINS[index % DOMAINS.length] ?? 'a',
    ),
  });
  await submit(cluster, 0, 'begin', cluster.declarations);
  await sleep(
    Math.max(LEAST_SETTLE_MILLISECONDS, nodes * SETTLE_MILLISECONDS_PER_NODE),
  );
  const memoryBytes = (heapBytes() - memoryBefore) / nodes;
  const idle = await watch(cluster, () => sleep(WATCH_MILLISECONDS));
  const times: number[] = [];
  const changing = await watch(cluster, async () => {
    for (let index = 0; index < CHANGES; index += 1) {
      times.push(...(await change(cluster, index)));
      await sleep(CHANGE_PAUSE_MILLISECONDS);
    }
  });
  await cluster.stop();
  const extra = (key: 'processorSeconds' | 'peerBytes'): number =>
    Math.max(0, changing[key] - (idle[key] / idle.seconds) * changing.seconds) /
    (CHANGES * nodes);
  return {
    nodes,
    coreShare: idle.processorSeconds / idle.seconds / nodes,
    peerBytesPerSecond: idle.peerBytes / idle.seconds / nodes,
    platformCallsPerSecond: idle.platformCalls / idle.seconds / nodes,
    memoryBytes,
    inForceMedian: percentile(times, 0.5),
    inForceTail: percentile(times, 0.99),
    secondsPerChange: extra('processorSeconds'),
    peerBytesPerChange: extra('peerBytes'),
  };
}

interface Watched {
  readonly seconds: number;
  readonly processorSeconds: number;
  readonly peerBytes: number;
  readonly platformCalls: number;
}

async function watch(
  cluster: LocalCluster,
  work: () => Promise<unknown>,
): Promise<Watched> {
  const startedAt = performance.now();
  const processor = process.cpuUsage();
  const bytes = peerBytes(cluster);
  const calls = platformCalls(cluster);
  await work();
  const used = process.cpuUsage(processor);
  return {
    seconds: (performance.now() - startedAt) / 1_000,
    processorSeconds: (used.user + used.system) / 1_000_000,
    peerBytes: peerBytes(cluster) - bytes,
    platformCalls: platformCalls(cluster) - calls,
  };
}

/** Sent and received, with the headers of both directions. */
function peerBytes(cluster: LocalCluster): number {
  return cluster.nodes.reduce((sum, node) => {
    const {sent, received, calls} = node.peerTraffic;
    return sum + sent + received + 2 * calls * HEADER_BYTES;
  }, 0);
}

function platformCalls(cluster: LocalCluster): number {
  const {reads, writes, lists, watches} = cluster.standIns.objectService.counts;
  return reads + writes + lists + watches;
}

/** Changes one model and returns the time until each node has it in force. */
async function change(cluster: LocalCluster, index: number): Promise<number[]> {
  const [name = ''] = Object.keys(cluster.declarations.models);
  const model = cluster.declarations.models[name];
  const basedOn = cluster.node(0).configurationNumber;
  const startedAt = performance.now();
  await request(`${cluster.node(0).operatorUrl}/patches`, {
    method: 'POST',
    body: JSON.stringify({
      id: `capacity-${index}`,
      based_on: basedOn,
      author: 'capacity',
      reason: 'measurement',
      changes: [
        {
          section: 'models',
          name,
          after: {...model, maximum_queue: 100 + index},
        },
      ],
    }),
  });
  const waiting = new Set(cluster.nodes);
  const times: number[] = [];
  while (waiting.size > 0) {
    for (const node of waiting) {
      if (node.configurationNumber <= basedOn) continue;
      waiting.delete(node);
      times.push(performance.now() - startedAt);
    }
    await sleep(1);
  }
  return times;
}

async function submit(
  cluster: LocalCluster,
  basedOn: number,
  id: string,
  declarations: Declarations,
): Promise<void> {
  await request(`${cluster.node(0).operatorUrl}/patches`, {
    method: 'POST',
    body: JSON.stringify({
      id: `capacity-${id}`,
      based_on: basedOn,
      author: 'capacity',
      reason: 'measurement',
      changes: diffDeclarations(emptyDeclarations(), declarations),
    }),
  });
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().rss;
}
