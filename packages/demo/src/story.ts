/** The demonstration: what the system is for, told and checked step by step. */

import type {Clock, Random} from '@siskinmux/kernel';
import {after, sleepFor} from '@siskinmux/kernel';
import {createAgent, send} from '@siskinmux/adapters';
import type {HttpAnswer} from '@siskinmux/adapters';
import type {Change, Declarations} from '@siskinmux/declarations';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {DemoCaller} from './caller.js';
import {countOutcomes, startLoad} from './load.js';
import {LocalCluster} from './local_cluster.js';

/** Callers that send at once while nodes are stopped. */
const LOAD_CALLERS = 24;

/** How long the load runs around each stop. */
const LOAD_MILLISECONDS = 1_500;

/** Longest time until a configuration has to be in force everywhere. */
const IN_FORCE_MILLISECONDS = 6_000;

/** Longest time until an idle model has to be unloaded. */
const IDLE_MILLISECONDS = 20_000;

const POLL_MILLISECONDS = 50;

/** What the story came to. */
export interface StoryResult {
  readonly figures: Readonly<Record<string, number>>;
  /** Expectations that did not hold; empty when all is well. */
  readonly failures: readonly string[];
}

/** What the story needs from its surroundings. */
export interface StoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: Declarations;
  readonly tell: (line: string) => void;
  /** Receives the nodes' log lines. */
  readonly writeLog?: (line: string) => void;
}

/** Runs the story; every stand-in and node is gone when it resolves. */
export async function runStory(options: StoryOptions): Promise<StoryResult> {
  const story = Story.create(options);
  return story.run();
}

/** Weight of cold starts that lets idle models go within the demonstration. */
const SHORT_KEEP_ALIVE_WEIGHT = 0.1;

function withShortKeepAlive(declarations: Declarations): Declarations {
  const policy = {
    ...declarations.policy.default,
    cold_start_weight: SHORT_KEEP_ALIVE_WEIGHT,
  };
  return {...declarations, policy: {default: policy}};
}

class Story {
  private readonly agent = createAgent();
  private readonly figures: Record<string, number> = {};
  private readonly failures: string[] = [];
  private readonly startedAt: number;
  private readonly live = new Set<string>();

  private constructor(private readonly options: StoryOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: StoryOptions): Story {
    return new Story(options);
  }

  async run(): Promise<StoryResult> {
    const {clock, random} = this.options;
    const declarations = withShortKeepAlive(this.options.declarations);
    this.tell('Starting a platform, endpoints and three nodes on loopback.');
    const cluster = await LocalCluster.start({
      clock,
      random,
      declarations,
      nodes: ['a', 'b', 'c'],
      writeLog: this.options.writeLog,
    });
    for (const node of cluster.nodes) this.live.add(node.callerUrl);
    try {
      await this.applyDeclarations(cluster);
      await this.wakeModel(cluster);
      await this.issueCouponTwice(cluster);
      await this.refuseConflict(cluster);
      await this.stopNodesUnderLoad(cluster);
      await this.fallIdle(cluster);
    } finally {
      await cluster.stop();
    }
    this.tellEnd();
    return {figures: this.figures, failures: this.failures};
  }

  private async applyDeclarations(cluster: LocalCluster): Promise<void> {
    const changes = diffDeclarations(emptyDeclarations(), cluster.declarations);
    const {models, adapters} = cluster.declarations;
    this.tell(
      `Plan: ${changes.length} entries to add, among them ${Object.keys(models).length} models and ${Object.keys(adapters).length} adapters.`,
    );
    const appliedAt = this.options.clock.now();
    const answer = await this.apply(cluster, 0, 'demo-plan-1', changes);
    this.expect(answer.status === 200, 'the first plan is accepted');
    const isInForce = await this.waitFor(IN_FORCE_MILLISECONDS, async () => {
      const counts = await Promise.all(
        cluster.nodes.map(node => this.countModels(node.callerUrl)),
      );
      return counts.every(count => count > 0);
    });
    this.expect(isInForce, 'the configuration is in force on all nodes');
    this.figure('in_force_milliseconds', this.options.clock.now() - appliedAt);
    this.tell('Applied as number 1; in force on all three nodes.');
  }

