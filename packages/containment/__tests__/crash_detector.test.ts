import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {ProbeResult} from '@siskinmux/forwarding';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {VirtualClock, createEngineDescription} from '@siskinmux/testkit';
import type {BrokenRun} from '../src/crash_detector.js';
import type {Trait} from '../src/index.js';
import {CrashDetector} from '../src/crash_detector.js';

const service = as<ServiceName>('text');

function endpoint(
  id: string,
  start = 1,
  overrides: Partial<EndpointDescription> = {},
): EndpointDescription {
  return {
    ...createEngineDescription(as<EndpointId>(id), service, []),
    incarnation: as<Incarnation>(`${id}@${start}`),
    ...overrides,
  };
}

function build(probeResult: ProbeResult, hasEnded = true) {
  const clock = VirtualClock.create();
  const table = EndpointTable.create();
  const crashes: string[] = [];
  let probeCount = 0;
  const detector = CrashDetector.create({
    table,
    clock,
    probe: () => {
      probeCount += 1;
      return Promise.resolve(probeResult);
    },
    hasEnded: () => Promise.resolve(hasEnded),
    onCrash: (run, crash, evidence) =>
      crashes.push(`${run.traits.join()} ${crash} ${evidence}`),
  });
  const list = (...listed: EndpointDescription[]): void =>
    detector.applyEndpointChanges(table.replaceAll(listed, undefined));
  const run = (at: EndpointDescription, content = 'x'): BrokenRun => ({
    traits: [as<Trait>(content)],
    endpoint: at,
    sentAt: clock.now(),
    hadResponded: false,
  });
  return {clock, crashes, detector, list, run, probes: () => probeCount};
}

