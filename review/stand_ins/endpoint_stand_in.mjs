/** An engine or a plain service, as PROTOCOL.md describes it; it registers in the store. */

import {createServer} from 'node:http';

const HEARTBEAT_MILLISECONDS = 1_200;
const EVENT_MILLISECONDS = 20;

const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

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

  constructor(options) {
    this.options = {
      workMs: 20,
      bytes: 800,
      events: 10,
      loadMs: 1_000,
      diskMs: 300,
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
    };
    this.requests.push(entry);
    if (isEngine && !this.models.has(model)) {
      entry.outcome = 'rejected 421';
      response.writeHead(421, {'attempt-id': id, 'not-executed': '1'}).end();
      return;
    }
    if (this.running >= slots) {
      entry.outcome = 'rejected 503';
      response.writeHead(503, {'attempt-id': id, 'not-executed': '1'}).end();
      return;
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    const headers = {
      'attempt-id': id,
      'server-seal': `${this.id}.${id}`,
      'keep-alive': 'timeout=20',
    };
    if (isEngine) await this.stream(request, response, headers);
    else await this.respond(response, headers, entry);
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
