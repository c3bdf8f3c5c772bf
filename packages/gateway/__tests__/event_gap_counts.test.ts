import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, Instant, ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {EventGapCounts} from '../src/event_gap_counts.js';
import {
  decodeUsage,
  encodeUsage,
  usageSchema,
} from '../src/placement_messages.js';

const service = as<ServiceName>('engines');
const one = as<EndpointId>('one');
const two = as<EndpointId>('two');
const now = as<Instant>(1_000);

describe('gaps between the events of streams', () => {
  it('are reported once, for the engines of the reported service', () => {
    const counts = EventGapCounts.create();
    counts.record(one, 2, 90);
    counts.record(one, 1, 50);
    counts.record(two, 1, 40);
    const ofOne = [{engine: one, count: 3, milliseconds: 140}];
    expect(counts.take(id => id === one)).toEqual(ofOne);
    expect(counts.take(id => id === one)).toEqual([]);
    expect(counts.take(() => true).length).toEqual(1);
  });

  it('that a caller makes who does not read don’t make the engine look slow', () => {
    const counts = EventGapCounts.create();
    counts.record(one, 1, 20_000);
    const [gaps] = counts.take(() => true);
    expect(gaps?.milliseconds ?? 0).toBeLessThanOrEqual(500);
  });

  it('are dropped with their engine, and all with the lease holder', () => {
    // No report takes the gaps at engines that have gone, so that their entries stayed.
    const counts = EventGapCounts.create();
    counts.record(one, 1, 40);
    counts.record(two, 1, 40);
    counts.forget(one);
    expect(counts.take(id => id === one)).toEqual([]);
    counts.clear();
    expect(counts.take(() => true)).toEqual([]);
  });

  it('reach the lease holder with the usage, and may be missing from it', () => {
    const gaps = [{engine: one, count: 3, milliseconds: 140}];
    const usage = {waiting: [], inFlight: [], arrived: []};
    const message = encodeUsage(service, {...usage, gaps}, true, now);
    const received = usageSchema.parse(JSON.parse(JSON.stringify(message)));
    expect(decodeUsage(received, now).gaps).toEqual(gaps);
    const {gaps: _gaps, ...earlier} = encodeUsage(service, usage, true, now);
    expect(decodeUsage(usageSchema.parse(earlier), now).gaps).toEqual([]);
  });
});
