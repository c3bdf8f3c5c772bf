/**
 * Prints what the messages between the lease holder and its followers weigh, and the bytes a
 * second that follow from their intervals. Run `tsx scripts/message_sizes.ts`.
 */

import type {CrashId, Suspect, Trait} from '@siskinmux/containment';
import {encodeSuspects} from '@siskinmux/containment';
import type {
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  NodeId,
  ObjectVersion,
  ServiceName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {PeerRegistry, encodePeers} from '@siskinmux/relay';
import {encodeFeedUpdate} from '../packages/gateway/src/change_feed.js';
import {
  PEER_METHODS,
  encodeAvailableModels,
  encodeUsage,
} from '../packages/gateway/src/placement_messages.js';

const NOW = as<Instant>(1_700_000_000_000.123);
const SERVICE = as<ServiceName>('text-service');
const HEARTBEATS_PER_SECOND = 1_000 / 300;
const PULSES_PER_SECOND = 1_000 / 300;
/** Up to this size, heartbeats carry no loads. */
const SMALL_CLUSTER_NODES = 16;
const MAXIMUM_CHANGES_CHARACTERS = 32_768;
const SUSPECT_RECORDS = 2_000;
const MEGABIT_BYTES = 125_000;
const LINK_MEGABITS_PER_SECOND = 10;

/** A deployment. Each engine has requests of each node in flight for one of its models. */
interface Size {
  readonly nodes: number;
  readonly engines: number;
  readonly models: number;
  readonly modelsPerEngine: number;
  readonly domains: number;
  /** Engines at which one node has requests in flight. */
  readonly enginesInUsePerNode: number;
}

const SIZES: readonly Size[] = [
  {
    nodes: 7,
    engines: 19,
    models: 68,
    modelsPerEngine: 3,
    domains: 3,
    enginesInUsePerNode: 8,
  },
  {
    nodes: 91,
    engines: 126,
    models: 468,
    modelsPerEngine: 3,
    domains: 3,
    enginesInUsePerNode: 8,
  },
  {
    nodes: 570,
    engines: 8_000,
    models: 240,
    modelsPerEngine: 2,
    domains: 6,
    enginesInUsePerNode: 40,
  },
];

const engineName = (index: number): EndpointId =>
  as<EndpointId>(`i-0cd4c6${index.toString(16).padStart(4, '0')}`);
const modelName = (index: number): ModelName =>
  as<ModelName>(`text-model-${String(index).padStart(4, '0')}`);
const nodeName = (index: number): NodeId =>
  as<NodeId>(`front-mids-a-${index}-afa5f13d`);
const range = (count: number): number[] =>
  Array.from({length: count}, (_, index) => index);

/** Bytes of a message on the connection, with its envelope. */
function bytesOf(method: string, params: object): number {
  const text = JSON.stringify({jsonrpc: '2.0', method, params});
  return Buffer.byteLength(text) + 1;
}

function heartbeatBytes(size: Size, changeCharacters: number): number {
  const revision = as<ObjectVersion>(123_456);
  const change = {
    object: {name: 'main', revision, content: 'x'.repeat(changeCharacters)},
    isRemoved: false,
  };
  const update = {
    from: revision,
    to: revision,
    age: 123.456_789,
    returnLeft: 0,
  };
  const hasLoads = size.nodes > SMALL_CLUSTER_NODES;
  return bytesOf(PEER_METHODS.allocatorHeartbeat, {
    nodes: size.nodes,
    reachesStore: true,
    loadsAtOnce: 4,
    loadAges: range(8).map(index => index * 300.123_456),
    loads: hasLoads
      ? range(size.engines).map(index => [engineName(index), 12])
      : [],
    feed: [
      {kind: 'config', changes: changeCharacters > 0 ? [change] : []},
      {kind: 'servers', changes: []},
    ].map(kind => encodeFeedUpdate({...kind, ...update})),
    echo: NOW,
  });
}

function availableModelsBytes(size: Size, engines: number): number {
  return bytesOf(
    PEER_METHODS.availableModels,
    encodeAvailableModels(
      SERVICE,
      range(engines).map(index => ({
        engine: engineName(index),
        models: range(size.modelsPerEngine).map(offset =>
          modelName((index * size.modelsPerEngine + offset) % size.models),
        ),
      })),
    ),
  );
}

function usageBytes(size: Size): number {
  const usage = {
    waiting: range(2).map(index => ({
      model: modelName(index),
      count: 3,
      priority: 2,
      earliestDeadline: as<Instant>(NOW + 1_234.567_891),
    })),
    inFlight: range(size.enginesInUsePerNode).map(index => ({
      engine: engineName(index),
      model: modelName(index),
      count: 2,
    })),
    arrived: range(size.enginesInUsePerNode).map(index => ({
      model: modelName(index),
      count: 1,
    })),
  };
  return bytesOf(PEER_METHODS.usage, encodeUsage(SERVICE, usage, true, NOW));
}

function relayPeersBytes(size: Size): number {
  const registry = PeerRegistry.create();
  for (const index of range(size.nodes))
    registry.record({
      node: nodeName(index),
      address: '10.20.30.40:17031',
      failureDomain: as<FailureDomain>(`mids-${index % size.domains}`),
      cutFrom: [],
    });
  const peers = registry.peersOf(nodeName(0));
  return bytesOf(PEER_METHODS.relayPeers, encodePeers(peers));
}

function suspectsBytes(): number {
  const suspects = range(SUSPECT_RECORDS).map((index): Suspect => ({
    trait: as<Trait>(`NiH9j3xzGAeAglk0sK7q${index}`),
    lastCrashAt: NOW,
    crashes: [
      {
        crash: as<CrashId>('i-0cd4c6f6@1796471107064'),
        hadResponded: false,
        isCleared: false,
      },
    ],
  }));
  return encodeSuspects(suspects, NOW)
    .map(message => bytesOf(PEER_METHODS.newSuspects, message))
    .reduce((total, bytes) => total + bytes, 0);
}

/** Usage reports a second of one node, at least its heartbeat. */
function usageReportsPerSecond({nodes}: Size): number {
  return Math.max(2, 1_000 / Math.max(25, 4 * nodes));
}

for (const size of SIZES) {
  const followers = size.nodes - 1;
  const linkBytes = LINK_MEGABITS_PER_SECOND * MEGABIT_BYTES;
  const heartbeat = heartbeatBytes(size, 0);
  const withChange = heartbeatBytes(size, MAXIMUM_CHANGES_CHARACTERS);
  const models = availableModelsBytes(size, size.engines);
  const usage = usageBytes(size);
  const pulse = bytesOf(PEER_METHODS.pulse, {at: NOW});
  const suspects = suspectsBytes();
  const toFollower = heartbeat * HEARTBEATS_PER_SECOND;
  const fromFollower =
    usage * usageReportsPerSecond(size) + pulse * PULSES_PER_SECOND;
  const state = models + relayPeersBytes(size);
  const secondsOf = (bytes: number): string =>
    ((followers * bytes) / linkBytes).toFixed(2);
  console.log(
    JSON.stringify({
      nodes: size.nodes,
      heartbeat,
      heartbeatWithLargestChange: withChange,
      availableModelsOfOneEngine: availableModelsBytes(size, 1),
      availableModels: models,
      usage,
      pulse,
      relayPeers: relayPeersBytes(size),
      suspects,
      bytesPerSecondToEachFollower: Math.round(toFollower),
      bytesPerSecondFromEachFollower: Math.round(fromFollower),
      bytesPerSecondFromHolder: Math.round(followers * toFollower),
      bytesPerSecondToHolder: Math.round(followers * fromFollower),
      holderLinkShare: ((followers * toFollower) / linkBytes).toFixed(2),
      secondsOfHolderLink: {
        largestChange: secondsOf(withChange),
        stateOfNewHolder: secondsOf(state),
        stateWithSuspects: secondsOf(state + suspects),
      },
    }),
  );
}
