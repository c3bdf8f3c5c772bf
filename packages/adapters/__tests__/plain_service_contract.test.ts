import {createServer} from 'node:http';
import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import type {IdempotencyKey, Instant, RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {PlainService, ServiceCall} from '@siskinmux/ports';
import {
  AnswerCutError,
  EndpointBusyError,
  EndpointUnreachableError,
  NOT_RUN_HEADER,
} from '@siskinmux/ports';
import {
  PlainServiceStandIn,
  ServiceRecords,
  servePlainService,
} from '@siskinmux/standins';
import type {FastifyInstance} from 'fastify';
import {HttpPlainService, createAgent, systemClock} from '../src/index.js';

const signal = new AbortController().signal;

function createCall(key: string): ServiceCall {
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

/** Contract of the plain service port, run against each implementation. */
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

    it('runs a call and returns its response', async () => {
      const response = await service.call(createCall('one'), signal);
      expect(response.status).toEqual(200);
      expect(JSON.parse(response.body)).toEqual({
        request: 'request one',
        path: '/issue?for=7',
        execution: 1,
        echo: '{"shopper":7}',
      });
    });

    it('reports a call whose response is lost as cut off, since it may have run', async () => {
      standIn.faults.answersToLose = 1;
      await expect(service.call(createCall('two'), signal)).toBeRejectedWith(
        AnswerCutError,
      );
    });

    it('reports a call that ran, and seals one that did not so that it never runs', async () => {
      const report = await service.queryAndSeal(
        as<IdempotencyKey>('two'),
        signal,
      );
      expect(report.kind).toEqual('ran');
      const sealed = await service.queryAndSeal(
        as<IdempotencyKey>('three'),
        signal,
      );
      expect(sealed).toEqual({kind: 'sealed'});
      await expect(service.call(createCall('three'), signal)).toBeRejectedWith(
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
  'plain service stand-in',
  async () => {
    const {standIn} = createStandIn();
    return {service: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'plain service over HTTP',
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
  it('reports a refused connection as unreachable, since the call was not sent', async () => {
    const service = HttpPlainService.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
    });
    await expect(service.call(createCall('x'), signal)).toBeRejectedWith(
      EndpointUnreachableError,
    );
  });

  // A call that may not be repeated was sent to a second instance after the first had run it.
  it('reports a call as not run only if the service states so', async () => {
    const failing = createServer((request, response) => {
      const isRejected = request.headers['idempotency-key'] === 'rejected';
      response
        .writeHead(503, isRejected ? {[NOT_RUN_HEADER]: 'true'} : {})
        .end('the database is away');
    });
    await new Promise<void>(resolve => failing.listen(0, '127.0.0.1', resolve));
    const {port} = failing.address() as {port: number};
    const service = HttpPlainService.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
    });
    await expect(service.call(createCall('failed'), signal)).toBeRejectedWith(
      AnswerCutError,
    );
    await expect(service.call(createCall('rejected'), signal)).toBeRejectedWith(
      EndpointBusyError,
    );
    failing.close();
    failing.closeAllConnections();
  });

  for (const framing of ['content-length: 100\r\n', '']) {
    it(`reports a response ${framing && 'with a length '}that is reset before its end as cut off`, async () => {
      const resetting = createServer(({socket}) =>
        socket.write(`HTTP/1.1 200 OK\r\n${framing}\r\n{"coupon":`, () =>
          socket.resetAndDestroy(),
        ),
      );
      await new Promise<void>(resolve =>
        resetting.listen(0, '127.0.0.1', resolve),
      );
      const {port} = resetting.address() as {port: number};
      const service = HttpPlainService.create({
        url: `http://127.0.0.1:${port}`,
        agent: createAgent(),
      });
      await expect(service.call(createCall('x'), signal)).toBeRejectedWith(
        AnswerCutError,
      );
      resetting.close();
    });
  }
});
