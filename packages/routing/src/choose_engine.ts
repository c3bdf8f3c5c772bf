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
  /** Estimated requests in flight, without those that other nodes send unseen. */
  readonly knownRequests: number;
  /** Estimated requests that other nodes send to it while they rely on the same report. */
  readonly unseenRequests: number;
  readonly isInOwnDomain: boolean;
}

/** Draws one of the candidates by {@link weighEngines}; undefined if there are none. */
export function chooseEngineByLoad<Candidate extends EngineCandidate>(
  candidates: readonly Candidate[],
  random: Random,
): Candidate | undefined {
  const weights = weighEngines(candidates);
  let total = 0;
  for (const weight of weights) total += weight;
  let remaining = random() * total;
  let chosen: Candidate | undefined;
  for (const [index, candidate] of candidates.entries()) {
    const weight = weights[index] ?? 0;
    if (weight === 0) continue;
    chosen = candidate;
    remaining -= weight;
    if (remaining < 0) break;
  }
  return chosen;
}

/**
 * Weights of the candidates, in their order. The unseen requests of all candidates are spread as
 * this node would spread them, since the other nodes decide by the same knowledge. Without any,
 * only the least loaded candidate has a weight.
 */
export function weighEngines(candidates: readonly EngineCandidate[]): number[] {
  const level = commonLevel(candidates);
  return candidates.map(({knownRequests, slots, slowness, isInOwnDomain}) => {
    const missing = Math.max(0, level * slots - knownRequests);
    const preference = isInOwnDomain ? OWN_DOMAIN_WEIGHT : 1;
    // A slower engine gets fewer, so that its requests wait no longer.
    return (missing * preference) / Math.sqrt(slowness);
  });
}

/**
 * Load relative to the slots that the candidates below it reach when they get all unseen
 * requests, and the one to be sent.
 */
function commonLevel(candidates: readonly EngineCandidate[]): number {
  const ascending = [...candidates].sort(
    (left, right) => loadOf(left) - loadOf(right),
  );
  let requests = 1;
  for (const {unseenRequests} of candidates) requests += unseenRequests;
  let slots = 0;
  let level = Infinity;
  for (const candidate of ascending) {
    if (loadOf(candidate) >= level) break;
    requests += candidate.knownRequests;
    slots += candidate.slots;
    level = requests / slots;
  }
  return level;
}

function loadOf({knownRequests, slots}: EngineCandidate): number {
  return knownRequests / slots;
}
