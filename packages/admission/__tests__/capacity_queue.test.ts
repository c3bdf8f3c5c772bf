import {describe, it} from 'node:test';
import type {Instant, TeamName} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {expect} from 'earl';
import type {CapacityRequest, HoldDecision} from '../src/index.js';
import {CapacityQueue, MAXIMUM_HELD_REQUESTS} from '../src/index.js';

const start = as<Instant>(1_000_000);
const at = (milliseconds: number): Instant => after(start, milliseconds);
const all = (): boolean => true;

interface Named extends CapacityRequest {
  readonly name: string;
}

function request(
  name: string,
  {
    arrived = 0,
    objective = 252,
    deadline = 12_000,
    ...rest
  }: Partial<
    Omit<Named, 'team'> & {
      team: string;
      arrived: number;
      objective: number;
      deadline: number;
    }
  > = {},
): Named {
  const arrivedAt = at(arrived);
  const routePriority = rest.routePriority ?? 0;
  return {
    group: 'model',
    teamPriority: 0,
    routePriority,
    route: `route-${routePriority}`,
    cost: 1,
    ...rest,
    name,
    team: as<TeamName>(rest.team ?? 'a'),
    arrivedAt,
    objectiveAt: after(arrivedAt, objective),
    startBy: after(arrivedAt, deadline),
  };
}

/** Takes everything at one instant; names in order. */
function drain(queue: CapacityQueue<Named>, now: Instant): string[] {
  const names: string[] = [];
  for (;;) {
    const item = queue.take(now, all);
    if (item === undefined) return names;
    names.push(item.name);
  }
}

/** Has a team hold requests of which one leaves at each interval, so that the rate is known. */
function measure(
  queue: CapacityQueue<Named>,
  count: number,
  interval: number,
): Instant {
  for (let index = 0; index < count * 2; index += 1)
    queue.offer(request(`first-${index}`, {deadline: 600_000}), start);
  for (let index = 1; index <= count; index += 1)
    queue.take(at(index * interval), all);
  return at(count * interval);
}

/** Time until the return of a request that was refused. */
function returnIn(decision: HoldDecision, now: Instant): number {
  if (decision.kind === 'held') throw new Error('The request was held.');
  return until(now, decision.retryAt);
}

