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

const WATCH_TIMEOUT_MILLISECONDS = 60_000;

/** Contract of the object service port, run against each implementation. */
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

    it('reads a written value with its version, and nothing for an unknown key', async () => {
      const version = await objects.write('a/1', '{"x":"é"}', 'absent');
      expect(await objects.read('a/1')).toEqual({
        key: 'a/1',
        version,
        value: '{"x":"é"}',
      });
      expect(await objects.read('a/none')).toEqual(undefined);
    });

    it('rejects a write unless the key has the expected version', async () => {
      const firstVersion = await objects.write('b', '1', 'absent');
      await expect(objects.write('b', '2', 'absent')).toBeRejectedWith(
        VersionConflictError,
      );
      const secondVersion = await objects.write('b', '2', firstVersion);
      expect(secondVersion > firstVersion).toEqual(true);
      await expect(objects.write('b', '3', firstVersion)).toBeRejectedWith(
        VersionConflictError,
      );
    });

    it('rejects a removal unless the key has the expected version', async () => {
      const version = await objects.write('c', '1', 'absent');
      const wrongVersion = as<ObjectVersion>(version + 1_000);
      await expect(objects.remove('c', wrongVersion)).toBeRejectedWith(
        VersionConflictError,
      );
      await objects.remove('c', version);
      expect(await objects.read('c')).toEqual(undefined);
    });

    it('lists the keys with a prefix', async () => {
      await objects.write('list/1', '', 'absent');
      await objects.write('list/2', '', 'absent');
      const keys = (await objects.list('list/')).map(({key}) => key).sort();
      expect(keys).toEqual(['list/1', 'list/2']);
    });

    it('resolves a watch when the key changes, at once if it has changed already', async () => {
      const version = await objects.write('d', '1', 'absent');
      const waitUntil = after(systemClock.now(), WATCH_TIMEOUT_MILLISECONDS);
      const watched = objects.watch('d', version, waitUntil);
      const nextVersion = await objects.write('d', '2', version);
      expect(await watched).toEqual({
        key: 'd',
        version: nextVersion,
        value: '2',
      });
      const changed = await objects.watch('d', version, waitUntil);
      expect(changed?.value).toEqual('2');
    });

    it('resolves a watch without a value when its wait ends without a change', async () => {
      const version = await objects.write('e', '1', 'absent');
      expect(await objects.watch('e', version, systemClock.now())).toEqual(
        undefined,
      );
    });

    it('rejects values above the size limit without storing them', async () => {
      const value = 'x'.repeat(MAXIMUM_VALUE_BYTES + 1);
      await expect(objects.write('f', value, 'absent')).toBeRejectedWith(
        ValueTooLargeError,
      );
      expect(await objects.read('f')).toEqual(undefined);
    });

    it('reports an unknown outcome for a write whose response is lost', async () => {
      standIn.faults.lostAnswerShare = 1;
      await expect(objects.write('g', '1', 'absent')).toBeRejectedWith(
        WriteOutcomeUnknownError,
      );
      standIn.faults.lostAnswerShare = 0;
      expect((await objects.read('g'))?.value).toEqual('1');
    });

    it('fails reads as unavailable and writes with an unknown outcome while it is down', async () => {
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
  'object service stand-in',
  async () => {
    const standIn = createStandIn();
    return {objects: standIn, standIn};
  },
  async () => {},
);

let server: FastifyInstance | undefined;
contract(
  'object service over HTTP',
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
  it('reports a refused connection as unavailable, not as an unknown outcome', async () => {
    const objects = HttpObjectService.create({
      url: 'http://127.0.0.1:1',
      agent: createAgent(),
      clock: systemClock,
    });
    await expect(objects.write('x', '1', 'absent')).toBeRejectedWith(
      PlatformUnavailableError,
    );
  });

  it('rejects a write beyond the rate limit as busy, since nothing was written', async () => {
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
