import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EmitEvent, Milliseconds, RequestId} from '@siskinmux/kernel';
import {RefusalError, after, as, discardEvents} from '@siskinmux/kernel';
import type {RouteVersion} from '@siskinmux/routes';
import {PausableClock, VirtualClock} from '@siskinmux/testkit';
import type {AwaitedView} from '../src/wait_for_view.js';
import {waitForView} from '../src/wait_for_view.js';

interface Belief {
  readonly isCurrent: boolean;
  readonly isDecidable: boolean;
  /** When, from the begin of the wait, the latest answer of the store was asked for. */
  readonly answeredRead: Milliseconds;
}

/** Waits for a view that is as given after the wait; resolves to the fields of its line. */
async function hold(
  belief: Belief,
  isAborted = false,
): Promise<Readonly<Record<string, unknown>>> {
  const clock = VirtualClock.create();
  const startedAt = clock.now();
  const {isCurrent, isDecidable, answeredRead} = belief;
  let latestKnownUntil = after(startedAt, -300);
  const view: AwaitedView = {
    age: {routes: 1_600, endpoints: 300},
    routesVersion: as<RouteVersion>(7),
    isCurrent,
    isDecidable,
    get latestKnownUntil() {
      return latestKnownUntil;
    },
    waitUntilDecidable: () => {
      latestKnownUntil = after(startedAt, answeredRead);
      return Promise.resolve();
    },
  };
  let line: Readonly<Record<string, unknown>> = {};
  const emit: EmitEvent = (_event, fields) => {
    line = {...fields};
  };
  const request = {
    id: as<RequestId>('r1'),
    deadline: after(clock.now(), 1_000),
    signal: isAborted ? AbortSignal.abort() : new AbortController().signal,
  };
  try {
    await waitForView(view, request, clock, emit);
  } catch (failure) {
    expect(failure).toBeA(RefusalError);
    expect(line['outcome']).toEqual('refused');
  }
  return line;
}

describe('line of a request that was held', () => {
  it('tells a store that is unreachable from routes that are merely outdated', async () => {
    const belief = {isCurrent: false, isDecidable: true};
    const outdated = await hold({...belief, answeredRead: 100});
    expect(outdated['outcome']).toEqual('outdated');
    const silent = await hold({...belief, answeredRead: -300});
    expect(silent['outcome']).toEqual('unreachable');
  });

  it('does not take late messages about earlier reads for a store that answers', async () => {
    const belief = {isCurrent: false, isDecidable: true, answeredRead: -290};
    expect((await hold(belief))['outcome']).toEqual('unreachable');
  });

  it('names the version of the routes and the ages', async () => {
    const line = await hold({
      isCurrent: true,
      isDecidable: true,
      answeredRead: 100,
    });
    const {id, version, routesAge, endpointsAge, outcome} = line;
    expect({id, version, routesAge, endpointsAge, outcome}).toEqual({
      id: 'r1',
      version: 7,
      routesAge: 1_600,
      endpointsAge: 300,
      outcome: 'current',
    });
  });

  it('tells of refused requests, and of those that have ended', async () => {
    const undecided = {isCurrent: false, isDecidable: false, answeredRead: 100};
    expect((await hold(undecided))['outcome']).toEqual('refused');
    expect((await hold(undecided, true))['outcome']).toEqual('gone');
  });
});

describe('request that is held by a process that pauses', () => {
  it('is not refused before the store’s response could be read', async () => {
    const clock = PausableClock.create();
    let isDecidable = false;
    let endWait = (): void => {};
    const view: AwaitedView = {
      age: {routes: 1_600, endpoints: 1_600},
      routesVersion: as<RouteVersion>(7),
      isCurrent: true,
      get isDecidable() {
        return isDecidable;
      },
      latestKnownUntil: clock.now(),
      waitUntilDecidable: (deadline, signal) =>
        new Promise(resolve => {
          endWait = resolve;
          clock.schedule(deadline, resolve);
          signal.addEventListener('abort', () => resolve());
        }),
    };
    const request = {
      id: as<RequestId>('r1'),
      deadline: after(clock.now(), 3_000),
      signal: new AbortController().signal,
    };
    const wait = waitForView(view, request, clock, discardEvents);
    clock.pause(1_000);
    for (let turn = 0; turn < 3; turn += 1) {
      clock.run(1);
      await new Promise(resolve => setImmediate(resolve));
    }
    isDecidable = true;
    endWait();
    await wait;
  });
});
