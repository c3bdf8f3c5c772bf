/** What the lease holder sends to a node that connects. */

import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {createInterface} from 'node:readline';
import {it} from 'node:test';
import type {CrashId, Suspect, Trait} from '@siskinmux/containment';
import {CrashQuarantine} from '@siskinmux/containment';
import type {Incarnation} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {
  FencingNumber,
  ModelName,
  NodeId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import type {EngineOrderClient} from '@siskinmux/placement';
import type {EngineDeclaration, RouteVersion} from '@siskinmux/routes';
import {VirtualClock, createEngineDescription} from '@siskinmux/testkit';
import {AllocatorServer} from '../src/allocator_server.js';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {
  LeavingEndpoints,
  decodeLeaving,
  leavingSchema,
} from '../src/leaving_endpoints.js';
import {PeerConnection} from '../src/peer_connection.js';
import {PEER_METHODS} from '../src/placement_messages.js';

const SUSPECT_COUNT = 400;
/** After it, a trait with two crashes is on probation. */
const QUARANTINE_MILLISECONDS = 600_000;
const LEAVING_COUNT = 32;
/** Time in which all nodes hear of endpoints that leave. */
const TOLD_MILLISECONDS = 200;

/** An allocator server with records of crashes, and the port on which it takes connections. */
async function createHolder(
  clock: VirtualClock,
  crashesOfEach = 1,
  orders: EngineOrderClient = {
    send: () => assert.fail('no engines'),
    report: () => assert.fail('no engines'),
  },
) {
  const ignore = (): void => {};
  const options = {clock, emit: discardEvents};
  const quarantine = CrashQuarantine.create({
    ...options,
    onCrash: ignore,
    onEndpointCrash: ignore,
    onWithheld: ignore,
  });
  quarantine.merge(
    Array.from({length: SUSPECT_COUNT}, (_, index): Suspect => ({
      trait: as<Trait>(`trait ${index}`),
      lastCrashAt: clock.now(),
      crashes: Array.from({length: crashesOfEach}, (_unused, crash) => ({
        crash: as<CrashId>(`crash ${index} ${crash}`),
        hadResponded: false,
        isCleared: false,
      })),
    })),
  );
  const table = EndpointTable.create();
  const allocatorServer = AllocatorServer.create({
    ...options,
    orders,
    authority: () => ({
      holder: as<NodeId>('holder'),
      fencingNumber: as<FencingNumber>(1),
    }),
    onFenced: ignore,
    loadWindowMilliseconds: 10_000,
    initialConcurrencyLimit: undefined,
    earlierLoadStarts: [],
    self: as<NodeId>('holder'),
    quarantine,
    limits: EndpointLimits.create(options),
    leaving: LeavingEndpoints.create({...options, table, onChanges: ignore}),
    onOrigins: ignore,
    limitShare: () => 1,
    listener: {onAvailableModels: ignore, onForecasts: ignore},
    endpoints: () => table.running,
    reachesStore: () => true,
    onRelayPeers: ignore,
    testify: async () => 'unknown',
    testifyService: async () => false,
    random: () => 0,
  });
  const server = createServer(socket =>
    allocatorServer.accept(PeerConnection.create(socket, options)),
  ).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {allocatorServer, server, port, table};
}

it('sends all suspects before it responds to a handshake', async context => {
  const clock = VirtualClock.create();
  const {server, port} = await createHolder(clock);
  const socket = connect({host: '127.0.0.1', port});
  context.after(() => {
    socket.destroy();
    server.close();
  });
  const hello = {
    jsonrpc: '2.0',
    id: 1,
    method: PEER_METHODS.hello,
    params: {node: 'follower'},
  };
  socket.write(`${JSON.stringify(hello)}\n`);
  let suspectCount = 0;
  const lines = createInterface({input: socket});
  for await (const line of lines) {
    const message = JSON.parse(line);
    suspectCount += message.params?.suspects?.length ?? 0;
    if (message.id === 1) break;
  }
  assert.equal(suspectCount, SUSPECT_COUNT);
});

/** Sends messages over a connection of their own; returns the socket. */
async function send(
  port: number,
  ...messages: {method: string; params: object}[]
): Promise<Socket> {
  const socket = connect({host: '127.0.0.1', port});
  await once(socket, 'connect');
  for (const message of messages)
    socket.write(`${JSON.stringify({jsonrpc: '2.0', id: 1, ...message})}\n`);
  return socket;
}

const ask = (port: number, traits: readonly string[]): Promise<Socket> =>
  send(port, {method: PEER_METHODS.probation, params: {traits}});

/** Waits until what a node has sent has arrived. */
async function exchange(): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 50));
}

async function isAllowed(socket: Socket): Promise<boolean> {
  for await (const line of createInterface({input: socket}))
    return JSON.parse(line).result.isAllowed;
  return false;
}

