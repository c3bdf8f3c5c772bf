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
  EndpointUnreachableError,
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
import {HttpEngine, createAgent, systemClock} from '../src/index.js';

const MODEL = as<ModelName>('offers');
const ORDER_MILLISECONDS = 60_000;
const signal = new AbortController().signal;

function order(
  fencingNumber: number,
  action: EngineOrder['action'],
): EngineOrder {
  return {
    action,
    fencingNumber: as<FencingNumber>(fencingNumber),
    deadline: after(systemClock.now(), ORDER_MILLISECONDS),
  };
}

const load: EngineOrder['action'] = {
  kind: 'load_model',
  model: MODEL,
  version: 'v1',
  memoryBytes: 10,
};

function generation(
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
): Promise<{text: string; isEnded: boolean}> {
  let text = '';
  let isEnded = false;
  for await (const chunk of engine.generate(request, signal)) {
    if (chunk.kind === 'token') text += chunk.text;
    else isEnded = true;
  }
  return {text, isEnded};
}

/** What any engine has to do, whatever it is reached by. */
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

    it('refuses a model that is not loaded, as not run', async () => {
      await expect(collect(engine, generation('x'))).toBeRejectedWith(
        EndpointBusyError,
      );
    });

    it('loads on order and reports it', async () => {
      await engine.order(order(1, load), signal);
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

    it('streams the whole answer and then its end', async () => {
      const request = generation('hello');
      const expected = completionWords(request).join('');
      expect(await collect(engine, request)).toEqual({
        text: expected,
        isEnded: true,
      });
    });

    it('goes on behind the tokens that were delivered', async () => {
      const request = generation('hello');
      const expected = completionWords(request).slice(3).join('');
      const resumed = await collect(engine, {...request, resumeAfter: 3});
      expect(resumed.text).toEqual(expected);
    });

    it('refuses an order with an old fencing number', async () => {
      await engine.order(order(9, {kind: 'fence'}), signal);
      await expect(engine.order(order(5, load), signal)).toBeRejectedWith(
        StaleOrderError,
      );
    });

    it('reports what its prefix cache holds', async () => {
      const events = await engine.cacheEvents(0, signal);
      expect(events.some(({kind}) => kind === 'stored')).toEqual(true);
    });

    it('breaks the stream when it dies', async () => {
      await expect(
        collect(engine, generation(`please ${CRASH_MARKER}`)),
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
  'the stand-in of an engine',
  async () => {
    const standIn = createStandIn();
    return {engine: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'the HTTP adapter of an engine',
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
  it('says that nothing ran when the connection was refused', async () => {
    const engine = HttpEngine.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
    });
    await expect(collect(engine, generation('x'))).toBeRejectedWith(
      EndpointUnreachableError,
    );
  });
});
