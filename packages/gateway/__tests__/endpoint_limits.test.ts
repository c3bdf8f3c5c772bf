import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {RequestLimitStatement, ResponseHead} from '@siskinmux/forwarding';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import {after, as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock, createEngineDescription} from '@siskinmux/testkit';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {ENDPOINT, createResponse} from './limit_cluster.js';

const {incarnation} = ENDPOINT;

function build() {
  const clock = VirtualClock.create();
  const events: string[] = [];
  const limits = EndpointLimits.create({
    clock,
    emit: ({name}) => events.push(name),
  });
  const record = (
    statement: RequestLimitStatement,
    overrides: Partial<ResponseHead['metadata']> = {},
  ): number | undefined => {
    const response = createResponse(undefined);
    const metadata = {
      ...response.metadata,
      requestLimit: statement,
      ...overrides,
    };
    limits.recordResponse(ENDPOINT, {...response, metadata});
    return limits.get(incarnation)?.requestsPerSecond;
  };
  return {clock, events, limits, record};
}

const limit = (requestsPerSecond: number): RequestLimitStatement => ({
  kind: 'limit',
  requestsPerSecond,
});
const none: RequestLimitStatement = {kind: 'none'};
const invalid = (text: string): RequestLimitStatement => ({
  kind: 'invalid',
  text,
});

describe(EndpointLimits.name, () => {
  it('applies the limit of the latest response, until a request that ran gets a response without one', () => {
    const {record} = build();
    expect(record(limit(2.6))).toEqual(2.6);
    expect(record(limit(3))).toEqual(3);
    expect(record(none, {isNotRun: true})).toEqual(3);
    expect(record(none, {isSealed: false})).toEqual(3);
    expect(record(none)).toEqual(undefined);
  });

  it('limits an endpoint that has rejected a request and survives only so many, until two seconds after the last one', async () => {
    const {clock, record} = build();
    const brittle = {rejectionLimit: limit(10)};
    expect(record(none, brittle)).toEqual(undefined);
    expect(record(none, {...brittle, isNotRun: true})).toEqual(4);
    await clock.advance(1_900);
    expect(record(none, brittle)).toEqual(4);
    expect(record(none, {...brittle, isNotRun: true})).toEqual(4);
    await clock.advance(1_900);
    expect(record(none, brittle)).toEqual(4);
    await clock.advance(100);
    expect(record(none, brittle)).toEqual(undefined);
  });

  it('goes by the limit on requests of an endpoint that names one on rejections, too', () => {
    const {record} = build();
    const brittle = {rejectionLimit: limit(10), isNotRun: true};
    expect(record(limit(3), brittle)).toEqual(3);
  });

  it('is not stopped by a tiny limit, which leaves one request in ten seconds', () => {
    expect(build().record(limit(0.000_1))).toEqual(0.1);
  });

  it('keeps its limit when a value is invalid, and logs each such value once', () => {
    const {events, record} = build();
    expect(record(invalid('0'))).toEqual(undefined);
    record(limit(2));
    expect(record(invalid('-1'))).toEqual(2);
    expect(record(invalid('-1'))).toEqual(2);
    expect(events.filter(name => name === 'endpoint-limit-invalid')).toEqual([
      'endpoint-limit-invalid',
      'endpoint-limit-invalid',
    ]);
  });

  it('ends with the incarnation of its endpoint', () => {
    const {limits, record} = build();
    record(limit(2));
    const restarted = {
      ...createEngineDescription('e', as<ServiceName>('text')),
      incarnation: as<typeof incarnation>('e@2'),
    };
    limits.applyEndpointChanges([
      {id: as<EndpointId>('e'), before: ENDPOINT, now: restarted},
    ]);
    expect(limits.all).toEqual([]);
  });

  it('takes the later of two responses that other nodes report, in any order', () => {
    const {clock, limits} = build();
    const earlier = {
      incarnation,
      requestsPerSecond: 2,
      observedAt: after(clock.now(), -20),
    };
    const ended = {
      incarnation,
      requestsPerSecond: undefined,
      observedAt: after(clock.now(), -10),
    };
    expect(limits.merge([ended, earlier])).toEqual([ended]);
    expect(limits.all).toEqual([]);
    const latest = {...earlier, observedAt: clock.now()};
    expect(limits.merge([latest])).toEqual([latest]);
    expect(limits.merge([ended])).toEqual([]);
    expect(limits.all).toEqual([latest]);
  });

  it('knows a bounded number of limits', () => {
    const limits = EndpointLimits.create({
      clock: VirtualClock.create(),
      emit: discardEvents,
    });
    for (let index = 0; index < 3_000; index += 1) {
      const description = createEngineDescription(
        `e${index}`,
        as<ServiceName>('text'),
      );
      limits.recordResponse(description, createResponse(2));
    }
    expect(limits.all.length).toEqual(2_000);
  });
});
