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

function usable(table: EndpointTable): string[] {
  return table.availableFor(service).map(({id}) => id);
}

describe('the endpoint table', () => {
  it('gives new work to endpoints that are not draining', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    const leaving = endpoint(one, {isDraining: true});
    const change = {id: one, description: leaving, isRemoved: false};
    expect(table.apply([change], undefined).length).toEqual(1);
    expect(usable(table)).toEqual(['two']);
    expect(table.get(one)?.isDraining).toEqual(true);
  });

  it('drops what is removed, and what names no endpoint any more', () => {
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

  it('drops at once what a list lacks in calm times', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.replaceAll([endpoint(two)], undefined);
    expect(usable(table)).toEqual(['two']);
  });

  it('keeps what is missing after an outage until it should be back', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one), endpoint(two)], undefined);
    table.replaceAll([endpoint(two)], as<Instant>(2_200));
    expect(usable(table)).toEqual(['one', 'two']);
    expect(table.expire(as<Instant>(2_199))).toEqual([]);
    expect(table.expire(as<Instant>(2_200)).length).toEqual(1);
    expect(usable(table)).toEqual(['two']);
  });

  it('keeps for good what registers again in time', () => {
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
    expect(usable(table)).toEqual(['one']);
  });

  it('does not wait for an endpoint that had announced its leaving', () => {
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one, {isDraining: true})], undefined);
    table.replaceAll([], as<Instant>(2_200));
    expect(table.size).toEqual(0);
  });

  it('moves an endpoint whose id comes back for another service', () => {
    const other = as<ServiceName>('engines');
    const table = EndpointTable.create();
    table.replaceAll([endpoint(one)], undefined);
    table.replaceAll([endpoint(one, {service: other})], undefined);
    expect(usable(table)).toEqual([]);
    expect(table.availableFor(other).length).toEqual(1);
  });
});
