import {describe, it} from 'node:test';
import {ANY_VERSION} from '@siskinmux/endpoints';
import type {EndpointDescription} from '@siskinmux/endpoints';
import {expect} from 'earl';
import fc from 'fast-check';
import type {
  EndpointId,
  Instant,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  RefusalError,
  after,
  as,
  discardEvents,
} from '@siskinmux/kernel';
import {
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import {EndpointLimits} from '../src/endpoint_limits.js';
import {EndpointPauses} from '../src/endpoint_pauses.js';
import {chooseWithinLimits} from '../src/limited_choice.js';
import {SendPermits} from '../src/send_permits.js';
import {createResponse} from './limit_cluster.js';

/** More by hand: `PAUSE_HISTORIES=20000`. */
const HISTORIES = Number(process.env['PAUSE_HISTORIES'] ?? 500);
const SERVICE = as<ServiceName>('text');
const ENDPOINT_COUNTS = [3, 8];
const SERVICE_MILLISECONDS = 20;
const MAXIMUM_PAUSE_MILLISECONDS = 30_000;
/** A refusal names the end of a pause, and up to so much later. */
const SPREAD_MILLISECONDS = 500;

type Step =
  | {readonly kind: 'advance'; readonly milliseconds: number}
  | {readonly kind: 'pause'; readonly index: number; readonly asked: number}
  | {readonly kind: 'pause_all'; readonly asked: number}
  | {readonly kind: 'pause_half'; readonly asked: number}
  | {readonly kind: 'restart'; readonly index: number}
  | {readonly kind: 'leave'; readonly index: number}
  | {readonly kind: 'request'; readonly patience: number};

const stepsOf = (indexes: fc.Arbitrary<number>): fc.Arbitrary<Step> =>
  fc.oneof(
    fc.record({
      kind: fc.constant('advance' as const),
      milliseconds: fc.nat({max: 3_000}),
    }),
    fc.record({
      kind: fc.constant('pause' as const),
      index: indexes,
      asked: fc.oneof(fc.nat({max: 5_000}), fc.constantFrom(0, 40_000, 1e15)),
    }),
    fc.record({kind: fc.constant('restart' as const), index: indexes}),
    fc.record({kind: fc.constant('leave' as const), index: indexes}),
    fc.record({
      kind: fc.constant('request' as const),
      patience: fc.oneof(fc.nat({max: 300}), fc.nat({max: 6_000})),
    }),
    // All endpoints of a service at once, as in an overload.
    fc.record({
      kind: fc.constantFrom('pause_all' as const, 'pause_half' as const),
      asked: fc.nat({max: 5_000}),
    }),
  );

/** Plays requests beside endpoints that ask for pauses, leave and start again. */
class PauseHistory {
  readonly faults: string[] = [];
  chosen = 0;
  refused = 0;
  private readonly clock = VirtualClock.create();
  private readonly limits = EndpointLimits.create({
    clock: this.clock,
    emit: discardEvents,
  });
  private readonly pauses = EndpointPauses.create({
    clock: this.clock,
    emit: discardEvents,
  });
  private readonly permits = SendPermits.create({
    limits: this.limits,
    clock: this.clock,
    onPermitUsed: () => {},
  });
  private readonly random = createSeededRandom(1);
  private starts = 0;
  private readonly endpoints = new Map<number, EndpointDescription>();
  /** What the endpoints asked for, as they would tell it. */
  private readonly pausedUntil = new Map<EndpointId, Instant>();
  private readonly requests: Promise<void>[] = [];

  constructor(endpointCount: number) {
    for (let index = 0; index < endpointCount; index += 1) this.restart(index);
  }

  async play(history: readonly Step[]): Promise<void> {
    for (const step of history) {
      if (step.kind === 'advance') await this.clock.advance(step.milliseconds);
      else if (step.kind === 'pause') this.pause(step.index, step.asked);
      else if (step.kind === 'pause_all')
        for (const index of this.endpoints.keys())
          this.pause(index, step.asked);
      else if (step.kind === 'pause_half')
        for (const index of this.endpoints.keys()) {
          if (index % 2 === 0) this.pause(index, step.asked);
        }
      else if (step.kind === 'restart') this.restart(step.index);
      else if (step.kind === 'leave') this.leave(step.index);
      else this.requests.push(this.request(step.patience));
      await this.clock.advance(0);
    }
    await this.clock.advance(2 * MAXIMUM_PAUSE_MILLISECONDS);
    await Promise.all(this.requests);
  }

  private restart(index: number): void {
    this.leave(index);
    this.starts += 1;
    const name = `endpoint-${index}-${this.starts}`;
    this.endpoints.set(index, createEngineDescription(name, SERVICE));
  }

  private leave(index: number): void {
    const before = this.endpoints.get(index);
    this.endpoints.delete(index);
    if (before !== undefined)
      this.pauses.applyEndpointChanges([
        {id: before.id, before, now: undefined},
      ]);
  }

  private pause(index: number, asked: number): void {
    const endpoint = this.endpoints.get(index);
    if (endpoint === undefined) return;
    const {metadata, ...head} = createResponse(undefined);
    this.pauses.recordResponse(endpoint, {
      ...head,
      metadata: {...metadata, pause: {kind: 'pause', milliseconds: asked}},
    });
    const endsAt = after(
      this.clock.now(),
      Math.min(asked, MAXIMUM_PAUSE_MILLISECONDS),
    );
    const known = this.pausedUntil.get(endpoint.id);
    if (known === undefined || known < endsAt)
      this.pausedUntil.set(endpoint.id, endsAt);
  }

  private isPaused({id}: EndpointDescription): boolean {
    const endsAt = this.pausedUntil.get(id);
    return endsAt !== undefined && endsAt > this.clock.now();
  }

  private isUsable({id}: EndpointDescription): boolean {
    return [...this.endpoints.values()].some(endpoint => endpoint.id === id);
  }

  private async request(patience: number): Promise<void> {
    const {clock, limits, pauses, permits, random} = this;
    const deadline = after(clock.now(), patience);
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
            deadline,
            priority: 0,
            isFirstAttempt: true,
            signal: new AbortController().signal,
          },
          serviceMilliseconds: SERVICE_MILLISECONDS,
          choose: excluded =>
            [...this.endpoints.values()].find(({id}) => !excluded.has(id)),
          isUsable: endpoint => this.isUsable(endpoint),
          waitForUnlimited: undefined,
        },
        {
          limits,
          pauses,
          permits,
          clock,
          random,
          emit: discardEvents,
          onLimited: () => {},
        },
      );
      this.checkChoice(found, deadline);
    } catch (failure) {
      if (!(failure instanceof RefusalError)) throw failure;
      this.checkRefusal(failure, deadline);
    }
  }

  private checkChoice(
    found: EndpointDescription | undefined,
    deadline: Instant,
  ): void {
    this.chosen += 1;
    if (found !== undefined && this.isPaused(found))
      this.faults.push(`${found.id} is chosen during its pause`);
    if (found === undefined && this.endpoints.size > 0)
      this.faults.push('none is chosen though there are some');
    if (this.clock.now() > deadline) this.faults.push('chosen too late');
  }

  private checkRefusal({code, retryAt}: RefusalError, deadline: Instant): void {
    this.refused += 1;
    const ends = [...this.endpoints.values()].map(
      ({id}) => this.pausedUntil.get(id) ?? this.clock.now(),
    );
    const earliest = Math.min(...ends);
    const waitUntil = after(deadline, -SERVICE_MILLISECONDS);
    if (code !== ErrorCode.EndpointLimited)
      this.faults.push(`refused as ${code}`);
    if (earliest < waitUntil && earliest <= this.clock.now())
      this.faults.push('refused though one wants requests');
    if (retryAt === undefined || retryAt < earliest)
      this.faults.push('the return time lies within all pauses');
    else if (retryAt > earliest + SPREAD_MILLISECONDS)
      this.faults.push('the return time is late');
  }
}

describe('pauses that endpoints ask for, beside restarts and departures', () => {
  for (const endpointCount of ENDPOINT_COUNTS)
    it(`are kept, end in time, and are named truly in refusals (${endpointCount} endpoints)`, async () => {
      let chosen = 0;
      let refused = 0;
      await fc.assert(
        fc.asyncProperty(
          fc.array(stepsOf(fc.nat({max: endpointCount - 1})), {
            minLength: 5,
            maxLength: 40,
          }),
          async history => {
            const play = new PauseHistory(endpointCount);
            await play.play(history);
            chosen += play.chosen;
            refused += play.refused;
            expect(play.faults).toEqual([]);
          },
        ),
        {seed: 1, numRuns: HISTORIES},
      );
      expect(chosen).toBeGreaterThan(HISTORIES);
      expect(refused).toBeGreaterThan(HISTORIES / 10);
    });
});
