import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  EndpointId,
  Fingerprint,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {Outcome, as, discardEvents, until} from '@siskinmux/kernel';
import type {CrashId, Suspect} from '@siskinmux/routing';
import {VirtualClock} from '@siskinmux/testkit';
import {CrashQuarantine} from '../src/crash_quarantine.js';
import {
  decodeSuspects,
  encodeSuspects,
  suspectsSchema,
} from '../src/suspect_messages.js';
import {createEngineDescription} from './engine_description.js';

const STABLE_MILLISECONDS = 3_000;
const ALLOWED_SENDS_AFTER_THIRD_CRASH = 3;
const DAY_MILLISECONDS = 86_400_000;

const id = as<RequestId>('id');
const culprit = as<Fingerprint>('culprit');
const endpoint = createEngineDescription(
  as<EndpointId>('e'),
  as<ServiceName>('text'),
  [],
);

/** Nodes of which the first one holds the lease. */
class Cluster {
  readonly clock = VirtualClock.create();
  readonly nodes: CrashQuarantine[] = [];
  crashCount = 0;

  constructor(nodeCount: number) {
    for (let index = 0; index < nodeCount; index += 1) this.addNode();
    this.connect(0);
  }

  addNode(): CrashQuarantine {
    const node = CrashQuarantine.create({
      clock: this.clock,
      emit: discardEvents,
      onCrash: () => {},
      onWithheld: () => {},
    });
    this.nodes.push(node);
    return node;
  }

  /** Connects all nodes to a lease holder. */
  connect(holderIndex: number): void {
    const holder = this.nodes[holderIndex];
    if (holder === undefined) throw new TypeError('no such node');
    for (const node of this.nodes) {
      node.merge(this.transmit(holder.records));
      node.setExchange({
        reportSuspects: suspects => {
          const received = this.transmit(suspects);
          const added = node === holder ? received : holder.merge(received);
          for (const other of this.nodes) other.merge(added);
        },
        requestProbation: fingerprint =>
          Promise.resolve(holder.allowProbation(fingerprint)),
      });
    }
  }

  crash(node: CrashQuarantine, fingerprint: Fingerprint, name?: string): void {
    this.crashCount += 1;
    const crash = as<CrashId>(name ?? `e${this.crashCount}`);
    node.recordCrash(
      {
        fingerprint,
        endpoint,
        sentAt: this.clock.now(),
        hadResponded: false,
      },
      crash,
      'refused',
    );
  }

  private transmit(suspects: readonly Suspect[]): Suspect[] {
    const now = this.clock.now();
    return encodeSuspects(suspects, now).flatMap(message =>
      decodeSuspects(
        suspectsSchema.parse(JSON.parse(JSON.stringify(message))),
        now,
      ),
    );
  }
}

describe(CrashQuarantine.name, () => {
  it('lets a request that crashes its endpoints run at most three times after the third crash, over all nodes in a day', async () => {
    const cluster = new Cluster(7);
    const {clock, nodes} = cluster;
    const start = clock.now();
    let thirdCrashAt = Infinity;
    let lateSends = 0;
    for (
      let arrival = 0;
      until(start, clock.now()) < DAY_MILLISECONDS;
      arrival += 1
    ) {
      const node = nodes[arrival % nodes.length]!;
      if ((await node.check(culprit, id)) === undefined) {
        if (clock.now() > thirdCrashAt + STABLE_MILLISECONDS) lateSends += 1;
        cluster.crash(node, culprit);
        if (cluster.crashCount === 3) thirdCrashAt = clock.now();
      }
      await clock.advance(1_500);
    }
    expect(lateSends).toBeLessThanOrEqual(ALLOWED_SENDS_AFTER_THIRD_CRASH);
  });

  it('withholds the request at a node that connects after the crashes, and after a takeover', async () => {
    const cluster = new Cluster(3);
    const [holder, reporter] = cluster.nodes;
    cluster.crash(reporter!, culprit);
    cluster.crash(reporter!, culprit);
    cluster.addNode();
    cluster.connect(2);
    for (const node of cluster.nodes) {
      const refusal = await node.check(culprit, id);
      expect(refusal?.outcome).toEqual(Outcome.NotRun);
    }
    expect(holder?.records.length).toEqual(1);
  });

  it('reports crashes that were recorded without a lease holder to the next one', async () => {
    const cluster = new Cluster(3);
    const [holder, cutOff] = cluster.nodes;
    cutOff!.setExchange(undefined);
    cluster.crash(cutOff!, culprit);
    cluster.crash(cutOff!, culprit);
    expect(await holder!.check(culprit, id)).toEqual(undefined);
    cluster.connect(0);
    expect((await holder!.check(culprit, id))?.outcome).toEqual(Outcome.NotRun);
  });

  it('allows a single run after a quarantine, although all nodes receive the request at once', async () => {
    const cluster = new Cluster(7);
    cluster.crash(cluster.nodes[1]!, culprit);
    cluster.crash(cluster.nodes[2]!, culprit);
    await cluster.clock.advance(40_000);
    const refusals = await Promise.all(
      cluster.nodes.map(node => node.check(culprit, id)),
    );
    expect(refusals.filter(refusal => refusal === undefined).length).toEqual(1);
  });

  it('refuses a request on probation while no lease holder can be asked', async () => {
    const cluster = new Cluster(2);
    const [, node] = cluster.nodes;
    cluster.crash(node!, culprit);
    cluster.crash(node!, culprit);
    await cluster.clock.advance(40_000);
    node!.setExchange(undefined);
    expect((await node!.check(culprit, id))?.outcome).toEqual(Outcome.NotRun);
  });

  it('serves a harmless request again within a minute although it shared three crashed endpoints', async () => {
    const cluster = new Cluster(3);
    const [first, second] = cluster.nodes;
    const harmless = as<Fingerprint>('harmless');
    for (const crash of ['e1', 'e2', 'e3']) {
      cluster.crash(first!, culprit, crash);
      if (crash !== 'e3') cluster.crash(second!, harmless, crash);
    }
    expect(await second!.check(harmless, id)).toEqual(undefined);
    cluster.crash(second!, harmless, 'e3');
    await cluster.clock.advance(60_000);
    cluster.crash(first!, culprit, 'e4');
    expect(await second!.check(harmless, id)).toEqual(undefined);
  });

  it('is cleared on all nodes once an endpoint has completed the request', async () => {
    const cluster = new Cluster(3);
    const [first, second, third] = cluster.nodes;
    cluster.crash(first!, culprit);
    cluster.crash(second!, culprit);
    third!.recordServed(culprit);
    for (const node of cluster.nodes)
      expect(await node.check(culprit, id)).toEqual(undefined);
  });

  it('avoids endpoints on which another suspect of this node runs', () => {
    const cluster = new Cluster(1);
    const [node] = cluster.nodes;
    const other = as<Fingerprint>('other');
    cluster.crash(node!, culprit, 'e1');
    cluster.crash(node!, other, 'e1');
    const end = node!.trackRun(culprit, endpoint.id);
    expect([...node!.endpointsToAvoid(other)]).toEqual([endpoint.id]);
    expect([...node!.endpointsToAvoid(culprit)]).toEqual([]);
    end();
    expect([...node!.endpointsToAvoid(other)]).toEqual([]);
  });
});
