import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, NodeId, TeamName} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import type {QuotaDecision, QuotaRate} from '../src/index.js';
import {TeamQuotaGate, TeamQuotaLedger} from '../src/index.js';

const RULES = {windowMilliseconds: 8_000, overage: 0.1, tolerance: 7_400};
const QUOTA: QuotaRate = {unit: 'tokens', perSecond: 10_000, burst: 10_000};
const TEAM = as<TeamName>('t');
const NODE = as<NodeId>('n1');
const OTHER = as<NodeId>('n2');
const START = as<Instant>(1_000_000);

function at(milliseconds: number): Instant {
  return after(START, milliseconds);
}

function createLedger(quota = QUOTA): TeamQuotaLedger {
  const ledger = TeamQuotaLedger.create(
    {rules: RULES, isExclusive: () => true, earlierNodeCount: undefined},
    START,
  );
  ledger.setQuotas(new Map([[TEAM, quota]]), START);
  ledger.addNode(NODE, [], 0, START);
  ledger.addNode(OTHER, [], 0, START);
  return ledger;
}

function createGate(): TeamQuotaGate {
  const gate = TeamQuotaGate.create({rules: RULES, random: () => 0.5}, START);
  gate.setQuotas(new Map([[TEAM, QUOTA]]), START);
  return gate;
}

/** Makes a request; returns its decisions, of which there is at most one. */
function request(
  ledger: TeamQuotaLedger,
  amount: number,
  now: Instant,
  waitMilliseconds = 0,
): QuotaDecision[] {
  const decisions: QuotaDecision[] = [];
  ledger.request(
    NODE,
    TEAM,
    amount,
    after(now, waitMilliseconds),
    decision => decisions.push(decision),
    now,
  );
  return decisions;
}

