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
const canServeAny = (): boolean => true;

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

function dequeueAll(queue: RequestQueue<Item>, now = 0): string[] {
  const names: string[] = [];
  for (;;) {
    const next = queue.dequeue(at(now), canServeAny);
    if (next === undefined) return names;
    names.push(next.name);
  }
}

describe(RequestQueue.name, () => {
  it('dequeues by priority class and, within a class, the earliest deadline first', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('late', {deadline: at(300)}), 10);
    queue.enqueue(item('early', {deadline: at(100)}), 10);
    queue.enqueue(item('urgent', {deadline: at(900), priorityClass: 0}), 10);
    expect(dequeueAll(queue)).toEqual(['urgent', 'early', 'late']);
  });

  // The class is the priority of a team and that of the request together.
  it('dequeues any number of priority classes in order, over several targets', () => {
    const queue = RequestQueue.create<Item>();
    const classes = [3_002, 4, 0, 7, 3, 1, 2_999, 4];
    for (const [index, priorityClass] of classes.entries()) {
      const target = index % 2 === 0 ? 'even' : 'odd';
      queue.enqueue(item(`${priorityClass}`, {target, priorityClass}), 10);
    }
    expect(
      queue.countAhead(item('new', {target: 'odd', priorityClass: 7})),
    ).toEqual(4);
    const late = item('late', {target: 'odd', priorityClass: 5});
    queue.enqueue(late, 10);
    expect(queue.remove(late)).toEqual(true);
    expect(queue.remove(late)).toEqual(false);
    const expected = [...classes].sort((left, right) => left - right);
    expect(dequeueAll(queue)).toEqual(expected.map(String));
    expect(queue.size).toEqual(0);
  });

  it('counts the requests ahead of a new one without removing any', () => {
    const queue = RequestQueue.create<Item>();
    for (const deadline of [100, 200, 300]) {
      queue.enqueue(item(`d${deadline}`, {deadline: at(deadline)}), 10);
    }
    expect(queue.countAhead(item('new', {deadline: at(250)}))).toEqual(2);
    expect(dequeueAll(queue)).toEqual(['d100', 'd200', 'd300']);
  });

  it('removes expired requests and keeps all others', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('expired', {refuseAt: at(10)}), 10);
    queue.enqueue(item('kept', {refuseAt: at(20)}), 10);
    const expired = queue.removeExpired(at(10)).map(({name}) => name);
    expect(expired).toEqual(['expired']);
    expect(dequeueAll(queue)).toEqual(['kept']);
  });

  it('alternates between targets, so that a burst for one does not delay another', () => {
    const queue = RequestQueue.create<Item>();
    for (let index = 0; index < 6; index += 1) {
      queue.enqueue(item(`burst-${index}`, {target: 'burst'}), 10);
    }
    queue.enqueue(item('single-0', {target: 'single'}), 10);
    queue.enqueue(item('single-1', {target: 'single'}), 10);
    const order = dequeueAll(queue);
    expect(order.indexOf('single-0') <= 1).toEqual(true);
    expect(order.indexOf('single-1') <= 3).toEqual(true);
  });

  it('promotes a starved request of a lower class after at most four urgent ones', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('report', {priorityClass: 2}), 100);
    for (let index = 0; index < 20; index += 1) {
      queue.enqueue(item(`warning-${index}`, {priorityClass: 0}), 100);
    }
    const order = dequeueAll(queue, STARVATION_LIMIT_MILLISECONDS);
    expect(order.indexOf('report') <= 4).toEqual(true);
    expect(order[0]).toEqual('warning-0');
  });

  it('refuses a request when the queue of its target is full, and accepts other targets', () => {
    const queue = RequestQueue.create<Item>();
    queue.enqueue(item('first'), 1);
    expect(() => queue.enqueue(item('second'), 1)).toThrow(QueueFullError);
    queue.enqueue(item('other', {target: 'other'}), 1);
    expect(queue.size).toEqual(2);
  });
});
