/** The endpoints of a service, as `GET /where` states them for one request. */

import type {
  EndpointDescription,
  EndpointTable,
  VersionRequirement,
} from '@siskinmux/endpoints';
import {meetsVersion} from '@siskinmux/endpoints';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import type {ClusterLoad} from './cluster_load.js';
import type {InFlightCounts} from './in_flight_counts.js';
import type {PlacementPreview} from './limited_choice_preview.js';
import type {WhereCandidate, WhereExclusion} from './where_answer.js';

/** What the state of the candidates is read from. */
export interface CandidateDependencies {
  readonly table: EndpointTable;
  readonly clusterLoad: ClusterLoad;
  readonly inFlightCounts: InFlightCounts;
}

/** For which request the candidates are stated. */
export interface CandidateQuestion {
  readonly service: ServiceName;
  readonly hasEngines: boolean;
  readonly version: VersionRequirement;
  readonly preview: PlacementPreview;
}

/** States all endpoints of a service, those with the most weight first. */
export function stateCandidates(
  question: CandidateQuestion,
  dependencies: CandidateDependencies,
): WhereCandidate[] {
  const usable = new Set(question.preview.usable.map(({id}) => id));
  return dependencies.table
    .registeredFor(question.service)
    .map(endpoint => ({
      ...stateLoad(endpoint, question.hasEngines, dependencies),
      weight: question.preview.weights.get(endpoint.id) ?? 0,
      excluded: exclusionOf(endpoint, question, usable, dependencies.table),
    }))
    .sort(
      (left, right) =>
        right.weight - left.weight ||
        Number(left.excluded !== null) - Number(right.excluded !== null),
    );
}

function stateLoad(
  endpoint: EndpointDescription,
  isEngine: boolean,
  {clusterLoad, inFlightCounts}: CandidateDependencies,
): Omit<WhereCandidate, 'weight' | 'excluded'> {
  const {id, failureDomain, slots} = endpoint;
  const ownInFlight = inFlightCounts.at(id);
  const assumed = isEngine
    ? clusterLoad.assumedAt(endpoint)
    : {requests: ownInFlight, age: 0};
  const isReported = isEngine && assumed.age !== undefined;
  return {
    endpoint: id,
    failureDomain,
    knownInFlight: isReported ? clusterLoad.at(id) : ownInFlight,
    expectedInFlight: assumed.requests,
    ownInFlight,
    slots,
    age: assumed.age ?? null,
  };
}

function exclusionOf(
  endpoint: EndpointDescription,
  {version, preview}: CandidateQuestion,
  usable: ReadonlySet<EndpointId>,
  table: EndpointTable,
): WhereExclusion | null {
  const {id} = endpoint;
  if (table.hasCrashed(id)) return 'crashed';
  if (endpoint.isDraining) return 'draining';
  if (!meetsVersion(endpoint, version)) return 'wrong_version';
  if (usable.has(id)) return preview.excluded.get(id) ?? null;
  return preview.model?.readyAt.includes(id) === true
    ? 'lacks_adapter'
    : 'lacks_model';
}
