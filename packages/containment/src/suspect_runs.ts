/** Where this node runs suspect requests, so that each endpoint runs at most one if possible. */

import type {EndpointId, Fingerprint} from '@siskinmux/kernel';

/** This node's runs of suspect requests. */
export class SuspectRuns {
  private readonly runs = new Set<{
    readonly fingerprint: Fingerprint;
    readonly endpoint: EndpointId;
  }>();

  private constructor() {}

  static create(): SuspectRuns {
    return new SuspectRuns();
  }

  /** Endpoints that run a suspect with another fingerprint. */
  endpointsOfOthers(fingerprint: Fingerprint): ReadonlySet<EndpointId> {
    return new Set(
      [...this.runs]
        .filter(run => run.fingerprint !== fingerprint)
        .map(({endpoint}) => endpoint),
    );
  }

  /** Tracks a run until the returned function is called. */
  track(fingerprint: Fingerprint, endpoint: EndpointId): () => void {
    const run = {fingerprint, endpoint};
    this.runs.add(run);
    return () => this.runs.delete(run);
  }
}
