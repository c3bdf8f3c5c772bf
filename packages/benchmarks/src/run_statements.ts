/**
 * `npm run bench:statements`: what it costs nodes that endpoints say in their responses that
 * they leave, or want no requests for a while. Messages pass over loopback; the lease holder
 * has a process of its own, and all other nodes share one.
 */

import {fork} from 'node:child_process';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {createServer} from 'node:net';
import {fileURLToPath} from 'node:url';
import {steadyClock} from '@siskinmux/adapters';
import {CrashQuarantine} from '@siskinmux/containment';
import {ANY_VERSION, EndpointTable} from '@siskinmux/endpoints';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {ResponseHead} from '@siskinmux/forwarding';
import {
  AllocatorServer,
  ClusterLoad,
  EndpointLimits,
  EndpointPauses,
  InFlightCounts,
  LeavingEndpoints,
  PEER_METHODS,
  PeerConnection,
  SendPermits,
  createPlainEndpointFinder,
  decodeLeaving,
  encodeLeaving,
  leavingSchema,
} from '@siskinmux/gateway';
import type {NodeId, RequestId, ServiceName} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import {OutlierDetector} from '@siskinmux/routing';
import {createEngineDescription, createSeededRandom} from '@siskinmux/testkit';
import {z} from 'zod';
import {sleep} from './processes.js';

const NODE_COUNTS = [7, 91, 570];
const CASES = [
  {endpoints: 16, speaking: 1},
  {endpoints: 16, speaking: 8},
  {endpoints: 63, speaking: 32},
];
const HEARD_BY = ['one', 'all'] as const;
const SERVICE = as<ServiceName>('text');
const NODE_WAIT_MILLISECONDS = 600;
const POLL_MILLISECONDS = 20;
const CHOICES = 2_000;
const REQUESTS_IN_FLIGHT = 32;
const PAUSE_MILLISECONDS = 30_000;
const DEADLINE_MILLISECONDS = 1_000;

const ignore = (): void => {};
const options = {clock: steadyClock, emit: discardEvents};

/** What a process of nodes is told to do. */
const orderSchema = z.object({
  port: z.number(),
  nodes: z.number(),
  endpoints: z.number(),
  speaking: z.number(),
  heardBy: z.enum(HEARD_BY),
});

/** What nodes other than the lease holder have used. */
const useSchema = z.object({
  messages: z.number(),
  milliseconds: z.number(),
});

type Order = z.infer<typeof orderSchema>;

const describeEndpoints = (count: number): EndpointDescription[] =>
  Array.from({length: count}, (_, index) =>
    createEngineDescription(`endpoint-${index}`, SERVICE),
  );

function createTable(endpoints: number): EndpointTable {
  const table = EndpointTable.create();
  table.replaceAll(describeEndpoints(endpoints), undefined);
  return table;
}

function createResponse(
  metadata: Partial<ResponseHead['metadata']>,
): ResponseHead {
  return {
    status: 200,
    framing: 'length',
    headers: [],
    metadata: {
      requestId: undefined,
      isSealed: true,
      isNotRun: false,
      isMisdirected: false,
      isLeaving: false,
      idleTimeoutMilliseconds: undefined,
      rejectionLimit: {kind: 'none'},
      pause: {kind: 'none'},
      requestLimit: {kind: 'none'},
      ...metadata,
    },
  };
}

/** Processor time of this process. */
function processorMilliseconds(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1_000;
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(POLL_MILLISECONDS);
}

/** A node that follows the lease holder. */
class Follower {
  readonly table: EndpointTable;
  readonly leaving: LeavingEndpoints;
  messages = 0;

  private constructor(endpoints: number) {
    this.table = createTable(endpoints);
    this.leaving = LeavingEndpoints.create({
      ...options,
      table: this.table,
      onChanges: ignore,
    });
  }

