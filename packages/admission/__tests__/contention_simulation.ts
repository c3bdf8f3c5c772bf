/**
 * Simulated callers, teams and engines that contend for capacity. The engines are slots without
 * a queue of their own; what waits for them is ordered by the policy under test.
 */

import type {Instant, Milliseconds, Random, TeamName} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {createSeededRandom} from '@siskinmux/testkit';
import {Heap} from 'heap-js';
import type {CapacityRequest} from '../src/index.js';
import {CapacityQueue} from '../src/index.js';

/** Slots of the simulated engines together, unless a scenario has others. */
const SLOTS = 60;

/** Mean time that a request occupies a slot. */
const SERVICE_MILLISECONDS: Milliseconds = 600;

/** Requests that the engines' own queues hold per slot; the queue of today. */
const ENGINE_QUEUE_PER_SLOT = 3;

/** `Retry-After` of requests that engines rejected, as nodes send it today. */
const ENGINE_RETRY_MILLISECONDS: Milliseconds = 400;

/** Callers honor a return time up to this share of the time they have left. */
const HONORED_SHARE = 1 / 3;

/** Time until a response begins, which the deadline has to leave. */
const FIRST_EVENT_MILLISECONDS: Milliseconds = 250;

const MEAN_COST = 1_000;
const TEAMS = 16;

/** A kind of request: its route. */
export interface Kind {
  readonly route: string;
  readonly routePriority: number;
  readonly objectiveMilliseconds: Milliseconds;
  readonly deadlineMilliseconds: Milliseconds;
  readonly share: number;
}

/** The kinds of the page. */
export const KINDS: readonly Kind[] = [
  {
    route: 'chat',
    routePriority: 0,
    objectiveMilliseconds: 252,
    deadlineMilliseconds: 12_000,
    share: 0.5,
  },
  {
    route: 'report',
    routePriority: 1,
    objectiveMilliseconds: 5_002,
    deadlineMilliseconds: 25_000,
    share: 0.3,
  },
  {
    route: 'lookup',
    routePriority: 0,
    objectiveMilliseconds: 252,
    deadlineMilliseconds: 4_000,
    share: 0.2,
  },
];

/** What happens in a simulation. Factors are of the usual; `at` counts from its start. */
export interface Scenario {
  /** Usual load as a share of the capacity. */
  readonly load: number;
  readonly seconds: number;
  /** Slots of the engines together; few of them show what a single node of many sees. */
  readonly slots?: number;
  readonly loadFactor?: (kind: Kind, team: number, at: Milliseconds) => number;
  readonly capacityFactor?: (at: Milliseconds) => number;
  readonly teamPriority?: (team: number) => number;
  /** Requests that arrive before are not counted. */
  readonly countFromSeconds?: number;
}

/** Counts of a team or a kind. */
export interface Tally {
  offered: number;
  served: number;
  late: number;
  refused: number;
  /** Of the refused ones: held until they could no longer start. */
  expired: number;
  /** Refused ones for which a later one of the same team and kind started in time. */
  wouldHaveFit: number;
  returned: number;
  returnedServed: number;
}

/** What a simulation came to. */
export interface Report {
  readonly all: Tally;
  readonly byRoute: ReadonlyMap<string, Tally>;
  readonly byTeam: readonly Tally[];
}

interface SimulatedRequest extends CapacityRequest {
  readonly kind: Kind;
  readonly teamIndex: number;
  readonly deadline: Instant;
  readonly offeredAt: Instant;
  readonly isReturn: boolean;
  readonly isCounted: boolean;
}

/** A queue under test. */
interface Policy {
  /** Called for a request that is sent without having waited. */
  sendNow(request: SimulatedRequest, now: Instant): void;
  offer(request: SimulatedRequest, now: Instant): Instant | undefined;
  take(now: Instant): SimulatedRequest | undefined;
  takeExpired(
    now: Instant,
  ): readonly {item: SimulatedRequest; retryAt: Instant}[];
}

export type PolicyName = 'first come' | 'strict priority' | 'fair order';

function createSortedPolicy(
  slots: number,
  compare: (left: SimulatedRequest, right: SimulatedRequest) => number,
): Policy {
  const heap = new Heap<SimulatedRequest>(compare);
  return {
    sendNow: () => {},
    offer: (request, now) => {
      if (heap.size() >= slots * ENGINE_QUEUE_PER_SLOT)
        return after(now, ENGINE_RETRY_MILLISECONDS);
      heap.push(request);
      return undefined;
    },
    take: () => heap.pop(),
    takeExpired: now => {
      const expired = heap.toArray().filter(({startBy}) => startBy <= now);
      for (const item of expired) heap.remove(item);
      const retryAt = after(now, ENGINE_RETRY_MILLISECONDS);
      return expired.map(item => ({item, retryAt}));
    },
  };
}

