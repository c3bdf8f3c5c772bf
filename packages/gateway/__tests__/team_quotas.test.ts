import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {QuotaDecision} from '@siskinmux/admission';
import type {Instant} from '@siskinmux/kernel';
import {ErrorCode, Outcome, as, until} from '@siskinmux/kernel';
import {heartbeatSchema} from '../src/placement_messages.js';
import {
  decodeTeamChanges,
  decodeTeamPermitDecision,
  decodeTeamStatement,
  encodeTeamPermitDecision,
  encodeTeamPermitRequest,
  encodeTeamStates,
  encodeTeamStatement,
  teamPermitRequestSchema,
  teamStatesSchema,
  teamUsageSchema,
} from '../src/team_quota_messages.js';
import type {TeamUsageMessage} from '../src/team_quota_messages.js';
import type {TeamQuotaExchange} from '../src/team_quotas.js';
import {requestCost} from '../src/team_quotas.js';
import {
  QUOTA,
  QuotaTestCluster,
  TEAM,
  configurationOf,
  isDecided,
} from './team_quota_cluster.js';

const HEARTBEAT = {nodes: 2, reachesStore: true};
const NO_QUOTA = {...QUOTA, perSecond: 0};

/** A lease holder that is answered by the test. */
class ManualExchange implements TeamQuotaExchange {
  readonly usage: TeamUsageMessage[] = [];
  readonly answers: ((decision: QuotaDecision) => void)[] = [];

  reportTeamUsage(usage: TeamUsageMessage): void {
    this.usage.push(usage);
  }

  requestTeamPermit(): Promise<QuotaDecision> {
    return new Promise(resolve => this.answers.push(resolve));
  }
}

function heartbeat(free: number, report = 0) {
  const changes = [{team: TEAM, free, share: 0.5}];
  return heartbeatSchema.parse({
    ...HEARTBEAT,
    teams: encodeTeamStates(report, changes),
  });
}

