import {after as afterAll, before, describe, it} from 'node:test';
import {expect, mockFn} from 'earl';
import type {ObjectVersion} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {ObjectService} from '@siskinmux/ports';
import {
  MAXIMUM_VALUE_BYTES,
  PlatformBusyError,
  PlatformUnavailableError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {
  HostListStandIn,
  ObjectServiceStandIn,
  serveObjectService,
} from '@siskinmux/standins';
import type {FastifyInstance} from 'fastify';
import {HttpObjectService, createAgent, systemClock} from '../src/index.js';

const WATCH_MILLISECONDS = 60_000;

/** What any object service has to do, whatever it is reached by. */
function contract(
  name: string,
  setUp: () => Promise<{objects: ObjectService; standIn: ObjectServiceStandIn}>,
  tearDown: () => Promise<void>,
): void {
  describe(name, () => {
    let objects: ObjectService;
    let standIn: ObjectServiceStandIn;
    before(async () => {
      ({objects, standIn} = await setUp());
    });
    afterAll(tearDown);

    it('reads what was written, with its version', async () => {
      const version = await objects.write('a/1', '{"x":"é"}', 'absent');
      expect(await objects.read('a/1')).toEqual({
        key: 'a/1',
        version,
        value: '{"x":"é"}',
      });
      expect(await objects.read('a/none')).toEqual(undefined);
    });

    it('writes only at the expected version', async () => {
      const first = await objects.write('b', '1', 'absent');
      await expect(objects.write('b', '2', 'absent')).toBeRejectedWith(
        VersionConflictError,
      );
      const second = await objects.write('b', '2', first);
      expect(second > first).toEqual(true);
      await expect(objects.write('b', '3', first)).toBeRejectedWith(
        VersionConflictError,
      );
    });

    it('removes only at the expected version', async () => {
      const version = await objects.write('c', '1', 'absent');
      const other = as<ObjectVersion>(version + 1_000);
      await expect(objects.remove('c', other)).toBeRejectedWith(
        VersionConflictError,
      );
      await objects.remove('c', version);
      expect(await objects.read('c')).toEqual(undefined);
    });

    it('lists keys by prefix', async () => {
      await objects.write('list/1', '', 'absent');
      await objects.write('list/2', '', 'absent');
      const keys = (await objects.list('list/')).map(({key}) => key).sort();
      expect(keys).toEqual(['list/1', 'list/2']);
    });

    it('answers a watch when the key changes, at once when it has', async () => {
      const version = await objects.write('d', '1', 'absent');
      const until = after(systemClock.now(), WATCH_MILLISECONDS);
      const watched = objects.watch('d', version, until);
      const next = await objects.write('d', '2', version);
      expect(await watched).toEqual({key: 'd', version: next, value: '2'});
      const seen = await objects.watch('d', version, until);
      expect(seen?.value).toEqual('2');
    });

    it('ends a watch without a change at its instant', async () => {
      const version = await objects.write('e', '1', 'absent');
      expect(await objects.watch('e', version, systemClock.now())).toEqual(
        undefined,
      );
    });

    it('refuses values above the limit', async () => {
      const value = 'x'.repeat(MAXIMUM_VALUE_BYTES + 1);
      await expect(objects.write('f', value, 'absent')).toBeRejectedWith(
        ValueTooLargeError,
      );
      expect(await objects.read('f')).toEqual(undefined);
    });

    it('says that a write whose answer is lost may have taken effect', async () => {
      standIn.faults.lostAnswerShare = 1;
      await expect(objects.write('g', '1', 'absent')).toBeRejectedWith(
        WriteOutcomeUnknownError,
      );
      standIn.faults.lostAnswerShare = 0;
      expect((await objects.read('g'))?.value).toEqual('1');
    });

    it('says that it is not there while it is down', async () => {
      standIn.faults.isDown = true;
      await expect(objects.read('a/1')).toBeRejectedWith(
        PlatformUnavailableError,
      );
      await expect(objects.write('h', '1', 'absent')).toBeRejectedWith(
        WriteOutcomeUnknownError,
      );
      standIn.faults.isDown = false;
      expect(await objects.read('h')).toEqual(undefined);
    });
  });
}

function createStandIn(): ObjectServiceStandIn {
  return ObjectServiceStandIn.create({clock: systemClock, random: () => 0.5});
}

contract(
  'the stand-in of the object service',
  async () => {
    const standIn = createStandIn();
    return {objects: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'the HTTP adapter of the object service',
  async () => {
    const standIn = createStandIn();
    const hosts = HostListStandIn.create({
      clock: systemClock,
      lagMilliseconds: 0,
    });
    server = await serveObjectService({objects: standIn, hosts, port: 0});
    const {port} = server.server.address() as {port: number};
    const objects = HttpObjectService.create({
      url: `http://127.0.0.1:${port}`,
      agent: createAgent(),
      clock: systemClock,
    });
    return {objects, standIn};
  },
  async () => {
    await server?.close();
  },
);

describe(HttpObjectService.name, () => {
  it('tells a refused connection from a lost answer', async () => {
    const objects = HttpObjectService.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
      clock: systemClock,
    });
    await expect(objects.write('x', '1', 'absent')).toBeRejectedWith(
      PlatformUnavailableError,
    );
  });

  it('says that a write over the rate was not done', async () => {
    const standIn = ObjectServiceStandIn.create({
      clock: systemClock,
      random: mockFn(() => 0.5),
      rateLimits: {readsPerSecond: 0, writesPerSecond: 0},
    });
    await expect(standIn.write('x', '1', 'absent')).toBeRejectedWith(
      PlatformBusyError,
    );
  });
});
