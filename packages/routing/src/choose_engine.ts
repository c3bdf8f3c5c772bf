/**
 * Chooses an engine by the load of all nodes, of which each node has only old knowledge. Nodes
 * that all pick the minimum of one report send to the same engine until the next report. Each
 * node therefore draws an engine with a probability proportional to the requests that the engine
 * needs for the loads to be even again, after the requests that all nodes send meanwhile.
 */

import type {Random} from '@siskinmux/kernel';

/** Weight of engines in this node's failure domain, relative to the others. */
const OWN_DOMAIN_WEIGHT = 1.75;

/** An engine that can serve a request, with this node's estimate of its state. */
export interface EngineCandidate {
  /** Requests that the engine can run concurrently. */
  readonly slots: number;
  /** Time that a request takes at the engine, relative to the average engine. */
  readonly slowness: number;
  /** Estimated requests in flight now, without those that other nodes have sent unseen. */
  readonly knownRequests: number;
  /** Estimated requests that other nodes have sent to it since the latest knowledge. */
  readonly unseenRequests: number;
  readonly isInOwnDomain: boolean;
}

/**
 * Draws one of the candidates; undefined if there are none. The unseen requests of all
 * candidates are spread as this node would spread them, since the other nodes decide by the
 * same knowledge. Without any, this is the least loaded candidate.
 */
export function chooseEngineByLoad<Candidate extends EngineCandidate>(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  const shares = candidates.map(candidate => {
    const capacity = capacityOf(candidate);
    const load = candidate.knownRequests / capacity;
    return {candidate, capacity, load};
  });
  const level = commonLevel(shares);
  let total = 0;
  const weights = shares.map(({candidate, capacity, load}) => {
    const missing = Math.max(0, level - load) * capacity;
    const weight = missing * (candidate.isInOwnDomain ? OWN_DOMAIN_WEIGHT : 1);
    total += weight;
    return weight;
  });
  let remaining = random() * total;
  let chosen: Candidate | undefined;
  for (const [index, {candidate}] of shares.entries()) {
    const weight = weights[index] ?? 0;
    if (weight === 0) continue;
    chosen = candidate;
    remaining -= weight;
    if (remaining < 0) break;
  }
  return chosen;
}

/** A candidate with its capacity, and its known requests relative to it. */
interface CapacityShare {
  readonly candidate: EngineCandidate;
  readonly capacity: number;
  readonly load: number;
}

/**
 * Load relative to the capacity that the candidates below it reach when they get all unseen
 * requests, and the one to be sent.
 */
function commonLevel(shares: readonly CapacityShare[]): number {
  const ascending = [...shares].sort((left, right) => left.load - right.load);
  let requests = 1;
  for (const {candidate} of shares) requests += candidate.unseenRequests;
  let capacity = 0;
  let level = Infinity;
  for (const share of ascending) {
    if (share.load >= level) break;
    requests += share.candidate.knownRequests;
    capacity += share.capacity;
    level = requests / capacity;
  }
  return level;
}

/** A slower engine gets a smaller share, so that its requests wait no longer. */
function capacityOf({slots, slowness}: EngineCandidate): number {
  return slots / Math.sqrt(slowness);
}
