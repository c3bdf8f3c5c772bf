import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  FailureDomain,
  ModelName,
  NodeId,
  RefusalError,
  ServiceName,
  TeamName,
} from '@siskinmux/kernel';
import {ErrorCode, after, as} from '@siskinmux/kernel';
import type {SoftwareVersion} from '@siskinmux/endpoints';
import {digestApiKey} from '@siskinmux/routes';
import {createEngineDescription, createSeededRandom} from '@siskinmux/testkit';
import type {EndpointRequirements} from '../src/endpoint_choice.js';
import {heartbeatSchema} from '../src/placement_messages.js';
import {encodeTeamStates} from '../src/team_quota_messages.js';
import {answerWhere} from '../src/where_request.js';
import {MAXIMUM_CANDIDATES} from '../src/where_explainer.js';
import type {Fixture} from './where_fixture.js';
import {
  KEY,
  MODEL,
  NODE,
  SECOND_KEY,
  createFixture,
  holdLease,
} from './where_fixture.js';

const TEXT = {path: '/text/1', model: 'm0'};
const service = as<ServiceName>('engines');

/** What `siskinmux explain --where` reads of an answer. */
const COMMAND_READS_BYTES = 1_048_576;

/** `ask` of the fixture fails if the question has changed the state of a part. */
describe('explanation of where a request would go', () => {
  // Guards against a comparison that misses what has changed.
  it('is compared with a state that shows each draw, message, count and timer', async () => {
    const {state, effects, clock, client, inFlightCounts, engines, follow} =
      createFixture();
    const endpoint = engines[0]!.id;
    const changes = [
      () => (effects.draws += 1),
      () => clock.schedule(clock.now(), () => {}),
      () => inFlightCounts.track({endpoint, model: MODEL, adapter: undefined}),
      () => client.reportMissingModel(endpoint, MODEL),
      follow,
    ];
    for (const change of changes) {
      const before = state();
      change();
      expect(state() === before).toEqual(false);
    }
  });

  it('sends to the engine with the most weight, and states load, age and weights', async () => {
    const {ask, clusterLoad, clock, inFlightCounts, engines, follow} =
      createFixture();
    follow();
    clusterLoad.update([
      ['engine-1', 9],
      ['engine-2', 2],
    ]);
    const [first] = engines;
    inFlightCounts.track({
      endpoint: first!.id,
      model: MODEL,
      adapter: undefined,
    });
    await clock.advance(100);
    const answer = ask(TEXT);
    expect(answer.node).toEqual(NODE);
    expect(answer.decision).toLooseEqual({
      kind: 'send',
      endpoint: 'engine-3',
      relay: null,
      statement: 'has the most weight; the actual choice is random by weight',
    });
    expect(answer.route).toEqual({
      name: 'text',
      service: 'engines',
      targets: [{service: 'engines', weight: 1}],
      kind: 'stream',
      timeout: 4_000,
      latencyObjective: 5_000,
      deadlineIn: 4_000,
      configurationVersion: 7,
      configurationAge: 120,
    });
    expect(answer.endpointsAge).toEqual(340);
    expect(answer.model?.state).toEqual('ready');
    const busiest = answer.candidates.find(
      each => each.endpoint === 'engine-1',
    );
    expect(busiest?.knownInFlight).toEqual(10);
    expect(busiest?.ownInFlight).toEqual(1);
    expect(busiest?.age).toEqual(100);
    expect(busiest?.weight).toEqual(0);
    expect(answer.candidates[0]?.weight ?? 0).toBeGreaterThan(0);
  });

  it('draws as it explains: real choices follow the weights', async () => {
    const {ask, client, clusterLoad, requirements, follow} = createFixture();
    follow();
    clusterLoad.update([
      ['engine-1', 9],
      ['engine-2', 2],
    ]);
    const {decision} = ask(TEXT);
    const found = await client.find({...requirements(1_000), model: MODEL});
    expect(decision.kind === 'send' && decision.endpoint).toEqual(found.id);
  });

  it('sends to a plain endpoint by the requests of this node', () => {
    const {ask, inFlightCounts, plain} = createFixture();
    const {id: endpoint} = plain[0]!;
    inFlightCounts.track({endpoint, model: undefined, adapter: undefined});
    const {decision, model, candidates} = ask({path: '/read/1'});
    expect(decision.kind === 'send' && decision.endpoint).toEqual(
      'plain-2' as never,
    );
    expect(model).toEqual(null);
    expect(candidates.map(({age}) => age)).toEqual([0, 0]);
  });

  it('names what excludes each endpoint', async () => {
    const fixture = createFixture();
    const {ask, table, engines, clock, outliers} = fixture;
    fixture.follow();
    const engine = (name: string, model = MODEL) =>
      createEngineDescription(name, service, [model]);
    const draining = {...engine('draining'), isDraining: true};
    const crashed = engine('crashed');
    const other = engine('other', as<ModelName>('m1'));
    const outlier = engine('outlier');
    const paused = engine('paused');
    const limited = engine('limited');
    fixture.setEndpoints(
      ...engines,
      draining,
      crashed,
      other,
      outlier,
      paused,
      limited,
    );
    table.recordCrash(crashed.incarnation, clock.now());
    for (let count = 0; count < 3; count += 1)
      outliers.recordFailure(outlier.id, clock.now());
    fixture.pause(paused, 2_000);
    fixture.limit(limited);
    const reasons = (query: Record<string, string>) =>
      Object.fromEntries(
        ask(query).candidates.map(each => [each.endpoint, each.excluded]),
      );
    expect(reasons(TEXT)).toLooseEqual({
      'engine-1': null,
      'engine-2': null,
      'engine-3': null,
      draining: 'draining',
      crashed: 'crashed',
      other: 'lacks_model',
      outlier: 'outlier',
      paused: 'paused',
      // Without a lease holder there is no permit.
      limited: 'request_limit',
    });
    expect(reasons({...TEXT, adapter: 'a1'})['engine-1']).toEqual(
      'lacks_adapter',
    );
    expect(reasons({...TEXT, version: 'v9'})['engine-1']).toEqual(
      'wrong_version',
    );
    fixture.setEndpoints({
      ...engine('engine-1'),
      softwareVersion: as<SoftwareVersion>('v9'),
    });
    expect(reasons({...TEXT, version: 'v9'})).toLooseEqual({
      'engine-1': null,
    });
  });

  it('refuses an unknown route, and a request of no known team, without a return time', () => {
    const {ask} = createFixture({hasTeams: true});
    const refusal = (query: Record<string, string>) => {
      const {decision, route, team} = ask(query);
      expect([route, team]).toEqual([null, null]);
      if (decision.kind !== 'refuse') throw new TypeError(decision.kind);
      return [decision.status, decision.code, decision.returnIn];
    };
    expect(refusal({path: '/nowhere'})).toEqual([
      404,
      ErrorCode.UnknownTarget,
      null,
    ]);
    const unknown = [401, ErrorCode.Unauthenticated, null];
    expect(refusal({path: '/read/1', team: 'nobody'})).toEqual(unknown);
    expect(refusal({path: '/read/1'})).toEqual(unknown);
  });

  it('refuses beyond the quota with the return time of the ledger, where this node holds the lease', async () => {
    const fixture = createFixture({hasTeams: true});
    const {ask, teamQuotas, clock} = fixture;
    const {beat} = holdLease(fixture);
    // A new lease holder doesn't know what was admitted in the window before.
    for (let at = 0; at < 20_000; at += 300) {
      beat();
      await clock.advance(300);
    }
    const query = {path: '/read/1', team: 'busy'};
    expect(ask(query).decision.kind).toEqual('send');
    const signal = new AbortController().signal;
    const team = as<TeamName>('busy');
    const acquire = () =>
      teamQuotas
        .acquire({
          team,
          amount: 1,
          deadline: after(clock.now(), 4_000),
          signal,
        })
        .catch(() => {});
    for (let count = 0; count < 8; count += 1) void acquire();
    await clock.advance(300);
    beat();
    const answer = ask(query);
    expect(answer.team?.quota?.isMetered).toEqual(true);
    expect(answer.team?.quota?.age).toEqual(0);
    if (answer.decision.kind !== 'refuse')
      throw new TypeError(answer.decision.kind);
    expect(answer.decision.status).toEqual(429);
    expect(answer.decision.code).toEqual(ErrorCode.QuotaExceeded);
    expect(answer.decision.returnIn ?? 0).toBeGreaterThan(0);
    // A team without a quota is not affected.
    expect(ask({...query, team: 'calm'}).decision.kind).toEqual('send');
  });

  it('waits for a permit of another lease holder, or for a lease holder, as it sends no message', async () => {
    const fixture = createFixture({hasTeams: true});
    const {ask, teamQuotas, clock} = fixture;
    const query = {path: '/read/1', team: 'busy'};
    const before = ask(query).decision;
    expect(before.kind === 'wait' && before.reason).toEqual(
      'lease_holder' as never,
    );
    teamQuotas.setExchange({
      reportTeamUsage: () => {},
      requestTeamPermit: () => {
        throw new TypeError('asked');
      },
    });
    const changes = [{team: as<TeamName>('busy'), free: 0, share: 0.5}];
    const teams = encodeTeamStates(0, changes);
    teamQuotas.applyHeartbeat(
      heartbeatSchema.parse({nodes: 2, reachesStore: true, teams}),
    );
    await clock.advance(50);
    const {decision, team} = ask(query);
    expect(team?.quota ?? null).toEqual({
      unit: 'requests',
      cost: 1,
      level: 0,
      age: 50,
      isMetered: true,
      hasLeaseHolder: true,
    });
    expect(decision.kind === 'wait' && decision.reason).toEqual(
      'quota_permit' as never,
    );
    expect(decision.kind === 'wait' && decision.atMost).toEqual(250 as never);
  });
});

