import type {Server} from 'node:http';
import {createServer} from 'node:http';
import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FencingNumber,
  Instant,
  ModelName,
  RequestId,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {Engine, EngineOrder, GenerationRequest} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointFailedError,
  EndpointUnreachableError,
  NOT_RUN_HEADER,
  StaleOrderError,
} from '@siskinmux/ports';
import {
  CRASH_MARKER,
  EngineStandIn,
  WeightStoreStandIn,
  completionWords,
  serveEngine,
} from '@siskinmux/standins';
import type {FastifyInstance} from 'fastify';
import type {DroppedResponse} from '../src/index.js';
import {HttpEngine, createAgent, systemClock} from '../src/index.js';

const MODEL = as<ModelName>('offers');
const ORDER_TIMEOUT_MILLISECONDS = 60_000;
const signal = new AbortController().signal;

function createOrder(
  fencingNumber: number,
  action: EngineOrder['action'],
): EngineOrder {
  return {
    action,
    fencingNumber: as<FencingNumber>(fencingNumber),
    deadline: after(systemClock.now(), ORDER_TIMEOUT_MILLISECONDS),
  };
}

const loadAction: EngineOrder['action'] = {
  kind: 'load_model',
  model: MODEL,
  version: 'v1',
  memoryBytes: 10,
};

function createRequest(
  prompt: string,
  overrides: Partial<GenerationRequest> = {},
): GenerationRequest {
  return {
    requestId: as<RequestId>('request'),
    model: MODEL,
    version: 'v1',
    adapter: undefined,
    input: {kind: 'prompt', prompt},
    maximumTokens: 5,
    priority: 1,
    deadline: as<Instant>(0),
    traceparent: undefined,
    resumeAfter: 0,
    ...overrides,
  };
}

async function collect(
  engine: Engine,
  request: GenerationRequest,
): Promise<{text: string; hasEnded: boolean}> {
  let text = '';
  let hasEnded = false;
  for await (const chunk of engine.generate(request, signal)) {
    if (chunk.kind === 'token') text += chunk.text;
    else hasEnded = true;
  }
  return {text, hasEnded};
}

/** Contract of the engine port, run against each implementation. */
function contract(
  name: string,
  setUp: () => Promise<{engine: Engine; standIn: EngineStandIn}>,
  tearDown: () => Promise<void>,
): void {
  describe(name, () => {
    let engine: Engine;
    let standIn: EngineStandIn;
    before(async () => {
      ({engine, standIn} = await setUp());
    });
    afterAll(tearDown);

    it('rejects a request for a model that is not loaded, without running it', async () => {
      await expect(collect(engine, createRequest('x'))).toBeRejectedWith(
        EndpointBusyError,
      );
    });

    it('loads a model on order and reports it as ready', async () => {
      await engine.order(createOrder(1, loadAction), signal);
      const status = await engine.status(signal);
      expect(status.models).toEqual([
        {
          model: MODEL,
          version: 'v1',
          state: 'ready',
          memoryBytes: 10,
          running: 0,
        },
      ]);
      expect(status.highestFencingNumber).toEqual(as<FencingNumber>(1));
    });

    it('streams the whole completion, followed by its end', async () => {
      const request = createRequest('hello');
      const expected = completionWords(request).join('');
      expect(await collect(engine, request)).toEqual({
        text: expected,
        hasEnded: true,
      });
    });

    it('resumes a stream after the tokens that were already delivered', async () => {
      const request = createRequest('hello');
      const expected = completionWords(request).slice(3).join('');
      const resumed = await collect(engine, {...request, resumeAfter: 3});
      expect(resumed.text).toEqual(expected);
    });

    it('rejects an order with an outdated fencing number', async () => {
      await engine.order(createOrder(9, {kind: 'fence'}), signal);
      await expect(
        engine.order(createOrder(5, loadAction), signal),
      ).toBeRejectedWith(StaleOrderError);
    });

    it('reports prefixes that its cache has stored', async () => {
      const events = await engine.cacheEvents(0, signal);
      expect(events.some(({kind}) => kind === 'stored')).toEqual(true);
    });

    it('breaks the stream off when the engine crashes during a request', async () => {
      await expect(
        collect(engine, createRequest(`please ${CRASH_MARKER}`)),
      ).toBeRejectedWith(AnswerCutError);
      expect(standIn.isDead).toEqual(true);
    });
  });
}

function createStandIn(): EngineStandIn {
  return EngineStandIn.create({
    clock: systemClock,
    weightStore: WeightStoreStandIn.create({clock: systemClock}),
    memoryBytes: 100,
    slots: 2,
    queueLimit: 2,
    checksFencing: true,
    firstTokenMilliseconds: 1,
    tokenMilliseconds: 1,
    remoteLoadMilliseconds: 5,
    reportLagMilliseconds: 0,
  });
}