describe(CrashDetector.name, () => {
  it('reports a crash at once when nothing listens at the address, with one probe for all requests', async () => {
    const {crashes, detector, list, run, probes} = build('refused');
    list(endpoint('e'));
    await Promise.all([
      detector.checkBrokenRun(run(endpoint('e'), 'x')),
      detector.checkBrokenRun(run(endpoint('e'), 'y')),
    ]);
    expect(crashes).toEqual(['x e@1 refused', 'y e@1 refused']);
    expect(probes()).toEqual(1);
  });

  it('does not report a refusal that only shows a broken link of this node, until the endpoint restarts', async () => {
    const {crashes, detector, list, run} = build('refused', false);
    list(endpoint('e'));
    await detector.checkBrokenRun(run(endpoint('e')));
    expect(crashes).toEqual([]);
    list(endpoint('e', 2));
    expect(crashes).toEqual(['x e@1 restarted']);
  });

  it('does not report a reset connection at an endpoint that keeps running', async () => {
    const {clock, crashes, detector, list, run} = build('listening');
    list(endpoint('e'));
    await detector.checkBrokenRun(run(endpoint('e')));
    list(endpoint('e', 1, {orderCount: 1}));
    await clock.advance(60_000);
    list(endpoint('e', 2));
    expect(crashes).toEqual([]);
  });

  it('does not report an endpoint that ends because it drains, before or after it is listed so', async () => {
    const {crashes, detector, list, run} = build('refused');
    list(endpoint('e', 1, {isDraining: true}));
    await detector.checkBrokenRun(run(endpoint('e')));
    list();
    await detector.checkBrokenRun(run(endpoint('e')));
    expect(crashes).toEqual([]);
  });

  it('does not report an endpoint that drains after a broken connection and then restarts', async () => {
    const {crashes, detector, list, run} = build('listening');
    list(endpoint('e'));
    await detector.checkBrokenRun(run(endpoint('e')));
    list(endpoint('e', 1, {isDraining: true}));
    list(endpoint('e', 2));
    expect(crashes).toEqual([]);
  });

  it('does not report a planned restart of which a node that was paused hears only afterwards', async () => {
    const {clock, crashes, detector, list, run} = build('listening');
    list(endpoint('e'));
    const broken = run(endpoint('e'));
    await clock.advance(8_000);
    list(endpoint('e', 1, {isDraining: true}));
    list(endpoint('e', 2));
    await detector.checkBrokenRun(broken);
    detector.watchForRestart(broken);
    expect(crashes).toEqual([]);
  });

  it('reports the crash of an endpoint after its planned restart', async () => {
    const {crashes, detector, list, run} = build('refused');
    list(endpoint('e', 1, {isDraining: true}));
    list(endpoint('e', 2));
    await detector.checkBrokenRun(run(endpoint('e', 2)));
    expect(crashes).toEqual(['x e@2 refused']);
  });

  it('reports a crash later when an endpoint that could not be probed has restarted, under its id or another one', async () => {
    for (const restarted of [
      endpoint('e', 2),
      endpoint('f', 1, {address: endpoint('e').address}),
    ]) {
      const {crashes, detector, list, run} = build('unknown');
      list(endpoint('e'));
      await detector.checkBrokenRun(run(endpoint('e')));
      expect(crashes).toEqual([]);
      list(restarted);
      expect(crashes).toEqual(['x e@1 restarted']);
    }
  });

  it('does not report a crash when the address belongs to another service', async () => {
    const {crashes, detector, list, run} = build('unknown');
    list(endpoint('e'));
    await detector.checkBrokenRun(run(endpoint('e')));
    list(
      endpoint('f', 1, {
        address: endpoint('e').address,
        service: as<ServiceName>('other'),
      }),
    );
    expect(crashes).toEqual([]);
  });

  it('tells two crashes apart while the table still lists the first incarnation', async () => {
    const {clock, crashes, detector, list, run} = build('refused');
    list(endpoint('e'));
    await detector.checkBrokenRun(run(endpoint('e')));
    await clock.advance(1_000);
    await detector.checkBrokenRun(run(endpoint('e')));
    expect(crashes).toEqual(['x e@1 refused', 'x e@1#2 refused']);
  });

  it('reports a run that was aborted early at an endpoint that restarts without having responded again', async () => {
    const {clock, crashes, detector, list, run} = build('unknown');
    list(endpoint('e'));
    const connectedAt = clock.now();
    await clock.advance(100);
    detector.watchWhileSilent(run(endpoint('e'), 'silenced'));
    await clock.advance(1_000);
    const reconnectedAt = clock.now();
    detector.recordResponse(endpoint('f'), connectedAt);
    detector.recordResponse(endpoint('e'), reconnectedAt);
    list(endpoint('e', 2));
    expect(crashes).toEqual(['silenced e@1 restarted']);
  });

  it('does not report a run that was aborted early if the same process responded afterwards', async () => {
    const {clock, crashes, detector, list, run} = build('unknown');
    list(endpoint('e'));
    const connectedAt = clock.now();
    await clock.advance(100);
    detector.watchWhileSilent(run(endpoint('e'), 'aborted'));
    detector.watchForRestart(run(endpoint('e'), 'silent'));
    detector.recordResponse(endpoint('e'), connectedAt);
    list(endpoint('e', 2));
    expect(crashes).toEqual(['silent e@1 restarted']);
  });

  it('takes an endpoint that is silent after its response for running, unless it refuses connections', async () => {
    const running: boolean[] = [];
    for (const probeResult of ['listening', 'unknown', 'refused'] as const) {
      const {detector, list} = build(probeResult);
      list(endpoint('e'));
      running.push(await detector.isRunning(endpoint('e')));
    }
    expect(running).toEqual([true, true, false]);
  });

  it('keeps a bounded number of runs whose endpoint may have restarted', async () => {
    const {crashes, detector, list, run} = build('unknown');
    list(endpoint('e'));
    for (let index = 0; index < 1_500; index += 1)
      detector.watchForRestart(run(endpoint('e'), `r${index}`));
    list(endpoint('e', 2));
    expect(crashes.length).toEqual(1_000);
  });
});