function createPolicy(name: PolicyName, slots: number): Policy {
  if (name === 'first come')
    return createSortedPolicy(
      slots,
      (left, right) => left.offeredAt - right.offeredAt,
    );
  if (name === 'strict priority')
    return createSortedPolicy(
      slots,
      (left, right) =>
        left.teamPriority - right.teamPriority ||
        left.routePriority - right.routePriority ||
        left.offeredAt - right.offeredAt,
    );
  const queue = CapacityQueue.create<SimulatedRequest>();
  return {
    sendNow: (request, now) => queue.recordUnheld(request, now),
    offer: (request, now) => {
      const decision = queue.offer(request, now);
      return decision.kind === 'refused' ? decision.retryAt : undefined;
    },
    take: now => queue.take(now, () => true),
    takeExpired: now => queue.takeExpired(now),
  };
}

/** Share of the load that a team usually has; a few teams have most of it. */
export function teamShare(team: number): number {
  let total = 0;
  for (let index = 1; index <= TEAMS; index += 1) total += 1 / index;
  return 1 / (team + 1) / total;
}

function createTally(): Tally {
  return {
    offered: 0,
    served: 0,
    late: 0,
    refused: 0,
    expired: 0,
    wouldHaveFit: 0,
    returned: 0,
    returnedServed: 0,
  };
}

function exponential(random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean;
}

/** Plays a scenario with one policy. */
export function simulate(
  scenario: Scenario,
  name: PolicyName,
  seed: number,
): Report {
  const random = createSeededRandom(seed);
  // Times of service don't depend on the order in which the policy serves.
  const serviceRandom = createSeededRandom(seed + 1_000);
  const slotCount = scenario.slots ?? SLOTS;
  const policy = createPolicy(name, slotCount);
  const start = as<Instant>(1_000_000);
  const events = new Heap<{at: number; order: number; run: () => void}>(
    (left, right) => left.at - right.at || left.order - right.order,
  );
  let order = 0;
  let now = start;
  const schedule = (at: number, run: () => void): void => {
    order += 1;
    events.push({at, order, run});
  };
  const all = createTally();
  const byRoute = new Map(KINDS.map(({route}) => [route, createTally()]));
  const byTeam = Array.from({length: TEAMS}, createTally);
  const count = (
    request: SimulatedRequest,
    change: (tally: Tally) => void,
  ): void => {
    if (!request.isCounted) return;
    change(all);
    change(byRoute.get(request.route) as Tally);
    change(byTeam[request.teamIndex] as Tally);
  };
  const refusedByFlow = new Map<string, Set<SimulatedRequest>>();
  const flowOf = ({teamIndex, route}: SimulatedRequest): string =>
    `${teamIndex} ${route}`;
  let running = 0;
  let waiting = 0;
  const slots = (): number =>
    Math.floor(slotCount * (scenario.capacityFactor?.(until(start, now)) ?? 1));
  const pump = (): void => {
    for (const {item, retryAt} of policy.takeExpired(now)) {
      waiting -= 1;
      count(item, tally => (tally.expired += 1));
      refuse(item, retryAt);
    }
    while (running < slots()) {
      const request = policy.take(now);
      if (request === undefined) return;
      waiting -= 1;
      begin(request);
    }
  };
  const begin = (request: SimulatedRequest): void => {
    running += 1;
    schedule(now + exponential(serviceRandom, SERVICE_MILLISECONDS), () => {
      running -= 1;
      pump();
    });
    count(request, tally => {
      tally.served += 1;
      if (now > request.objectiveAt) tally.late += 1;
      if (request.isReturn) tally.returnedServed += 1;
    });
    const refused = refusedByFlow.get(flowOf(request));
    for (const other of refused ?? []) {
      if (other.startBy <= now) refused?.delete(other);
      else if (other.offeredAt < request.offeredAt) {
        count(other, tally => (tally.wouldHaveFit += 1));
        refused?.delete(other);
        break;
      }
    }
  };
  const refuse = (request: SimulatedRequest, retryAt: Instant): void => {
    const honoredUntil = after(
      now,
      Math.max(0, until(now, request.deadline)) * HONORED_SHARE,
    );
    if (!request.isReturn && retryAt <= honoredUntil) {
      schedule(retryAt, () => {
        count(request, tally => (tally.returned += 1));
        offer({...request, offeredAt: now, isReturn: true});
      });
      return;
    }
    count(request, tally => (tally.refused += 1));
    const refused = refusedByFlow.get(flowOf(request)) ?? new Set();
    refused.add(request);
    refusedByFlow.set(flowOf(request), refused);
  };
  const offer = (request: SimulatedRequest): void => {
    pump();
    if (waiting === 0 && running < slots()) {
      policy.sendNow(request, now);
      begin(request);
      return;
    }
    const retryAt = policy.offer(request, now);
    if (retryAt === undefined) waiting += 1;
    else refuse(request, retryAt);
  };
  const endsAt = start + scenario.seconds * 1_000;
  const countsFrom = start + (scenario.countFromSeconds ?? 0) * 1_000;
  for (const kind of KINDS) {
    for (let team = 0; team < TEAMS; team += 1) {
      const usualPerMillisecond =
        (scenario.load * slotCount * kind.share * teamShare(team)) /
        SERVICE_MILLISECONDS;
      const arrive = (): void => {
        const factor =
          scenario.loadFactor?.(kind, team, until(start, now)) ?? 1;
        // Arrivals are drawn at the highest factor of any scenario and thinned.
        if (random() < factor / HIGHEST_FACTOR)
          offer(createRequest(kind, team));
        scheduleNext();
      };
      const scheduleNext = (): void => {
        const mean = 1 / (usualPerMillisecond * HIGHEST_FACTOR);
        const at = now + exponential(random, mean);
        if (at < endsAt) schedule(at, arrive);
      };
      const createRequest = (of: Kind, index: number): SimulatedRequest => {
        const deadline = after(now, of.deadlineMilliseconds);
        const request: SimulatedRequest = {
          group: 'model',
          team: as<TeamName>(`team-${index}`),
          teamIndex: index,
          teamPriority: scenario.teamPriority?.(index) ?? 0,
          route: of.route,
          routePriority: of.routePriority,
          kind: of,
          cost: MEAN_COST * (0.5 + random()),
          arrivedAt: now,
          offeredAt: now,
          objectiveAt: after(now, of.objectiveMilliseconds),
          deadline,
          startBy: after(deadline, -FIRST_EVENT_MILLISECONDS),
          isReturn: false,
          isCounted: now >= countsFrom,
        };
        count(request, tally => (tally.offered += 1));
        return request;
      };
      scheduleNext();
    }
  }
  for (let at = start + 100; at < endsAt + 40_000; at += 100)
    schedule(at, pump);
  for (let next = events.pop(); next !== undefined; next = events.pop()) {
    now = as<Instant>(next.at);
    next.run();
  }
  return {all, byRoute, byTeam};
}

