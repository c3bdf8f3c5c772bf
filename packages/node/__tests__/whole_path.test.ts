import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import {
  diffDeclarations,
  emptyDeclarations,
  parseDeclarations,
} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {ownerOf} from '@siskinmux/routing';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const FUZZ_RUNS = 60;
const POLL_MILLISECONDS = 20;

const DECLARATIONS = `
[models.offers]
versions = ["v1"]
current_version = "v1"
memory_gib = 8
replicas = {a = 1}

[adapters.brand]
model = "offers"
memory_mib = 1

[endpoints.engine]
kind = "engine"
url = "http://127.0.0.1:1"
host = "h"
failure_domain = "a"
memory_gib = 16
checks_fencing = true

[endpoints.coupon]
kind = "service"
service = "coupons"
url = "http://127.0.0.1:2"
host = "c"
failure_domain = "a"

[services.coupons.calls.issue]
methods = ["POST"]
path = "/issue"
repeatable = false

[services.coupons.calls.balance]
methods = ["GET"]
path = "/balance"
repeatable = true

[policy.default]
maximum_body_bytes = 2000
`;

const spans = new InMemorySpanExporter();
let cluster: LocalCluster;

const url = (index: number, path: string): string =>
  `${cluster.node(index).callerUrl}${path}`;