describe('explanation of requests that wait or are refused', () => {
  const kindOf = (decision: {kind: string; reason?: string}): string =>
    decision.reason ?? decision.kind;

  it('tells a forecast in time from one that is too late, and its age', async () => {
    const fixture = createFixture();
    const {ask, client, clock, requirements} = fixture;
    fixture.follow();
    const query = {path: '/text/1', model: 'm9'};
    const forecast = (milliseconds: number): void =>
      client.onForecasts(service, [
        {
          model: as<ModelName>('m9'),
          readyAt: after(clock.now(), milliseconds),
        },
      ]);
    expect(kindOf(ask(query).decision)).toEqual('model');
    expect(ask(query).model?.forecast).toEqual(null);
    forecast(1_000);
    await clock.advance(100);
    const inTime = ask(query);
    expect(kindOf(inTime.decision)).toEqual('model');
    expect(inTime.model?.state).toEqual('asleep');
    expect(inTime.model?.forecast).toEqual({readyIn: 900, age: 100});
    // While requests of this node wait for it, the lease holder has it loaded.
    void client.find(requirements(4_000)).catch(() => {});
    await clock.advance(1);
    expect(ask(query).model?.state).toEqual('loading');
    forecast(9_000);
    const late = ask(query).decision;
    if (late.kind !== 'refuse') throw new TypeError(late.kind);
    expect([late.status, late.code]).toEqual([503, ErrorCode.NoEndpoint]);
    expect(late.returnIn ?? 0).toBeGreaterThanOrEqual(9_000);
    // A forecast whose time has passed says nothing.
    await clock.advance(9_001);
    expect(ask(query).model?.forecast).toEqual(null);
  });

  it('waits for a lease holder, and refuses once none has come for long', async () => {
    const {ask, clock} = createFixture();
    const query = {path: '/text/1', model: 'm9'};
    expect(kindOf(ask(query).decision)).toEqual('lease_holder');
    await clock.advance(1_001);
    const {decision} = ask(query);
    expect(decision.kind === 'refuse' && decision.status).toEqual(503 as never);
  });

  it('holds while all engines are full, and refuses what could not start in time', async () => {
    const fixture = createFixture({hasTeams: true, nodeCount: 100});
    const {ask, client, clock, fill, ordering, requirements} = fixture;
    fixture.follow();
    const query = {...TEXT, team: 'calm'};
    expect(ask(query).decision.kind).toEqual('send');
    fill();
    const held = ask(query).decision;
    expect(kindOf(held)).toEqual('room');
    expect(held.kind === 'wait' && held.atMost).toEqual(3_750 as never);
    // What is held really, with its rates, is copied and left alone.
    for (let count = 0; count < 20; count += 1)
      void client
        .find({...requirements(3_000), model: MODEL, ordering})
        .catch(() => {});
    await clock.advance(10);
    expect(kindOf(ask(query).decision)).toEqual('room');
    const tooShort = ask({...query, deadline: '200'}).decision;
    if (tooShort.kind !== 'refuse') throw new TypeError(tooShort.kind);
    expect(tooShort.status).toEqual(503);
    expect(tooShort.code).toEqual(ErrorCode.EndpointBusy);
    expect(tooShort.returnIn ?? 0).toBeGreaterThan(0);
  });

  it('refuses without an endpoint, without a model, and with one that is not declared', () => {
    const fixture = createFixture();
    const {ask} = fixture;
    fixture.follow();
    const refusal = (query: Record<string, string>) => {
      const {decision} = ask(query);
      if (decision.kind !== 'refuse') throw new TypeError(decision.kind);
      return [decision.status, decision.code, decision.returnIn];
    };
    const code = ErrorCode.NoEndpoint;
    expect(refusal({path: '/empty/1'})).toEqual([503, code, 500]);
    expect(refusal({path: '/text/1'})).toEqual([503, code, null]);
    expect(refusal({...TEXT, model: 'undeclared'})).toEqual([503, code, null]);
  });

  it('waits for the end of a pause in time, and refuses on a plain service otherwise', () => {
    const fixture = createFixture();
    const {ask, plain} = fixture;
    for (const endpoint of plain) fixture.pause(endpoint, 1_000);
    const query = {path: '/read/1'};
    const wait = ask(query).decision;
    expect(kindOf(wait)).toEqual('pause_end');
    const {decision} = ask({...query, deadline: '500'});
    if (decision.kind !== 'refuse') throw new TypeError(decision.kind);
    expect(decision.code).toEqual(ErrorCode.EndpointLimited);
    expect(decision.returnIn).toEqual(1_250);
  });

  it('asks for the lease holder where the chosen endpoint has a request limit', () => {
    const fixture = createFixture();
    for (const endpoint of fixture.plain) fixture.limit(endpoint);
    expect(kindOf(fixture.ask({path: '/read/1'}).decision)).toEqual(
      'request_permit',
    );
  });

  it('waits for a read while what is known is too old, and goes by another node without links', () => {
    const fixture = createFixture();
    const {ask, knowledge} = fixture;
    knowledge.isDecidable = false;
    const outdated = ask({path: '/read/1'});
    expect(kindOf(outdated.decision)).toEqual('platform_view');
    expect(outdated.route?.name).toEqual('read');
    knowledge.isDecidable = true;
    knowledge.isCut = true;
    const lost = ask({path: '/read/1'}).decision;
    expect(lost.kind === 'refuse' && lost.code).toEqual(
      ErrorCode.LinksLost as never,
    );
    fixture.setPeers({
      node: as<NodeId>('node-2'),
      address: '127.0.0.1:1',
      failureDomain: as<FailureDomain>('a'),
      cutFrom: [],
    });
    const relayed = ask({path: '/read/1'}).decision;
    expect(relayed.kind === 'send' && relayed.relay).toEqual('node-2' as never);
    knowledge.isCut = false;
    knowledge.hasTime = false;
    const stopping = ask({path: '/read/1'}).decision;
    expect(stopping.kind === 'refuse' && stopping.code).toEqual(
      ErrorCode.ShuttingDown as never,
    );
  });
});