describe('CapacityQueue', () => {
  it('orders by the rank of the team, then of the route, then by the time left', () => {
    const queue = CapacityQueue.create<Named>();
    for (const one of [
      request('later', {arrived: 5}),
      request('other route', {routePriority: 1}),
      request('other rank', {teamPriority: 1, team: 'b', objective: 100}),
      request('first', {arrived: 1}),
    ])
      queue.offer(one, at(5));
    expect(drain(queue, at(6))).toEqual([
      'first',
      'later',
      'other route',
      'other rank',
    ]);
  });

  it('lets a request with time left yield to urgent ones, but not once its objective is at stake', () => {
    const patient = {objective: 5_002, deadline: 25_000, route: 'report'};
    const early = CapacityQueue.create<Named>();
    early.offer(request('report', patient), start);
    early.offer(request('chat', {arrived: 1_000}), at(1_000));
    expect(early.take(at(1_000), all)?.name).toEqual('chat');

    const late = CapacityQueue.create<Named>();
    late.offer(request('report', patient), start);
    late.offer(request('chat', {arrived: 4_900}), at(4_900));
    expect(late.take(at(4_900), all)?.name).toEqual('report');
  });

  it('serves a request that can still meet its objective before a late one of another team, which goes first shortly before its deadline', () => {
    const queue = CapacityQueue.create<Named>();
    queue.offer(request('late'), start);
    queue.offer(request('late too'), start);
    queue.offer(request('fresh', {team: 'b', arrived: 1_000}), at(1_000));
    expect(queue.take(at(1_000), all)?.name).toEqual('fresh');
    expect(queue.take(at(1_000), all)?.name).toEqual('late');
    queue.offer(request('fresh', {team: 'b', arrived: 10_000}), at(10_000));
    expect(queue.peek(at(10_000), all)?.name).toEqual('late too');
    expect(queue.take(at(10_000), all)?.name).toEqual('late too');
  });

  it('lets a less urgent kind yield no longer once its objective is at stake, if hardly anything is refused', () => {
    // Urgent requests always went first, so that in a burst of reports only these were late.
    const queue = CapacityQueue.create<Named>();
    const report = {objective: 5_002, deadline: 25_000, routePriority: 1};
    queue.offer(request('report', report), start);
    queue.offer(request('chat', {arrived: 3_500}), at(3_500));
    expect(queue.peek(at(3_700), all)?.name).toEqual('chat');
    queue.offer(request('chat', {arrived: 4_500}), at(4_500));
    expect(queue.peek(at(4_740), all, 'urgency')?.name).toEqual('chat');
    expect(queue.take(at(4_740), all)?.name).toEqual('report');
  });

  it('lets a less urgent kind yield that is served nearly as often, if requests are refused', () => {
    // The measured shares vary, and lookups were served 2.5 points less often than reports.
    const queue = CapacityQueue.create<Named>();
    const report = {objective: 5_002, deadline: 25_000, routePriority: 1};
    const serve = (one: Named, served: number): void => {
      for (let index = 0; index < served; index += 1)
        queue.recordUnheld(one, start);
      for (let index = served; index < 100; index += 1)
        queue.offer({...one, startBy: start}, start);
    };
    serve(request('chat'), 81);
    serve(request('report', report), 77);
    queue.offer(request('report', report), start);
    queue.offer(request('chat', {arrived: 4_600}), at(4_600));
    expect(queue.take(at(4_601), all)?.name).toEqual('chat');
  });

  it('serves teams of one rank in turn when one of them holds many requests', () => {
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 100; index += 1)
      queue.offer(request('many', {team: 'many', cost: 10}), start);
    for (let index = 0; index < 4; index += 1)
      queue.offer(request('few', {team: 'few', arrived: 1, cost: 10}), at(1));
    // A team may be ahead by 16 requests.
    const names = drain(queue, at(2)).slice(0, 24);
    expect(names.filter(name => name === 'few').length).toEqual(4);
  });

  it('counts the cost of requests, not their number', () => {
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 40; index += 1) {
      queue.offer(request('large', {team: 'large', cost: 4}), start);
      queue.offer(request('small', {team: 'small', cost: 1}), start);
    }
    const names = drain(queue, at(1)).slice(0, 40);
    const large = names.filter(name => name === 'large').length;
    expect(large).toBeGreaterThanOrEqual(6);
    expect(large).toBeLessThanOrEqual(10);
  });

  it('counts requests without a team as one team', () => {
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 100; index += 1)
      queue.offer({...request('none'), team: undefined}, start);
    for (let index = 0; index < 4; index += 1)
      queue.offer(request('team', {arrived: 1}), at(1));
    const names = drain(queue, at(2)).slice(0, 24);
    expect(names.filter(name => name === 'team').length).toEqual(4);
  });

  it('serves a team of a lower rank that was served far less often than all', () => {
    const queue = CapacityQueue.create<Named>();
    const low = {team: 'low', teamPriority: 1};
    for (let index = 0; index < 20; index += 1) {
      queue.recordUnheld(request('high', {team: 'high'}), start);
      queue.offer(request('low', {...low, deadline: 100}), start);
    }
    queue.takeExpired(at(100));
    queue.offer(request('low', {...low, arrived: 100}), at(100));
    queue.offer(request('high', {team: 'high', arrived: 100}), at(100));
    expect(queue.take(at(101), all)?.name).toEqual('high');
    queue.offer(request('high', {team: 'high', arrived: 400}), at(400));
    expect(queue.take(at(400), all)?.name).toEqual('low');
  });

  it('takes only requests whose group has room', () => {
    const queue = CapacityQueue.create<Named>();
    queue.offer(request('full', {group: 'full'}), start);
    queue.offer(request('free', {group: 'free', routePriority: 1}), start);
    const hasRoom = (group: string): boolean => group === 'free';
    expect(queue.take(at(1), hasRoom)?.name).toEqual('free');
    expect(queue.take(at(1), hasRoom)).toEqual(undefined);
    expect(queue.sizeOf('full')).toEqual(1);
  });

  it('refuses at once what cannot start before its deadline, and spreads the returns', () => {
    const queue = CapacityQueue.create<Named>();
    // 20 requests wait, and one leaves each 100 ms.
    const now = measure(queue, 20, 100);
    const arrived = now - start;
    const returns = [0, 1, 2].map(() => {
      const decision = queue.offer(
        request('short', {arrived, deadline: 1_000}),
        now,
      );
      return decision.kind === 'refused' ? decision.retryAt - now : 0;
    });
    const [first = 0, second = 0, third = 0] = returns;
    expect(first).toBeGreaterThan(1_000);
    expect(second - first).toBeGreaterThan(80);
    expect(third - second).toBeGreaterThan(80);
    const long = request('long', {arrived, deadline: 6_000});
    expect(queue.offer(long, now).kind).toEqual('held');
  });

  it('refuses nothing before a rate has been measured', () => {
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 50; index += 1)
      expect(queue.offer(request('one'), start).kind).toEqual('held');
  });

  it('discards the rate of a backlog that ended long ago', () => {
    const queue = CapacityQueue.create<Named>();
    measure(queue, 20, 100);
    drain(queue, at(3_000));
    const later = {arrived: 60_000, deadline: 100};
    expect(queue.offer(request('later', later), at(60_000)).kind).toEqual(
      'held',
    );
  });

  it('keeps the queue short once requests have missed their objective for long', () => {
    const queue = CapacityQueue.create<Named>();
    let now = measure(queue, 20, 100);
    let refused = 0;
    // Twice the rate at which requests leave, for longer than a third of the deadline.
    for (let index = 0; index < 120; index += 1) {
      now = after(now, 50);
      const arrived = now - start;
      if (queue.offer(request('one', {arrived}), now).kind === 'refused')
        refused += 1;
      if (index % 2 === 0) queue.take(now, all);
    }
    expect(refused).toBeGreaterThan(20);
  });

  it('returns what has waited in vain, and forgets what was removed', () => {
    const queue = CapacityQueue.create<Named>();
    const gone = request('gone');
    queue.offer(gone, start);
    queue.offer(request('short', {deadline: 100}), start);
    expect(queue.remove(gone, at(1))).toEqual(true);
    expect(queue.remove(gone, at(1))).toEqual(false);
    const expired = queue.takeExpired(at(100));
    expect(expired.map(({item}) => item.name)).toEqual(['short']);
    expect(expired.every(({retryAt}) => retryAt > at(100))).toEqual(true);
    expect(queue.size).toEqual(0);
  });

  it('holds a bounded number of requests', () => {
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < MAXIMUM_HELD_REQUESTS; index += 1)
      queue.offer(request('one'), start);
    expect(queue.offer(request('one'), start).kind).toEqual('refused');
    expect(queue.size).toEqual(MAXIMUM_HELD_REQUESTS);
  });

  it('returns a route without recent requests at a finite time, within the horizon', () => {
    // 0 / 0 gave a wait of NaN, which then stayed in every return time of the team.
    const queue = CapacityQueue.create<Named>();
    const now = measure(queue, 8, 400);
    const idle = {arrived: 3_200, route: 'idle'};
    expect(queue.offer(request('idle', idle), now)).toEqual({kind: 'held'});
    const refused = queue.offer(request('late', {...idle, deadline: 1}), now);
    expect(returnIn(refused, now)).toBeGreaterThanOrEqual(100);
    expect(returnIn(refused, now)).toBeLessThanOrEqual(30_000);
  });

  it('caps the return of a route that was idle for long at the horizon', () => {
    // The decayed amount offered by the route gave a return years away.
    const queue = CapacityQueue.create<Named>();
    queue.recordUnheld(request('before', {route: 'idle'}), at(-600_000));
    const now = measure(queue, 8, 400);
    const idle = {arrived: 3_200, route: 'idle'};
    queue.offer(request('idle', idle), now);
    for (let index = 0; index < 3; index += 1) {
      const decision = queue.offer(
        request('late', {...idle, deadline: 1}),
        now,
      );
      expect(returnIn(decision, now)).toBeLessThanOrEqual(30_000);
    }
  });

  it('refuses nothing by a wait that is not a finite number', () => {
    // A cost that overflowed made each wait NaN, so that each request was refused.
    const queue = CapacityQueue.create<Named>();
    queue.recordUnheld(request('overflow', {cost: Infinity}), start);
    const now = measure(queue, 8, 400);
    const decision = queue.offer(request('next', {arrived: 3_200}), now);
    expect(decision).toEqual({kind: 'held'});
  });
});

