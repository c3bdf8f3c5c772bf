/** What a proxied request uses of the node that serves it. */

import type {ContainmentDependencies} from '@siskinmux/containment';
import type {StreamContinuity} from '@siskinmux/continuity';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  EndpointConnectionPool,
  EndpointProtocol,
} from '@siskinmux/forwarding';
import type {
  EmitEvent,
  EndpointId,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import type {EndpointReach} from '@siskinmux/reach';
import type {PeerChoice} from '@siskinmux/relay';
import type {Route} from '@siskinmux/routes';
import type {OutlierDetector} from '@siskinmux/routing';
import type {ClusterLoad} from './cluster_load.js';
import type {FindEndpoint, HasAlternative} from './endpoint_choice.js';
import type {EndpointLimits} from './endpoint_limits.js';
import type {EndpointPauses} from './endpoint_pauses.js';
import type {EventGapCounts} from './event_gap_counts.js';
import type {InFlightCounts} from './in_flight_counts.js';
import type {LeavingEndpoints} from './leaving_endpoints.js';
import type {PlatformView} from './platform_view.js';
import type {RetryBudgets} from './retry_budgets.js';
import type {RetryDecision} from './retry_decision.js';
import type {TeamQuotas} from './team_quotas.js';

/** Dependencies of the modules that serve a proxied request. */
export interface ProxiedRequestDependencies extends ContainmentDependencies {
  readonly protocol: EndpointProtocol;
  readonly connections: EndpointConnectionPool;
  /** Connections to other nodes, for requests that they serve for this one. */
  readonly peerConnections: EndpointConnectionPool;
  readonly peers: PeerChoice;
  readonly reach: EndpointReach;
  /** The listed endpoint, if there is one under the id. */
  readonly findEndpoint: (id: EndpointId) => EndpointDescription | undefined;
  readonly inFlightCounts: InFlightCounts;
  readonly eventGaps: EventGapCounts;
  readonly teamQuotas: TeamQuotas;
  readonly clusterLoad: ClusterLoad;
  readonly limits: EndpointLimits;
  readonly pauses: EndpointPauses;
  readonly leaving: LeavingEndpoints;
  readonly outliers: OutlierDetector;
  readonly retryBudgets: RetryBudgets;
  readonly continuity: StreamContinuity;
  readonly find: FindEndpoint;
  readonly hasAlternative: HasAlternative;
  readonly emit: EmitEvent;
  /** What this node knows of the platform. */
  readonly view: PlatformView;
  /** Whether an endpoint that was chosen earlier may still be sent to. */
  readonly isListed: (endpoint: EndpointDescription) => boolean;
  /** Called when an engine lacks the model or adapter that the node expected it to hold. */
  readonly reportMissingModel: (endpoint: EndpointId, model: ModelName) => void;
  /** Called when a send has failed, with the decision whether to send the request again. */
  readonly onRetryDecision: (
    service: ServiceName,
    decision: RetryDecision,
  ) => void;
  /** Whether a request of the route that begins now ends before this process does. */
  readonly hasTimeFor: (route: Route) => boolean;
  /** Called when a request has ended; `result` is the one logged in `request-ended`. */
  readonly onRequestEnd: (
    route: Route,
    result: string,
    durationMilliseconds: Milliseconds,
  ) => void;
}