describe('TeamQuotaLedger', () => {
  it('starts empty, so that a holder that takes over gives out no second burst', () => {
    expect(createLedger().available(TEAM, START)).toEqual(0);
  });

  it('refuses with successive times at which the bucket has refilled', () => {
    const ledger = createLedger();
    const retries = [1, 2, 3].map(() => {
      const [decision] = request(ledger, 1_000, START);
      return decision?.kind === 'refused' ? until(START, decision.retryAt) : 0;
    });
    expect(retries).toEqual([100, 200, 300]);
    expect(request(ledger, 1_000, at(100))).toEqual([{kind: 'granted'}]);
  });

  it('lets a request wait whose turn comes in time, in order of arrival', () => {
    const ledger = createLedger();
    const first = request(ledger, 1_000, START, 250);
    const second = request(ledger, 1_000, START, 250);
    expect(ledger.nextAdvanceAt(TEAM, START)).toEqual(at(100));
    ledger.advance(at(100));
    expect([first.length, second.length]).toEqual([1, 0]);
    ledger.advance(at(200));
    expect(second).toEqual([{kind: 'granted'}]);
  });

  // Guards against a request that waits without end behind the debt that others' reports cause.
  it('refuses a waiting request at the end of its wait if its turn moves', () => {
    const ledger = createLedger();
    const first = request(ledger, 1_000, START, 150);
    const second = request(ledger, 1_000, START, 250);
    ledger.recordAdmitted(OTHER, [{team: TEAM, total: 3_000}], 1, at(10));
    expect(ledger.nextAdvanceAt(TEAM, at(10))).toEqual(at(150));
    ledger.advance(at(149));
    expect([first.length, second.length]).toEqual([0, 0]);
    ledger.advance(at(150));
    // The debt ends at 300 ms, and a request takes 100 ms.
    expect(first).toEqual([{kind: 'refused', retryAt: at(400)}]);
    expect(second).toEqual([{kind: 'refused', retryAt: at(500)}]);
    expect(ledger.nextAdvanceAt(TEAM, at(150))).toEqual(undefined);
  });

  // Guards against a wait that lasts until the request before it is granted.
  it('ends a wait that is shorter than the one before it', () => {
    const ledger = createLedger();
    const first = request(ledger, 1_000, START, 1_000);
    const second = request(ledger, 500, START, 200);
    ledger.recordAdmitted(OTHER, [{team: TEAM, total: 3_000}], 1, at(10));
    expect(ledger.nextAdvanceAt(TEAM, at(10))).toEqual(at(200));
    ledger.advance(at(200));
    expect([first.length, second[0]?.kind]).toEqual([0, 'refused']);
    ledger.advance(at(400));
    expect(first).toEqual([{kind: 'granted'}]);
  });

  // Guards against requests that were let wait at a rate that no longer applies.
  it('refuses waiting requests whose turn a lower quota moves too far', () => {
    const ledger = createLedger();
    const first = request(ledger, 100, START, 250);
    const second = request(ledger, 1_000, START, 250);
    const lower = {...QUOTA, perSecond: 1_000, burst: 1_000};
    ledger.setQuotas(new Map([[TEAM, lower]]), START);
    expect([first.length, second[0]?.kind]).toEqual([0, 'refused']);
    ledger.advance(at(100));
    expect(first).toEqual([{kind: 'granted'}]);
  });

  it('goes into debt by what nodes admitted before they reported, and meters the team', () => {
    const ledger = createLedger();
    ledger.update(at(2_500));
    ledger.update(at(3_600));
    expect(ledger.meteredTeams).toEqual([]);
    ledger.recordAdmitted(NODE, [{team: TEAM, total: 12_000}], 1, at(3_600));
    expect(ledger.available(TEAM, at(3_600))).toEqual(-2_000);
    expect(ledger.meteredTeams).toEqual([TEAM]);
    expect(ledger.lastReportOf(NODE)).toEqual(1);
  });

  it('counts a report once that arrives over two connections', () => {
    const ledger = createLedger();
    ledger.recordAdmitted(NODE, [{team: TEAM, total: 500}], 1, START);
    ledger.loseNode(NODE, START, START);
    const statement = {team: TEAM, total: 700, share: 0, recent: [700]};
    ledger.addNode(NODE, [statement], 2, START);
    expect(ledger.available(TEAM, START)).toEqual(-700);
  });

  // Guards against a node that resets its total and gives the team a credit for it.
  it('takes no more back than what it has granted', () => {
    const ledger = createLedger();
    ledger.recordAdmitted(NODE, [{team: TEAM, total: 9_000}], 1, at(500));
    expect(ledger.available(TEAM, at(500))).toEqual(-4_000);
    ledger.recordAdmitted(NODE, [{team: TEAM, total: 100}], 2, at(500));
    expect(ledger.available(TEAM, at(500))).toEqual(-4_000);
    expect(request(ledger, 1_000, at(1_000))).toEqual([{kind: 'granted'}]);
    ledger.recordAdmitted(NODE, [{team: TEAM, total: -5_000}], 3, at(1_000));
    expect(ledger.available(TEAM, at(1_000))).toEqual(1_000);
    ledger.recordAdmitted(NODE, [{team: TEAM, total: -6_000}], 4, at(1_000));
    expect(ledger.available(TEAM, at(1_000))).toEqual(1_000);
  });

  it('starts from the debt that nodes state to a holder that takes over', () => {
    const ledger = createLedger();
    const recent = [0, 60_000, 50_000, 0, 0, 0, 0, 0];
    const statement = {team: TEAM, total: 0, share: 0, recent};
    ledger.addNode(as<NodeId>('n3'), [statement], 1, START);
    // A burst and three eighths of the window are 40,000.
    expect(ledger.available(TEAM, START)).toEqual(-70_000);
  });

  it('keeps the share of a lost node, less and less within one window', () => {
    const ledger = createLedger();
    ledger.recordAdmitted(NODE, [{team: TEAM, total: 1_000}], 1, START);
    ledger.update(START);
    ledger.loseNode(NODE, START, START);
    const levelAt = (milliseconds: number): number => {
      for (let time = 0; time < milliseconds; time += 100)
        ledger.update(at(time));
      return Math.round((ledger.available(TEAM, at(milliseconds)) ?? 0) / 100);
    };
    // The node had all of the load, so next to nothing accumulates at first.
    expect(levelAt(1_000)).toEqual(-4);
  });

  it('grants more than a burst from a bucket that is full', () => {
    const ledger = createLedger();
    expect(request(ledger, 12_000, at(500))[0]?.kind).toEqual('refused');
    ledger.update(at(2_000));
    expect(request(ledger, 12_000, at(2_000))).toEqual([{kind: 'granted'}]);
  });

  it('admits those who wait for a team whose quota ends', () => {
    const ledger = createLedger();
    const waiting = request(ledger, 1_000, START, 250);
    ledger.setQuotas(new Map(), START);
    expect(waiting).toEqual([{kind: 'granted'}]);
  });

  it('tells those who wait that another node decides', () => {
    const ledger = createLedger();
    const waiting = request(ledger, 1_000, START, 250);
    ledger.stop(START);
    expect(waiting).toEqual([{kind: 'unowned', retryAt: START}]);
  });
});

