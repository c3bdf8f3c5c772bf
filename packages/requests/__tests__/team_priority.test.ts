/** Order in which waiting requests of several teams are served. */

import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {
  FailureDomain,
  Fingerprint,
  Instant,
  RequestId,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Priority} from '@siskinmux/declarations';
import {PRIORITIES, parseDeclarations} from '@siskinmux/declarations';
import {RetryBudget} from '@siskinmux/routing';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import {Dispatcher, EndpointPool} from '../src/index.js';
import {enginePriorityOf, priorityClassOf} from '../src/priority_class.js';
import {createCallContext} from '../src/service_call_context.js';
import {ServiceDispatcher} from '../src/service_dispatcher.js';

const DECLARATIONS = parseDeclarations([
  {
    name: 'all',
    text: `
[endpoints.coupon]
kind = "service"
service = "coupons"
url = "http://127.0.0.1:2"
host = "c"
failure_domain = "a"
concurrency = 1

[services.coupons.calls.balance]
methods = ["GET"]
path = "/balance"
repeatable = true
default_deadline_milliseconds = 60000
`,
  },
]);

function setUp() {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const pool = EndpointPool.create({clock});
  const dispatcher = Dispatcher.create({
    clock,
    random,
    failureDomain: as<FailureDomain>('a'),
    pool,
  });
  const services = ServiceDispatcher.create({
    clock,
    random,
    declarations: () => DECLARATIONS,
    dispatcher,
    pool,
    retryBudget: RetryBudget.create(),
    service: () => {
      throw new RangeError('no call is sent');
    },
    isHostUsable: () => true,
  });
  const acquire = (teamPriority: number | undefined, priority?: Priority) => {
    const request = {
      id: as<RequestId>('request'),
      service: 'coupons',
      method: 'GET',
      path: '/balance',
      contentType: undefined,
      body: '',
      idempotencyKey: undefined,
      deadline: as<Instant>(clock.now() + 50_000),
      priority,
      teamPriority,
      fingerprint: as<Fingerprint>(''),
      signal: new AbortController().signal,
    };
    return services.acquireSlot(
      createCallContext(request, DECLARATIONS, clock),
    );
  };
  return {acquire, dispatcher};
}

describe('priority of a team', () => {
  it('goes before that of the request among waiting requests', async () => {
    const {acquire, dispatcher} = setUp();
    const running = await acquire(0);
    const served: string[] = [];
    const waiting = [
      [2, 'urgent'],
      [1, 'batch'],
      [undefined, 'batch'],
      [1, 'urgent'],
      [0, 'normal'],
      [12, 'urgent'],
      [1, undefined],
    ] as const;
    const all = waiting.map(async ([team, priority]) => {
      const slot = await acquire(team, priority);
      served.push(`${team} ${priority}`);
      slot.end('answered');
      dispatcher.dispatchQueued();
    });
    expect(dispatcher.waiting()).toEqual(waiting.length);
    // Lets every request await its slot, so that they go on in the order of their slots.
    await new Promise(resolve => setImmediate(resolve));
    running.end('answered');
    dispatcher.dispatchQueued();
    await Promise.all(all);
    expect(served).toEqual([
      '0 normal',
      'undefined batch',
      '1 urgent',
      '1 undefined',
      '1 batch',
      '2 urgent',
      '12 urgent',
    ]);
  });

  it('goes before that of the request at engines, which run larger numbers first', () => {
    const request = fc.record({
      team: fc.nat(1_000),
      priority: fc.constantFrom(...PRIORITIES),
    });
    fc.assert(
      fc.property(request, request, (left, right) => {
        const byTeam = left.team - right.team;
        const byPriority =
          PRIORITIES.indexOf(left.priority) -
          PRIORITIES.indexOf(right.priority);
        const leftClass = priorityClassOf(left.team, left.priority);
        const rightClass = priorityClassOf(right.team, right.priority);
        const expected = Math.sign(byTeam === 0 ? byPriority : byTeam);
        expect(Math.sign(leftClass - rightClass)).toEqual(expected);
        expect(
          Math.sign(enginePriorityOf(rightClass) - enginePriorityOf(leftClass)),
        ).toEqual(expected);
      }),
      {seed: 1},
    );
  });

  it('leaves the order and the numbers without teams as they were', () => {
    const classes = PRIORITIES.map(name => priorityClassOf(undefined, name));
    expect(classes).toEqual([0, 1, 2]);
    expect(classes.map(enginePriorityOf)).toEqual([3, 2, 1]);
  });
});
