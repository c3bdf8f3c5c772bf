import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import type {IdempotencyKey, Instant, RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {PlainService, ServiceCall} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
} from '@siskinmux/ports';
import {
  PlainServiceStandIn,
  ServiceRecords,
  servePlainService,
} from '@siskinmux/standins';
import type {FastifyInstance} from 'fastify';
import {HttpPlainService, createAgent, systemClock} from '../src/index.js';

const signal = new AbortController().signal;

function call(key: string): ServiceCall {
  return {
    requestId: as<RequestId>(`request ${key}`),
    method: 'POST',
    path: '/issue?for=7',
    contentType: 'application/json',
    body: '{"shopper":7}',
    idempotencyKey: as<IdempotencyKey>(key),
    deadline: as<Instant>(0),
    traceparent: undefined,
  };
}

/** What any plain service has to do, whatever it is reached by. */
function contract(
  name: string,
  setUp: () => Promise<{service: PlainService; standIn: PlainServiceStandIn}>,
  tearDown: () => Promise<void>,
): void {
  describe(name, () => {
    let service: PlainService;
    let standIn: PlainServiceStandIn;
    before(async () => {
      ({service, standIn} = await setUp());
    });
    afterAll(tearDown);

    it('runs a call and answers it', async () => {
      const answer = await service.call(call('one'), signal);
      expect(answer.status).toEqual(200);
      expect(JSON.parse(answer.body)).toEqual({
        request: 'request one',
        path: '/issue?for=7',
        execution: 1,
        echo: '{"shopper":7}',
      });
    });

    it('says that the outcome is open when the answer is lost', async () => {
      standIn.faults.answersToLose = 1;
      await expect(service.call(call('two'), signal)).toBeRejectedWith(
        AnswerCutError,
      );
    });

    it('settles a call that ran and seals one that did not', async () => {
      const ran = await service.queryAndSeal(as<IdempotencyKey>('two'), signal);
      expect(ran.kind).toEqual('ran');
      const sealed = await service.queryAndSeal(as<IdempotencyKey>('three'), signal);
      expect(sealed).toEqual({kind: 'sealed'});
      await expect(service.call(call('three'), signal)).toBeRejectedWith(
        EndpointBusyError,
      );
    });
  });
}

function createStandIn(): {
  standIn: PlainServiceStandIn;
  records: ServiceRecords;
} {
  const records = ServiceRecords.create();
  return {
    standIn: PlainServiceStandIn.create({clock: systemClock, records}),
    records,
  };
}

contract(
  'the stand-in of a plain service',
  async () => {
    const {standIn} = createStandIn();
    return {service: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'the HTTP adapter of a plain service',
  async () => {
    const {standIn, records} = createStandIn();
    server = await servePlainService({service: standIn, records, port: 0});
    const {port} = server.server.address() as {port: number};
    const service = HttpPlainService.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
    });
    return {service, standIn};
  },
  async () => {
    await server?.close();
  },
);

describe(HttpPlainService.name, () => {
  it('says that nothing ran when the connection was refused', async () => {
    const service = HttpPlainService.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
    });
    await expect(service.call(call('x'), signal)).toBeRejectedWith(
      EndpointUnreachableError,
    );
  });
});
