/**
 * Where a request would go now, and why, as `GET /where` states it. All ages and times are
 * milliseconds, ages until and times from `at`; what is not known is null.
 */

import type {ErrorCode} from '@siskinmux/kernel';
import type {WaitReason} from './limited_choice_preview.js';

/** Why an endpoint is not chosen. */
export type WhereExclusion =
  | 'crashed'
  | 'draining'
  | 'wrong_version'
  | 'lacks_model'
  | 'lacks_adapter'
  | 'paused'
  | 'request_limit'
  | 'outlier';

/** The route that matches. */
export interface WhereRoute {
  readonly name: string;
  /** The target with the most weight; a request goes to the one that its id selects. */
  readonly service: string | null;
  readonly targets: readonly {
    readonly service: string;
    readonly weight: number;
  }[];
  readonly kind: string;
  readonly timeout: number;
  readonly latencyObjective: number;
  /** From now until the caller gives up, or abandons a stream that has not begun. */
  readonly deadlineIn: number;
  readonly configurationVersion: number;
  readonly configurationAge: number | null;
}

/** A team's quota, as this node knows it. */
export interface WhereQuota {
  readonly unit: string;
  /** What the request costs. */
  readonly cost: number;
  /** Amount that this node may admit now without asking. */
  readonly level: number;
  /** Age of the last heartbeat of a lease holder. */
  readonly age: number | null;
  readonly isMetered: boolean;
  readonly hasLeaseHolder: boolean;
}

/** The team, if callers are identified and the route isn't public. */
export interface WhereTeam {
  readonly name: string;
  readonly priority: number;
  /** Null without a limit. */
  readonly quota: WhereQuota | null;
}

/** State of the model of a request to engines. */
export interface WhereModel {
  readonly name: string;
  /** `loading` while requests of this node wait for it and the lease holder has told until when. */
  readonly state: 'ready' | 'loading' | 'asleep';
  readonly readyAt: readonly string[];
  /** What the lease holder has told last, unless that time has passed. */
  readonly forecast: {readonly readyIn: number; readonly age: number} | null;
  /** Requests of this node that wait for it. */
  readonly waiting: number;
}

/** An endpoint of the service. */
export interface WhereCandidate {
  readonly endpoint: string;
  readonly failureDomain: string;
  /** Requests of all nodes, as last reported and changed by this node since. */
  readonly knownInFlight: number;
  /** Estimate of the same now, by which engines are weighed. */
  readonly expectedInFlight: number;
  readonly ownInFlight: number;
  readonly slots: number;
  /** Age of the report; 0 for a plain service, whose load is this node's own requests. */
  readonly age: number | null;
  readonly weight: number;
  readonly excluded: WhereExclusion | null;
}

/** What would become of the request. */
export type WhereDecision =
  | {
      readonly kind: 'send';
      /** The one with the most weight; null if another node chooses. */
      readonly endpoint: string | null;
      /** The node that sends it, if this one has lost its links to the service. */
      readonly relay: string | null;
      readonly statement: string;
    }
  | {
      readonly kind: 'wait';
      readonly reason: WaitReason;
      readonly atMost: number;
      readonly statement: string;
    }
  | {
      readonly kind: 'refuse';
      readonly status: number;
      readonly code: ErrorCode;
      /** When the caller may return; null if that is not stated to it. */
      readonly returnIn: number | null;
      readonly statement: string;
    };

/** The whole answer. */
export interface WhereAnswer {
  readonly node: string;
  /** By the clock of the node, which runs evenly from the time of day at its start. */
  readonly at: string;
  readonly route: WhereRoute | null;
  readonly team: WhereTeam | null;
  readonly model: WhereModel | null;
  /** Age of the list of endpoints. */
  readonly endpointsAge: number | null;
  readonly candidates: readonly WhereCandidate[];
  /** Endpoints beyond the bound on the candidates. */
  readonly omittedCandidates: number;
  readonly decision: WhereDecision;
}
