import {describe, it} from 'node:test';
import {ANY_VERSION} from '@siskinmux/endpoints';
import {expect} from 'earl';
import type {PermitDecision} from '@siskinmux/admission';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {EndpointId, RequestId, ServiceName} from '@siskinmux/kernel';
import {
  ErrorCode,
  Outcome,
  RefusalError,
  after,
  as,
  createNotRunRefusal,
  discardEvents,
  sleepFor,
  until,
} from '@siskinmux/kernel';
import {VirtualClock, createEngineDescription} from '@siskinmux/testkit';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {EndpointPauses} from '../src/endpoint_pauses.js';
import type {LimitOutcome} from '../src/limited_choice.js';
import {chooseWithinLimits} from '../src/limited_choice.js';
import {SendPermits} from '../src/send_permits.js';
import {LimitHolder, LimitNode, createResponse} from './limit_cluster.js';

const SERVICE = as<ServiceName>('text');
const DEADLINE_MILLISECONDS = 5_000;

function describeEndpoint(name: string): EndpointDescription {
  return createEngineDescription(name, SERVICE);
}

/** Endpoints in the order in which a request prefers them. */
function build(...names: string[]) {
  const clock = VirtualClock.create();
  const endpoints = names.map(describeEndpoint);
  const limits = EndpointLimits.create({clock, emit: discardEvents});
  const pauses = EndpointPauses.create({clock, emit: discardEvents});
  const permits = SendPermits.create({limits, clock, onPermitUsed: () => {}});
  const outcomes: LimitOutcome[] = [];
  const choices = {count: 0};
  const gone = new Set<EndpointId>();
  const start = clock.now();
  const caller = new AbortController();
  const find = async (
    waitForUnlimited?: (signal: AbortSignal) => Promise<void>,
  ): Promise<string> => {
    try {
      const found = await chooseWithinLimits(
        {
          requirements: {
            id: as<RequestId>('request'),
            service: SERVICE,
            model: undefined,
            adapter: undefined,
            version: ANY_VERSION,
            triedEndpoints: new Set(),
            avoidedEndpoints: new Set(),
            deadline: after(start, DEADLINE_MILLISECONDS),
            priority: 0,
            isFirstAttempt: true,
            signal: caller.signal,
          },
          serviceMilliseconds: 100,
          choose: excluded => {
            choices.count += 1;
            return endpoints.find(({id}) => !excluded.has(id) && !gone.has(id));
          },
          isUsable: ({id}) => !gone.has(id),
          waitForUnlimited,
        },
        {
          limits,
          permits,
          clock,
          emit: discardEvents,
          onLimited: outcome => outcomes.push(outcome),
          pauses,
          random: () => 0,
        },
      );
      return `${found?.id} after ${until(start, clock.now())}`;
    } catch (failure) {
      if (!(failure instanceof RefusalError)) throw failure;
      expect(failure.outcome).toEqual(Outcome.NotRun);
      return `${failure.code} after ${until(start, clock.now())}`;
    }
  };
  const limit = (name: string): void =>
    limits.recordResponse(describeEndpoint(name), createResponse(2));
  const setOwner = (decide: () => Promise<PermitDecision>): void =>
    permits.setExchange({reportLimits: () => {}, requestPermit: decide});
  const pause = (name: string, milliseconds: number): void => {
    const {metadata, ...head} = createResponse(undefined);
    pauses.recordResponse(describeEndpoint(name), {
      ...head,
      metadata: {...metadata, pause: {kind: 'pause', milliseconds}},
    });
  };
  return {
    clock,
    permits,
    outcomes,
    choices,
    gone,
    find,
    limit,
    pause,
    setOwner,
    caller,
  };
}

