/** One engine in trouble answers its streams with bytes that are no events, without end. */

import {randomBytes} from 'node:crypto';
import {request} from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HOST, MODELS, configuration} from '../stand_ins/deployment.mjs';
import {EndpointStandIn} from '../stand_ins/endpoint_stand_in.mjs';
import {World, sleep} from '../stand_ins/world.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const TROUBLE_MS = 15_000;
const EVENTS = 40;
const STREAMS_A_SECOND = 3;
const STREAM_PATIENCE_MS = 2_000;
/** What comes at once, and what then comes each second until the caller closes. */
const FIRST_BYTES = 1_310_720;
const BYTES_A_SECOND = 20_480;

const world = new World(dirname(fileURLToPath(import.meta.url)));
const {store} = world;
const timer = setTimeout(
  () => world.finish(2, 'the case took too long'),
  110_000,
);
timer.unref();

await world.startStore();
const config = configuration(3);
// As the sheet's offer-text: pauses of two seconds make its clients leave.
config.routes.find(({name}) => name === 'text').targetLatencyMs = 400;
store.put('config', 'main', config);
const engines = [];
for (const [index, zone] of ['a', 'b', 'c'].entries()) {
  const engine = new EndpointStandIn({
    id: `i-engine-${index + 1}`,
    service: 'wordsmith',
    isEngine: true,
    slots: 64,
    events: EVENTS,
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
await sleep(6_000);

/** Bytes that are no answer, in a body, until the caller closes. */
const [troubled] = engines;
const streamSoundly = troubled.stream.bind(troubled);
let isTroubled = false;
troubled.stream = async (incoming, response, headers) => {
  if (!isTroubled) return streamSoundly(incoming, response, headers);
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  response.write(Buffer.alloc(FIRST_BYTES, '#'));
  while (!response.destroyed) {
    await sleep(50);
    response.write(Buffer.alloc(BYTES_A_SECOND / 20, '#'));
  }
};

const streams = [];

/** A client leaves a stream without a byte for two seconds. */
function openStream(gateway) {
  const [host, port] = gateway.callers.split(':');
  const entry = {
    id: randomBytes(8).toString('hex'),
    machine: gateway.name,
    sentAt: Date.now(),
  };
  streams.push(entry);
  const call = request({
    host,
    port,
    method: 'POST',
    path: '/text/1',
    agent: false,
    headers: {
      host: HOST,
      'attempt-id': entry.id,
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
    const chunks = [];
    response.on('error', () => {});
    response.on('data', chunk => {
      chunks.push(chunk);
      clearTimeout(patience);
      patience = setTimeout(leave, STREAM_PATIENCE_MS);
    });
    response.once('close', () => {
      entry.status = response.statusCode;
      entry.seal = response.headers['server-seal'];
      entry.isComplete = response.complete;
      entry.body = Buffer.concat(chunks).toString();
    });
  });
  call.end('write');
}

/** Whether a body holds each event of an engine once, in order, and nothing else. */
function isWhole(body) {
  let rest = body;
  for (let event = 1; event <= EVENTS; event += 1) {
    const match = /^id: (\d+)\ndata: i-engine-\d\n\n/.exec(rest);
    if (match === null || Number(match[1]) !== event) return false;
    rest = rest.slice(match[0].length);
  }
  return rest === '';
}

let isOn = true;
async function repeat(action, milliseconds) {
  while (isOn) {
    action();
    await sleep(milliseconds);
  }
}
for (const gateway of gateways)
  void repeat(() => openStream(gateway), 1_000 / STREAMS_A_SECOND);

await sleep(12_000);
world.record('trouble', {isOn: HAS_TROUBLE});
isTroubled = HAS_TROUBLE;
await sleep(TROUBLE_MS);
isTroubled = false;
isOn = false;
world.record('end of trouble');
await sleep(13_000);

let complete = 0;
const spoiled = [];
for (const entry of streams) {
  const {body = ''} = entry;
  const isSuccess = entry.status === 200 && entry.isComplete;
  const isSpoiled = isSuccess && !isWhole(body);
  if (isSuccess) complete += 1;
  if (isSpoiled) spoiled.push(entry);
  world.record('request', {
    id: entry.id,
    machine: entry.machine,
    sentAt: ((entry.sentAt - world.startedAt) / 1000).toFixed(3),
    status: entry.status,
    seal: entry.seal,
    isComplete: entry.isComplete,
    bytes: body.length,
    isSpoiled,
  });
}
for (const {id, body} of spoiled.slice(0, 3)) {
  const at = body.search(/[^#]/);
  world.record('spoiled', {
    id,
    bytesThatAreNoEvents: at,
    then: body.slice(at, at + 60),
    end: body.slice(-40),
  });
}
world.record('result', {
  streams: streams.length,
  complete,
  spoiled: spoiled.length,
});
const seen = `${spoiled.length} of ${complete} streams that ended as complete successes were not an engine's whole body`;
if (spoiled.length > 0) world.finish(1, `MIXED broken: ${seen}`);
if (complete < 100) world.finish(2, 'too few streams were served');
world.finish(0, `MIXED held: ${seen}`);
