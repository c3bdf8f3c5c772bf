/** Rules by which a simulated node chooses an engine. */

import type {
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  Random,
} from '@siskinmux/kernel';
import {after, as, randomBelow, until} from '@siskinmux/kernel';
import {
  CROSS_DOMAIN_COST,
  EngineLoads,
  EngineSpeeds,
  chooseEndpoint,
  chooseEngineByLoad,
  rankMembers,
} from '@siskinmux/routing';
import {SLOTS_PER_ENGINE} from './balance_engine.js';

/** Age at which the rule of two random engines takes a report for stale. */
const STALE_AFTER_MILLISECONDS: Milliseconds = 1_000;

/** An engine as a node knows it. */
export interface KnownEngine {
  readonly index: number;
  readonly id: EndpointId;
  readonly failureDomain: FailureDomain;
  /** This node's requests there now. */
  readonly own: number;
  /** All requests there now, which no real node knows. */
  readonly load: number;
}

/** A heartbeat of the lease holder, as it arrives at a node. */
export interface ArrivedReport {
  readonly loads: ReadonlyMap<EndpointId, number>;
  /** This node's requests in its last usage report. */
  readonly reportedOwn: ReadonlyMap<EndpointId, number>;
  /** This node's requests now. */
  readonly currentOwn: ReadonlyMap<EndpointId, number>;
  /** Interval between the usage reports of a node. */
  readonly usageIntervalMilliseconds: Milliseconds;
  /** When the holder wrote it, as far as the node can tell. */
  readonly writtenAt: Instant;
}

/** The rule of one node. */
export interface BalancePolicy {
  choose(engines: readonly KnownEngine[], now: Instant): KnownEngine;
  onReport(report: ArrivedReport, now: Instant): void;
  onCompleted(engine: EndpointId, took: Milliseconds, now: Instant): void;
  onRejected(engine: EndpointId, now: Instant): void;
}

/** Inputs of a node's rule. */
export interface PolicyOptions {
  readonly name: string;
  readonly failureDomain: FailureDomain;
  readonly random: Random;
}

export type CreatePolicy = (options: PolicyOptions) => BalancePolicy;

const ignore = (): void => {};

/** The rule before: the less loaded of two random engines, by the report and own requests since. */
export const createTwoRandom: CreatePolicy = ({failureDomain, random}) => {
  let report: ArrivedReport | undefined;
  let reportedAt: Instant | undefined;
  const cost = ({id, own, failureDomain: domain}: KnownEngine): number => {
    const total = report?.loads.get(id) ?? 0;
    const ownAtReport = report?.currentOwn.get(id) ?? 0;
    const load = Math.max(0, total + own - ownAtReport);
    const crossing = domain === failureDomain ? 0 : CROSS_DOMAIN_COST;
    return load / SLOTS_PER_ENGINE + crossing;
  };
  return {
    choose: (engines, now) => {
      const draw = (): KnownEngine =>
        engines[randomBelow(random, engines.length)]!;
      if (
        reportedAt === undefined ||
        until(reportedAt, now) >= STALE_AFTER_MILLISECONDS
      )
        return chooseByOwnRequests(engines, failureDomain, random, now);
      const first = draw();
      const second = draw();
      return cost(second) < cost(first) ? second : first;
    },
    onReport: (next, now) => {
      report = next;
      reportedAt = now;
    },
    onCompleted: ignore,
    onRejected: ignore,
  };
};

function chooseByOwnRequests(
  engines: readonly KnownEngine[],
  failureDomain: FailureDomain,
  random: Random,
  now: Instant,
): KnownEngine {
  const candidates = engines.map(({id, own, failureDomain: domain}) => ({
    endpoint: id,
    failureDomain: domain,
    inFlight: own,
    limit: SLOTS_PER_ENGINE,
    reportedLoad: 0,
    reportedAt: undefined,
    slots: SLOTS_PER_ENGINE,
    hasAdapter: true,
    isPrefixOwner: true,
  }));
  const chosen = chooseEndpoint(candidates, {now, failureDomain, random});
  return engines.find(({id}) => id === chosen?.endpoint)!;
}

/** The rule of `chooseEngineByLoad`. */
export const createByLoad: CreatePolicy = ({failureDomain, random}) => {
  const speeds = EngineSpeeds.create();
  const loads = EngineLoads.create(speeds);
  return {
    choose: (engines, now) => {
      const candidates = engines.map(engine => ({
        engine,
        slots: SLOTS_PER_ENGINE,
        isInOwnDomain: engine.failureDomain === failureDomain,
        ...loads.estimate(
          {endpoint: engine.id, slots: SLOTS_PER_ENGINE, own: engine.own},
          now,
        ),
      }));
      return chooseEngineByLoad(candidates, random)!.engine;
    },
    onReport: (report, now) =>
      loads.applyReport({
        arrivedAt: now,
        loads: report.loads,
        ownAt: endpoint => report.reportedOwn.get(endpoint) ?? 0,
        countedAt: after(
          report.writtenAt,
          -report.usageIntervalMilliseconds / 2,
        ),
      }),
    onCompleted: (engine, took, now) =>
      speeds.recordCompleted(engine, 'requests', took, now),
    onRejected: (engine, now) => loads.recordRejection(engine, now),
  };
};

/** Any engine, whatever its load. */
export const createRandom: CreatePolicy = ({random}) => ({
  choose: engines => engines[randomBelow(random, engines.length)]!,
  onReport: ignore,
  onCompleted: ignore,
  onRejected: ignore,
});

/** The lowest load in the last report. */
export const createReportedMinimum: CreatePolicy = () => {
  let loads: ReadonlyMap<EndpointId, number> = new Map();
  return {
    choose: engines => minimumBy(engines, ({id}) => loads.get(id) ?? 0),
    onReport: report => {
      loads = report.loads;
    },
    onCompleted: ignore,
    onRejected: ignore,
  };
};

/** The fewest requests of this node. */
export const createOwnMinimum: CreatePolicy = ({failureDomain, random}) => ({
  choose: (engines, now) =>
    chooseByOwnRequests(engines, failureDomain, random, now),
  onReport: ignore,
  onCompleted: ignore,
  onRejected: ignore,
});

/** The fewest own requests among a fourth of the engines, by rendezvous hashing for each node. */
export const createNodeShare: CreatePolicy = ({
  name,
  failureDomain,
  random,
}) => ({
  choose: (engines, now) => {
    const ranked = rankMembers(
      name,
      engines.map(({id}) => id),
    );
    const share = new Set(ranked.slice(0, Math.ceil(engines.length / 4)));
    const own = engines.filter(({id}) => share.has(id));
    return chooseByOwnRequests(own, failureDomain, random, now);
  },
  onReport: ignore,
  onCompleted: ignore,
  onRejected: ignore,
});

/** The lowest load now, which no real node knows: the limit of what is possible. */
export const createOmniscient: CreatePolicy = ({random}) => ({
  choose: engines => minimumBy(engines, ({load}) => load + random() / 2),
  onReport: ignore,
  onCompleted: ignore,
  onRejected: ignore,
});

function minimumBy(
  engines: readonly KnownEngine[],
  valueOf: (engine: KnownEngine) => number,
): KnownEngine {
  let best = engines[0]!;
  let lowest = Infinity;
  for (const engine of engines) {
    const value = valueOf(engine);
    if (value >= lowest) continue;
    lowest = value;
    best = engine;
  }
  return best;
}

/** Names an engine of the simulation. */
export function engineId(index: number): EndpointId {
  return as<EndpointId>(`engine-${index}`);
}