/** Requests of teams that have time left, so that their teams take turns. */
const FAR_LIMITS = {objective: 1e7, deadline: 2e7};

/** Teams of the first requests that are taken of one group. */
function takeTeams(
  queue: CapacityQueue<Named>,
  now: Instant,
  count: number,
  group = 'model',
): string[] {
  const teams: string[] = [];
  while (teams.length < count) {
    const item = queue.take(now, other => other === group);
    if (item === undefined) break;
    teams.push(item.team ?? '');
  }
  return teams;
}

/** Number of a team's requests among those taken. */
const countOf = (teams: readonly string[], team: string): number =>
  teams.filter(other => other === team).length;

describe('shares of teams that are not known yet', () => {
  const title =
    'serves a team alike that was sent a request before the usual loads were known';
  for (const [group, name] of [
    ['rare', title],
    ['model', `${title}, at the same model`],
  ] as const) {
    it(name, () => {
      // The weights of that time were in another unit, which put the team far behind.
      const queue = CapacityQueue.create<Named>();
      const cost = 1_000;
      queue.offer(request('early', {cost, group}), start);
      queue.take(at(500), all);
      for (let second = 1; second <= 600; second += 1) {
        for (const team of ['a', 'b', 'c'])
          queue.recordUnheld(
            request('usual', {team, cost}),
            at(second * 1_000),
          );
      }
      const arrived = 600_000;
      const far = {arrived, cost, ...FAR_LIMITS};
      for (let index = 0; index < 100; index += 1) {
        for (const team of ['b', 'c', 'a'])
          queue.offer(request(team, {...far, team}), at(arrived));
      }
      const names = drain(queue, at(arrived)).slice(0, 150);
      const count = names.filter(name => name === 'a').length;
      expect(count).toBeGreaterThanOrEqual(33);
      expect(count).toBeLessThanOrEqual(67);
    });
  }

  it('serves teams alike that held requests while the usual loads became known', () => {
    // Leads of the time before were kept in a unit that counted a thousand times as much.
    const queue = CapacityQueue.create<Named>();
    const cost = 1_000;
    for (let index = 0; index < 200; index += 1) {
      for (const team of ['a', 'b', 'c'])
        queue.offer(request(team, {...FAR_LIMITS, team, cost}), start);
    }
    takeTeams(queue, at(1), 10);
    for (let second = 1; second <= 600; second += 1) {
      for (const team of ['a', 'b', 'c'])
        queue.recordUnheld(
          request('usual', {team, cost, group: 'other'}),
          at(second * 1_000),
        );
    }
    const teams = takeTeams(queue, at(600_001), 150);
    for (const team of ['a', 'b', 'c']) {
      expect(countOf(teams, team)).toBeGreaterThanOrEqual(33);
      expect(countOf(teams, team)).toBeLessThanOrEqual(67);
    }
  });

  it('takes turns also if the usual requests cost nothing, or no finite amount', () => {
    // 0 / 0 and Infinity / Infinity gave weights of NaN, by which no team goes before another.
    for (const cost of [0, Infinity]) {
      const queue = CapacityQueue.create<Named>();
      for (let index = 0; index < 10; index += 1)
        queue.recordUnheld(request('usual', {team: 'a', cost}), start);
      for (const team of ['a', 'b']) {
        for (let index = 0; index < 100; index += 1)
          queue.offer(request(team, {...FAR_LIMITS, team}), start);
      }
      const teams = takeTeams(queue, at(1), 100);
      expect(countOf(teams, 'b')).toBeGreaterThanOrEqual(33);
      expect(countOf(teams, 'b')).toBeLessThanOrEqual(67);
    }
  });
});