contract(
  'engine stand-in',
  async () => {
    const standIn = createStandIn();
    return {engine: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'engine over HTTP',
  async () => {
    const standIn = createStandIn();
    server = await serveEngine({engine: standIn, port: 0});
    const {port} = server.server.address() as {port: number};
    const engine = HttpEngine.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
    });
    return {engine, standIn};
  },
  async () => {
    await server?.close();
  },
);

describe(HttpEngine.name, () => {
  let endless: Server | undefined;

  /** Starts an engine that responds with `head` and then `part`, over and over. */
  async function startEndless(
    head: string,
    part: string,
  ): Promise<{url: string; isClosed: Promise<boolean>}> {
    const isClosed = new Promise<boolean>(resolve => {
      endless = createServer(({socket}) => {
        socket.on('error', () => {});
        socket.once('close', () => resolve(true));
        const write = (): void => {
          if (!socket.destroyed && socket.write(part)) setImmediate(write);
        };
        socket.on('drain', write);
        socket.write(head);
        write();
      });
    });
    await new Promise<void>(resolve =>
      endless?.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = endless?.address() as {port: number};
    return {url: `http://127.0.0.1:${port}`, isClosed};
  }

  // All of it was kept as text until the request's deadline.
  it('passes on the start of an error that does not end, and disconnects', async () => {
    const {url, isClosed} = await startEndless(
      'HTTP/1.1 500 Broken\r\n\r\n',
      'x'.repeat(65_536),
    );
    const engine = HttpEngine.create({url, agent: createAgent()});
    const failure: unknown = await collect(engine, createRequest('hello')).then(
      () => undefined,
      (cause: unknown) => cause,
    );
    endless?.close();
    expect(failure).toBeA(EndpointFailedError);
    expect((failure as Error).message.length).toBeLessThan(2_000);
    expect(await isClosed).toEqual(true);
  });

  // Up to 16 MiB of it were kept as text.
  it('breaks off a stream with an event that does not end, and disconnects', async () => {
    const {url, isClosed} = await startEndless(
      'HTTP/1.1 200 OK\r\n\r\ndata: ',
      'x'.repeat(65_536),
    );
    const dropped: DroppedResponse[] = [];
    const agent = createAgent({
      onResponseDropped: response => dropped.push(response),
    });
    const engine = HttpEngine.create({url, agent});
    await expect(collect(engine, createRequest('hello'))).toBeRejectedWith(
      AnswerCutError,
    );
    endless?.close();
    expect(await isClosed).toEqual(true);
    expect(dropped).toEqual([
      {origin: url, reason: 'too_long', isRepeated: false},
    ]);
  });

  it('reads a stream whose comments are longer than an event may be', async () => {
    const chunk = JSON.stringify({
      choices: [{text: 'hello', finish_reason: 'stop'}],
    });
    const server = createServer((_, response) => {
      for (let count = 0; count < 1_000; count += 1)
        response.write(`: ${'x'.repeat(1_000)}\n\n`);
      response.end(`data: ${chunk}\n\n`);
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as {port: number};
    const engine = HttpEngine.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent({memoryBytes: 500_000}),
    });
    const read = await collect(engine, createRequest('hello'));
    server.closeAllConnections();
    server.close();
    expect(read).toEqual({text: 'hello', hasEnded: true});
  });

  // Callers were told that a request had not run which an engine had failed to serve.
  it('reports a request as not run only if the engine states so', async () => {
    const server = createServer((request, response) => {
      const [, , status, isRejected] = (request.url ?? '').split('/');
      response
        .writeHead(
          Number(status),
          isRejected === 'rejected' ? {[NOT_RUN_HEADER]: 'true'} : {},
        )
        .end('overloaded');
    });
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    const {port} = server.address() as {port: number};
    const collectFrom = (path: string) =>
      collect(
        HttpEngine.create({
          url: `http://127.0.0.1:${port}${path}`,
          agent: createAgent(),
        }),
        createRequest('hello'),
      );
    for (const status of [503, 429]) {
      await expect(collectFrom(`/a/${status}/failed`)).toBeRejectedWith(
        AnswerCutError,
      );
      await expect(collectFrom(`/a/${status}/rejected`)).toBeRejectedWith(
        EndpointBusyError,
      );
    }
    server.closeAllConnections();
    server.close();
  });

  it('reports a refused connection as unreachable, since the request was not sent', async () => {
    const engine = HttpEngine.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
    });
    await expect(collect(engine, createRequest('x'))).toBeRejectedWith(
      EndpointUnreachableError,
    );
  });
});
