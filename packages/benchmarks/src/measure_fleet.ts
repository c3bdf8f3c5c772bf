/**
 * Measures the control traffic and processor time of a node in fleets of different
 * sizes, on real sockets in one process.
 */

import type {Declarations} from '@siskinmux/declarations';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {request} from 'undici';
import {percentile} from './bounds.js';
import {sleep} from './processes.js';

/** Time per node, and minimum time, until every node knows all members. */
const SETTLE_MILLISECONDS_PER_NODE = 1_500;
const MINIMUM_SETTLE_MILLISECONDS = 25_000;

/** Duration of the measurement of an idle fleet. */
const IDLE_MEASUREMENT_MILLISECONDS = 20_000;
const CHANGE_COUNT = 20;
const CHANGE_PAUSE_MILLISECONDS = 150;

/** Size of the headers of one HTTP call, request and response together. */
const HEADER_BYTES = 420;

const DOMAINS = ['a', 'b', 'c'];

/** Costs of the background work of one fleet; per node unless stated otherwise. */
export interface FleetMeasurement {
  readonly nodes: number;
  /** Share of one core that a node uses in an idle fleet. */
  readonly coreShare: number;
  readonly peerBytesPerSecond: number;
  readonly platformCallsPerSecond: number;
  /** Memory that each further node in the process adds. */
  readonly memoryBytes: number;
  /** Time from a submitted change until a node has activated it. */
  readonly activationMedianMilliseconds: number;
  readonly activationP99Milliseconds: number;
  /** Processor time of one configuration change. */
  readonly processorSecondsPerChange: number;
  readonly peerBytesPerChange: number;
}

/** Starts `nodes` nodes and measures them while idle, then during configuration changes. */
export async function measureFleet(
  nodes: number,
  declarations: Declarations,
): Promise<FleetMeasurement> {
  const memoryBefore = residentBytes();
  const cluster = await LocalCluster.start({
    clock: systemClock,
    random: systemRandom,
    declarations,
    nodes: Array.from(
      {length: nodes},
      (_, index) => DOMAINS[index % DOMAINS.length] ?? 'a',
    ),
  });
  await submitDeclarations(cluster, 0, 'begin', cluster.declarations);
  await sleep(
    Math.max(MINIMUM_SETTLE_MILLISECONDS, nodes * SETTLE_MILLISECONDS_PER_NODE),
  );
  const memoryBytes = (residentBytes() - memoryBefore) / nodes;
  const idle = await measureUsage(cluster, () =>
    sleep(IDLE_MEASUREMENT_MILLISECONDS),
  );
  const times: number[] = [];
  const changing = await measureUsage(cluster, async () => {
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      times.push(...(await applyChange(cluster, index)));
      await sleep(CHANGE_PAUSE_MILLISECONDS);
    }
  });
  await cluster.stop();
  const costPerChange = (key: 'processorSeconds' | 'peerBytes'): number =>
    Math.max(0, changing[key] - (idle[key] / idle.seconds) * changing.seconds) /
    (CHANGE_COUNT * nodes);
  return {
    nodes,
    coreShare: idle.processorSeconds / idle.seconds / nodes,
    peerBytesPerSecond: idle.peerBytes / idle.seconds / nodes,
    platformCallsPerSecond: idle.platformCalls / idle.seconds / nodes,
    memoryBytes,
    activationMedianMilliseconds: percentile(times, 0.5),
    activationP99Milliseconds: percentile(times, 0.99),
    processorSecondsPerChange: costPerChange('processorSeconds'),
    peerBytesPerChange: costPerChange('peerBytes'),
  };
}

interface ResourceUsage {
  readonly seconds: number;
  readonly processorSeconds: number;
  readonly peerBytes: number;
  readonly platformCalls: number;
}

async function measureUsage(
  cluster: LocalCluster,
  work: () => Promise<unknown>,
): Promise<ResourceUsage> {
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

/** Bytes that all nodes sent and received; the headers of a call count at both its nodes. */
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

/** Changes one model and returns the time until activation at each node. */
async function applyChange(
  cluster: LocalCluster,
  index: number,
): Promise<number[]> {
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
  const pendingNodes = new Set(cluster.nodes);
  const times: number[] = [];
  while (pendingNodes.size > 0) {
    for (const node of pendingNodes) {
      if (node.configurationNumber <= basedOn) continue;
      pendingNodes.delete(node);
      times.push(performance.now() - startedAt);
    }
    await sleep(1);
  }
  return times;
}

async function submitDeclarations(
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

function residentBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().rss;
}
