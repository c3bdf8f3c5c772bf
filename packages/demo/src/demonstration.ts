/** The demonstration: runs the main features step by step and verifies each. */

import type {Clock, Random} from '@siskinmux/kernel';
import {after, sleepFor} from '@siskinmux/kernel';
import {MAXIMUM_RESPONSE_BYTES, createAgent, send} from '@siskinmux/adapters';
import type {HttpResponse} from '@siskinmux/adapters';
import type {Change, Declarations} from '@siskinmux/declarations';
import {diffDeclarations, emptyDeclarations} from '@siskinmux/declarations';
import {DemoCaller} from './caller.js';
import {countOutcomes, startLoad} from './load.js';
import {LocalCluster} from './local_cluster.js';

/** Concurrent callers while nodes are stopped. */
const LOAD_CALLERS = 24;

/** Time for which the load runs before and after each stop of a node. */
const LOAD_MILLISECONDS = 1_500;

/** Timeout for a configuration to become active on all nodes. */
const ACTIVATION_TIMEOUT_MILLISECONDS = 6_000;

/** Timeout for idle models to be unloaded. */
const IDLE_UNLOAD_TIMEOUT_MILLISECONDS = 20_000;

const POLL_INTERVAL_MILLISECONDS = 50;

/** Result of the demonstration. */
export interface DemonstrationResult {
  readonly figures: Readonly<Record<string, number>>;
  /** Expectations that were not met; empty on success. */
  readonly failures: readonly string[];
}

/** Dependencies of the demonstration. */
export interface DemonstrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly declarations: Declarations;
  /** Receives the progress lines and the summary. */
  readonly writeLine: (line: string) => void;
  /** Receives the log lines of the nodes. */
  readonly writeLog?: (line: string) => void;
}

/** Runs the demonstration; all stand-ins and nodes have stopped when it resolves. */
export async function runDemonstration(
  options: DemonstrationOptions,
): Promise<DemonstrationResult> {
  const demonstration = Demonstration.create(options);
  return demonstration.run();
}

/**
 * Cold-start weight that is low enough for idle models to be unloaded during the
 * demonstration.
 */
const SHORT_KEEP_ALIVE_WEIGHT = 0.1;

function withShortKeepAlive(declarations: Declarations): Declarations {
  const policy = {
    ...declarations.policy.default,
    cold_start_weight: SHORT_KEEP_ALIVE_WEIGHT,
  };
  return {...declarations, policy: {default: policy}};
}

class Demonstration {
  private readonly agent = createAgent();
  private readonly figures: Record<string, number> = {};
  private readonly failures: string[] = [];
  private readonly startedAt: number;
  private readonly liveNodeUrls = new Set<string>();

  private constructor(private readonly options: DemonstrationOptions) {
    this.startedAt = options.clock.now();
  }

  static create(options: DemonstrationOptions): Demonstration {
    return new Demonstration(options);
  }

  async run(): Promise<DemonstrationResult> {
    const {clock, random} = this.options;
    const declarations = withShortKeepAlive(this.options.declarations);
    this.printLine(
      'Starting a platform, endpoints and three nodes on loopback.',
    );
    const cluster = await LocalCluster.start({
      clock,
      random,
      declarations,
      nodes: ['a', 'b', 'c'],
      writeLog: this.options.writeLog,
    });
    for (const node of cluster.nodes) this.liveNodeUrls.add(node.callerUrl);
    try {
      await this.applyDeclarations(cluster);
      await this.loadModelOnDemand(cluster);
      await this.issueCouponTwice(cluster);
      await this.rejectConflictingPlan(cluster);
      await this.stopNodesUnderLoad(cluster);
      await this.unloadIdleModels(cluster);
    } finally {
      await cluster.stop();
    }
    this.printSummary();
    return {figures: this.figures, failures: this.failures};
  }

  private async applyDeclarations(cluster: LocalCluster): Promise<void> {
    const changes = diffDeclarations(emptyDeclarations(), cluster.declarations);
    const {models, adapters} = cluster.declarations;
    this.printLine(
      `Plan: ${changes.length} entries to add, among them ${Object.keys(models).length} models and ${Object.keys(adapters).length} adapters.`,
    );
    const appliedAt = this.options.clock.now();
    const response = await this.apply(cluster, 0, 'demo-plan-1', changes);
    this.expect(response.status === 200, 'the first plan is accepted');
    const isActive = await this.waitFor(
      ACTIVATION_TIMEOUT_MILLISECONDS,
      async () => {
        const counts = await Promise.all(
          cluster.nodes.map(node => this.countModels(node.callerUrl)),
        );
        return counts.every(count => count > 0);
      },
    );
    this.expect(isActive, 'the configuration is active on all nodes');
    this.recordFigure(
      'in_force_milliseconds',
      this.options.clock.now() - appliedAt,
    );
    this.printLine('Applied as number 1; active on all three nodes.');
  }