it('takes a probation back from a node that has left before it was allowed', async context => {
  const clock = VirtualClock.create();
  const {server, port} = await createHolder(clock, 2);
  await clock.advance(QUARANTINE_MILLISECONDS);
  const left = await ask(port, ['trait 0']);
  left.end();
  await exchange();
  const next = await ask(port, ['trait 0']);
  const other = await ask(port, ['trait 1']);
  context.after(() => {
    for (const socket of [next, other]) socket.destroy();
    server.close();
  });
  assert.equal(await isAllowed(other), true);
  const again = await ask(port, ['trait 1']);
  context.after(() => again.destroy());
  assert.equal(await isAllowed(again), false);
  assert.equal(await isAllowed(next), true);
});

it('tells a node of half of a service that leaves at once in two messages, of the first endpoint at once', async context => {
  const clock = VirtualClock.create();
  const {allocatorServer, server, port} = await createHolder(clock);
  const connection = await PeerConnection.connect(`127.0.0.1:${port}`, {
    clock,
    emit: discardEvents,
  });
  context.after(() => {
    connection.close();
    server.close();
  });
  const messages: Incarnation[][] = [];
  connection.handle(PEER_METHODS.newLeaving, leavingSchema, message => {
    messages.push(
      decodeLeaving(message, clock.now()).map(({incarnation}) => incarnation),
    );
  });
  const ask = (): Promise<unknown> =>
    connection.request(
      PEER_METHODS.hello,
      {node: 'follower'},
      after(clock.now(), 1_000),
    );
  await ask();
  const said = Array.from({length: LEAVING_COUNT}, (_, index) =>
    as<Incarnation>(`endpoint-${index}@1`),
  );
  for (const incarnation of said)
    allocatorServer.reportLeaving([{incarnation, saidAt: clock.now()}]);
  await ask();
  assert.deepEqual(messages, [said.slice(0, 1)]);
  await clock.advance(TOLD_MILLISECONDS);
  await ask();
  assert.deepEqual(messages, [said.slice(0, 1), said.slice(1)]);
});

/** Orders to an engine with room for one model, which has loaded m0, and has a copy of m1. */
function createOrders(): {orders: EngineOrderClient; sent: string[]} {
  const sent: string[] = [];
  const orders: EngineOrderClient = {
    send: async ({change}) => {
      sent.push(`${change.operation} ${change.model}`);
      return 'done';
    },
    report: async () => ({
      models: [{model: as<ModelName>('m0'), adapters: []}],
      loadingAdapters: [],
      copies: {inMemory: [], onDisk: [as<ModelName>('m1')]},
      isBusy: false,
      orderCount: 0,
      queued: 0,
      running: 0,
      usedTokens: 0,
      totalTokens: 1_000,
    }),
  };
  return {orders, sent};
}

const declaration: EngineDeclaration = {
  slots: 8,
  cacheCapacityTokens: 1_000,
  weightCapacityMegabytes: 100,
  maximumAdapters: 0,
  maximumStoreLoadsPerSecond: 1,
  models: new Map(
    ['m0', 'm1']
      .map(name => as<ModelName>(name))
      .map(name => [
        name,
        {
          name,
          weightsMegabytes: 70,
          adapterMegabytes: 1,
          loadMilliseconds: {memory: 50, disk: 50, store: 500},
        },
      ]),
  ),
};

it('moves no model in use by a node that has left a second ago at most', async context => {
  const clock = VirtualClock.create();
  const {orders, sent} = createOrders();
  const service = as<ServiceName>('engines');
  const engine = createEngineDescription('engine', service);
  const {server, port, table, allocatorServer} = await createHolder(
    clock,
    1,
    orders,
  );
  table.replaceAll([engine], undefined);
  const routed = {
    name: service,
    probePath: '/',
    maximumConnections: 50,
    engine: declaration,
  };
  allocatorServer.applyConfiguration({
    version: as<RouteVersion>(1),
    routes: [],
    services: new Map([[service, routed]]),
    limits: {
      maximumHeaderBytes: 1_000,
      maximumBodyBytes: 1_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  });
  const follow = (node: string, usage: object): Promise<Socket> =>
    send(
      port,
      {method: PEER_METHODS.hello, params: {node}},
      {
        method: PEER_METHODS.usage,
        params: {
          service,
          reachesStore: true,
          waiting: [],
          running: [],
          arrived: [],
          ...usage,
        },
      },
    );
  const busy = await follow('busy', {running: [['engine', 'm0', 1]]});
  const waiting = await follow('waiting', {waiting: [['m1', 1, 0, 10_000]]});
  context.after(() => {
    for (const socket of [busy, waiting]) socket.destroy();
    allocatorServer.stop();
    server.close();
  });
  await exchange();
  await clock.advance(1_000);
  busy.end();
  await exchange();
  await clock.advance(950);
  assert.deepEqual(sent, []);
  await clock.advance(500);
  assert.deepEqual(sent, ['unload m0', 'load m1']);
});
