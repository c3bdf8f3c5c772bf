/**
 * A machine is stopped as planned, and another one gives orders to the engines instead of it.
 * Then the store comes back from a copy that is older than this change.
 */

import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  HOST,
  MODELS,
  configuration,
  holderOf,
  leaseOf,
} from '../stand_ins/deployment.mjs';
import {EndpointStandIn} from '../stand_ins/endpoint_stand_in.mjs';
import {World, send, sleep} from '../stand_ins/world.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const AWAY_MS = 1_000;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const {store} = world;
const timer = setTimeout(
  () => world.finish(2, 'the case took too long'),
  110_000,
);
timer.unref();

async function text(gateway, model) {
  const answer = await send({
    address: gateway.callers,
    method: 'POST',
    path: '/text/1',
    host: HOST,
    headers: {
      'attempt-id': randomBytes(8).toString('hex'),
      'deadline-ms': '12000',
      'token-counts': '100,50',
      'prompt-prefix': '5c1e07a2:60,91bd3f06:40',
      model,
    },
    body: 'write',
  });
  world.record('request', {
    machine: gateway.name,
    model,
    status: answer.status,
    failure: answer.failure,
    isComplete: answer.isComplete,
    milliseconds: answer.endedAt - answer.sentAt,
  });
  return answer;
}

/** A caller tries each machine that is up once a second, until an answer is complete. */
async function textUntilServed(gateways, model) {
  for (let attempt = 0; attempt < 12; attempt += 1) {
    const {status} = await text(gateways[attempt % gateways.length], model);
    if (status === 200) return true;
    await sleep(1_000);
  }
  return false;
}

async function waitFor(condition, milliseconds) {
  const deadline = Date.now() + milliseconds;
  while (Date.now() < deadline) {
    if (condition()) return true;
    await sleep(50);
  }
  return false;
}

await world.startStore();
store.put('config', 'main', configuration(3));
const engines = [];
for (const [index, zone] of ['a', 'b'].entries()) {
  const engine = new EndpointStandIn({
    id: `i-engine-${index + 1}`,
    service: 'wordsmith',
    isEngine: true,
    slots: 16,
    models: ['m0'],
    onDisk: MODELS,
    zone,
    host: `${world.net}.${100 + index}`,
    port: 9_000,
    store,
  });
  engines.push(engine);
  await world.addEndpoint(engine);
}
for (const [index, zone] of ['a', 'b', 'c'].entries())
  world.addGateway(`front-${zone}-1`, index + 1, zone);
const {gateways} = world;
const areReady = await Promise.all(
  gateways.map(gateway => gateway.waitUntilReady(20_000)),
);
if (areReady.includes(false)) world.finish(2, 'a machine did not become ready');
await waitFor(() => holderOf(store) !== undefined, 5_000);
await sleep(8_000);

/** The machine that holds the lease, as the store has it; a process adds a suffix to the name. */
function holder() {
  const name = holderOf(store) ?? '';
  return gateways.find(gateway => name.startsWith(gateway.name));
}

/** Some models that no engine holds. */
function absentModels(count) {
  return MODELS.filter(
    model => !engines.some(engine => engine.models.has(model)),
  ).slice(0, count);
}

/** Stops a machine as planned; resolves when another one has the lease. */
async function stopHolder() {
  const stopped = holder();
  if (stopped === undefined) world.finish(2, 'no machine holds the lease');
  world.record('SIGTERM', {name: stopped.name});
  const {starts} = stopped;
  stopped.signal('SIGTERM');
  const isTaken = await waitFor(
    () => holder() !== undefined && holder() !== stopped,
    5_000,
  );
  if (!isTaken) world.finish(2, 'no other machine took the lease');
  world.record('holder', {name: holder().name, lease: leaseOf(store)});
  const isBack = async () => {
    if (!(await waitFor(() => stopped.starts > starts, 12_000)))
      world.finish(2, 'a stopped machine did not end');
    if (!(await stopped.waitUntilReady(10_000)))
      world.finish(2, 'a stopped machine did not come back');
    world.record('ready again', {name: stopped.name});
  };
  return {stopped, isBack};
}

world.record('holder', {name: holder()?.name, lease: leaseOf(store)});
for (const gateway of gateways) await text(gateway, 'm0');

const copy = store.copy();
world.record('copy', {revision: copy.revision});

// The machines are stopped and started in turn; the second one gives orders in its time.
const first = await stopHolder();
const others = gateways.filter(gateway => gateway !== first.stopped);
const isServed = await Promise.all(
  absentModels(2).map(model => textUntilServed(others, model)),
);
if (isServed.includes(false)) world.finish(2, 'a model was not served');
await first.isBack();
const second = await stopHolder();

if (HAS_TROUBLE) {
  store.goAway();
  world.record('store away', {
    revision: store.revision,
    copyIsSecondsOld: (Date.now() - copy.takenAt) / 1000,
  });
  await sleep(AWAY_MS);
  store.comeBack(copy);
  for (const engine of engines) engine.register();
  world.record('store back', {era: store.era, revision: store.revision});
}
await second.isBack();
await sleep(4_000);
world.record('holder', {name: holder()?.name, lease: leaseOf(store)});
await Promise.all(
  absentModels(2).map(model => textUntilServed(gateways, model)),
);
await sleep(1_000);

const violations = [];
for (const engine of engines) {
  const holders = new Map();
  for (const order of engine.orders) {
    world.record('order', {
      at: ((order.at - world.startedAt) / 1000).toFixed(3),
      engine: engine.id,
      holder: order.holder,
      fencingToken: order.fencingToken,
      operation: order.operation,
      model: order.model,
      status: order.status,
    });
    // A holder is one machine, whatever name it bears.
    const machine = gateways.find(({name}) => order.holder.startsWith(name));
    const known = holders.get(order.fencingToken) ?? new Set();
    holders.set(order.fencingToken, known.add(machine?.name ?? order.holder));
  }
  for (const [token, names] of holders) {
    if (names.size > 1)
      violations.push(
        `${engine.id} got orders with fencing token ${token} from ${[...names].join(' and ')}`,
      );
  }
}
const orderCount = engines.flatMap(({orders}) => orders).length;
for (const violation of violations) world.record('broken', {violation});
if (violations.length > 0) world.finish(1, `ONE broken: ${violations[0]}`);
if (orderCount < 2) world.finish(2, 'the machines gave too few orders');
world.finish(0, 'ONE held');
