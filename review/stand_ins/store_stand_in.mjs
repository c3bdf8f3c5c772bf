/** The platform's metadata store, as PROTOCOL.md and the news pages describe it. */

import {createServer} from 'node:http';

const PAGE_SIZE = 500;

const clone = value => structuredClone(value);

export class StoreStandIn {
  revision = 100;
  era = 1;
  oldest = 0;
  objects = new Map();
  history = [];
  waiting = new Set();
  sockets = new Set();
  isAway = false;
  /** Called with each write that a machine of the system made. */
  onSystemWrite = () => {};

  async start(host, port) {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      if (this.isAway) {
        socket.destroy();
        return;
      }
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise(resolve => this.server.listen(port, host, resolve));
    this.address = `${host}:${port}`;
  }

  stop() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** A write of the operator or an engine, which the store acknowledges at once; undefined while it is away. */
  put(kind, name, spec) {
    if (this.isAway) return undefined;
    const key = `${kind}/${name}`;
    const before = this.objects.get(key);
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
      spec: clone(spec),
      status: null,
    };
    this.objects.set(key, object);
    this.publish({kind, revision: this.revision, object, tombstone: false});
    return object;
  }

  remove(kind, name) {
    if (this.isAway) return;
    const key = `${kind}/${name}`;
    const object = this.objects.get(key);
    if (!object) return;
    this.objects.delete(key);
    this.revision += 1;
    const gone = {
      ...object,
      metadata: {...object.metadata, revision: this.revision},
    };
    this.publish({
      kind,
      revision: this.revision,
      object: gone,
      tombstone: true,
    });
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  /** What a copy of the store holds. */
  copy() {
    return {
      revision: this.revision,
      objects: clone([...this.objects]),
      takenAt: Date.now(),
    };
  }

  /** The store goes away: its connections end and new ones are closed. */
  goAway() {
    this.isAway = true;
    this.notifyWaiting();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  /** The store comes back from a copy; its history is gone. */
  comeBack({revision, objects}) {
    this.revision = revision;
    this.objects = new Map(clone(objects));
    this.history = [];
    this.oldest = revision;
    this.era += 1;
    this.isAway = false;
  }

  publish(event) {
    this.history.push(event);
    this.notifyWaiting();
  }

  notifyWaiting() {
    for (const wake of [...this.waiting]) wake();
  }

  async serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const [status, body] =
      request.method === 'GET'
        ? await this.read(kind, name, url.searchParams)
        : this.change(
            request.method,
            kind,
            name,
            url.searchParams,
            chunks.length ? JSON.parse(Buffer.concat(chunks)) : {},
          );
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
    const from = query.get('watch');
    if (from !== null)
      return this.watch(kind, Number(from), Number(query.get('waitMs') ?? 0));
    const after = query.get('after') ?? '';
    const items = [...this.objects]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({metadata}) => metadata.name > after)
      .sort((left, right) =>
        left.metadata.name < right.metadata.name ? -1 : 1,
      );
    const page = items.slice(0, PAGE_SIZE);
    return [
      200,
      {items: page, more: items.length > page.length, asOf: this.revision},
    ];
  }

  async watch(kind, from, waitMs) {
    const {era} = this;
    const isGone = () =>
      era !== this.era || from < this.oldest || from > this.revision;
    const events = () =>
      this.history.filter(
        event => event.kind === kind && event.revision > from,
      );
    const deadline = Date.now() + waitMs;
    while (!isGone() && events().length === 0 && Date.now() < deadline)
      await this.nextChange(deadline - Date.now());
    if (isGone()) return [410, {}];
    return [
      200,
      {
        events: events().map(({object, tombstone}) => ({object, tombstone})),
        asOf: this.revision,
      },
    ];
  }

  nextChange(milliseconds) {
    return new Promise(resolve => {
      const end = () => {
        clearTimeout(timer);
        this.waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, milliseconds);
      this.waiting.add(end);
    });
  }

  change(method, kind, nameInPath, query, body) {
    const name = nameInPath ?? body.metadata?.name;
    const current = this.get(kind, name);
    const expected = body.metadata?.revision ?? query.get('revision');
    const isOther =
      expected != null && Number(expected) !== current?.metadata.revision;
    if (method === 'POST') {
      if (current) return [409, current];
    } else {
      if (!current) return [404, {}];
      if (isOther) return [409, current];
    }
    if (method === 'DELETE') {
      this.remove(kind, name);
      return [200, current];
    }
    const written = this.put(kind, name, body.spec ?? null);
    this.onSystemWrite(kind, name, written);
    return [200, written];
  }
}
