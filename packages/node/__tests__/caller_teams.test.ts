/** Callers with keys, over HTTP, at nodes whose configuration declares teams. */

import {channel} from 'node:diagnostics_channel';
import {Agent, request as sendRequest} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import {systemClock, systemRandom} from '@siskinmux/adapters';
import type {Change} from '@siskinmux/declarations';
import {
  diffDeclarations,
  emptyDeclarations,
  parseDeclarations,
} from '@siskinmux/declarations';
import {LocalCluster} from '@siskinmux/demo';
import {digestApiKey} from '@siskinmux/routes';

const KEYS = {
  fizi: 'mytdqf5swkcup4umfwwq',
  kelp: '3bpepuuv3kic7bv9asmt',
  late: 'dc0q2krx6ynn1lgvb8ze',
  unknown: 'zzzzzzzzzzzzzzzzzzzz',
};

const DECLARATIONS = `
[models.offers]
versions = ["v1"]
current_version = "v1"
memory_gib = 8
replicas = {a = 1}

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

[teams.fizi]
key_digests = ["${digestApiKey(KEYS.fizi)}"]

[teams.kelp]
key_digests = ["${digestApiKey(KEYS.kelp)}"]
priority = 4
`;

const POLL_MILLISECONDS = 20;

interface Received {
  readonly port: number | undefined;
  readonly url: string;
  readonly headers: readonly string[];
  body: string;
}

/** Every request that any server of this process received: callers', peers', stand-ins'. */
class Recorder {
  readonly received: Received[] = [];
  private readonly channel = channel('http.server.request.start');
  private readonly record = (message: unknown): void => {
    const {request} = message as {request: IncomingMessage};
    const entry: Received = {
      port: request.socket.localPort,
      url: request.url ?? '',
      headers: request.rawHeaders,
      body: '',
    };
    this.received.push(entry);
    const push = request.push.bind(request);
    request.push = (chunk: unknown, encoding) => {
      if (chunk !== null) entry.body += String(chunk);
      return push(chunk, encoding);
    };
  };

  start(): void {
    this.channel.subscribe(this.record);
  }

  stop(): void {
    this.channel.unsubscribe(this.record);
  }
}

const recorder = new Recorder();
const spans = new InMemorySpanExporter();
const logLines: string[] = [];
let cluster: LocalCluster;

const url = (index: number, path: string): string =>
  `${cluster.node(index).callerUrl}${path}`;

const withKey = (key: string): Record<string, string> => ({'x-api-key': key});

function complete(
  index: number,
  headers: Record<string, string>,
): Promise<Response> {
  return fetch(url(index, '/v1/completions'), {
    method: 'POST',
    headers: {'content-type': 'application/json', ...headers},
    body: JSON.stringify({model: 'offers', max_tokens: 2, prompt: 'hello'}),
  });
}

function getBalance(
  index: number,
  headers: Record<string, string>,
): Promise<Response> {
  return fetch(url(index, '/services/coupons/balance'), {headers});
}

async function expectUnauthenticated(response: Response): Promise<void> {
  expect(response.status).toEqual(401);
  expect(response.headers.get('content-type')).toEqual(
    'application/problem+json; charset=utf-8',
  );
  const problem = (await response.json()) as Record<string, unknown>;
  expect(problem['type']).toEqual('urn:siskinmux:problem:unauthenticated');
  expect(problem['outcome']).toEqual('not run');
  expectNoSecret(JSON.stringify(problem));
}

/** Neither a key nor a digest. */
function expectNoSecret(text: string): void {
  for (const key of Object.values(KEYS)) {
    expect(text).not.toInclude(key);
    expect(text).not.toInclude(digestApiKey(key));
  }
}

async function submit(basedOn: number, changes: Change[]): Promise<Response> {
  return fetch(`${cluster.node(0).operatorUrl}/patches`, {
    method: 'POST',
    body: JSON.stringify({
      id: `patch-000${basedOn}`,
      based_on: basedOn,
      author: 'test',
      reason: 'test',
      changes,
    }),
  });
}

async function waitForNumber(number: number): Promise<void> {
  while (cluster.nodes.some(node => node.configurationNumber < number)) {
    await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
  }
}