describe('turns of teams in several groups and ranks', () => {
  it('serves a team alike that is also served at another model', () => {
    // One virtual time for all models put the team behind by all that it was served elsewhere.
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 200; index += 1) {
      queue.offer(request('a', {...FAR_LIMITS, group: 'other'}), start);
      for (const team of ['b', 'a'])
        queue.offer(request(team, {...FAR_LIMITS, team}), start);
    }
    expect(takeTeams(queue, at(1), 200, 'other').length).toEqual(200);
    const teams = takeTeams(queue, at(2), 100);
    expect(countOf(teams, 'a')).toBeGreaterThanOrEqual(33);
    expect(countOf(teams, 'a')).toBeLessThanOrEqual(67);
  });

  it('serves a team alike that begins to wait after the others were served at another model', () => {
    // The start of a team followed what was chosen last, at whichever model.
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 200; index += 1) {
      queue.offer(request('b', {...FAR_LIMITS, team: 'b'}), start);
      for (const team of ['c', 'd'])
        queue.offer(
          request(team, {...FAR_LIMITS, team, group: 'other'}),
          start,
        );
    }
    takeTeams(queue, at(1), 400, 'other');
    for (let index = 0; index < 200; index += 1)
      queue.offer(request('a', {...FAR_LIMITS, arrived: 2}), at(2));
    const teams = takeTeams(queue, at(3), 100);
    expect(countOf(teams, 'a')).toBeGreaterThanOrEqual(33);
    expect(countOf(teams, 'a')).toBeLessThanOrEqual(67);
  });

  it('serves a team alike that is also served in a more urgent rank', () => {
    // The rank of a team changes with the configuration while its requests wait.
    const queue = CapacityQueue.create<Named>();
    for (let index = 0; index < 200; index += 1) {
      queue.offer(request('a', FAR_LIMITS), start);
      for (const team of ['b', 'a'])
        queue.offer(
          request(team, {...FAR_LIMITS, team, teamPriority: 1}),
          start,
        );
    }
    takeTeams(queue, at(1), 200);
    const teams = takeTeams(queue, at(2), 100);
    expect(countOf(teams, 'a')).toBeGreaterThanOrEqual(33);
    expect(countOf(teams, 'a')).toBeLessThanOrEqual(67);
  });

  it('gives a team its turn again after a request whose cost is not finite', () => {
    // Its virtual time stayed infinite for good.
    const queue = CapacityQueue.create<Named>();
    queue.offer(request('a', {...FAR_LIMITS, cost: Infinity}), start);
    for (let index = 0; index < 200; index += 1) {
      for (const team of ['b', 'a'])
        queue.offer(request(team, {...FAR_LIMITS, team}), start);
    }
    const teams = takeTeams(queue, at(1), 101);
    expect(countOf(teams, 'a')).toBeGreaterThanOrEqual(33);
    expect(countOf(teams, 'a')).toBeLessThanOrEqual(67);
  });

  it('lets all teams begin alike once a group held nothing', () => {
    // A lead that was kept without contention put the team behind in the next one.
    const queue = CapacityQueue.create<Named>();
    const urgent = {objective: 1, deadline: 1e7};
    queue.offer(request('b', {...FAR_LIMITS, team: 'b'}), start);
    for (let index = 0; index < 15; index += 1)
      queue.offer(request('a', urgent), start);
    expect(takeTeams(queue, at(2), 16).length).toEqual(16);
    for (const team of ['b', 'a']) {
      for (let index = 0; index < 20; index += 1)
        queue.offer(request(team, {...urgent, team, arrived: 3}), at(3));
    }
    const teams = takeTeams(queue, at(20), 4);
    expect(countOf(teams, 'a')).toEqual(2);
  });

  it('gives a team no credit for the time in which it held nothing', () => {
    const queue = CapacityQueue.create<Named>();
    for (const team of ['b', 'c']) {
      for (let index = 0; index < 300; index += 1)
        queue.offer(request(team, {...FAR_LIMITS, team}), start);
    }
    takeTeams(queue, at(1), 400);
    for (let index = 0; index < 200; index += 1)
      queue.offer(request('a', {...FAR_LIMITS, arrived: 2}), at(2));
    const teams = takeTeams(queue, at(3), 150);
    expect(countOf(teams, 'a')).toBeLessThanOrEqual(67);
    expect(countOf(teams, 'a')).toBeGreaterThanOrEqual(33);
  });
});
