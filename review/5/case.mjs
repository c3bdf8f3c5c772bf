/** One engine in trouble answers its streams with short lines without end. */

import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HOST, MODELS, configuration} from '../stand_ins/deployment.mjs';
import {EndpointStandIn} from '../stand_ins/endpoint_stand_in.mjs';
import {World, sleep} from '../stand_ins/world.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TROUBLE_MS = 12_000;
const ISSUE_TIMEOUT_MS = 600;
const STREAMS_A_SECOND = 13;
const STREAM_PATIENCE_MS = 2_000;
/** A quarter of the 1,000 Mbit/s of a link. */
const BYTES_A_SECOND = 31_250_000;
/** Longest pause of this script itself with which its measurements count. */
const MAXIMUM_PAUSE_MS = 200;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const {store} = world;
const timer = setTimeout(
  () => world.finish(2, 'the case took too long'),
  110_000,
);
timer.unref();

/** Longest pause of this process, which plays the clients and the engines. */
let longestPause = 0;
let lastTick = Date.now();
setInterval(() => {
  const now = Date.now();
  longestPause = Math.max(longestPause, now - lastTick);
  lastTick = now;
}, 10);

await world.startStore();
const config = configuration(3);
config.routes.find(({name}) => name === 'issue').timeoutMs = ISSUE_TIMEOUT_MS;
store.put('config', 'main', config);
const engines = [];
for (const [index, zone] of ['a', 'b', 'c'].entries()) {
  const engine = new EndpointStandIn({
    id: `i-engine-${index + 1}`,
    service: 'wordsmith',
    isEngine: true,
    slots: 64,
    events: 40,
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
const till = new EndpointStandIn({
  id: 'i-till-1',
  service: 'till',
  slots: 60,
  zone: 'a',
  host: `${world.net}.110`,
  port: 9_000,
  store,
});
await world.addEndpoint(till);
for (const [index, zone] of ['a', 'b', 'c'].entries())
  world.addGateway(`front-${zone}-1`, index + 1, zone);
const {gateways} = world;
const areReady = await Promise.all(
  gateways.map(gateway => gateway.waitUntilReady(20_000)),
);
if (areReady.includes(false)) world.finish(2, 'a machine did not become ready');
await sleep(6_000);

/** Bytes that are no answer, in a body, until the caller closes. */
const [troubled] = engines;
const streamSoundly = troubled.stream.bind(troubled);
let isTroubled = false;
let allowedBytes = 0;
let sentBytes = 0;
setInterval(() => {
  allowedBytes = BYTES_A_SECOND / 50;
}, 20);
troubled.stream = async (incoming, response, headers) => {
  if (!isTroubled) return streamSoundly(incoming, response, headers);
  const lines = Buffer.alloc(65_536, 'y\n');
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  while (!response.destroyed) {
    if (allowedBytes < lines.length || response.writableNeedDrain) {
      await sleep(5);
      continue;
    }
    allowedBytes -= lines.length;
    sentBytes += lines.length;
    response.write(lines);
  }
};

/** A client leaves a stream without an event for two seconds. */
function openStream(gateway) {
  const [host, port] = gateway.callers.split(':');
  const call = request({
    host,
    port,
    method: 'POST',
    path: '/text/1',
    agent: false,
    headers: {
      host: HOST,
      'attempt-id': randomBytes(8).toString('hex'),
      'deadline-ms': '12000',
      'token-counts': '100,50',
      'prompt-prefix': '5c1e07a2:60,91bd3f06:40',
      model: 'm0',
    },
  });
  const leave = () => call.destroy();
  let patience = setTimeout(leave, STREAM_PATIENCE_MS);
  call.on('error', () => {});
  call.on('close', () => clearTimeout(patience));
  call.on('response', response => {
    response.on('error', () => {});
    response.on('data', chunk => {
      if (!chunk.includes('\n\n')) return;
      clearTimeout(patience);
      patience = setTimeout(leave, STREAM_PATIENCE_MS);
    });
  });
  call.end('write');
}

const issued = [];

/** A coupon of the sound service; its client waits well beyond the route's timeout. */
function issue(gateway) {
  const [host, port] = gateway.callers.split(':');
  const entry = {machine: gateway.name, sentAt: Date.now()};
  issued.push(entry);
  const call = request(
    {
      host,
      port,
      method: 'POST',
      path: '/issue/coupon',
      agent: false,
      headers: {
        host: HOST,
        'attempt-id': randomBytes(8).toString('hex'),
        'deadline-ms': '5000',
      },
    },
    response => {
      entry.status = response.statusCode;
      response.resume();
      response.on('error', () => {});
      response.once('close', () => {
        entry.endedAt = Date.now();
      });
    },
  );
  call.once('error', () => {
    entry.endedAt ??= Date.now();
  });
  call.end('coupon');
}

let isOn = true;
async function repeat(action, milliseconds) {
  while (isOn) {
    action();
    await sleep(milliseconds);
  }
}
const probes = [];
for (const gateway of gateways) {
  void repeat(() => openStream(gateway), 1_000 / STREAMS_A_SECOND);
  void repeat(() => issue(gateway), 100);
  void repeat(async () => {
    const sentAt = Date.now();
    const status = await gateway.readiness();
    probes.push({machine: gateway.name, sentAt, status});
  }, 1_000);
}

await sleep(4_000);
const troubleAt = Date.now();
world.record('trouble', {isOn: HAS_TROUBLE});
isTroubled = HAS_TROUBLE;
await sleep(TROUBLE_MS);
const calmAt = Date.now();
isTroubled = false;
isOn = false;
world.record('end of trouble', {sentBytes});
await sleep(6_000);

let late = 0;
let overdue = 0;
let count = 0;
for (const {machine, sentAt, endedAt, status} of issued) {
  const milliseconds = endedAt === undefined ? undefined : endedAt - sentAt;
  world.record('request', {
    sentAt: ((sentAt - world.startedAt) / 1000).toFixed(3),
    machine,
    status,
    milliseconds,
  });
  if (sentAt < troubleAt || sentAt > calmAt - 2_000) continue;
  count += 1;
  if (milliseconds !== undefined && milliseconds <= ISSUE_TIMEOUT_MS) continue;
  late += 1;
  if (milliseconds === undefined || milliseconds > ISSUE_TIMEOUT_MS + 500)
    overdue += 1;
}
const probed = probes.filter(
  ({sentAt}) => sentAt >= troubleAt && sentAt <= calmAt,
);
const missed = probed.filter(({status}) => status !== 200).length;
world.record('result', {
  count,
  unansweredAtTimeout: late,
  unansweredHalfASecondLater: overdue,
  probes: probed.length,
  probesMissed: missed,
  longestPauseOfThisScript: longestPause,
});
if (longestPause > MAXIMUM_PAUSE_MS)
  world.finish(2, 'this script itself was too slow');
if (count < 200) world.finish(2, 'too few requests were sent');
const seen = `of ${count} requests to a sound service ${late} had no answer at timeoutMs, and ${overdue} none half a second later; ${missed} of ${probed.length} probes were missed`;
if (overdue >= 8 && overdue > late / 2)
  world.finish(1, `CONFIG broken: ${seen}`);
world.finish(0, `CONFIG held: ${seen}`);