describe('team quotas over connections', () => {
  // Guards against a quota that each node grants by itself.
  it('are shared by the lease holder and its followers', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const nodes = [holder.node];
    for (let count = 0; count < 3; count += 1) {
      const node = cluster.createNode();
      await cluster.follow(node, holder);
      nodes.push(node);
    }
    await cluster.advance(3_000);
    const requests = Array.from({length: 60}, (_, index) =>
      cluster.request(nodes[index % nodes.length]!, 1_000),
    );
    await cluster.advanceUntil(() => requests.every(isDecided));
    const admitted = requests.filter(({isAdmitted}) => isAdmitted).length;
    // The burst, what accumulates in the wait of a quarter of a second, and the free amounts.
    expect(admitted).toBeGreaterThanOrEqual(10);
    expect(admitted).toBeLessThanOrEqual(10 + 3 + 11);
    const refused = requests.flatMap(({refusal}) =>
      refusal === undefined ? [] : [refusal],
    );
    for (const {code, outcome} of refused)
      expect([code, outcome]).toEqual([
        ErrorCode.QuotaExceeded,
        Outcome.NotRun,
      ]);
    // Returns begin anew after 4 s, which is 40 of the 100 ms that a request takes.
    const returns = new Map<number, number>();
    for (const {retryAt = 0} of refused) {
      const at = Math.round(retryAt / 10);
      returns.set(at, (returns.get(at) ?? 0) + 1);
    }
    expect(Math.max(...returns.values())).toBeLessThanOrEqual(2);
  });

  // Guards against a standing queue that makes all requests of a team late while it sends too much.
  it('let requests wait for their turn for the time that they allow, and refuse the others', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const node = cluster.createNode();
    await cluster.follow(node, holder);
    await cluster.advance(3_000);
    const waits = [];
    // Twice what the quota allows.
    for (let count = 0; count < 60; count += 1) {
      await cluster.advance(50);
      const startedAt = cluster.clock.now();
      const pending = cluster.request(node, 1_000, 10_000, 30);
      const at = await cluster.advanceUntil(() => isDecided(pending));
      if (pending.isAdmitted) waits.push(until(startedAt, at));
    }
    expect(waits.length).toBeGreaterThan(10);
    expect(waits.length).toBeLessThan(60);
    expect(Math.max(...waits)).toBeLessThanOrEqual(30 + 10);
  });

  // Guards against reports that are lost, sent without need, or counted twice.
  it('count what a node admits by itself once it has reported it', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const follower = cluster.createNode();
    await cluster.follow(follower, holder);
    await cluster.advance(3_000);
    const request = cluster.request(follower, 1_000);
    await cluster.advance(1);
    expect(request.isAdmitted).toEqual(true);
    expect(follower.outcomes).toEqual(['admitted']);
    // The report is sent at once; 300 have accumulated by then.
    await cluster.advance(30);
    const rest = cluster.request(holder.node, 9_990);
    await cluster.advance(5);
    expect(isDecided(rest)).toEqual(false);
    await cluster.advanceUntil(() => isDecided(rest));
    expect(rest.isAdmitted).toEqual(true);
  });

  // Guards against refusals and unbounded admission while no holder is known.
  it('admit at a share after the holder is lost, and wait for the next one', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const follower = cluster.createNode();
    const heir = cluster.createNode();
    await cluster.follow(follower, holder);
    await cluster.follow(heir, holder);
    await cluster.advance(3_000);
    holder.kill();
    await cluster.advance(5);
    const requests = Array.from({length: 20}, () =>
      cluster.request(follower, 2_000),
    );
    await cluster.advance(200);
    const admitted = requests.filter(({isAdmitted}) => isAdmitted).length;
    expect(admitted).toBeLessThanOrEqual(5);
    expect(requests.some(request => !isDecided(request))).toEqual(true);
    const next = await cluster.startHolder(heir);
    await cluster.follow(follower, next);
    await cluster.advanceUntil(() => requests.every(isDecided));
    expect(follower.outcomes).toInclude('asked');
  });

  // Guards against a holder that takes over and grants once more what was used up.
  it('take the last window of the nodes over to the next holder', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const follower = cluster.createNode();
    await cluster.follow(follower, holder);
    await cluster.advance(3_000);
    const before = cluster.request(follower, 10_000);
    await cluster.advanceUntil(() => isDecided(before));
    expect(before.isAdmitted).toEqual(true);
    holder.kill();
    await cluster.advance(50);
    const next = await cluster.startHolder(cluster.createNode());
    await cluster.follow(follower, next);
    const after = cluster.request(follower, 10_000);
    await cluster.advanceUntil(() => isDecided(after));
    expect(after.isAdmitted).toEqual(false);
  });

  // Guards against a grant that is lost for good when its request has ended.
  it('give back the grant of a request that has ended', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const follower = cluster.createNode();
    await cluster.follow(follower, holder);
    await cluster.advance(3_000);
    const first = cluster.request(holder.node, 6_000);
    const ended = cluster.request(follower, 5_000);
    await cluster.advance(20);
    ended.abort();
    // Its turn comes when 1,000 have accumulated.
    await cluster.advance(180);
    expect([first.isAdmitted, ended.isAdmitted]).toEqual([true, false]);
    const next = cluster.request(holder.node, 5_000);
    await cluster.advance(5);
    expect(next.isAdmitted).toEqual(true);
  });
});