describe('choice of an endpoint within limits', () => {
  it('takes the preferred endpoint without asking while it names no limit', async () => {
    const {find} = build('one', 'two');
    expect(await find()).toEqual('one after 0');
  });

  it('diverts the request to another endpoint, and asks again only when there may be a permit', async () => {
    const {clock, find, limit, setOwner, outcomes} = build('one', 'two');
    limit('one');
    let requests = 0;
    setOwner(() => {
      requests += 1;
      const retryAt = after(clock.now(), 500);
      return Promise.resolve({kind: 'refused', retryAt});
    });
    expect(await find()).toEqual('two after 0');
    expect(await find()).toEqual('two after 0');
    expect([requests, outcomes]).toEqual([1, ['diverted', 'diverted']]);
    await clock.advance(500);
    await find();
    expect(requests).toEqual(2);
  });

  it('waits for a permit if all endpoints are at their limits', async () => {
    const {clock, permits, find, limit, outcomes} = build('one');
    limit('one');
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    const found = find();
    await clock.advance(3_000);
    expect(await found).toEqual('one after 1000');
    expect(outcomes).toEqual(['diverted', 'waited']);
  });

  it('refuses the request at once if its turn would come too late', async () => {
    const {clock, permits, find, limit} = build('one');
    limit('one');
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    const results = Array.from({length: 12}, () => find());
    await clock.advance(0);
    expect(await results.at(-1)).toEqual(
      `${ErrorCode.EndpointLimited} after 0`,
    );
  });

  it('diverts the request from an endpoint that asked for a pause, until its end', async () => {
    const {clock, find, pause, outcomes} = build('one', 'two');
    pause('one', 700);
    pause('one', 300);
    expect(await find()).toEqual('two after 0');
    expect(outcomes).toEqual(['diverted']);
    await clock.advance(699);
    expect(await find()).toEqual('two after 699');
    await clock.advance(1);
    expect(await find()).toEqual('one after 700');
  });

  it('waits for the end of the shortest pause if all endpoints asked for one', async () => {
    const {clock, find, pause, outcomes} = build('one', 'two');
    pause('one', 700);
    pause('two', 500);
    const found = find();
    await clock.advance(1_000);
    expect(await found).toEqual('two after 500');
    expect(outcomes).toEqual(['diverted', 'diverted', 'waited', 'diverted']);
  });

  it('passes over half of a service that asked for pauses at once, with one line of log', async () => {
    const names = Array.from({length: 63}, (_, index) => `e${index}`);
    const {find, pause, outcomes, choices} = build(...names);
    for (const name of names.slice(0, 32)) pause(name, 2_000);
    expect(await find()).toEqual('e32 after 0');
    expect(outcomes).toEqual(['diverted']);
    expect(choices.count).toEqual(2);
  });

  it('finds the shortest pause of a whole service without a look at each endpoint', async () => {
    const names = Array.from({length: 63}, (_, index) => `e${index}`);
    const {clock, find, pause, outcomes, choices, gone} = build(...names);
    for (const [index, name] of names.entries()) pause(name, 2_000 - index);
    gone.add(as<EndpointId>('e62'));
    const found = find();
    await clock.advance(3_000);
    expect(await found).toEqual('e61 after 1939');
    expect(outcomes).toEqual(['diverted', 'diverted', 'waited', 'diverted']);
    expect(choices.count).toBeLessThanOrEqual(6);
  });

  it('finds the shortest pause among the few endpoints that may serve the request without a look at each', async () => {
    const names = Array.from({length: 63}, (_, index) => `e${index}`);
    const {clock, find, pause, choices, gone} = build(...names);
    for (const [index, name] of names.entries()) pause(name, 2_000 - index);
    for (const name of names.slice(2)) gone.add(as<EndpointId>(name));
    const found = find();
    await clock.advance(3_000);
    expect(await found).toEqual('e1 after 1999');
    expect(choices.count).toBeLessThanOrEqual(6);
  });

  it('refuses the request at once if all pauses end too late', async () => {
    const {clock, find, pause, outcomes} = build('one');
    pause('one', 20_000);
    const found = find();
    await clock.advance(0);
    expect(await found).toEqual(`${ErrorCode.EndpointLimited} after 0`);
    expect(outcomes).toEqual(['diverted', 'refused']);
  });

  it('ends the wait for a pause when the caller leaves', async () => {
    const {clock, find, pause, caller} = build('one');
    pause('one', 700);
    const found = find();
    await clock.advance(100);
    caller.abort();
    await clock.advance(0);
    expect(await found).toEqual(`${ErrorCode.CallerGone} after 100`);
  });

  it('keeps no pause longer than half a minute, however long it was asked for', async () => {
    const {clock, find, pause} = build('one');
    pause('one', 1e15);
    await clock.advance(30_000);
    expect(await find()).toEqual('one after 30000');
  });

  it('waits for the next lease holder while there is none, until the deadline', async () => {
    const {clock, permits, find, limit} = build('one');
    limit('one');
    const served = find();
    await clock.advance(600);
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    await clock.advance(2_000);
    expect(await served).toEqual('one after 1600');
    permits.setExchange(undefined);
    const refused = find();
    await clock.advance(5_000);
    expect((await refused).startsWith(ErrorCode.EndpointLimited)).toEqual(true);
  });

  it('waits for the next lease holder also while it waits for another endpoint', async () => {
    const {clock, permits, find, limit} = build('one');
    limit('one');
    const served = find(() => sleepFor(clock, 60_000));
    await clock.advance(600);
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    await clock.advance(2_000);
    expect(await served).toEqual('one after 1600');
  });

  it('asks the next lease holder when the one at which it waits stops', async () => {
    const {clock, permits, find, limit} = build('one');
    limit('one');
    const first = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(first.exchange);
    const served = find();
    await clock.advance(500);
    const second = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(second.exchange);
    first.stop();
    await clock.advance(3_000);
    expect(await served).toEqual('one after 1500');
  });

  it('takes another endpoint that becomes available during the wait, and leaves the permit to the next request', async () => {
    const {clock, permits, gone, find, limit} = build('one', 'two');
    limit('one');
    gone.add(as<EndpointId>('two'));
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    const found = find(async () => {
      await sleepFor(clock, 600);
      gone.delete(as<EndpointId>('two'));
    });
    await clock.advance(1_000);
    expect(await found).toEqual('two after 600');
    const refusal = await permits.acquire(
      describeEndpoint('one'),
      {priority: 0, waitUntil: undefined},
      new AbortController().signal,
    );
    expect(refusal).toEqual(undefined);
  });

  it('waits for another endpoint although its turn for a permit comes too late, and is refused if there will be none', async () => {
    const {clock, permits, find, limit, setOwner} = build('one');
    limit('one');
    setOwner(() =>
      Promise.resolve({kind: 'refused', retryAt: after(clock.now(), 9_000)}),
    );
    const refuseLater = async (): Promise<void> => {
      await sleepFor(clock, 700);
      throw createNotRunRefusal(ErrorCode.NoEndpoint, 'm');
    };
    const refused = find(refuseLater);
    await clock.advance(1_000);
    expect(await refused).toEqual(`${ErrorCode.EndpointLimited} after 700`);
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    const served = find(refuseLater);
    await clock.advance(2_000);
    expect(await served).toEqual('one after 2000');
  });

  it('does not return an endpoint that left during the wait', async () => {
    const {clock, permits, gone, find, limit} = build('one');
    limit('one');
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    const found = find();
    await clock.advance(500);
    gone.add(as<EndpointId>('one'));
    await clock.advance(3_000);
    expect(await found).toEqual('undefined after 1000');
  });

  it('leaves the permit of a request whose caller has left to the next one', async () => {
    const {clock, permits, find, limit, caller} = build('one');
    limit('one');
    const holder = new LimitHolder(clock, new LimitNode(clock), () => {});
    permits.setExchange(holder.exchange);
    void find();
    await clock.advance(500);
    caller.abort();
    await clock.advance(500);
    const refusal = await permits.acquire(
      describeEndpoint('one'),
      {priority: 0, waitUntil: undefined},
      new AbortController().signal,
    );
    expect(refusal).toEqual(undefined);
  });
});
