/**
 * Measures what a process pays for bodies that come in short chunks, and how others fare beside
 * their senders. Run `npm run build:gateway` first, then
 * `tsx scripts/chunk_costs.ts [--seconds S] [--senders N,N] [--form NAME]`; it prints a line for
 * each form and number of senders.
 */

import {fork} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {configuration} from '../platform/__tests__/gateway_fixture.js';
import {
  GatewayProcess,
  deployedNodeOptions,
} from '../platform/__tests__/gateway_process.js';

const BUNDLE = ['target/siskinmux_gateway.cjs'];
const MEMORY_MEGABYTES = 350;
const BODY_BYTES = 16_777_216;
/** Bytes that a sender hands to its socket at once. */
const WRITE_BYTES = 16_384;
/** As the kernel reports processor time. */
const TICK_MILLISECONDS = 10;
const SOUND_INTERVAL_MILLISECONDS = 20;

/** A body that is sent over and over, in chunks of one form. */
interface Form {
  readonly name: string;
  readonly door: 'caller' | 'endpoint';
  /** What comes before the chunks. */
  readonly head: readonly string[];
  readonly chunk: string;
}

const inChunksOf = (bytes: number): string =>
  `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

const CHUNKED = 'transfer-encoding: chunked';
const CALLER_HEAD = [
  'POST /issue/1 HTTP/1.1',
  'host: offers.example',
  'attempt-id: small',
];
const ENDPOINT_HEAD = ['HTTP/1.1 200 OK'];

const FORMS: readonly Form[] = [
  ...[1, 16, 1_024, 65_536].flatMap((bytes): Form[] => [
    {
      name: `caller ${bytes}`,
      door: 'caller',
      head: [...CALLER_HEAD, CHUNKED],
      chunk: inChunksOf(bytes),
    },
    {
      name: `endpoint ${bytes}`,
      door: 'endpoint',
      head: [...ENDPOINT_HEAD, CHUNKED],
      chunk: inChunksOf(bytes),
    },
  ]),
  {
    name: 'endpoint interim',
    door: 'endpoint',
    head: [],
    chunk: 'HTTP/1.1 102 Processing\r\n\r\n',
  },
  {
    name: 'endpoint events',
    door: 'endpoint',
    head: [...ENDPOINT_HEAD, 'content-type: text/event-stream'],
    chunk: 'data: x\n\n',
  },
];

async function writeBody(socket: Socket, {chunk}: Form): Promise<void> {
  const count = Math.max(1, Math.floor(WRITE_BYTES / chunk.length));
  const bytes = Buffer.from(chunk.repeat(count));
  for (
    let sent = 0;
    !socket.destroyed && sent < BODY_BYTES;
    sent += bytes.length
  ) {
    await new Promise<void>(resolve => {
      if (socket.write(bytes)) setImmediate(resolve);
      else {
        const proceed = (): void => {
          socket.off('drain', proceed);
          socket.off('close', proceed);
          resolve();
        };
        socket.once('drain', proceed);
        socket.once('close', proceed);
      }
    });
  }
}

/** Sends one body after the other, without end. */
async function sendAsCaller(form: Form, port: number): Promise<void> {
  for (;;) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.resume();
    socket.write(`${form.head.join('\r\n')}\r\n\r\n`);
    await writeBody(socket, form);
    socket.destroy();
  }
}

function respondEndlessly(form: Form, {endpoint}: GatewayProcess): void {
  endpoint.respond = ({headers}, response: ServerResponse) => {
    const id = String(headers['attempt-id']);
    const head = {'attempt-id': id, 'server-seal': `seal-${endpoint.id}`};
    const {socket} = response;
    if (!id.startsWith('endless') || socket === null) {
      response.writeHead(200, head).end('hello');
      return;
    }
    const lines = Object.entries(head).map(line => line.join(': '));
    if (form.head.length > 0)
      socket.write(`${[...form.head, ...lines].join('\r\n')}\r\n\r\n`);
    void writeBody(socket, form);
  };
}

/** Processor time and peak memory of a process, as the kernel counts them. */
function readProcess(pid: number): {cores: number; peakMegabytes: number} {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8')
    .split(') ')[1]
    ?.split(' ');
  const ticks = Number(fields?.[11]) + Number(fields?.[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const peak = /VmHWM:\s+(\d+)/.exec(status);
  return {
    cores: (ticks * TICK_MILLISECONDS) / 1_000,
    peakMegabytes: Number(peak?.[1]) / 1_024,
  };
}

const quantile = (sorted: readonly number[], part: number): string =>
  (sorted[Math.floor((sorted.length - 1) * part)] ?? NaN).toFixed(0);

async function measure(
  form: Form,
  senders: number,
  seconds: number,
): Promise<string> {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: BODY_BYTES,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 5_000,
  };
  const gateway = await GatewayProcess.create(
    {...configuration(1), limits},
    deployedNodeOptions(),
    BUNDLE,
    ['[capacity]', `memory_megabytes = ${MEMORY_MEGABYTES}`],
  );
  const {child, callerPort} = gateway;
  respondEndlessly(form, gateway);
  const callers = fork(
    fileURLToPath(import.meta.url),
    [
      ...['--form', form.name, '--senders', String(senders)],
      ...['--port', String(callerPort), '--door', form.door],
    ],
    {
      execArgv: ['--import', 'tsx'],
      stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
    },
  );
  // On a busy machine, the senders' process takes seconds to start.
  await once(callers, 'message');
  await new Promise(resolve => setTimeout(resolve, 1_500));
  const before = readProcess(child.pid ?? 0);
  const latencies: number[] = [];
  let lost = 0;
  const end = performance.now() + seconds * 1_000;
  const pending: Promise<void>[] = [];
  while (performance.now() < end) {
    const at = performance.now();
    pending.push(
      gateway.issue().then(status => {
        if (status === 200) latencies.push(performance.now() - at);
        else lost += 1;
      }),
    );
    await new Promise(resolve =>
      setTimeout(resolve, SOUND_INTERVAL_MILLISECONDS),
    );
  }
  const hasEnded = child.exitCode !== null || child.signalCode !== null;
  const after = hasEnded ? undefined : readProcess(child.pid ?? 0);
  await Promise.all(pending);
  callers.kill('SIGKILL');
  gateway.stop();
  latencies.sort((left, right) => left - right);
  const cores = ((after?.cores ?? NaN) - before.cores) / seconds;
  const peak =
    after === undefined ? 'ended' : `${after.peakMegabytes.toFixed(0)} MB`;
  return `${form.name} x${senders}: cores ${cores.toFixed(2)}, peak ${peak}, sound ${latencies.length}, lost ${lost}, p50 ${quantile(latencies, 0.5)}, p99 ${quantile(latencies, 0.99)} ms`;
}

async function sendThroughEndpoint(port: number): Promise<void> {
  for (let count = 0; ; count += 1) {
    const socket = connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.resume();
    socket.write(
      `POST /issue/1 HTTP/1.1\r\nhost: offers.example\r\nattempt-id: endless-${process.pid}-${count}-${performance.now()}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`,
    );
    await new Promise<void>(resolve => socket.once('close', () => resolve()));
  }
}

const {values} = parseArgs({
  options: {
    seconds: {type: 'string', default: '6'},
    senders: {type: 'string', default: '0,1,4,16,64'},
    form: {type: 'string', default: ''},
    port: {type: 'string'},
    door: {type: 'string'},
  },
});
const {form: name, senders, port, seconds, door} = values;
if (port !== undefined) {
  const form = FORMS.find(known => known.name === name);
  process.send?.('started');
  for (let count = 0; form !== undefined && count < Number(senders); count += 1)
    void (door === 'caller'
      ? sendAsCaller(form, Number(port))
      : sendThroughEndpoint(Number(port)));
} else {
  for (const form of FORMS.filter(known => known.name.startsWith(name))) {
    for (const count of senders.split(','))
      process.stdout.write(
        `${await measure(form, Number(count), Number(seconds))}\n`,
      );
  }
  process.exit(0);
}