/** Sends a request through `agent`, with headers that `fetch` would join. */
function statusOf(
  target: string,
  headers: IncomingHttpHeaders,
  agent?: Agent,
): Promise<{status: number | undefined; isReused: boolean}> {
  return new Promise((resolve, reject) => {
    const sent = sendRequest(target, {headers, agent}, response => {
      response.resume();
      response.on('end', () =>
        resolve({status: response.statusCode, isReused: sent.reusedSocket}),
      );
    });
    sent.on('error', reject);
    sent.end();
  });
}

describe('callers of two nodes whose configuration has teams', () => {
  before(async () => {
    recorder.start();
    cluster = await LocalCluster.start({
      clock: systemClock,
      random: systemRandom,
      declarations: parseDeclarations([{name: 'all', text: DECLARATIONS}]),
      nodes: ['a', 'b'],
      spanProcessors: [new SimpleSpanProcessor(spans)],
      writeLog: line => logLines.push(line),
    });
  });

  afterAll(async () => {
    recorder.stop();
    await cluster.stop();
  });

  // A node that starts while the store is away must not turn callers away with a final status.
  it('get the same response as before while a node has no configuration', async () => {
    for (const headers of [{}, withKey(KEYS.fizi), withKey(KEYS.unknown)]) {
      const response = await complete(1, headers);
      expect(response.status).toEqual(503);
      const {type} = (await response.json()) as {type: string};
      expect(type).toEqual('urn:siskinmux:problem:configuration-unavailable');
    }
    expect((await fetch(url(1, '/v1/models'))).status).toEqual(200);
    const changes = diffDeclarations(emptyDeclarations(), cluster.declarations);
    expect((await submit(0, changes)).status).toEqual(200);
    await waitForNumber(1);
  });

  it('are served with a known key, also one that is sent twice', async () => {
    for (const index of [0, 1]) {
      expect((await complete(index, withKey(KEYS.fizi))).status).toEqual(200);
      expect((await getBalance(index, withKey(KEYS.kelp))).status).toEqual(200);
      const models = await fetch(url(index, '/v1/models'), {
        headers: withKey(KEYS.kelp),
      });
      expect(models.status).toEqual(200);
    }
    const twice = await statusOf(url(0, '/services/coupons/balance'), {
      'x-api-key': [KEYS.fizi, KEYS.fizi] as unknown as string,
    });
    expect(twice.status).toEqual(200);
  });

  it('get 401 as "not run" with no key, an unknown one, or several', async () => {
    const executions = cluster.standIns.serviceRecords.get('coupons');
    const count = executions?.executions.size;
    const rejected: Record<string, string>[] = [
      {},
      withKey(''),
      withKey(KEYS.unknown),
      withKey(digestApiKey(KEYS.fizi)),
      withKey(`${KEYS.fizi}, ${KEYS.fizi}`),
      {authorization: `Bearer ${KEYS.fizi}`},
      // The caller must not learn from other errors that its key is not the reason.
      {'x-request-priority': 'now'},
    ];
    for (const headers of rejected) {
      await expectUnauthenticated(await complete(1, headers));
      await expectUnauthenticated(await getBalance(0, headers));
      await expectUnauthenticated(await fetch(url(0, '/v1/models'), {headers}));
      await expectUnauthenticated(
        await fetch(url(1, '/services/coupons/issue'), {
          method: 'POST',
          headers: {...headers, 'idempotency-key': 'rejected'},
          body: '{}',
        }),
      );
    }
    expect(executions?.executions.size).toEqual(count);
    const several = await statusOf(url(0, '/services/coupons/balance'), {
      'x-api-key': [KEYS.fizi, KEYS.kelp] as unknown as string,
    });
    expect(several.status).toEqual(401);
  });

  it('leave health checks open, which load balancers send without a key', async () => {
    expect((await fetch(url(0, '/health/ready'))).status).toEqual(200);
    expect((await fetch(url(0, '/health/live'))).status).toEqual(200);
  });

  it('are ordered at engines by the priority of their team before that of the request', async () => {
    const first = recorder.received.length;
    const sent: [string, string][] = [
      [KEYS.fizi, 'batch'],
      [KEYS.kelp, 'urgent'],
    ];
    for (const [key, priority] of sent) {
      const headers = {...withKey(key), 'x-request-priority': priority};
      expect((await complete(0, headers)).status).toEqual(200);
    }
    const priorities = recorder.received
      .slice(first)
      .map(({body}) => /"priority":(-?\d+)/.exec(body)?.[1])
      .filter(text => text !== undefined)
      .map(Number);
    expect(priorities).toEqual([1, -9]);
  });

  it('keep their key from engines, instances, other nodes and the platform', async () => {
    const callerPorts = cluster.nodes.map(({callerUrl}) =>
      Number(new URL(callerUrl).port),
    );
    for (const [order, index] of [0, 1, 0, 1].entries()) {
      const headers = {
        ...withKey(KEYS.fizi),
        'idempotency-key': `claim-${order}`,
      };
      const issued = await fetch(url(index, '/services/coupons/issue'), {
        method: 'POST',
        headers,
        body: '{}',
      });
      expect(issued.status).toEqual(200);
      expect((await complete(index, headers)).status).toEqual(200);
    }
    const elsewhere = recorder.received.filter(
      ({port}) => port === undefined || !callerPorts.includes(port),
    );
    const paths = elsewhere.map(entry => entry.url);
    for (const path of ['/v1/completions', '/issue', '/rpc']) {
      expect(paths).toInclude(path);
    }
    for (const {headers, body, url: path} of elsewhere) {
      const text = [path, ...headers, body].join('\n');
      for (const key of Object.values(KEYS)) expect(text).not.toInclude(key);
      expect(headers.map(name => name.toLowerCase())).not.toInclude(
        'x-api-key',
      );
    }
  });

  it('lose access on an open connection once a version removes their key, and get it by a new one', async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const balance = url(1, '/services/coupons/balance');
    try {
      const early = await statusOf(balance, withKey(KEYS.late), agent);
      expect(early.status).toEqual(401);
      const before_ = await statusOf(balance, withKey(KEYS.fizi), agent);
      expect(before_).toEqual({status: 200, isReused: true});
      const change: Change = {
        section: 'teams',
        name: 'fizi',
        after: {key_digests: [digestApiKey(KEYS.late)]},
      };
      expect((await submit(1, [change])).status).toEqual(200);
      await waitForNumber(2);
      const removed = await statusOf(balance, withKey(KEYS.fizi), agent);
      expect(removed).toEqual({status: 401, isReused: true});
      const added = await statusOf(balance, withKey(KEYS.late), agent);
      expect(added).toEqual({status: 200, isReused: true});
    } finally {
      agent.destroy();
    }
  });

  it('find no key and no digest in logs, metrics, spans, status and errors', async () => {
    const shared: Change = {
      section: 'teams',
      name: 'twin',
      after: {key_digests: [digestApiKey(KEYS.kelp)]},
    };
    const invalid: Change = {
      section: 'teams',
      name: 'twin',
      after: {key_digests: [KEYS.unknown], api_key: KEYS.unknown},
    };
    const refusals: [number, Change, number][] = [
      [2, shared, 422],
      [2, invalid, 422],
      [1, invalid, 409],
      [1, shared, 409],
    ];
    for (const [basedOn, change, status] of refusals) {
      const response = await fetch(`${cluster.node(0).operatorUrl}/patches`, {
        method: 'POST',
        body: JSON.stringify({
          id: `refused-${basedOn}`,
          based_on: basedOn,
          author: 'test',
          reason: 'test',
          changes: [change],
        }),
      });
      expect(response.status).toEqual(status);
      const text = await response.text();
      expect(text).toInclude('twin');
      expectNoSecret(text);
    }
    for (const node of cluster.nodes) {
      for (const page of [
        `${node.operatorUrl}/status`,
        `${node.metricsUrl}/metrics`,
      ]) {
        const response = await fetch(page);
        expect(response.status).toEqual(200);
        expectNoSecret(await response.text());
      }
    }
    expect(logLines.length > 0).toEqual(true);
    expectNoSecret(logLines.join('\n'));
    const finished = spans.getFinishedSpans();
    expect(finished.length > 0).toEqual(true);
    expectNoSecret(
      JSON.stringify(
        finished.map(({name, attributes, events, status}) => [
          name,
          attributes,
          events,
          status,
        ]),
      ),
    );
  });

  it('are served without keys again once the last team is removed', async () => {
    const changes: Change[] = ['fizi', 'kelp'].map(name => ({
      section: 'teams',
      name,
    }));
    expect((await submit(2, changes)).status).toEqual(200);
    await waitForNumber(3);
    expect((await complete(1, {})).status).toEqual(200);
    expect((await getBalance(0, withKey(KEYS.unknown))).status).toEqual(200);
  });
});
