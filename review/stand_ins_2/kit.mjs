/** Stand-ins for the platform, its store, servers and clients, and the start of gateway processes. */

import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const startedAt = performance.now();

export const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** Lines of what was sent, answered and run. */
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
  }

  add(text) {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Resolves to ports on which nothing listens now. */
export async function freePorts(count, address = '127.0.0.1') {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = net.createServer();
      await new Promise(resolve => server.listen(0, address, resolve));
      return server;
    }),
  );
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** The platform's metadata store, as the pages describe it. */
export class Store {
  constructor({address = '127.0.0.1', lateMilliseconds = 4} = {}) {
    this.host = address;
    this.lateMilliseconds = lateMilliseconds;
    this.objects = new Map();
    this.history = [];
    this.revision = 10;
    this.waiting = new Set();
    this.era = 1;
    this.isAway = false;
    /** Called for each call; may return 'silent', 'reset', or a status. */
    this.fault = () => undefined;
    this.calls = [];
  }

  async start() {
    this.server = http.createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.server.listen(0, this.host, resolve));
    this.address = `${this.host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** What a copy of the store holds now. */
  copy() {
    return {revision: this.revision, objects: new Map(this.objects)};
  }

  /** From now on, every call is reset. */
  leave() {
    this.isAway = true;
    for (const wake of [...this.waiting]) wake();
  }

  /** Returns from an older copy, whose later revisions are given out again. */
  comeBack({revision, objects}) {
    this.era += 1;
    this.revision = revision;
    this.objects = new Map(objects);
    this.history = this.history.filter(event => event.revision <= revision);
    this.isAway = false;
    for (const wake of [...this.waiting]) wake();
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  /** A write that changes nothing gives no new revision and no event. */
  put(kind, name, spec) {
    const before = this.get(kind, name);
    if (before && JSON.stringify(before.spec) === JSON.stringify(spec))
      return before;
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        createdRev: before?.metadata.createdRev ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: null,
    };
    this.objects.set(`${kind}/${name}`, object);
    this.publish({kind, object, tombstone: false});
    return object;
  }

  remove(kind, name) {
    const object = this.get(kind, name);
    if (!object) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    const metadata = {...object.metadata, revision: this.revision};
    this.publish({kind, object: {...object, metadata}, tombstone: true});
  }

  publish(event) {
    this.history.push({...event, revision: this.revision});
    for (const wake of [...this.waiting]) wake();
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const url = new URL(request.url, 'http://store');
    const [, , kind = '', name, part] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    this.calls.push({
      at: performance.now(),
      method: request.method,
      kind,
      name,
    });
    const fault = this.isAway ? 'reset' : this.fault(request, kind, name);
    if (fault === 'silent') return;
    if (fault === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    await sleep(this.lateMilliseconds);
    const [status, body] =
      typeof fault === 'number'
        ? [fault, {}]
        : request.method === 'GET'
          ? await this.read(kind, name, url.searchParams)
          : this.change(
              request.method,
              kind,
              name,
              part,
              Buffer.concat(chunks),
              url,
            );
    if (this.isAway) {
      request.socket.resetAndDestroy();
      return;
    }
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': String(this.era),
    });
    response.end(JSON.stringify(body));
  }

  async read(kind, name, query) {
    if (name !== undefined) {
      const object = this.get(kind, name);
      return object ? [200, object] : [404, {}];
    }
    if (query.has('watch'))
      return this.watch(
        kind,
        Number(query.get('watch')),
        Number(query.get('waitMs') ?? 0),
      );
    const items = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({metadata}) => metadata.name > (query.get('after') ?? ''))
      .sort((left, right) =>
        left.metadata.name < right.metadata.name ? -1 : 1,
      );
    const page = items.slice(0, 500);
    return [
      200,
      {items: page, more: items.length > page.length, asOf: this.revision},
    ];
  }

  async watch(kind, revision, waitMs) {
    const {era} = this;
    const isGone = () => era !== this.era || revision > this.revision;
    if (isGone()) return [410, {}];
    const news = () =>
      this.history.filter(
        event => event.kind === kind && event.revision > revision,
      );
    const deadline = performance.now() + waitMs;
    while (
      news().length === 0 &&
      !this.isAway &&
      !isGone() &&
      performance.now() < deadline
    )
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, deadline - performance.now());
        this.waiting.add(wake);
      });
    if (isGone()) return [410, {}];
    const events = news().map(({object, tombstone}) => ({object, tombstone}));
    return [200, {events, asOf: this.revision}];
  }

  change(method, kind, nameInPath, part, bytes, url) {
    if (method === 'DELETE') {
      const wanted = url.searchParams.get('revision');
      const current = this.get(kind, nameInPath);
      if (!current) return [404, {}];
      if (wanted !== null && Number(wanted) !== current.metadata.revision)
        return [409, current];
      this.remove(kind, nameInPath);
      return [200, {}];
    }
    const body = JSON.parse(bytes.toString());
    const name = nameInPath ?? body.metadata.name;
    const current = this.get(kind, name);
    if (method === 'POST') {
      if (current) return [409, current];
      return [200, this.put(kind, name, body.spec)];
    }
    if (!current) return [404, {}];
    const wanted = body.metadata?.revision;
    if (wanted !== undefined && wanted !== current.metadata.revision)
      return [409, current];
    if (part === 'status') return [200, current];
    return [200, this.put(kind, name, body.spec)];
  }
}

/**
 * A server that registers itself and renews its entry. `run` is called for each request that it
 * begins to run, with the request, its body and the response; it has to answer.
 */
export class Server {
  constructor({
    id,
    service,
    store,
    address = '127.0.0.1',
    zone = 'a',
    slots = 6,
    version = 'v1',
    engine,
    run,
    record,
  }) {
    Object.assign(this, {
      id,
      service,
      store,
      zone,
      slots,
      version,
      engine,
      run,
      record,
    });
    this.host = address;
    this.state = 'ready';
    this.born = Date.now();
    this.sequence = 0;
    this.runs = [];
  }

  async start(port = 0) {
    this.server = http.createServer((request, response) => {
      void this.serve(request, response);
    });
    this.server.keepAliveTimeout = 20_000;
    await new Promise(resolve => this.server.listen(port, this.host, resolve));
    this.port = this.server.address().port;
    this.beat();
  }

  /** Writes the entry now and every 1.2 s from now on. */
  beat() {
    clearInterval(this.heartbeat);
    this.register();
    this.heartbeat = setInterval(() => this.register(), 1_200);
  }

  get entry() {
    return {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      ...(this.engine && {stage: 'both', models: this.engine.models}),
    };
  }

  register() {
    if (this.store.isAway) return;
    this.store.put('servers', this.id, this.entry);
  }

  stop() {
    clearInterval(this.heartbeat);
    this.server.closeAllConnections();
    this.server.close();
  }

  async serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const {headers, url, method} = request;
    const wanted = headers['expect-instance'];
    if (wanted !== undefined && wanted !== this.id) {
      response.writeHead(421, {'content-length': 0}).end();
      return;
    }
    if (url === '/health' || (url === '/report' && !this.engine)) {
      response
        .writeHead(200, {'instance-id': this.id, 'content-length': 0})
        .end();
      return;
    }
    if (url === '/report') {
      const body = JSON.stringify({
        stage: 'both',
        models: this.engine.models,
        busy: false,
        sequence: this.sequence,
        queueDepth: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 90_000,
        handles: 0,
        born: this.born,
      });
      response.writeHead(200, {'content-type': 'application/json'}).end(body);
      return;
    }
    if (url === '/order' && method === 'POST') {
      response.writeHead(200, {'content-length': 0}).end();
      return;
    }
    const id = headers['attempt-id'];
    this.runs.push({id, at: performance.now()});
    this.record?.add(`${this.id} runs ${id} ${method} ${url}`);
    await this.run(request, Buffer.concat(chunks), response, this);
  }
}

/** Headers of a server's own answer to a request. */
export function sealed(request, more = {}) {
  return {
    ...(request.headers['attempt-id'] && {
      'attempt-id': request.headers['attempt-id'],
    }),
    'server-seal': '3e1b.07.5a2.600.0.c9f2a4d1',
    ...more,
  };
}

/** A configuration with plain routes of each kind and, with models, a streaming one. */
export function configuration({
  version = 1,
  models = [],
  timeoutMs = 12_000,
} = {}) {
  const common = {
    host: 'ficu95.example',
    targetLatencyMs: 200,
    priority: 1,
    maxAttempts: 2,
    sticky: false,
    resumable: false,
    targetGapMs: 200,
    timeoutMs,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: 'read',
        pathPrefix: '/read/',
        kind: 'safe',
        service: 'till',
      },
      {
        ...common,
        name: 'issue',
        pathPrefix: '/issue/',
        kind: 'unsafe',
        maxAttempts: 1,
        service: 'till',
      },
      ...(models.length > 0
        ? [
            {
              ...common,
              name: 'text',
              pathPrefix: '/text/',
              kind: 'streaming',
              service: 'words',
              resumable: true,
              sticky: true,
            },
            {
              ...common,
              name: 'brief',
              pathPrefix: '/brief/',
              kind: 'streaming',
              maxAttempts: 1,
              service: 'words',
              sticky: true,
            },
          ]
        : []),
    ],
    services: [
      {
        name: 'till',
        healthPath: '/health',
        maxConnections: 100,
        protocol: 'h1',
        tls: false,
      },
      ...(models.length > 0
        ? [
            {
              name: 'words',
              healthPath: '/health',
              maxConnections: 360,
              protocol: 'h1',
              tls: false,
              engine: {
                slots: 64,
                kvCapacityTokens: 113_746,
                weightsMb: 230_000,
                maxAdapters: 8,
                loadsPerS: 2.6,
                models: models.map(name => ({
                  name,
                  weightsMb: 72_700,
                  loadTimeS: 6,
                  diskS: 0.64,
                  warmS: 0.47,
                  adapters: 0,
                  adapterSizeMb: 66,
                })),
              },
            },
          ]
        : []),
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 10_000,
    },
  };
}

/** The words of the deploy file's command. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text);
  return run.split(' ');
}

/** The deploy file's template, with the bounds of a small deployment filled in. */
async function settingsOf(name, zone, host, storeAddress) {
  const [callers, readiness, metrics, peers, relays] = await freePorts(5, host);
  return {
    callers,
    readiness,
    peers,
    relays,
    metrics,
    text: `[node]
host = "${name}"
failure_domain = "${zone}"
[log]
level = "info"
[metrics]
address = "${host}"
port = ${metrics}
process_figures = false
[listen]
callers = "${host}:${callers}"
readiness = "${host}:${readiness}"
[listen.peers]
address = "${host}"
port = ${peers}
[listen.relays]
address = "${host}"
port = ${relays}
[store]
address = "${storeAddress}"
[capacity]
processor_share = 0.675
link_megabits = 1000
memory_megabytes = 350
[rules]
stop_seconds = 8
lease_milliseconds = 3000
engines_check_fencing = true
drain_milliseconds = 2000
configuration_milliseconds = 2000
endpoint_heartbeat_milliseconds = 1200
load_window_seconds = 5
repeat_share = 0.2
repeat_allowance = 54
repeat_window_seconds = 10
`,
  };
}

/** One gateway process, started with the command of the deploy file. */
export class Gateway {
  static async start({
    name = 'front-a-1',
    zone = 'a',
    host = '127.0.0.1',
    store,
    record,
  }) {
    const gateway = new Gateway();
    gateway.folder = mkdtempSync(join(tmpdir(), 'gateway-'));
    Object.assign(
      gateway,
      {host, name},
      await settingsOf(name, zone, host, store.address),
    );
    gateway.file = join(gateway.folder, 'boot.toml');
    writeFileSync(gateway.file, gateway.text);
    gateway.record = record;
    gateway.spawn();
    await gateway.waitUntilReady();
    return gateway;
  }

  spawn() {
    const [program, ...words] = deployCommand();
    const {PATH, HOME, LANG} = process.env;
    this.log = '';
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, ...(LANG && {LANG}), SISKINMUX_NODE_FILE: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', text => (this.log += text));
    this.child.stderr.on('data', text => (this.log += text));
    this.ended = new Promise(resolve =>
      this.child.once('exit', (code, signal) => {
        this.record?.add(`${this.name} has ended: ${code ?? signal}`);
        resolve([code, signal]);
      }),
    );
  }

  async waitUntilReady() {
    const deadline = performance.now() + 20_000;
    while (performance.now() < deadline) {
      const status = await new Promise(resolve => {
        const probe = http.get(
          {host: this.host, port: this.readiness, path: '/ready', agent: false},
          response => {
            response.resume();
            resolve(response.statusCode);
          },
        );
        probe.on('error', () => resolve(undefined));
      });
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${this.name} isn't ready`);
  }

  signal(name) {
    this.record?.add(`${this.name} gets ${name}`);
    this.child.kill(name);
  }

  async end() {
    if (this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
      await this.ended;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Sends one request over a connection of its own; resolves to what the client has got of its answer. */
export function call(
  {host, callers},
  {
    method = 'GET',
    path,
    id,
    headers = {},
    body,
    deadlineMs = 12_000,
    leavesAtDeadline = false,
    onResponse,
  },
) {
  return new Promise(resolve => {
    const chunks = [];
    const request = http.request(
      {
        host,
        port: callers,
        method,
        path,
        agent: false,
        headers: {
          host: 'ficu95.example',
          'attempt-id': id,
          'deadline-ms': String(deadlineMs),
          ...headers,
        },
      },
      response => {
        const finish = () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            isComplete: response.complete,
          });
        response.on('error', finish);
        response.on('close', finish);
        if (onResponse) onResponse(response, chunks);
        else response.on('data', chunk => chunks.push(chunk));
      },
    );
    request.on('error', error =>
      resolve({
        status: undefined,
        error: error.code ?? error.message,
        body: Buffer.alloc(0),
        isComplete: false,
      }),
    );
    request.end(body);
    if (leavesAtDeadline) {
      const timer = setTimeout(() => request.destroy(), deadlineMs);
      request.once('close', () => clearTimeout(timer));
    }
  });
}
