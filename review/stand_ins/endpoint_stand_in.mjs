/** An engine or a plain service, as PROTOCOL.md describes it; it registers in the store. */

import {createServer} from 'node:http';

const HEARTBEAT_MILLISECONDS = 1_200;
const EVENT_MILLISECONDS = 20;

const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

const connectionNumbers = new WeakMap();
let connectionCount = 0;

function connectionNumber(socket) {
  if (!connectionNumbers.has(socket))
    connectionNumbers.set(socket, (connectionCount += 1));
  return connectionNumbers.get(socket);
}

export class EndpointStandIn {
  /** Every request that arrived, and what became of it. */
  requests = [];
  /** Every order that arrived, with the status of its answer. */
  orders = [];
  models = new Map();
  sequence = 0;
  highestToken = 0;
  isBusy = false;
  state = 'ready';
  isRegistered = true;
  running = 0;
  sockets = new Set();
  /** Answers that will come a second time on a connection. */
  extras = new Map();
  /** Requests that wait for a slot. */
  queue = [];

  constructor(options) {
    this.options = {
      workMs: 20,
      bytes: 800,
      events: 10,
      loadMs: 1_000,
      diskMs: 300,
      queue: 3,
      ...options,
    };
    /** Models whose weights the engine has on its disk. */
    this.onDisk = new Set([
      ...(options.onDisk ?? []),
      ...(options.models ?? []),
    ]);
    for (const model of options.models ?? []) this.models.set(model, 1);
    this.id = options.id;
    this.born = Date.now();
  }

  async start() {
    const {host, port} = this.options;
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise(resolve => this.server.listen(port, host, resolve));
    this.register();
    this.heartbeat = setInterval(() => this.register(), HEARTBEAT_MILLISECONDS);
  }

  /** Writes the entry, as a heartbeat; the store ignores it if nothing has changed. */
  register() {
    const {store, service, zone, host, port, slots} = this.options;
    if (!this.isRegistered) return undefined;
    return store.put('servers', this.id, {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots,
      state: this.state,
      coldRemainingMs: 0,
      sequence: this.sequence,
      born: this.born,
      ...(this.options.isEngine && {
        stage: 'both',
        models: this.loaded(),
        atHand: this.atHand(),
      }),
    });
  }

  loaded() {
    return [...this.models].map(([name, version]) => ({
      name,
      version,
      adapters: [],
    }));
  }

  atHand() {
    return {inMemory: [], onDisk: [...this.onDisk]};
  }

  stop() {
    clearInterval(this.heartbeat);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString();
    const path = request.url;
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'attempt-id': request.headers['attempt-id'] ?? '',
        'not-executed': '1',
      });
      response.end();
      return;
    }
    if (path === '/report' && this.options.isEngine) {
      this.report(response);
      return;
    }
    if (path === '/order' && this.options.isEngine) {
      this.order(JSON.parse(body), response);
      return;
    }
    if (path === '/health') {
      const isWell = this.state === 'ready';
      response.writeHead(isWell ? 200 : 503, {'instance-id': this.id}).end();
      return;
    }
    await this.run(request, response);
  }

  report(response) {
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(
      JSON.stringify({
        stage: 'both',
        models: this.loaded(),
        busy: this.isBusy,
        sequence: this.sequence,
        queueDepth: 0,
        running: this.running,
        kvUsed: 0,
        kvTotal: 100_000,
        handles: 0,
        coming: [],
        atHand: this.atHand(),
      }),
    );
  }

  order(order, response) {
    const status = this.answerOrder(order);
    this.orders.push({at: Date.now(), engine: this.id, ...order, status});
    response.writeHead(status).end();
  }

  answerOrder({operation, model, expected, holder, fencingToken}) {
    if (!holder || !fencingToken) return 400;
    if (fencingToken < this.highestToken) return 412;
    this.highestToken = fencingToken;
    const isPresent = this.models.has(model);
    if (operation === 'load' && isPresent) return 200;
    if (operation === 'unload' && !isPresent) return 200;
    if (this.isBusy) return 409;
    if (expected !== undefined && expected !== this.sequence) return 409;
    this.sequence += 1;
    if (operation === 'unload') {
      this.models.delete(model);
      this.register();
      return 202;
    }
    this.isBusy = true;
    const {diskMs, loadMs} = this.options;
    const duration = this.onDisk.has(model) ? diskMs : loadMs;
    setTimeout(() => {
      this.isBusy = false;
      this.models.set(model, 1);
      this.onDisk.add(model);
      this.register();
    }, duration);
    return 202;
  }

  async run(request, response) {
    const id = request.headers['attempt-id'] ?? '';
    const [model] = (request.headers['model'] ?? '').split('/');
    const {isEngine, slots, service} = this.options;
    const entry = {
      at: Date.now(),
      id,
      engine: this.id,
      service,
      method: request.method,
      path: request.url,
      outcome: 'ran',
      connection: connectionNumber(request.socket),
    };
    this.requests.push(entry);
    this.sendExtra(request.socket);
    if (isEngine && !this.models.has(model)) {
      entry.outcome = 'rejected 421';
      this.reject(421, entry, request, response);
      return;
    }
    if (this.running >= slots && this.queue.length >= this.options.queue) {
      entry.outcome = 'rejected 503';
      this.reject(503, entry, request, response);
      return;
    }
    if (this.running >= slots) {
      entry.outcome = 'left in the queue';
      if (!(await this.waitForSlot(response))) return;
      entry.outcome = 'ran';
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
      this.queue.shift()?.(true);
    });
    const headers = {
      'attempt-id': id,
      'server-seal': `${this.id}.${id}`,
      'keep-alive': 'timeout=20',
    };
    if (isEngine) await this.stream(request, response, headers);
    else await this.respond(response, headers, entry);
  }

  /** Resolves to whether a slot is free; a request whose connection closes leaves the queue. */
  waitForSlot(response) {
    return new Promise(resolve => {
      const begin = hasSlot => {
        response.off('close', leave);
        resolve(hasSlot);
      };
      const leave = () => {
        this.queue = this.queue.filter(waiting => waiting !== begin);
        resolve(false);
      };
      this.queue.push(begin);
      response.once('close', leave);
    });
  }

  /** Rejects a request; the whole answer may come a second time where the next one is expected. */
  reject(status, entry, request, response) {
    response.writeHead(status, {
      'attempt-id': entry.id,
      'not-executed': '1',
      'keep-alive': 'timeout=20',
      'content-length': 0,
    });
    response.end();
    if (!this.options.mayGiveExtra?.()) return;
    entry.hadExtra = true;
    this.extras.set(
      request.socket,
      `HTTP/1.1 ${status} Rejected\r\nAttempt-Id: ${entry.id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
  }

  sendExtra(socket) {
    const extra = this.extras.get(socket);
    if (extra === undefined) return;
    this.extras.delete(socket);
    socket.write(extra);
  }

  async stream(request, response, headers) {
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
    for (let event = first; event <= this.options.events; event += 1) {
      response.write(`id: ${event}\ndata: ${this.id}\n\n`);
      await sleep(EVENT_MILLISECONDS);
      if (response.destroyed) return;
    }
    response.end();
  }

  async respond(response, headers, entry) {
    await sleep(this.options.workMs);
    const body = Buffer.alloc(this.options.bytes, 'x');
    response.writeHead(200, {...headers, 'content-length': body.length});
    response.end(body);
    entry.finishedAt = Date.now();
  }
}
