/**
 * Two machines are stopped and started in turn. Then the store comes back from a copy that was
 * made before, and later, when all is calm again, the operator moves a route.
 */

import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HOST, configuration, holderOf} from '../stand_ins/deployment.mjs';
import {EndpointStandIn} from '../stand_ins/endpoint_stand_in.mjs';
import {World, send, sleep} from '../stand_ins/world.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const AWAY_MS = 1_000;
const CONFIG_APPLY_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const {store} = world;
const timer = setTimeout(
  () => world.finish(2, 'the case took too long'),
  110_000,
);
timer.unref();

const sent = [];

/** One coupon of a client, at a machine of its zone. */
async function issue(gateway) {
  const id = randomBytes(8).toString('hex');
  const answer = await send({
    address: gateway.callers,
    method: 'POST',
    path: '/issue/coupon',
    host: HOST,
    headers: {'attempt-id': id, 'deadline-ms': '1500'},
    body: 'coupon',
  });
  sent.push({
    id,
    machine: gateway.name,
    sentAt: answer.sentAt,
    status: answer.status,
  });
}

let isTraffic = true;
async function traffic(gateway) {
  while (isTraffic) {
    void issue(gateway);
    await sleep(100);
  }
}

async function addServer(id, service, number) {
  const server = new EndpointStandIn({
    id,
    service,
    slots: 6,
    zone: 'a',
    host: `${world.net}.${100 + number}`,
    port: 9_000,
    store,
  });
  await world.addEndpoint(server);
  return server;
}

await world.startStore();
store.put('config', 'main', configuration(3));
const servers = [
  await addServer('i-till-1', 'till', 1),
  await addServer('i-till-2', 'till', 2),
  await addServer('i-two-1', 'till-two', 3),
  await addServer('i-two-2', 'till-two', 4),
];
for (const [index, zone] of ['a', 'b', 'c'].entries())
  world.addGateway(`front-${zone}-1`, index + 1, zone);
const {gateways} = world;
const areReady = await Promise.all(
  gateways.map(gateway => gateway.waitUntilReady(20_000)),
);
if (areReady.includes(false)) world.finish(2, 'a machine did not become ready');
await sleep(6_000);
for (const gateway of gateways) void traffic(gateway);
await sleep(1_000);

/** The machine that holds the lease, as the store has it; a process adds a suffix to the name. */
function holder() {
  const name = holderOf(store) ?? '';
  return gateways.find(gateway => name.startsWith(gateway.name));
}

async function waitFor(condition, milliseconds) {
  const deadline = Date.now() + milliseconds;
  while (Date.now() < deadline) {
    if (condition()) return true;
    await sleep(50);
  }
  return false;
}

/** Stops the machine that holds the lease as planned, until another one has it. */
async function stopHolder() {
  const stopped = holder();
  if (stopped === undefined) world.finish(2, 'no machine holds the lease');
  const {starts} = stopped;
  world.record('SIGTERM', {name: stopped.name});
  stopped.signal('SIGTERM');
  const isTaken = await waitFor(
    () => holder() !== undefined && holder() !== stopped,
    5_000,
  );
  if (!isTaken) world.finish(2, 'no other machine took the lease');
  const isBack = async () => {
    if (!(await waitFor(() => stopped.starts > starts, 12_000)))
      world.finish(2, 'a stopped machine did not end');
    if (!(await stopped.waitUntilReady(10_000)))
      world.finish(2, 'a stopped machine did not come back');
    world.record('ready again', {name: stopped.name});
  };
  return isBack;
}

/** What the operator and the servers have, written again where the store lacks it. */
function writeAgain(configurationInForce) {
  store.put('config', 'main', configurationInForce);
  for (const server of servers) server.register();
}

const copy = store.copy();
world.record('copy', {revision: copy.revision});

// Two machines are stopped and started in turn; each time, the lease is written twice.
const isFirstBack = await stopHolder();
await isFirstBack();
const isSecondBack = await stopHolder();
await sleep(1_500);

if (HAS_TROUBLE) {
  store.goAway();
  world.record('store away', {
    revision: store.revision,
    copyIsSecondsOld: (Date.now() - copy.takenAt) / 1000,
  });
  await sleep(AWAY_MS);
  store.comeBack(copy);
  writeAgain(configuration(3));
  world.record('store back', {era: store.era, revision: store.revision});
}
await isSecondBack();
await sleep(STABLE_WINDOW_MS + 2_000);

const moved = configuration(7, {issueService: 'till-two'});
const {metadata} = store.put('config', 'main', moved);
const acknowledgedAt = Date.now();
world.record('acknowledged', {version: 7, revision: metadata.revision});
await sleep(CONFIG_APPLY_MS + 10_000);
isTraffic = false;
await sleep(1_700);

/** The service that ran each request. */
const services = new Map(
  servers.flatMap(({requests}) =>
    requests.map(({id, service}) => [id, service]),
  ),
);
let late = 0;
let old = 0;
const machines = new Set();
for (const {id, machine, sentAt, status} of sent) {
  const service = services.get(id);
  world.record('request', {
    sentAt: ((sentAt - world.startedAt) / 1000).toFixed(3),
    machine,
    status,
    ranAt: service,
  });
  if (sentAt <= acknowledgedAt + CONFIG_APPLY_MS) continue;
  late += 1;
  if (service !== 'till') continue;
  old += 1;
  machines.add(machine);
}
world.record('result', {late, ranAtOldService: old, machines: [...machines]});
if (late < 100) world.finish(2, 'too few requests were sent');
if (old > 0)
  world.finish(
    1,
    `CONFIG broken: ${old} of ${late} requests sent later than configApplyMs after the acknowledgement were run by the old service, by ${[...machines].join(' and ')}`,
  );
world.finish(0, 'CONFIG held');
