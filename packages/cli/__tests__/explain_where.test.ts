import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {WhereAnswer, WhereDecision} from '@siskinmux/gateway';
import {ErrorCode} from '@siskinmux/kernel';
import {ExitCode, runCommandLine} from '../src/index.js';

const servers: Server[] = [];

const SEND: WhereDecision = {
  kind: 'send',
  endpoint: 'engine-2',
  relay: null,
  statement: 'has the most weight; the actual choice is random by weight',
};

const ANSWER: WhereAnswer = {
  node: 'front-a-1-00000000',
  at: '2026-12-06T10:00:00.000Z',
  route: {
    name: 'text',
    service: 'engines',
    targets: [{service: 'engines', weight: 1}],
    kind: 'stream',
    timeout: 25_000,
    latencyObjective: 2_502,
    deadlineIn: 10_008,
    configurationVersion: 7,
    configurationAge: 120,
  },
  team: {
    name: 'fizi430',
    priority: 1,
    quota: {
      unit: 'tokens',
      cost: 900,
      level: 1_200,
      age: 210,
      isMetered: false,
      hasLeaseHolder: true,
    },
  },
  model: {
    name: 'm0',
    state: 'ready',
    readyAt: ['engine-1', 'engine-2'],
    forecast: null,
    waiting: 0,
  },
  endpointsAge: 340,
  candidates: [
    {
      endpoint: 'engine-2',
      failureDomain: 'a',
      knownInFlight: 3,
      expectedInFlight: 4,
      ownInFlight: 1,
      slots: 24,
      age: 310,
      weight: 7.256,
      excluded: null,
    },
    {
      endpoint: 'engine-1',
      failureDomain: 'b',
      knownInFlight: 30,
      expectedInFlight: 33,
      ownInFlight: 0,
      slots: 24,
      age: null,
      weight: 0,
      excluded: 'paused',
    },
  ],
  omittedCandidates: 0,
  decision: SEND,
};