  private async loadModelOnDemand(cluster: LocalCluster): Promise<void> {
    this.printLine(
      'No model is loaded. A request for offers-01 arrives at node 2.',
    );
    const startedAt = this.options.clock.now();
    const response = await this.post(
      `${cluster.node(1).callerUrl}/v1/chat/completions`,
      {
        model: 'offers-01',
        stream: true,
        max_tokens: 12,
        messages: [{role: 'user', content: 'An offer for oat milk, please.'}],
      },
    );
    const elapsedMilliseconds = this.options.clock.now() - startedAt;
    const isComplete = response.body.trimEnd().endsWith('data: [DONE]');
    this.expect(
      response.status === 200 && isComplete,
      'the model streams after its cold start',
    );
    const replicas = this.countReplicas(cluster, 'offers-01');
    this.expect(replicas === 1, 'one replica was loaded');
    this.recordFigure('cold_start_milliseconds', elapsedMilliseconds);
    this.printLine(
      `One replica was loaded and the response streamed within ${elapsedMilliseconds} ms.`,
    );
  }

  private async issueCouponTwice(cluster: LocalCluster): Promise<void> {
    const headers = {'idempotency-key': 'demo-coupon'};
    const path = '/services/coupons/issue';
    const responses = await Promise.all(
      [0, 2].map(index =>
        this.post(
          `${cluster.node(index).callerUrl}${path}`,
          {shopper: 7},
          headers,
        ),
      ),
    );
    const executions = this.executionsByKey(cluster).get('demo-coupon') ?? 0;
    const isSameResponse = responses[0]?.body === responses[1]?.body;
    this.expect(executions === 1, 'the coupon was issued once');
    this.expect(isSameResponse, 'both callers got the same response');
    this.printLine(
      'The same coupon was requested at two nodes at once: issued once, and both callers got it.',
    );
  }

  private async rejectConflictingPlan(cluster: LocalCluster): Promise<void> {
    const {models} = cluster.declarations;
    const change = (name: string): Change => ({
      section: 'models',
      name,
      after: {...models[name], maximum_queue: 99},
    });
    await this.apply(cluster, 1, 'demo-plan-2', [change('offers-02')]);
    const rejected = await this.apply(cluster, 1, 'demo-plan-3', [
      change('offers-03'),
    ]);
    const {theirs, yours} = JSON.parse(rejected.body) as {
      theirs?: string[];
      yours?: string[];
    };
    const showsBothSides = theirs?.length === 1 && yours?.length === 1;
    this.expect(rejected.status === 409, 'the conflicting plan is rejected');
    this.expect(showsBothSides, 'both sides of the conflict are shown');
    this.printLine(
      'Two operators planned against number 1. The second plan is rejected:',
    );
    for (const line of theirs ?? []) this.printLine(`    theirs: ${line}`);
    for (const line of yours ?? []) this.printLine(`    yours:  ${line}`);
  }

  private async stopNodesUnderLoad(cluster: LocalCluster): Promise<void> {
    const {clock, random} = this.options;
    this.printLine(`${LOAD_CALLERS} callers send text requests and coupons.`);
    const caller = DemoCaller.create({
      clock,
      random,
      nodes: () => [...this.liveNodeUrls],
    });
    const load = startLoad({
      clock,
      caller,
      callers: LOAD_CALLERS,
      model: 'offers-01',
    });
    await this.sleep(LOAD_MILLISECONDS);
    const [first, second] = [cluster.node(0), cluster.node(1)];
    this.printLine('Node 1 crashes.');
    await first.abandon();
    this.liveNodeUrls.delete(first.callerUrl);
    await this.sleep(LOAD_MILLISECONDS);
    this.printLine('Node 2 is stopped gracefully.');
    const stopping = second.stop();
    // The load balancer sees "not ready" during the notice period of the node.
    this.liveNodeUrls.delete(second.callerUrl);
    await stopping;
    await this.sleep(LOAD_MILLISECONDS);
    const results = await load.end();
    this.verifyLoad(cluster, countOutcomes(results), results.length);
  }

