/** Callers with keys at nodes that serve by different versions of the configuration. */

import {after as afterAll, before, describe, it} from 'node:test';
import {expect} from 'earl';
import {Counter, Histogram} from 'prom-client';
import {systemClock} from '@siskinmux/adapters';
import type {AcceptedPatch} from '@siskinmux/configuration';
import {ConfigurationState} from '@siskinmux/configuration';
import type {GenerationChunk} from '@siskinmux/ports';
import type {TextRequest} from '@siskinmux/requests';
import {digestApiKey} from '@siskinmux/routes';
import type {Listener, Tracing} from '@siskinmux/runtime';
import {listen} from '@siskinmux/runtime';
import {CallerContext, CallerController} from '../src/caller_api.js';
import type {RequestHandlers} from '../src/requests_plugin.js';

const OLD_KEY = 'mytdqf5swkcup4umfwwq';
const NEW_KEY = '3bpepuuv3kic7bv9asmt';

function patch(number: number, key: string): AcceptedPatch {
  return {
    number,
    id: `patch-${number}`,
    author: 'test',
    reason: 'test',
    accepted_at: 0,
    changes: [
      {
        section: 'teams',
        name: 'fizi',
        after: {key_digests: [digestApiKey(key)], priority: number},
      },
    ],
  };
}

const PATCHES = [patch(1, OLD_KEY), patch(2, NEW_KEY)];

const tracing: Tracing = {
  start: () => ({traceparent: undefined, set: () => {}, end: () => {}}),
};

/** The interface for callers of one node, with a handler that only notes requests. */
class NodeInterface {
  readonly state = ConfigurationState.create();
  readonly requests: TextRequest[] = [];
  /** The streams wait for it after their first token. */
  streamEnd = Promise.resolve();
  private listener: Listener | undefined;

  async start(): Promise<void> {
    const context = CallerContext.create({
      clock: systemClock,
      requests: {
        text: {generate: (request: TextRequest) => this.generate(request)},
      } as unknown as RequestHandlers,
      tracing,
      declarations: () => this.state.current.declarations,
      answered: new Counter({
        name: 'answered',
        help: 'answered',
        labelNames: ['kind', 'status'],
        registers: [],
      }),
      firstTokenSeconds: new Histogram({
        name: 'first',
        help: 'first',
        labelNames: ['kind'],
        registers: [],
      }),
    });
    this.listener = await listen({
      address: '127.0.0.1',
      port: 0,
      bodyLimitBytes: 1_000,
      controllers: [CallerController],
      providers: [{provide: CallerContext, useValue: context}],
    });
  }

  async stop(): Promise<void> {
    await this.listener?.abandon();
  }

  send(key: string | undefined, stream = false): Promise<Response> {
    return fetch(`${this.listener?.url}/v1/completions`, {
      method: 'POST',
      headers: key === undefined ? {} : {'x-api-key': key},
      body: JSON.stringify({model: 'offers', prompt: 'hello', stream}),
    });
  }

  async statusOf(key: string | undefined): Promise<number> {
    const response = await this.send(key);
    await response.text();
    return response.status;
  }

  private async *generate(
    request: TextRequest,
  ): AsyncIterable<GenerationChunk> {
    this.requests.push(request);
    yield {kind: 'token', text: 'first'};
    await this.streamEnd;
    yield {kind: 'end', reason: 'stop', promptTokens: 1, completionTokens: 1};
  }
}

describe('nodes with different versions of the configuration', () => {
  const [newer, older, empty] = [
    new NodeInterface(),
    new NodeInterface(),
    new NodeInterface(),
  ];

  before(async () => {
    for (const node of [newer, older, empty]) await node.start();
    newer.state.applyPatches(PATCHES);
    older.state.applyPatches(PATCHES.slice(0, 1));
  });

  afterAll(async () => {
    for (const node of [newer, older, empty]) await node.stop();
  });

  it('each decide by the version that they have, and a node without one serves anybody', async () => {
    expect(await newer.statusOf(OLD_KEY)).toEqual(401);
    expect(await newer.statusOf(NEW_KEY)).toEqual(200);
    expect(await older.statusOf(OLD_KEY)).toEqual(200);
    expect(await older.statusOf(NEW_KEY)).toEqual(401);
    expect(await empty.statusOf(OLD_KEY)).toEqual(200);
    expect(await empty.statusOf(undefined)).toEqual(200);
    const priorities = [newer, older, empty].map(
      ({requests}) => requests.at(-1)?.teamPriority,
    );
    expect(priorities).toEqual([2, 1, undefined]);
    expect([newer, older].map(({requests}) => requests.length)).toEqual([1, 1]);
  });

  it('give requests to their handlers without the key', () => {
    for (const {requests} of [newer, older, empty]) {
      const text = JSON.stringify(requests);
      for (const key of [OLD_KEY, NEW_KEY]) {
        expect(text).not.toInclude(key);
        expect(text).not.toInclude(digestApiKey(key));
      }
    }
  });

  // A key is read once, at the start: nothing that was accepted is cut off.
  it('finish a stream whose key a newer version removes, and refuse the next request', async () => {
    let finish = (): void => {};
    older.streamEnd = new Promise(resolve => {
      finish = resolve;
    });
    const response = await older.send(OLD_KEY, true);
    expect(response.status).toEqual(200);
    older.state.applyPatches(PATCHES);
    expect(await older.statusOf(OLD_KEY)).toEqual(401);
    finish();
    expect(await response.text()).toInclude('[DONE]');
    expect(await older.statusOf(NEW_KEY)).toEqual(200);
  });

  it('keep the teams of the version that they have when an older one arrives', async () => {
    newer.state.applyPatches(PATCHES.slice(0, 1));
    expect(await newer.statusOf(OLD_KEY)).toEqual(401);
  });
});