/** Kinds of decisions, or reasons to wait, that the random states below lead to. */
const REACHED = [
  'send',
  'refuse',
  'room',
  'pause_end',
  'lease_holder',
  'model',
];

/** What becomes of a real request that is searched an endpoint for at once. */
async function findNow(
  {client, clock}: Fixture,
  requirements: EndpointRequirements,
): Promise<{kind: string; detail?: string}> {
  let outcome: {kind: string; detail?: string} = {kind: 'wait'};
  client.find(requirements).then(
    ({id}) => (outcome = {kind: 'send', detail: id}),
    (failure: RefusalError) =>
      (outcome = {kind: 'refuse', detail: failure.code}),
  );
  await clock.advance(0);
  return outcome;
}

describe('explanation of the engine that a real request gets', () => {
  // Guards against an explanation that has come to differ from the decision.
  it('agrees with 400 real requests in random states (seed 3)', async () => {
    const random = createSeededRandom(3);
    const pick = (bound: number): number => Math.floor(random() * bound);
    const seen = new Set<string>();
    for (let round = 0; round < 400; round += 1) {
      const nodeCount = 1 + pick(100);
      const fixture = createFixture({hasTeams: true, nodeCount});
      const {client, clock, engines, clusterLoad, outliers} = fixture;
      if (pick(4) > 0) fixture.follow();
      if (pick(8) === 0) await clock.advance(1_100);
      if (pick(5) > 0)
        clusterLoad.update(engines.map(({id}) => [id, pick(90)]));
      const isAsleep = pick(5) === 0;
      for (const engine of engines) {
        if (pick(4) === 0) fixture.pause(engine, 100 + pick(8_000));
        if (pick(6) === 0)
          for (let count = 0; count < 3; count += 1)
            outliers.recordFailure(engine.id, clock.now());
        if (isAsleep || pick(6) === 0)
          client.reportMissingModel(engine.id, MODEL);
      }
      const held = pick(3) === 0 ? pick(12) : 0;
      for (let count = 0; count < held; count += 1)
        await findNow(fixture, {
          ...fixture.requirements(3_000),
          model: MODEL,
          ordering: fixture.ordering,
        });
      const deadline = 100 + pick(4_000);
      const {decision, candidates} = fixture.ask({
        ...TEXT,
        team: 'calm',
        deadline: String(deadline),
      });
      const now = clock.now();
      const real = await findNow(fixture, {
        ...fixture.requirements(deadline),
        model: MODEL,
        priority: 1,
        ordering: {...fixture.ordering, objectiveAt: after(now, 5_000)},
      });
      const context = `round ${round}: ${JSON.stringify({decision, real})}`;
      if (decision.kind !== real.kind) throw new TypeError(context);
      if (decision.kind === 'refuse' && decision.code !== real.detail)
        throw new TypeError(context);
      const chosen = candidates.find(each => each.endpoint === real.detail);
      if (decision.kind === 'send' && !((chosen?.weight ?? 0) > 0))
        throw new TypeError(context);
      seen.add('reason' in decision ? decision.reason : decision.kind);
    }
    for (const kind of REACHED) expect(seen.has(kind)).toEqual(true);
  });

  // Guards against an explanation of the quota that has come to differ from the decision.
  it('agrees with 300 real requests under a quota, with the same return times (seed 1)', async () => {
    const random = createSeededRandom(1);
    const fixture = createFixture({hasTeams: true});
    const {teamQuotas, clock, ask} = fixture;
    const {beat} = holdLease(fixture);
    const team = as<TeamName>('busy');
    const {signal} = new AbortController();
    const seen = new Set<string>();
    for (let round = 0; round < 300; round += 1) {
      beat();
      await clock.advance(Math.floor(random() * random() * 3_000));
      const {decision, team: stated} = ask({path: '/read/1', team: team});
      const now = clock.now();
      let real: {kind: string; returnIn?: number} = {kind: 'wait'};
      teamQuotas
        .acquire({
          team,
          amount: stated?.quota?.cost ?? 0,
          deadline: after(now, 4_000),
          waitUntil: after(now, 625),
          signal,
        })
        .then(
          () => (real = {kind: 'send'}),
          ({retryAt = now}: RefusalError) =>
            (real = {kind: 'refuse', returnIn: Math.round(retryAt - now)}),
        );
      await clock.advance(0);
      const expected =
        decision.kind === 'refuse'
          ? {kind: 'refuse', returnIn: decision.returnIn}
          : {kind: decision.kind};
      expect({round, ...real}).toEqual({round, ...expected} as never);
      seen.add(decision.kind);
    }
    expect([...seen].sort()).toEqual(['refuse', 'send', 'wait']);
  });

  // Guards against an answer of a size that grows with the platform.
  it('is bounded in length with more engines than it lists', () => {
    const fixture = createFixture();
    fixture.follow();
    const name = (index: number): string =>
      `${index}`.padStart(64, 'engine-with-a-long-name-');
    fixture.setEndpoints(
      ...Array.from({length: MAXIMUM_CANDIDATES + 200}, (_, index) =>
        createEngineDescription(name(index), service, [MODEL]),
      ),
    );
    const answer = fixture.ask(TEXT);
    expect(answer.candidates.length).toEqual(MAXIMUM_CANDIDATES);
    expect(answer.omittedCandidates).toEqual(200);
    expect(JSON.stringify(answer).length).toBeLessThan(COMMAND_READS_BYTES);
  });
});