describe('a node with team quotas', () => {
  // Guards against admission on a guess while the lease holder is about to be found.
  it('waits for its first lease holder, for half of the remaining time at most', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const start = cluster.clock.now();
    const short = cluster.request(node, 1_000, 600);
    const long = cluster.request(node, 1_000);
    const shortAt = await cluster.advanceUntil(() => isDecided(short));
    const longAt = await cluster.advanceUntil(() => isDecided(long));
    expect([until(start, shortAt), until(start, longAt)]).toEqual([300, 1_000]);
  });

  it('asks a holder that it hears meanwhile', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    const request = cluster.request(node, 1_000);
    await cluster.advance(100);
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat(heartbeat(0));
    await cluster.advance(1);
    exchange.answers[0]?.({kind: 'granted'});
    await cluster.advance(1);
    expect(request.isAdmitted).toEqual(true);
  });

  // Guards against requests that hang with a frozen holder, and grants counted twice.
  it('decides by itself when the holder does not respond, and gives back the late grant', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat(heartbeat(5_000));
    const request = cluster.request(node, 6_000);
    await cluster.advance(549);
    expect(isDecided(request)).toEqual(false);
    await cluster.advanceUntil(() => isDecided(request));
    expect(request.isAdmitted).toEqual(true);
    exchange.answers[0]?.({kind: 'granted'});
    await cluster.advance(100);
    // The statement, the request that the node admitted, and the grant that it returned.
    const totals = exchange.usage.map(({teams}) => teams[0]?.[1]);
    expect(totals.at(-1)).toEqual(0);
    // Another request is not held up.
    const next = cluster.request(node, 9_000, 100);
    await cluster.advance(60);
    expect(isDecided(next)).toEqual(true);
  });

  // Guards against quota taken for a caller that has given up, and a holder lost to short deadlines.
  it('ends the wait for an answer at the deadline, and keeps its holder', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat(heartbeat(5_000));
    const start = cluster.clock.now();
    const request = cluster.request(node, 6_000, 100);
    const endedAt = await cluster.advanceUntil(() => isDecided(request));
    expect(until(start, endedAt)).toEqual(100);
    expect([request.refusal?.code, request.refusal?.outcome]).toEqual([
      ErrorCode.DeadlinePassed,
      Outcome.NotRun,
    ]);
    expect(node.events).toEqual([]);
    const late = cluster.request(node, 1_000, 0);
    cluster.request(node, 6_000);
    await cluster.advance(1);
    expect(late.refusal?.code).toEqual(ErrorCode.DeadlinePassed);
    expect(node.outcomes).toEqual(['asked', 'asked']);
  });

  // Guards against a new holder that is passed over because the one before it answers late.
  it('keeps its holder when an earlier one answers that it no longer decides', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const [before, current] = [new ManualExchange(), new ManualExchange()];
    node.quotas.setExchange(before);
    node.quotas.applyHeartbeat(heartbeat(0));
    const request = cluster.request(node, 1_000);
    await cluster.advance(1);
    node.quotas.setExchange(current);
    node.quotas.applyHeartbeat(heartbeat(0));
    before.answers[0]?.({kind: 'unowned', retryAt: cluster.clock.now()});
    await cluster.advance(1);
    expect(current.answers.length).toEqual(1);
    current.answers[0]?.({kind: 'granted'});
    await cluster.advance(1);
    expect(request.isAdmitted).toEqual(true);
  });

  // Guards against a team that gets a credit for a negative amount, or loses the holder for all teams.
  it('takes a finite, positive amount for any request', async context => {
    const cluster = QuotaTestCluster.create(context);
    const holder = await cluster.startHolder(cluster.createNode());
    const follower = cluster.createNode();
    await cluster.follow(follower, holder);
    await cluster.advance(3_000);
    for (const node of [holder.node, follower]) {
      const refused = cluster.request(node, Infinity);
      const negative = cluster.request(node, -1_000_000);
      await cluster.advanceUntil(() => [refused, negative].every(isDecided));
      expect(Number.isFinite(refused.refusal?.retryAt)).toEqual(true);
      expect(negative.isAdmitted).toEqual(true);
      expect(node.events.includes('quota-unanswered')).toEqual(false);
    }
    const large = cluster.request(follower, 30_000);
    await cluster.advanceUntil(() => isDecided(large));
    expect(large.isAdmitted).toEqual(false);
  });

  // Guards against a cost for requests without a token count where the quota has none for them.
  it('admits a request that costs nothing without asking', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    node.quotas.setExchange(new ManualExchange());
    node.quotas.applyHeartbeat(heartbeat(0));
    const request = cluster.request(node, 0);
    await cluster.advance(1);
    expect(request.isAdmitted).toEqual(true);
    expect(node.outcomes).toEqual(['admitted']);
  });

  // Guards against messages of nodes that have nothing to say.
  it('sends no report when nothing was admitted, and at most one per interval', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat({...heartbeat(9_000), nodes: 50});
    await cluster.advance(1_000);
    expect(exchange.usage.length).toEqual(1);
    for (let count = 0; count < 40; count += 1) {
      cluster.request(node, 100);
      await cluster.advance(10);
    }
    await cluster.advance(200);
    // One at once, one after each 200 ms.
    expect(exchange.usage.length).toEqual(1 + 3);
    expect(exchange.usage.at(-1)?.teams).toEqual([[TEAM, 4_000]]);
  });

  // Guards against an upgrade in which the first nodes refuse most of their requests.
  it('admits an equal share under a holder of an earlier build', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    node.quotas.setExchange(new ManualExchange());
    let admitted = 0;
    for (let step = 0; step < 60; step += 1) {
      node.quotas.applyHeartbeat(heartbeatSchema.parse(HEARTBEAT));
      const request = cluster.request(node, 1_000, 20);
      await cluster.advance(300);
      if (request.isAdmitted) admitted += 1;
    }
    expect(admitted).toBeGreaterThanOrEqual(55);
  });

  // Guards against a node that never reports what it admitted before its holder knew of quotas.
  it('reports to a holder that comes to know quotas, and not before', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat(heartbeatSchema.parse(HEARTBEAT));
    await cluster.advance(300);
    const request = cluster.request(node, 1_000);
    await cluster.advance(300);
    expect(request.isAdmitted).toEqual(true);
    expect(exchange.usage.length).toEqual(1);
    node.quotas.applyHeartbeat(heartbeat(5_000));
    await cluster.advance(1);
    expect(exchange.usage.at(-1)?.teams).toEqual([[TEAM, 1_000]]);
  });

  // Guards against requests held up, or refused, on account of a quota that no longer exists.
  it('lets waiting requests go on when the quota of their team is removed', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const waiting = cluster.request(node, 1_000);
    await cluster.advance(1);
    node.quotas.applyConfiguration(configurationOf(NO_QUOTA));
    await cluster.advance(1);
    expect(waiting.isAdmitted).toEqual(true);
  });

  it('ignores a refusal that comes after the quota of its team was removed', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const exchange = new ManualExchange();
    node.quotas.setExchange(exchange);
    node.quotas.applyHeartbeat(heartbeat(0));
    const asked = cluster.request(node, 1_000);
    await cluster.advance(1);
    node.quotas.applyConfiguration(configurationOf(NO_QUOTA));
    const retryAt = cluster.clock.now();
    exchange.answers[0]?.({kind: 'refused', retryAt});
    await cluster.advance(1);
    expect([asked.isAdmitted, asked.refusal]).toEqual([true, undefined]);
  });

  // Guards against requests decided without a holder because of a new version of the configuration.
  it('lets requests wait on when a configuration keeps their quota', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode();
    const waiting = cluster.request(node, 1_000);
    await cluster.advance(1);
    node.quotas.applyConfiguration(configurationOf(QUOTA));
    await cluster.advance(500);
    expect(isDecided(waiting)).toEqual(false);
  });

  it('lets requests of teams without a quota pass', async context => {
    const cluster = QuotaTestCluster.create(context);
    const node = cluster.createNode(NO_QUOTA);
    const request = cluster.request(node, 1_000_000);
    await cluster.advance(1);
    expect(request.isAdmitted).toEqual(true);
    expect(node.outcomes).toEqual([]);
  });
});

