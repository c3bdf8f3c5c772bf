import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {QueuedRequest} from '../src/index.js';
import {
  QueueFullError,
  RequestQueue,
  STARVATION_LIMIT_MILLISECONDS,
} from '../src/index.js';

const at = (value: number): Instant => as<Instant>(value);
const anywhere = (): boolean => true;

interface Item extends QueuedRequest {
  readonly name: string;
}

function item(name: string, overrides: Partial<Item> = {}): Item {
  return {
    name,
    target: 'model',
    priorityClass: 1,
    deadline: at(1_000),
    refuseAt: at(900),
    enqueuedAt: at(0),
    ...overrides,
  };
}

function drain(queue: RequestQueue<Item>, now = 0): string[] {
  const names: string[] = [];
  for (;;) {
    const next = queue.dequeue(at(now), anywhere);
    if (next === undefined) return names;
    names.push(next.name);
  }
}

describe(RequestQueue.name, () => {
  it('serves the earliest deadline first within a priority class', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('late', {deadline: at(300)}), 10);
    queue.enqueue(item('early', {deadline: at(100)}), 10);
    queue.enqueue(item('urgent', {deadline: at(900), priorityClass: 0}), 10);
    expect(drain(queue)).toEqual(['urgent', 'early', 'late']);
  });

  it('keeps all requests while it counts those ahead', () => {
    const queue = RequestQueue.create<Item>();
    for (const deadline of [100, 200, 300]) {
      queue.enqueue(item(`d${deadline}`, {deadline: at(deadline)}), 10);
    }
    expect(queue.countAhead(item('new', {deadline: at(250)}))).toEqual(2);
    expect(drain(queue)).toEqual(['d100', 'd200', 'd300']);
  });

  it('keeps requests that are not expired while it removes expired ones', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('expired', {refuseAt: at(10)}), 10);
    queue.enqueue(item('kept', {refuseAt: at(20)}), 10);
    const expired = queue.takeExpired(at(10)).map(({name}) => name);
    expect(expired).toEqual(['expired']);
    expect(drain(queue)).toEqual(['kept']);
  });

  it('shares fairly between a burst for one target and single requests for another', () => {
    const queue = RequestQueue.create<Item>();
    for (let index = 0; index < 6; index += 1) {
      queue.enqueue(item(`burst-${index}`, {target: 'burst'}), 10);
    }
    queue.enqueue(item('single-0', {target: 'single'}), 10);
    queue.enqueue(item('single-1', {target: 'single'}), 10);
    const order = drain(queue);
    expect(order.indexOf('single-0') <= 1).toEqual(true);
    expect(order.indexOf('single-1') <= 3).toEqual(true);
  });

  it('lets a starved request of a lower class through within the bound', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('report', {priorityClass: 2}), 100);
    for (let index = 0; index < 20; index += 1) {
      queue.enqueue(item(`warning-${index}`, {priorityClass: 0}), 100);
    }
    const order = drain(queue, STARVATION_LIMIT_MILLISECONDS);
    expect(order.indexOf('report') <= 4).toEqual(true);
    expect(order[0]).toEqual('warning-0');
  });

  it('refuses a request beyond the bound of its target', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('first'), 1);
    expect(() => queue.enqueue(item('second'), 1)).toThrow(QueueFullError);
    queue.enqueue(item('other', {target: 'other'}), 1);
    expect(queue.size).toEqual(2);
  });
});