async function serve(
  answer: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<string> {
  const server = createServer(answer);
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const serveJson = (status: number, body: unknown): Promise<string> =>
  serve((_request, response) => {
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(body));
  });

async function explain(
  node: string,
  ...words: string[]
): Promise<{code: ExitCode; out: string; err: string}> {
  const out: string[] = [];
  const err: string[] = [];
  const code = await runCommandLine(
    [
      'explain',
      '--where',
      '--node',
      node,
      '--host',
      'offers.example',
      '--path',
      '/text/1',
      ...words,
    ],
    {
      writeLine: text => out.push(text),
      writeError: text => err.push(text),
    },
  );
  return {code, out: out.join('\n'), err: err.join('\n')};
}

describe('siskinmux explain --where', () => {
  afterEach(() => {
    for (const server of servers.splice(0)) {
      server.closeAllConnections();
      server.close();
    }
  });

  it('passes the options on, and prints the answer as text', async () => {
    const urls: (string | undefined)[] = [];
    const node = await serve((request, response) => {
      urls.push(request.url);
      response.end(JSON.stringify(ANSWER));
    });
    const options = ['--method', 'POST', '--model', 'm0', '--team', 'fizi430'];
    const more = ['--tokens', '700,200', '--deadline', '25000'];
    const {code, out} = await explain(node, ...options, ...more);
    expect(code).toEqual(ExitCode.Success);
    expect(urls).toEqual([
      '/where?method=POST&host=offers.example&path=%2Ftext%2F1&model=m0&team=fizi430&tokens=700%2C200&deadline=25000',
    ]);
    for (const text of [
      'Node front-a-1-00000000 at 2026-12-06T10:00:00.000Z.',
      'Route text (stream) to engines; has to begin within 10008 ms; configuration 7, 120 ms old.',
      'Team fizi430, priority 1; costs 900 tokens, 1200 may be admitted here without asking; not metered, by a heartbeat 210 ms old.',
      'Model m0 is ready at engine-1, engine-2.',
      'Endpoints, by a list 340 ms old:',
      'paused',
      '7.26',
    ])
      expect(out).toInclude(text);
    expect(out.split('\n').at(-1)).toEqual(
      'Sent to engine-2: it has the most weight; the actual choice is random by weight.',
    );
  });

  it('prints a wait, a refusal and a relay in words', async () => {
    const lastLine = async (decision: WhereDecision, more = {}) => {
      const node = await serveJson(200, {...ANSWER, ...more, decision});
      return (await explain(node)).out.split('\n').at(-1) ?? '';
    };
    expect(
      await lastLine({
        kind: 'wait',
        reason: 'room',
        atMost: 900,
        statement: 'for room',
      }),
    ).toEqual('Waits for room; at most 900 ms.');
    expect(
      await lastLine({
        kind: 'refuse',
        status: 429,
        code: ErrorCode.QuotaExceeded,
        returnIn: 250,
        statement: 'The quota of the team is used up for now.',
      }),
    ).toEqual(
      'Refused with 429 quota-exceeded: The quota of the team is used up for now. May return in 250 ms.',
    );
    const unknown: WhereDecision = {
      kind: 'refuse',
      status: 404,
      code: ErrorCode.UnknownTarget,
      returnIn: null,
      statement: 'No route.',
    };
    const without = {route: null, team: null, model: null, candidates: []};
    expect(await lastLine(unknown, without)).toEqual(
      'Refused with 404 unknown-target: No route.',
    );
    expect(
      await lastLine({
        ...SEND,
        endpoint: null,
        relay: 'node-2',
        statement: 'links lost',
      }),
    ).toEqual('Sent by node node-2: links lost.');
  });

  it('prints the object of the node with --json', async () => {
    const {code, out} = await explain(await serveJson(200, ANSWER), '--json');
    expect(code).toEqual(ExitCode.Success);
    expect(JSON.parse(out)).toEqual(ANSWER);
  });

  it('names a node that does not answer in 2 s, and exits as unreachable', async () => {
    const silent = await serve(() => {});
    const startedAt = performance.now();
    const late = await explain(silent);
    expect(performance.now() - startedAt).toBeGreaterThan(1_900);
    const halfway = await serve((_request, response) => {
      response.writeHead(200);
      response.write('{');
    });
    const gone = await serveJson(200, ANSWER);
    servers.pop()?.close();
    for (const [node, result] of [
      [silent, late],
      [halfway, await explain(halfway)],
      [gone, await explain(gone)],
    ] as const) {
      expect(result.code).toEqual(ExitCode.Unreachable);
      expect(result.err).toInclude(node);
    }
  });

  it('fails with what the node objects to, or if it is no gateway that answers', async () => {
    const problem = {title: 'The request is not valid.', detail: 'team: no'};
    const rejected = await explain(await serveJson(400, problem));
    expect(rejected.code).toEqual(ExitCode.Failure);
    expect(rejected.err).toInclude('team: no');
    const missing = await serveJson(404, {message: 'Not Found'});
    const text = await serve((_request, response) => response.end('<html>'));
    for (const node of [missing, text]) {
      const result = await explain(node);
      expect(result.code).toEqual(ExitCode.Failure);
      expect(result.err).toInclude(`${node} serves no /where`);
    }
  });

  it('rejects options that it cannot read, and names them', async () => {
    const node = '127.0.0.1:1';
    for (const [option, value] of [
      ['method', 'get'],
      ['path', 'text'],
      ['host', ''],
      ['model', ''],
      ['team', ''],
      ['tokens', '900'],
      ['deadline', '0'],
      ['node', 'http://127.0.0.1:1'],
      ['node', '127.0.0.1'],
      ['node', '127.0.0.1:70000'],
      ['request', 'r1'],
    ] as const) {
      const result = await explain(node, `--${option}`, value);
      expect(result.code).toEqual(ExitCode.Usage);
      expect(result.err).toInclude(`--${option}`);
    }
    expect((await explain(node, 'node.log')).code).toEqual(ExitCode.Usage);
    const run = (...words: string[]): Promise<ExitCode> =>
      runCommandLine(['explain', ...words], {
        writeLine: () => {},
        writeError: () => {},
      });
    expect(await run('--where', '--host', 'h', '--path', '/')).toEqual(
      ExitCode.Usage,
    );
    expect(await run('--where', '--node', node, '--path', '/')).toEqual(
      ExitCode.Usage,
    );
    expect(await run('--request', 'r1', '--team', 't', 'a.log')).toEqual(
      ExitCode.Usage,
    );
  });
});