  private async wakeModel(cluster: LocalCluster): Promise<void> {
    this.tell('All models sleep. A request for offers-01 arrives at node 2.');
    const startedAt = this.options.clock.now();
    const answer = await this.post(
      `${cluster.node(1).callerUrl}/v1/chat/completions`,
      {
        model: 'offers-01',
        stream: true,
        max_tokens: 12,
        messages: [{role: 'user', content: 'An offer for oat milk, please.'}],
      },
    );
    const took = this.options.clock.now() - startedAt;
    const isWhole = answer.body.trimEnd().endsWith('data: [DONE]');
    this.expect(answer.status === 200 && isWhole, 'the woken model streams');
    const replicas = this.replicas(cluster, 'offers-01');
    this.expect(replicas === 1, 'one replica was loaded');
    this.figure('cold_start_milliseconds', took);
    this.tell(`It woke one replica and streamed its answer after ${took} ms.`);
  }

  private async issueCouponTwice(cluster: LocalCluster): Promise<void> {
    const headers = {'idempotency-key': 'demo-coupon'};
    const path = '/services/coupons/issue';
    const answers = await Promise.all(
      [0, 2].map(index =>
        this.post(
          `${cluster.node(index).callerUrl}${path}`,
          {shopper: 7},
          headers,
        ),
      ),
    );
    const runs = this.executions(cluster).get('demo-coupon') ?? 0;
    const isSame = answers[0]?.body === answers[1]?.body;
    this.expect(runs === 1, 'the coupon was issued once');
    this.expect(isSame, 'both callers got the same answer');
    this.tell(
      'The same coupon, asked for through two nodes at once: issued once, answered twice.',
    );
  }

  private async refuseConflict(cluster: LocalCluster): Promise<void> {
    const {models} = cluster.declarations;
    const change = (name: string): Change => ({
      section: 'models',
      name,
      after: {...models[name], maximum_queue: 99},
    });
    await this.apply(cluster, 1, 'demo-plan-2', [change('offers-02')]);
    const refused = await this.apply(cluster, 1, 'demo-plan-3', [
      change('offers-03'),
    ]);
    const {theirs, yours} = JSON.parse(refused.body) as {
      theirs?: string[];
      yours?: string[];
    };
    const isShown = theirs?.length === 1 && yours?.length === 1;
    this.expect(refused.status === 409, 'the conflicting plan is refused');
    this.expect(isShown, 'both sides of the conflict are shown');
    this.tell('Two operators planned against number 1. The second is refused:');
    for (const line of theirs ?? []) this.tell(`    theirs: ${line}`);
    for (const line of yours ?? []) this.tell(`    yours:  ${line}`);
  }

  private async stopNodesUnderLoad(cluster: LocalCluster): Promise<void> {
    const {clock, random} = this.options;
    this.tell(`${LOAD_CALLERS} callers send text requests and coupons.`);
    const caller = DemoCaller.create({
      clock,
      random,
      nodes: () => [...this.live],
    });
    const load = startLoad({
      clock,
      caller,
      callers: LOAD_CALLERS,
      model: 'offers-01',
    });
    await this.sleep(LOAD_MILLISECONDS);
    const [first, second] = [cluster.node(0), cluster.node(1)];
    this.tell('Node 1 dies without a word.');
    await first.abandon();
    this.live.delete(first.callerUrl);
    await this.sleep(LOAD_MILLISECONDS);
    this.tell('Node 2 is stopped gracefully.');
    const stopping = second.stop();
    // The balancer notices "not ready" within the notice that the node gives.
    this.live.delete(second.callerUrl);
    await stopping;
    await this.sleep(LOAD_MILLISECONDS);
    const results = await load.end();
    this.judgeLoad(cluster, countOutcomes(results), results.length);
  }