describe('TeamQuotaGate', () => {
  const state = (free: number, report = 0, share = 0.5) => ({
    nodeCount: 2,
    report,
    changes: [{team: TEAM, free, share}],
  });

  it('admits what it is free to, until a heartbeat includes its report', () => {
    const gate = createGate();
    gate.applyState(state(1_500), START);
    expect(gate.decide(TEAM, 1_000, START).kind).toEqual('admitted');
    expect(gate.decide(TEAM, 1_000, START).kind).toEqual('ask');
    const report = gate.takeReport();
    expect(report?.teams).toEqual([{team: TEAM, total: 1_000}]);
    expect(gate.decide(TEAM, 1_000, START).kind).toEqual('ask');
    gate.applyState({nodeCount: 2, report: 1, changes: []}, START);
    expect(gate.decide(TEAM, 1_000, START).kind).toEqual('admitted');
  });

  it('reports nothing when nothing was admitted', () => {
    const gate = createGate();
    gate.applyState(state(1_500), START);
    gate.recordGranted(TEAM, 100, START);
    expect(gate.takeReport()).toEqual(undefined);
  });

  it('gives back a grant whose request has ended, once', () => {
    const gate = createGate();
    const ledger = createLedger();
    gate.applyState(state(0), START);
    expect(request(ledger, 1_000, at(500))).toEqual([{kind: 'granted'}]);
    expect(ledger.available(TEAM, at(500))).toEqual(4_000);
    gate.recordUnused(TEAM, 1_000);
    const {report = 0, teams = []} = gate.takeReport() ?? {};
    ledger.recordAdmitted(NODE, teams, report, at(500));
    expect(ledger.available(TEAM, at(500))).toEqual(5_000);
    expect(gate.takeReport()).toEqual(undefined);
  });

  // Guards against memory that grows, and messages without effect, under a holder of an earlier build.
  it('sends no reports to a holder that knows no quotas, and all of it to one that does', () => {
    const gate = createGate();
    gate.takeStatement(START);
    gate.followHolderWithoutQuotas(2, START);
    for (let time = 1_000; time < 5_000; time += 100) {
      gate.decide(TEAM, 100, at(time));
      expect(gate.takeReport()).toEqual(undefined);
      gate.followHolderWithoutQuotas(2, at(time));
    }
    gate.applyState(state(5_000, 1), at(5_000));
    const {report = 0, teams = []} = gate.takeReport() ?? {};
    expect(teams).toEqual([{team: TEAM, total: 4_000}]);
    expect(gate.decide(TEAM, 5_000, at(5_000)).kind).toEqual('ask');
    gate.applyState({nodeCount: 2, report, changes: []}, at(5_000));
    expect(gate.decide(TEAM, 5_000, at(5_000)).kind).toEqual('admitted');
  });

  // Guards against a total that is never known because it was reported before the holder knew quotas.
  it('reports again what it reported before its holder knew no quotas', () => {
    const gate = createGate();
    gate.applyState(state(5_000), START);
    gate.decide(TEAM, 1_000, START);
    expect(gate.takeReport()?.report).toEqual(1);
    gate.followHolderWithoutQuotas(2, START);
    gate.applyState(state(5_000), START);
    expect(gate.takeReport()?.teams).toEqual([{team: TEAM, total: 1_000}]);
  });

  // Guards against a credit from each node for a quota that is removed and put back.
  it('goes on from its total when a quota is removed and put back', () => {
    const gate = createGate();
    gate.applyState(state(5_000), START);
    gate.decide(TEAM, 1_000, START);
    gate.takeReport();
    gate.setQuotas(new Map(), START);
    const {teams} = gate.takeStatement(START);
    expect(teams).toEqual([{team: TEAM, total: 1_000, share: 0, recent: []}]);
    gate.setQuotas(new Map([[TEAM, QUOTA]]), START);
    expect(gate.takeReport()).toEqual(undefined);
    gate.applyState(state(500, 1), START);
    expect(gate.decide(TEAM, 500, START).kind).toEqual('admitted');
    expect(gate.takeReport()?.teams).toEqual([{team: TEAM, total: 1_500}]);
  });

  // Guards against memory that grows with each team that ever had a quota.
  it('forgets the oldest of many removed teams', () => {
    const gate = createGate();
    for (let index = 0; index < 300; index += 1) {
      const team = as<TeamName>(`t${index}`);
      gate.setQuotas(new Map([[team, QUOTA]]), START);
      const changes = [{team, free: 100, share: 0.5}];
      gate.applyState({nodeCount: 2, report: 0, changes}, START);
      gate.decide(team, 1, START);
    }
    gate.setQuotas(new Map(), START);
    const {teams} = gate.takeStatement(START);
    expect([teams.length, teams[0]?.team, teams.at(-1)?.team]).toEqual([
      256,
      as<TeamName>('t44'),
      as<TeamName>('t299'),
    ]);
  });

  it('admits at its share without a holder, and less and less', () => {
    const gate = createGate();
    gate.applyState(state(0, 0, 1), START);
    gate.loseHolder(START);
    let admitted = 0;
    for (let time = 0; time < 16_000; time += 20) {
      if (gate.decide(TEAM, 100, at(time)).kind === 'admitted') admitted += 100;
    }
    // Half of a window at the full rate, and the minimum of a twentieth after it.
    expect(admitted).toBeGreaterThan(35_000);
    expect(admitted).toBeLessThan(50_000);
  });

  // Guards against a level that saves up a window at a large share and adds the next one to it.
  it('keeps to the bound without a holder that knows quotas', () => {
    const gate = createGate();
    for (let time = 0; time < 20_000; time += 300)
      gate.followHolderWithoutQuotas(1, at(time));
    let admitted = 0;
    for (let time = 20_000; time < 28_000; time += 20) {
      if (time % 300 === 0) gate.followHolderWithoutQuotas(1, at(time));
      while (gate.decide(TEAM, 100, at(time)).kind === 'admitted')
        admitted += 100;
    }
    expect(admitted).toBeGreaterThanOrEqual(80_000);
    expect(admitted).toBeLessThanOrEqual((80_000 + 10_000) * 1.1 + 7_400);
  });

  it('refuses without a holder with a time at which another may be elected', () => {
    const gate = createGate();
    gate.applyState(state(0, 0, 0), START);
    gate.loseHolder(START);
    const decision = gate.decide(TEAM, 9_000, START);
    expect(decision).toEqual({kind: 'refused', retryAt: at(1_500)});
  });

  it('states what it admitted in the last window, and asks a new holder', () => {
    const gate = createGate();
    gate.applyState(state(5_000), START);
    gate.decide(TEAM, 1_000, START);
    gate.recordGranted(TEAM, 500, at(1_000));
    gate.loseHolder(at(1_000));
    const {teams} = gate.takeStatement(at(1_000));
    expect(teams).toEqual([
      {
        team: TEAM,
        total: 1_000,
        share: 0.5,
        recent: [500, 1_000, 0, 0, 0, 0, 0, 0],
      },
    ]);
    gate.applyState({nodeCount: 2, report: 1, changes: []}, at(1_000));
    expect(gate.decide(TEAM, 100, at(1_000)).kind).toEqual('ask');
  });
});
