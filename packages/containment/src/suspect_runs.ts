/** Where this node runs suspect requests, so that each endpoint runs at most one if possible. */

import type {EndpointId} from '@siskinmux/kernel';
import type {Trait} from './trait.js';

/** This node's runs of suspect requests. */
export class SuspectRuns {
  private readonly runs = new Set<{
    /** The suspected traits of the request. */
    readonly traits: readonly Trait[];
    readonly endpoint: EndpointId;
  }>();

  private constructor() {}

  static create(): SuspectRuns {
    return new SuspectRuns();
  }

  /** Endpoints that run a suspect which has none of these suspected traits. */
  endpointsOfOthers(traits: readonly Trait[]): ReadonlySet<EndpointId> {
    return new Set(
      [...this.runs]
        .filter(run => !run.traits.some(trait => traits.includes(trait)))
        .map(({endpoint}) => endpoint),
    );
  }

  /** Tracks a run until the returned function is called. */
  track(traits: readonly Trait[], endpoint: EndpointId): () => void {
    const run = {traits, endpoint};
    this.runs.add(run);
    return () => this.runs.delete(run);
  }
}