describe('GET /where', () => {
  const answer = (query: Record<string, string | string[]>) => {
    const {explainer} = createFixture({hasTeams: true});
    return answerWhere(explainer, query, failure => {
      throw failure;
    });
  };
  const valid = {host: 'offers.example', path: '/read/1', team: 'calm'};

  // Guards against an operator who can't tell what to correct.
  it('rejects a malformed query with an error that names the field', () => {
    expect(answer(valid).status).toEqual(200);
    const faults: [string, Record<string, string | string[]>][] = [
      ['host', {path: '/read/1'}],
      ['path', {host: 'offers.example'}],
      ['path', {...valid, path: 'read'}],
      ['method', {...valid, method: 'get it'}],
      ['model', {...valid, model: ''}],
      ['team', {...valid, team: ['calm', 'busy']}],
      ['tokens', {...valid, tokens: '12'}],
      ['tokens', {...valid, tokens: '1,-2'}],
      ['deadline', {...valid, deadline: '0'}],
      ['deadline', {...valid, deadline: '1e3'}],
      ['colour', {...valid, colour: 'red'}],
    ];
    for (const [field, query] of faults) {
      const {status, body} = answer(query);
      expect([status, (body as {field: string}).field]).toEqual([400, field]);
      expect((body as {detail: string}).detail).toInclude(`${field}: expected`);
    }
  });

  // Guards against a key that is pasted into the question and kept where answers are kept.
  it('contains no key and no digest, whatever is asked', () => {
    const secrets = [KEY, SECOND_KEY].flatMap(key => [key, digestApiKey(key)]);
    const questions = secrets.flatMap(secret => [
      {...valid, team: secret},
      {...valid, model: secret},
      {...valid, path: `/read/${secret}`},
      {...valid, path: `/nowhere?key=${secret}`},
      {...valid, host: secret},
      {...valid, tokens: secret},
      {...valid, [secret]: '1'},
      {...valid, key: secret},
    ]);
    for (const query of [valid, {...valid, team: 'busy'}, ...questions]) {
      const text = JSON.stringify(answer(query));
      for (const secret of secrets)
        expect(text.includes(secret)).toEqual(false);
    }
    const {status, body} = answer({...valid, team: KEY});
    expect([status, (body as {detail: string}).detail]).toEqual([
      400,
      'team: expected a name, not a key',
    ]);
  });

  it('answers an unexpected error as one, and has it logged', () => {
    const failures: unknown[] = [];
    const failing = {
      explain: () => {
        throw new TypeError('secret');
      },
    };
    const {status, body} = answerWhere(failing, valid, failure =>
      failures.push(failure),
    );
    expect(status).toEqual(500);
    expect(JSON.stringify(body).includes('secret')).toEqual(false);
    expect(failures.length).toEqual(1);
  });
});