  static async connect(
    index: number,
    {port, endpoints}: Order,
  ): Promise<Follower> {
    const follower = new Follower(endpoints);
    const connection = await PeerConnection.connect(
      `127.0.0.1:${port}`,
      options,
    );
    connection.handle(PEER_METHODS.newLeaving, leavingSchema, message => {
      follower.messages += 1;
      follower.leaving.merge(decodeLeaving(message, steadyClock.now()));
    });
    await connection.request(
      PEER_METHODS.hello,
      {node: `node-${index}`},
      after(steadyClock.now(), DEADLINE_MILLISECONDS),
    );
    follower.leaving.setExchange({
      reportLeaving: statements => {
        follower.messages += 1;
        connection.notify(
          PEER_METHODS.leaving,
          encodeLeaving(statements, steadyClock.now()),
        );
      },
    });
    return follower;
  }
}

/** Runs all nodes but the lease holder, in a process of their own. */
async function runFollowers(order: Order): Promise<void> {
  const {nodes, endpoints, speaking, heardBy} = order;
  const followers: Follower[] = [];
  for (let index = 1; index < nodes; index += 1)
    followers.push(await Follower.connect(index, order));
  const listeners = heardBy === 'all' ? followers : followers.slice(0, 1);
  process.send?.('connected');
  await once(process, 'message');
  const from = processorMilliseconds();
  // One response after the other, as they come.
  for (const endpoint of describeEndpoints(endpoints).slice(0, speaking)) {
    for (const {leaving} of listeners)
      leaving.recordResponse(endpoint, createResponse({isLeaving: true}));
    await new Promise(resolve => setImmediate(resolve));
  }
  await waitFor(() =>
    followers.every(({leaving}) => leaving.all.length === speaking),
  );
  await sleep(NODE_WAIT_MILLISECONDS);
  process.send?.({
    messages: followers.reduce((sum, {messages}) => sum + messages, 0),
    milliseconds: (processorMilliseconds() - from) / followers.length,
  });
}

function createHolder(endpoints: number): AllocatorServer {
  return AllocatorServer.create({
    ...options,
    orders: {
      send: () => Promise.reject(new RangeError('no orders')),
      report: () => Promise.reject(new RangeError('no reports')),
    },
    authority: () => undefined,
    onFenced: ignore,
    loadWindowMilliseconds: 10_000,
    initialConcurrencyLimit: undefined,
    earlierLoadStarts: [],
    self: as<NodeId>('node-0'),
    quarantine: CrashQuarantine.create({
      ...options,
      onCrash: ignore,
      onEndpointCrash: ignore,
      onWithheld: ignore,
    }),
    limits: EndpointLimits.create(options),
    leaving: LeavingEndpoints.create({
      ...options,
      table: createTable(endpoints),
      onChanges: ignore,
    }),
    onOrigins: ignore,
    limitShare: () => 1,
    listener: {onAvailableModels: ignore, onForecasts: ignore},
    endpoints: () => [],
    reachesStore: () => true,
    onRelayPeers: ignore,
    testify: async () => 'unknown',
    testifyService: async () => false,
    random: createSeededRandom(1),
  });
}

