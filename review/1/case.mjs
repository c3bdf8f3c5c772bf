/** Engines that are full reject requests, and give some of their answers a second time, late. */

import {randomBytes} from 'node:crypto';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HOST, configuration} from '../stand_ins/deployment.mjs';
import {EndpointStandIn} from '../stand_ins/endpoint_stand_in.mjs';
import {World, send, sleep} from '../stand_ins/world.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TRAFFIC_MS = 80_000;
/** Share of one engine's answers that come a second time. */
const EXTRA_SHARE = 0.03;
/** When the engine is in trouble, in milliseconds from the start of traffic. */
const TROUBLES = [
  [3_000, 8_000],
  [38_000, 43_000],
  [73_000, 78_000],
];
const MACHINES = 7;
const REQUESTS_A_SECOND = 10;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const {store} = world;
const timer = setTimeout(
  () => world.finish(2, 'the case took too long'),
  110_000,
);
timer.unref();

let trafficAt;

/** Whether the engine is in trouble, and has given fewer extra answers than its share. */
function mayGiveExtra() {
  const now = Date.now() - trafficAt;
  const trouble = TROUBLES.findIndex(([from, to]) => now >= from && now < to);
  if (!HAS_TROUBLE || trouble < 0) return false;
  const [from] = TROUBLES[trouble];
  const answered = engines[0].requests.filter(
    ({at}) => at >= trafficAt + from,
  ).length;
  const given = engines[0].requests.filter(
    ({at, hadExtra}) => hadExtra && at >= trafficAt + from,
  ).length;
  if (given + 1 > answered * EXTRA_SHARE) return false;
  return true;
}

await world.startStore();
const config = configuration(3);
const route = config.routes.find(({name}) => name === 'text');
// As the sheet's campaign-brief: it may not be resumed, so it may run once at most.
Object.assign(route, {resumable: false, maxAttempts: 1});
const {engine: declared} = config.services.find(
  ({name}) => name === 'wordsmith',
);
// Each engine holds one model; a model has one engine, as rare models do.
Object.assign(declared, {
  models: declared.models.slice(0, 2),
  weightsMb: 80_000,
});
store.put('config', 'main', config);
const engines = [];
for (const [index, zone] of ['a', 'b'].entries()) {
  const engine = new EndpointStandIn({
    id: `i-engine-${index + 1}`,
    service: 'wordsmith',
    isEngine: true,
    slots: 8,
    events: 10,
    models: [`m${index}`],
    zone,
    host: `${world.net}.${100 + index}`,
    port: 9_000,
    store,
    mayGiveExtra: () => index === 0 && mayGiveExtra(),
  });
  engines.push(engine);
  await world.addEndpoint(engine);
}
for (let number = 1; number <= MACHINES; number += 1) {
  const zone = ['a', 'b', 'c'][number % 3];
  world.addGateway(`front-${zone}-${number}`, number, zone);
}
const {gateways} = world;
const areReady = await Promise.all(
  gateways.map(gateway => gateway.waitUntilReady(20_000)),
);
if (areReady.includes(false)) world.finish(2, 'a machine did not become ready');
await sleep(6_000);

const answers = new Map();

async function brief(gateway, model) {
  const id = randomBytes(8).toString('hex');
  const answer = await send({
    address: gateway.callers,
    method: 'POST',
    path: '/text/1',
    host: HOST,
    headers: {
      'attempt-id': id,
      'deadline-ms': '12000',
      'token-counts': '100,50',
      'prompt-prefix': '5c1e07a2:60,91bd3f06:40',
      model,
    },
    body: 'write',
  });
  answers.set(id, {...answer, machine: gateway.name});
}

trafficAt = Date.now();
const endAt = trafficAt + TRAFFIC_MS;
await Promise.all(
  gateways.map(async gateway => {
    let count = 0;
    while (Date.now() < endAt) {
      void brief(gateway, `m${(count += 1) % 2}`);
      await sleep((-1_000 * Math.log(1 - Math.random())) / REQUESTS_A_SECOND);
    }
  }),
);
await sleep(3_000);

const arrivals = engines
  .flatMap(({requests}) => requests)
  .sort((left, right) => left.at - right.at);
const runs = new Map();
let rejected = 0;
let extras = 0;
for (const arrival of arrivals) {
  if (arrival.hadExtra) extras += 1;
  if (arrival.outcome !== 'ran') {
    rejected += 1;
    continue;
  }
  runs.set(arrival.id, [...(runs.get(arrival.id) ?? []), arrival]);
}
const twice = [...runs].filter(([, own]) => own.length > 1);
const refused = [...answers].filter(
  ([id, {status}]) => (status === 503 || status === 429) && runs.has(id),
);
for (const [id, {machine, sentAt, status, isComplete}] of answers)
  world.record('request', {
    id,
    machine,
    sentAt: ((sentAt - world.startedAt) / 1000).toFixed(3),
    status,
    isComplete,
    runs: runs.get(id)?.length ?? 0,
  });
for (const [id] of [...twice, ...refused])
  for (const arrival of arrivals)
    if (arrival.id === id)
      world.record('arrival of a request that ran wrongly', {
        id,
        at: ((arrival.at - world.startedAt) / 1000).toFixed(3),
        engine: arrival.engine,
        connection: arrival.connection,
        outcome: arrival.outcome,
        hadExtra: arrival.hadExtra,
      });
world.record('result', {
  requests: answers.size,
  arrivals: arrivals.length,
  rejected,
  extraAnswers: extras,
  ranTwice: twice.length,
  refusedAndRun: refused.length,
});
const seen = `${twice.length} requests ran more than once, and ${refused.length} were answered 503 and had run (${extras} extra answers, ${arrivals.length} arrivals)`;
if (twice.length > 0) world.finish(1, `TWICE broken: ${seen}`);
if (HAS_TROUBLE && extras < 4) world.finish(2, 'too few extra answers');
world.finish(0, `TWICE held: ${seen}`);
