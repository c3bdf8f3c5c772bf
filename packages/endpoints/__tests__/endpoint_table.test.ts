import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  EndpointId,
  FailureDomain,
  Instant,
  ServiceName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EndpointDescription, Incarnation} from '../src/index.js';
import {EndpointTable} from '../src/index.js';

const service = as<ServiceName>('coupons');
const one = as<EndpointId>('one');
const two = as<EndpointId>('two');

function endpoint(
  id: EndpointId,
  changes: Partial<EndpointDescription> = {},
): EndpointDescription {
  return {
    id,
    incarnation: as<Incarnation>(`${id}@1`),
    service,
    softwareVersion: undefined,
    address: '127.0.0.1:1',
    failureDomain: as<FailureDomain>('a'),
    slots: 4,
    isDraining: false,
    orderCount: 0,
    models: [],
    copies: {inMemory: [], onDisk: []},
    ...changes,
  };
}

function availableIds(table: EndpointTable): string[] {
  return table.availableFor(service).map(({id}) => id);
}

describe('the endpoint table', () => {
  it('offers only endpoints that are not draining, but keeps the draining ones', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    const draining = endpoint(one, {isDraining: true});
    const change = {id: one, description: draining, isRemoved: false};
    expect(table.apply([change], undefined).length).toEqual(1);
    expect(availableIds(table)).toEqual(['two']);
    expect(table.get(one)?.isDraining).toEqual(true);
  });

  it('does not offer an endpoint that has crashed until it registers its next start', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    const now = as<Instant>(0);
    expect(table.recordCrash(as<Incarnation>('one@1'), now)?.id).toEqual(one);
    expect(table.recordCrash(as<Incarnation>('one@1'), now)).toEqual(undefined);
    expect(availableIds(table)).toEqual(['two']);
    const heartbeat = endpoint(one, {orderCount: 1});
    table.apply(
      [{id: one, description: heartbeat, isRemoved: false}],
      undefined,
    );
    expect([availableIds(table), table.hasCrashed(one)]).toEqual([
      ['two'],
      true,
    ]);
    const restarted = endpoint(one, {incarnation: as<Incarnation>('one@2')});
    table.apply(
      [{id: one, description: restarted, isRemoved: false}],
      undefined,
    );
    expect(availableIds(table)).toEqual(['one', 'two']);
  });

  it('offers an endpoint again five seconds after a crash that the platform has not confirmed', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.recordCrash(as<Incarnation>('one@1'), as<Instant>(0));
    expect(table.expire(as<Instant>(4_999))).toEqual([]);
    expect(table.expire(as<Instant>(5_000)).map(({id}) => id)).toEqual([one]);
    expect(availableIds(table)).toEqual(['one', 'two']);
  });

  it('ignores the crash of an incarnation that is no longer listed', () => {
    const table = EndpointTable.create();
    table.replaceAll(
      [endpoint(one, {incarnation: as<Incarnation>('one@2')})],
      undefined,
    );
    table.recordCrash(as<Incarnation>('one@1'), as<Instant>(0));
    expect(availableIds(table)).toEqual(['one']);
  });

  it('removes endpoints whose entry was removed or no longer describes a usable endpoint', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.apply(
      [
        {id: one, description: undefined, isRemoved: true},
        {id: two, description: undefined, isRemoved: false},
      ],
      undefined,
    );
    expect(table.size).toEqual(0);
  });

  it('removes an endpoint that is missing from the list at once when there was no outage', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.replaceAll([endpoint(two)], undefined);
    expect(availableIds(table)).toEqual(['two']);
  });

  it('keeps an endpoint that is missing from the list after a platform outage until the grace period ends', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.replaceAll([endpoint(two)], as<Instant>(2_200));
    expect(availableIds(table)).toEqual(['one', 'two']);
    expect(table.expire(as<Instant>(2_199))).toEqual([]);
    expect(table.expire(as<Instant>(2_200)).length).toEqual(1);
    expect(availableIds(table)).toEqual(['two']);
  });

  it('keeps an endpoint that registers again within the grace period', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one)], undefined);
    table.apply(
      [{id: one, description: undefined, isRemoved: true}],
      as<Instant>(2_200),
    );
    table.apply(
      [{id: one, description: endpoint(one), isRemoved: false}],
      undefined,
    );
    expect(table.expire(as<Instant>(9_000))).toEqual([]);
    expect(availableIds(table)).toEqual(['one']);
  });

  it('removes a draining endpoint at once if it is missing after an outage, instead of keeping it for the grace period', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one, {isDraining: true})], undefined);
    table.replaceAll([], as<Instant>(2_200));
    expect(table.size).toEqual(0);
  });

  it('does not offer an endpoint that said it leaves, though its entry says it is ready, until its next start', () => {
    const table = EndpointTable.create();
    const now = as<Instant>(0);
    const put = (description: EndpointDescription): void => {
      table.apply([{id: one, description, isRemoved: false}], undefined);
    };
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    const changes = table.recordLeaving(as<Incarnation>('one@1'), now, now);
    expect(changes?.map(change => change.now?.isDraining)).toEqual([true]);
    expect(table.recordLeaving(as<Incarnation>('one@1'), now, now)).toEqual(
      undefined,
    );
    put(endpoint(one, {orderCount: 1}));
    expect(availableIds(table)).toEqual(['two']);
    put(endpoint(one, {incarnation: as<Incarnation>('one@2')}));
    expect(availableIds(table)).toEqual(['one', 'two']);
    expect(table.leaving).toEqual([]);
  });

  it('does not offer an endpoint that said it leaves before it was listed, or expired since', () => {
    const table = EndpointTable.create();
    const now = as<Instant>(0);
    expect(table.recordLeaving(as<Incarnation>('one@1'), now, now)).toEqual([]);
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    expect(availableIds(table)).toEqual(['two']);
    table.replaceAll([endpoint(two)], undefined);
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    expect(availableIds(table)).toEqual(['two']);
  });

  it('offers an endpoint again that is listed as ready a minute after it said it leaves', () => {
    const table = EndpointTable.create();
    const now = as<Instant>(0);
    table.replaceAll([endpoint(one)], undefined);
    table.recordLeaving(as<Incarnation>('one@1'), now, now);
    expect(table.expire(as<Instant>(59_999))).toEqual([]);
    expect(table.expire(as<Instant>(60_000)).length).toEqual(1);
    expect(availableIds(table)).toEqual(['one']);
    const late = as<Instant>(60_000);
    expect(table.recordLeaving(as<Incarnation>('one@1'), now, late)).toEqual(
      undefined,
    );
  });

  it('moves an endpoint to another service when its id is registered for that service', () => {
    const other = as<ServiceName>('engines');
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one)], undefined);
    table.replaceAll([endpoint(one, {service: other})], undefined);
    expect(availableIds(table)).toEqual([]);
    expect(table.availableFor(other).length).toEqual(1);
  });

  it('removes a missing endpoint only after a read beyond its deadline', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one)], undefined);
    table.replaceAll([], as<Instant>(2_000));
    const now = as<Instant>(9_000);
    expect(table.expire(now, as<Instant>(1_999))).toEqual([]);
    expect(availableIds(table)).toEqual(['one']);
    expect(table.expire(now, as<Instant>(2_000)).length).toEqual(1);
  });

  describe('when the store returns from an older copy', () => {
    const now = as<Instant>(10_000);
    const keepUntil = as<Instant>(12_000);

    it('goes on draining what the copy lists as ready', () => {
      const table = EndpointTable.create();
      table.replaceAll([endpoint(one, {isDraining: true})], undefined);
      table.replaceByOlder([endpoint(one)], keepUntil, now);
      expect(availableIds(table)).toEqual([]);
    });

    it('does not use a run that has ended, unless it writes its entry again', () => {
      const table = EndpointTable.create();
      table.replaceAll([endpoint(one), endpoint(two)], undefined);
      table.replaceAll([], undefined);
      for (let count = 0; count < 2; count += 1) {
        table.replaceByOlder([endpoint(one), endpoint(two)], keepUntil, now);
        expect(availableIds(table)).toEqual([]);
      }
      const change = {id: one, description: endpoint(one), isRemoved: false};
      table.apply([change], keepUntil);
      table.apply(
        [{id: two, description: undefined, isRemoved: true}],
        keepUntil,
      );
      expect(availableIds(table)).toEqual(['one']);
      expect(table.get(two)).toEqual(undefined);
    });

    it('keeps the later of two runs under one id', () => {
      const table = EndpointTable.create();
      const later = endpoint(one, {incarnation: as<Incarnation>('one@2')});
      table.replaceAll([endpoint(one)], undefined);
      table.replaceAll([later], undefined);
      table.replaceByOlder([endpoint(one)], keepUntil, now);
      expect(table.get(one)?.incarnation).toEqual(later.incarnation);
      expect(availableIds(table)).toEqual(['one']);
    });
  });
});