  private judgeLoad(
    cluster: LocalCluster,
    counts: ReturnType<typeof countOutcomes>,
    total: number,
  ): void {
    const most = Math.max(0, ...this.executions(cluster).values());
    this.expect(most <= 1, 'no coupon was issued twice');
    this.expect(counts.wrong === 0, 'every answer was whole and its own');
    this.expect(counts.dropped === 0, 'no request was dropped');
    this.expect(total > LOAD_CALLERS, 'the load ran');
    this.figure('load_requests', total);
    this.figure('load_answered', counts.answered);
    this.figure('load_unknown', counts.unknown);
    this.figure('load_refused', counts.refused);
    this.figure('load_wrong', counts.wrong);
    this.figure('load_dropped', counts.dropped);
    this.figure('most_runs_of_one_coupon', most);
    this.tell(
      `${total} requests: ${counts.answered} answered, ${counts.refused} refused as not run, ${counts.unknown} told that the outcome is unknown, ${counts.wrong} wrong, ${counts.dropped} dropped; no coupon issued twice.`,
    );
  }

  private async fallIdle(cluster: LocalCluster): Promise<void> {
    this.tell('Nobody asks any more.');
    const startedAt = this.options.clock.now();
    const isFree = await this.waitFor(IDLE_MILLISECONDS, async () =>
      [...cluster.standIns.engines.values()].every(
        engine => engine.observe().usedBytes === 0,
      ),
    );
    this.expect(isFree, 'idle models are unloaded');
    const took = this.options.clock.now() - startedAt;
    this.figure('idle_release_milliseconds', took);
    this.tell(`All accelerator memory was given back after ${took} ms.`);
  }

  private tellEnd(): void {
    this.figure(
      'total_milliseconds',
      this.options.clock.now() - this.startedAt,
    );
    this.tell('');
    for (const [name, value] of Object.entries(this.figures)) {
      this.options.tell(`  ${name.padEnd(28)} ${value}`);
    }
    for (const failure of this.failures) {
      this.options.tell(`  NOT MET: ${failure}`);
    }
  }

  private async apply(
    cluster: LocalCluster,
    basedOn: number,
    id: string,
    changes: readonly Change[],
  ): Promise<HttpAnswer> {
    return this.post(`${cluster.node(0).operatorUrl}/patches`, {
      id,
      based_on: basedOn,
      author: 'demo',
      reason: 'demonstration',
      changes,
    });
  }

  private async countModels(url: string): Promise<number> {
    const answer = await send(this.agent, {
      method: 'GET',
      url: `${url}/v1/models`,
    });
    return (JSON.parse(answer.body) as {data: unknown[]}).data.length;
  }

  private post(
    url: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<HttpAnswer> {
    return send(this.agent, {
      method: 'POST',
      url,
      headers: {'content-type': 'application/json', ...headers},
      body: JSON.stringify(body),
    });
  }

  private executions(cluster: LocalCluster): ReadonlyMap<string, number> {
    return cluster.standIns.serviceRecords.get('coupons')?.executions ?? new Map();
  }

  private replicas(cluster: LocalCluster, model: string): number {
    return [...cluster.standIns.engines.values()].filter(engine =>
      engine.observe().models.includes(model),
    ).length;
  }

  private async waitFor(
    limit: number,
    isReached: () => Promise<boolean>,
  ): Promise<boolean> {
    const end = after(this.options.clock.now(), limit);
    while (this.options.clock.now() < end) {
      if (await isReached()) return true;
      await this.sleep(POLL_MILLISECONDS);
    }
    return false;
  }

  private sleep(milliseconds: number): Promise<void> {
    const {clock} = this.options;
    return sleepFor(clock, milliseconds);
  }

  private expect(holds: boolean, what: string): void {
    if (!holds) this.failures.push(what);
  }

  private figure(name: string, value: number): void {
    this.figures[name] = value;
  }

  private tell(line: string): void {
    const seconds = (this.options.clock.now() - this.startedAt) / 1_000;
    this.options.tell(`${seconds.toFixed(1).padStart(5)} s  ${line}`);
  }
}