describe('requestCost', () => {
  it('is one request, the stated tokens, or those of a request that states none', () => {
    const tokens = {promptTokens: 300, outputTokens: 40};
    const none = {promptTokens: 0, outputTokens: 0};
    expect(requestCost({...QUOTA, unit: 'requests'}, tokens)).toEqual(1);
    expect(requestCost(QUOTA, tokens)).toEqual(340);
    expect(requestCost(QUOTA, none)).toEqual(200);
  });
});

describe('messages about team quotas', () => {
  const now = as<Instant>(5_000);

  it('are read as they were written', () => {
    const statement = {
      report: 3,
      teams: [{team: TEAM, total: -5, share: 0.25, recent: [1, 2]}],
    };
    const written = teamUsageSchema.parse(
      JSON.parse(JSON.stringify(encodeTeamStatement(statement))),
    );
    expect(decodeTeamStatement(written)).toEqual(statement);
    const changes = [{team: TEAM, free: 900, share: 0.125}];
    const states = teamStatesSchema.parse(encodeTeamStates(7, changes));
    expect([states.report, decodeTeamChanges(states)]).toEqual([7, changes]);
    const decisions: QuotaDecision[] = [
      {kind: 'granted'},
      {kind: 'refused', retryAt: as<Instant>(5_400)},
      {kind: 'unowned', retryAt: now},
    ];
    for (const decision of decisions) {
      const message = encodeTeamPermitDecision(decision, now);
      expect(decodeTeamPermitDecision(message, now)).toEqual(decision);
    }
  });

  // Guards against a request that the holder can't read, for which the node would count it as lost.
  it('contain finite amounts that are not negative', () => {
    const sent = [Infinity, -Infinity, NaN, -5, 1e300, 340, 0].map(amount => {
      const request = {team: TEAM, amount, waitUntil: now};
      const message = encodeTeamPermitRequest(request, now);
      const read = JSON.parse(JSON.stringify(message)) as unknown;
      return teamPermitRequestSchema.parse(read).amount;
    });
    expect(sent).toEqual([1e9, 1, 1, 1, 1e9, 340, 0]);
  });

  // Guards against an upgrade that breaks the connections between builds.
  it('are missing from the heartbeat of an earlier build', () => {
    expect(heartbeatSchema.parse(HEARTBEAT).teams).toEqual(undefined);
    expect(decodeTeamPermitDecision({later: 1}, now)).toEqual(undefined);
  });
});