  private verifyLoad(
    cluster: LocalCluster,
    counts: ReturnType<typeof countOutcomes>,
    total: number,
  ): void {
    const maximumExecutions = Math.max(
      0,
      ...this.executionsByKey(cluster).values(),
    );
    this.expect(maximumExecutions <= 1, 'no coupon was issued twice');
    this.expect(
      counts.wrong === 0,
      'every response was complete and matched its request',
    );
    this.expect(counts.dropped === 0, 'no request was dropped');
    this.expect(total > LOAD_CALLERS, 'the load ran');
    this.recordFigure('load_requests', total);
    this.recordFigure('load_answered', counts.answered);
    this.recordFigure('load_unknown', counts.unknown);
    this.recordFigure('load_refused', counts.refused);
    this.recordFigure('load_wrong', counts.wrong);
    this.recordFigure('load_dropped', counts.dropped);
    this.recordFigure('most_runs_of_one_coupon', maximumExecutions);
    this.printLine(
      `${total} requests: ${counts.answered} answered, ${counts.refused} refused as not run, ${counts.unknown} with an unknown outcome, ${counts.wrong} wrong, ${counts.dropped} dropped; no coupon issued twice.`,
    );
  }

  private async unloadIdleModels(cluster: LocalCluster): Promise<void> {
    this.printLine('The load has ended.');
    const startedAt = this.options.clock.now();
    const isReleased = await this.waitFor(
      IDLE_UNLOAD_TIMEOUT_MILLISECONDS,
      async () =>
        [...cluster.standIns.engines.values()].every(
          engine => engine.observe().usedBytes === 0,
        ),
    );
    this.expect(isReleased, 'idle models are unloaded');
    const elapsedMilliseconds = this.options.clock.now() - startedAt;
    this.recordFigure('idle_release_milliseconds', elapsedMilliseconds);
    this.printLine(
      `All accelerator memory was released after ${elapsedMilliseconds} ms.`,
    );
  }

  private printSummary(): void {
    this.recordFigure(
      'total_milliseconds',
      this.options.clock.now() - this.startedAt,
    );
    this.printLine('');
    for (const [name, value] of Object.entries(this.figures)) {
      this.options.writeLine(`  ${name.padEnd(28)} ${value}`);
    }
    for (const failure of this.failures) {
      this.options.writeLine(`  NOT MET: ${failure}`);
    }
  }

  private async apply(
    cluster: LocalCluster,
    basedOn: number,
    id: string,
    changes: readonly Change[],
  ): Promise<HttpResponse> {
    return this.post(`${cluster.node(0).operatorUrl}/patches`, {
      id,
      based_on: basedOn,
      author: 'demo',
      reason: 'demonstration',
      changes,
    });
  }

  private async countModels(url: string): Promise<number> {
    const response = await send(this.agent, {
      method: 'GET',
      url: `${url}/v1/models`,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
    });
    return (JSON.parse(response.body) as {data: unknown[]}).data.length;
  }

  private post(
    url: string,
    body: unknown,
    headers: Record<string, string> = {},
  ): Promise<HttpResponse> {
    return send(this.agent, {
      method: 'POST',
      url,
      headers: {'content-type': 'application/json', ...headers},
      body: JSON.stringify(body),
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
    });
  }

  private executionsByKey(cluster: LocalCluster): ReadonlyMap<string, number> {
    return (
      cluster.standIns.serviceRecords.get('coupons')?.executions ?? new Map()
    );
  }

  private countReplicas(cluster: LocalCluster, model: string): number {
    return [...cluster.standIns.engines.values()].filter(engine =>
      engine.observe().models.includes(model),
    ).length;
  }

  private async waitFor(
    timeoutMilliseconds: number,
    isReached: () => Promise<boolean>,
  ): Promise<boolean> {
    const deadline = after(this.options.clock.now(), timeoutMilliseconds);
    while (this.options.clock.now() < deadline) {
      if (await isReached()) return true;
      await this.sleep(POLL_INTERVAL_MILLISECONDS);
    }
    return false;
  }

  private sleep(milliseconds: number): Promise<void> {
    const {clock} = this.options;
    return sleepFor(clock, milliseconds);
  }

  private expect(isMet: boolean, expectation: string): void {
    if (!isMet) this.failures.push(expectation);
  }

  private recordFigure(name: string, value: number): void {
    this.figures[name] = value;
  }

  private printLine(line: string): void {
    const seconds = (this.options.clock.now() - this.startedAt) / 1_000;
    this.options.writeLine(`${seconds.toFixed(1).padStart(5)} s  ${line}`);
  }
}