/** Lets endpoints leave; returns a line with what the nodes have used. */
async function measureLeaving(order: Omit<Order, 'port'>): Promise<string> {
  const {nodes, endpoints, speaking, heardBy} = order;
  const holder = createHolder(endpoints);
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    holder.accept(PeerConnection.create(socket, options));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const followers = fork(fileURLToPath(import.meta.url), ['followers'], {
    execArgv: process.execArgv,
  });
  followers.send({...order, port});
  await once(followers, 'message');
  const countBytes = (): number =>
    sockets.reduce(
      (sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten,
      0,
    );
  const bytesBefore = countBytes();
  const from = processorMilliseconds();
  followers.send('begin');
  const [message] = await once(followers, 'message');
  const use = useSchema.parse(message);
  const milliseconds = processorMilliseconds() - from;
  const bytes = countBytes() - bytesBefore;
  const exited = once(followers, 'exit');
  followers.kill();
  await exited;
  await new Promise(resolve => server.close(resolve));
  return [
    String(nodes).padStart(5),
    String(endpoints).padStart(10),
    String(speaking).padStart(8),
    heardBy.padStart(9),
    String(use.messages).padStart(9),
    (bytes / 1_000).toFixed(0).padStart(8),
    milliseconds.toFixed(0).padStart(10),
    use.milliseconds.toFixed(2).padStart(15),
  ].join(' ');
}

/** Chooses endpoints while some want no requests; returns a line with what a choice costs. */
async function measurePauses(
  endpointCount: number,
  speaking: number,
): Promise<string> {
  let lines = 0;
  const emit = (): void => {
    lines += 1;
  };
  const table = createTable(endpointCount);
  const inFlightCounts = InFlightCounts.create();
  const limits = EndpointLimits.create(options);
  const pauses = EndpointPauses.create(options);
  const random = createSeededRandom(1);
  const find = createPlainEndpointFinder(
    {
      table,
      inFlightCounts,
      outliers: OutlierDetector.create(),
      clock: steadyClock,
      random,
      failureDomain: describeEndpoints(1)[0]!.failureDomain,
      clusterLoad: ClusterLoad.create({clock: steadyClock, inFlightCounts}),
    },
    {
      limits,
      pauses,
      permits: SendPermits.create({
        limits,
        clock: steadyClock,
        onPermitUsed: ignore,
      }),
      clock: steadyClock,
      random,
      emit,
      onLimited: ignore,
    },
  );
  for (const endpoint of describeEndpoints(endpointCount).slice(0, speaking))
    pauses.recordResponse(
      endpoint,
      createResponse({
        pause: {kind: 'pause', milliseconds: PAUSE_MILLISECONDS},
      }),
    );
  const ends: (() => void)[] = [];
  const from = processorMilliseconds();
  for (let index = 0; index < CHOICES; index += 1) {
    const {id} = await find({
      id: as<RequestId>(`request-${index}`),
      service: SERVICE,
      model: undefined,
      adapter: undefined,
      version: ANY_VERSION,
      triedEndpoints: new Set(),
      avoidedEndpoints: new Set(),
      deadline: after(steadyClock.now(), DEADLINE_MILLISECONDS),
      priority: 0,
      isFirstAttempt: true,
      signal: new AbortController().signal,
    });
    ends.push(
      inFlightCounts.track({
        endpoint: id,
        model: undefined,
        adapter: undefined,
      }),
    );
    if (ends.length > REQUESTS_IN_FLIGHT) ends.shift()?.();
  }
  const microseconds = ((processorMilliseconds() - from) * 1_000) / CHOICES;
  return [
    String(endpointCount).padStart(9),
    String(speaking).padStart(8),
    microseconds.toFixed(0).padStart(12),
    (lines / CHOICES).toFixed(1).padStart(10),
  ].join(' ');
}

if (process.argv[2] === 'followers') {
  const [message] = await once(process, 'message');
  await runFollowers(orderSchema.parse(message));
} else {
  console.log(
    'endpoints that want no requests: nothing is sent; a choice costs',
  );
  console.log('endpoints   paused  us a choice  log lines');
  for (const {endpoints, speaking} of [
    {endpoints: 16, speaking: 0},
    {endpoints: 63, speaking: 0},
    ...CASES,
  ])
    console.log(await measurePauses(endpoints, speaking));
  console.log('endpoints that leave; all messages, and processor time');
  console.log(
    'nodes  endpoints  leaving  heard by  messages   KB  ms holder  ms other node',
  );
  for (const nodes of NODE_COUNTS)
    for (const {endpoints, speaking} of CASES)
      for (const heardBy of HEARD_BY)
        console.log(
          await measureLeaving({nodes, endpoints, speaking, heardBy}),
        );
  process.exit(0);
}