/** Highest factor of the load of a team or a kind in any scenario. */
const HIGHEST_FACTOR = 4.8;

/** Plays a scenario with several seeds and adds the counts up. */
export function simulateSeeds(
  scenario: Scenario,
  name: PolicyName,
  seeds: number,
  firstSeed = 1,
): Report {
  const reports = Array.from({length: seeds}, (_, index) =>
    simulate(scenario, name, firstSeed + index),
  );
  const sum = (tallies: readonly Tally[]): Tally => {
    const total = createTally();
    for (const tally of tallies)
      for (const key of Object.keys(total) as (keyof Tally)[])
        total[key] += tally[key];
    return total;
  };
  return {
    all: sum(reports.map(({all}) => all)),
    byRoute: new Map(
      KINDS.map(({route}) => [
        route,
        sum(reports.map(({byRoute}) => byRoute.get(route) as Tally)),
      ]),
    ),
    byTeam: Array.from({length: TEAMS}, (_, team) =>
      sum(reports.map(({byTeam}) => byTeam[team] as Tally)),
    ),
  };
}

/** Served share of what was offered. */
export function servedShare({served, offered}: Tally): number {
  return offered === 0 ? 1 : served / offered;
}

/** One line for each policy. */
export function describeReport(name: string, report: Report): string {
  const percent = (part: number, whole: number): string =>
    whole === 0 ? '-' : `${((100 * part) / whole).toFixed(1)}%`;
  const {all, byRoute, byTeam} = report;
  const kinds = [...byRoute]
    .map(
      ([route, tally]) =>
        `${route} ${percent(tally.served, tally.offered)} (late ${percent(tally.late, tally.offered)}, expired ${percent(tally.expired, tally.offered)})`,
    )
    .join(', ');
  const teams = byTeam
    .map(tally => Math.round(100 * servedShare(tally)))
    .join(' ');
  return (
    `${name}: offered ${all.offered}, served ${percent(all.served, all.offered)}; ${kinds}; ` +
    `refused ${all.refused}, of them expired ${all.expired}, would have fit ${all.wouldHaveFit}; ` +
    `returned ${all.returned}, served then ${percent(all.returnedServed, all.returned)}; teams % ${teams}`
  );
}