function post(
  index: number,
  path: string,
  body: unknown,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(url(index, path), {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
}

async function problemOf(response: Response): Promise<Record<string, unknown>> {
  const [type] = response.headers.get('content-type')?.split(';') ?? [];
  expect(type).toEqual('application/problem+json');
  return (await response.json()) as Record<string, unknown>;
}

/** Index of the node that does not own claim shard 0, so that its claim needs a peer call. */
function indexOfNonOwner(): number {
  const ids = cluster.nodes.map(({id}) => id);
  return ownerOf('claims/0', ids) === ids[0] ? 1 : 0;
}

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

describe('two nodes with stand-in endpoints over HTTP', () => {
  before(async () => {
    cluster = await LocalCluster.start({
      clock: systemClock,
      random: systemRandom,
      declarations: parseDeclarations([{name: 'all', text: DECLARATIONS}]),
      nodes: ['a', 'b'],
      spanProcessors: [new SimpleSpanProcessor(spans)],
    });
    expect((await fetch(url(0, '/health/ready'))).status).toEqual(503);
    expect((await fetch(url(0, '/health/live'))).status).toEqual(200);
    const earlyResponse = await post(0, '/v1/completions', {
      model: 'x',
      prompt: 'y',
    });
    expect(earlyResponse.status).toEqual(503);
    await fetch(`${cluster.node(0).operatorUrl}/patches`, {
      method: 'POST',
      body: JSON.stringify({
        id: 'patch-0001',
        based_on: 0,
        author: 'test',
        reason: 'test',
        changes: diffDeclarations(emptyDeclarations(), cluster.declarations),
      }),
    });
    await waitUntil(() =>
      cluster.nodes.every(node => node.configurationNumber === 1),
    );
  });

  afterAll(() => cluster.stop());

  it('lists the declared models and adapters', async () => {
    const response = await fetch(url(1, '/v1/models'));
    const {data} = (await response.json()) as {data: {id: string}[]};
    expect(data.map(({id}) => id)).toEqual(['brand', 'offers']);
  });

  it('loads a model on demand and returns a complete response, also for a version or an adapter', async () => {
    for (const model of ['offers', 'offers@v1', 'brand']) {
      const response = await post(1, '/v1/chat/completions', {
        model,
        max_tokens: 3,
        messages: [{role: 'user', content: 'hello'}],
      });
      expect(response.status).toEqual(200);
      const body = (await response.json()) as {
        choices: {message: {content: string}; finish_reason: string}[];
        usage: {completion_tokens: number};
      };
      expect(body.usage.completion_tokens).toEqual(3);
      expect(body.choices[0]?.finish_reason).toEqual('stop');
    }
  });

  it('streams server-sent events and ends with [DONE]', async () => {
    const response = await post(0, '/v1/completions', {
      model: 'offers',
      stream: true,
      max_tokens: 4,
      prompt: 'hello',
    });
    const events = (await response.text()).trim().split('\n\n');
    expect(events.length).toEqual(6);
    expect(events.at(-1)).toEqual('data: [DONE]');
  });

  it('cancels the generation at the engine when the caller disconnects', async () => {
    const disconnect = new AbortController();
    const response = await fetch(url(0, '/v1/completions'), {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        model: 'offers',
        stream: true,
        max_tokens: 5_000,
        prompt: 'a long one',
      }),
      signal: disconnect.signal,
    });
    const engine = cluster.standIns.engines.get('engine');
    expect(response.status).toEqual(200);
    expect(engine?.isIdle).toEqual(false);
    disconnect.abort();
    await waitUntil(() => engine?.isIdle ?? false);
  });

  it('runs a non-repeatable call once, and replays its response for the same idempotency key', async () => {
    const key = {'idempotency-key': 'once'};
    const path = '/services/coupons/issue';
    const first = await post(0, path, {a: 1}, key);
    const second = await post(1, path, {a: 1}, key);
    expect([first.status, second.status]).toEqual([200, 200]);
    expect(second.headers.get('idempotent-replayed')).toEqual('true');
    expect(await first.text()).toEqual(await second.text());
    const reused = await post(1, path, {a: 2}, key);
    expect(reused.status).toEqual(422);
    expect((await problemOf(reused))['outcome']).toEqual('not run');
    const records = cluster.standIns.serviceRecords.get('coupons');
    expect(records?.executions.get('once')).toEqual(1);
  });

  it('rejects invalid requests with a stable problem type and the outcome "not run"', async () => {
    const refusals: [Promise<Response>, number, string][] = [
      [post(0, '/v1/completions', '{'), 400, 'invalid-request'],
      [post(0, '/v1/completions', {model: 'offers'}), 400, 'invalid-request'],
      [
        post(0, '/v1/completions', {model: 'none', prompt: 'x'}),
        404,
        'unknown-target',
      ],
      [
        post(0, '/v1/completions', {
          model: 'offers',
          prompt: 'x'.repeat(3_000),
        }),
        413,
        'body-too-large',
      ],
      [
        post(
          0,
          '/v1/completions',
          {model: 'offers', prompt: 'x'},
          {'x-request-deadline': '1'},
        ),
        504,
        'deadline-passed',
      ],
      [
        post(
          0,
          '/v1/completions',
          {model: 'offers', prompt: 'x'},
          {'x-request-priority': 'now'},
        ),
        400,
        'invalid-request',
      ],
      [post(0, '/services/coupons/issue', {}), 400, 'missing-idempotency-key'],
      [post(0, '/services/coupons/none', {}), 404, 'unknown-target'],
    ];
    for (const [pending, status, type] of refusals) {
      const response = await pending;
      expect(response.status).toEqual(status);
      const problem = await problemOf(response);
      expect(problem['type']).toEqual(`urn:siskinmux:problem:${type}`);
      expect(problem['outcome']).toEqual('not run');
    }
  });

  it('propagates the trace of the caller across nodes to the endpoint', async () => {
    const traced = await post(
      indexOfNonOwner(),
      '/services/coupons/issue',
      {},
      {
        'idempotency-key': 'traced',
        traceparent: `00-${TRACE_ID}-b7ad6b7169203331-01`,
      },
    );
    expect(traced.status).toEqual(200);
    const finished = spans
      .getFinishedSpans()
      .filter(span => span.spanContext().traceId === TRACE_ID);
    const names = finished.map(({name}) => name).sort();
    expect(names).toEqual([
      'caller service',
      'claim',
      'claim at owner',
      'service call',
    ]);
    const nodes = new Set(
      finished.map(({resource}) => resource.attributes['service.instance.id']),
    );
    expect(nodes.size).toEqual(2);
  });

  it('does not serve operator and peer routes to callers', async () => {
    expect((await fetch(url(0, '/patches'))).status).toEqual(404);
    expect((await fetch(url(0, '/rpc'), {method: 'POST'})).status).toEqual(404);
  });

  it('responds to malformed peer messages over HTTP and stays ready', async () => {
    const address = cluster.node(0).peerUrl;
    const message = fc.oneof(
      fc.string(),
      fc.json(),
      fc
        .record({
          jsonrpc: fc.constant('2.0'),
          id: fc.nat(),
          method: fc.constantFrom(
            'ledger.ask',
            'allocation.ask',
            'membership.probe',
            'configuration.update_since',
            'requests.suspect',
          ),
          params: fc.jsonValue(),
        })
        .map(value => JSON.stringify(value)),
    );
    await fc.assert(
      fc.asyncProperty(message, async body => {
        const response = await fetch(`${address}/rpc`, {method: 'POST', body});
        expect([200, 204].includes(response.status)).toEqual(true);
      }),
      {seed: 1, numRuns: FUZZ_RUNS},
    );
    const readiness = await fetch(url(0, '/health/ready'));
    expect(readiness.status).toEqual(200);
  });

  it('rejects arbitrary caller bodies with a 4xx status', async () => {
    await fc.assert(
      fc.asyncProperty(fc.oneof(fc.string(), fc.json()), async body => {
        const response = await post(0, '/v1/chat/completions', body);
        expect(response.status >= 400 && response.status < 500).toEqual(true);
      }),
      {seed: 1, numRuns: FUZZ_RUNS},
    );
  });

  it('exposes the metrics of a node over HTTP', async () => {
    const response = await fetch(`${cluster.node(0).metricsUrl}/metrics`);
    const text = await response.text();
    for (const name of [
      'siskinmux_requests_total',
      'siskinmux_platform_calls_total',
      'siskinmux_configuration_number 1',
      'siskinmux_live_nodes 2',
    ]) {
      expect(text).toInclude(name);
    }
  });
});
