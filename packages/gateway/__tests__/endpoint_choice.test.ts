import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EndpointTable} from '@siskinmux/endpoints';
import type {
  EndpointId,
  FailureDomain,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {OutlierDetector} from '@siskinmux/routing';
import {
  ENGINE_SLOTS,
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import {ClusterLoad} from '../src/cluster_load.js';
import type {ChoiceDependencies} from '../src/endpoint_choice.js';
import {chooseEngine} from '../src/endpoint_choice.js';
import {InFlightCounts} from '../src/in_flight_counts.js';

const ENGINES = 20;
const NODES = 90;

/** Interval of the load reports, and mean duration of a request. */
const REPORT_INTERVAL_MILLISECONDS = 300;
const REQUEST_MILLISECONDS = 900;

/** Request rate that fills half of the slots. */
const REQUESTS_PER_SECOND =
  (ENGINES * ENGINE_SLOTS * 0.5 * 1_000) / REQUEST_MILLISECONDS;

/** Share of requests that were sent to an engine without a free slot. */
async function shareSentToFullEngines(hasReports: boolean): Promise<number> {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const engines = Array.from({length: ENGINES}, (_, index) =>
    createEngineDescription(`engine-${index}`, as<ServiceName>('text')),
  );
  const nodes = Array.from({length: NODES}, (): ChoiceDependencies => {
    const inFlightCounts = InFlightCounts.create();
    return {
      table: EndpointTable.create(),
      inFlightCounts,
      clusterLoad: ClusterLoad.create({clock, inFlightCounts}),
      outliers: OutlierDetector.create(),
      clock,
      random,
      failureDomain: as<FailureDomain>('a'),
    };
  });
  const running = new Map<EndpointId, number>();
  const count = Math.round(REQUESTS_PER_SECOND * 10);
  let sentToFull = 0;
  let reportedAt = clock.now();
  for (let sent = 0; sent < count; sent += 1) {
    if (
      hasReports &&
      clock.now() >= reportedAt + REPORT_INTERVAL_MILLISECONDS
    ) {
      reportedAt = clock.now();
      for (const {clusterLoad} of nodes) clusterLoad.update([...running]);
    }
    const node = nodes[Math.floor(random() * NODES)] as ChoiceDependencies;
    const id = chooseEngine(engines, node)?.id as EndpointId;
    const before = running.get(id) ?? 0;
    if (before >= ENGINE_SLOTS) sentToFull += 1;
    running.set(id, before + 1);
    const model = as<ModelName>('m0');
    const release = node.inFlightCounts.track({
      endpoint: id,
      model,
      adapter: undefined,
    });
    clock.schedule(
      as(clock.now() + REQUEST_MILLISECONDS * (0.5 + random())),
      () => {
        release();
        running.set(id, (running.get(id) ?? 0) - 1);
      },
    );
    await clock.advance(1_000 / REQUESTS_PER_SECOND);
  }
  return sentToFull / count;
}

describe('engine choice with many nodes', () => {
  it('sends under 0.2 % of requests to full engines when half of all slots are free', async () => {
    expect((await shareSentToFullEngines(true)) < 0.002).toEqual(true);
  });

  it("more than halves the requests that are sent to full engines by using the lease holder's reports", async () => {
    const withoutReports = await shareSentToFullEngines(false);
    expect(withoutReports > (await shareSentToFullEngines(true)) * 2).toEqual(
      true,
    );
  });

  it('counts its own requests on top of a report and discards the report once it is stale', async () => {
    const clock = VirtualClock.create();
    const inFlightCounts = InFlightCounts.create();
    const clusterLoad = ClusterLoad.create({clock, inFlightCounts});
    expect(clusterLoad.isFresh).toEqual(false);
    clusterLoad.update([['engine-1', 4]]);
    expect(clusterLoad.isFresh).toEqual(true);
    expect(clusterLoad.at(as<EndpointId>('engine-1'))).toEqual(4);
    const release = inFlightCounts.track({
      endpoint: as<EndpointId>('engine-1'),
      model: as<ModelName>('m0'),
      adapter: undefined,
    });
    expect(clusterLoad.at(as<EndpointId>('engine-1'))).toEqual(5);
    release();
    await clock.advance(1_000);
    expect(clusterLoad.isFresh).toEqual(false);
  });
});
