/**
 * What a choice within request limits and pauses would decide now, as far as this node knows
 * without asking: nothing is drawn, taken or sent.
 */

import type {EndpointDescription} from '@siskinmux/endpoints';
import type {
  EndpointId,
  Instant,
  Milliseconds,
  ModelName,
  Random,
  RefusalError,
} from '@siskinmux/kernel';
import {ErrorCode, after, createNotRunRefusal} from '@siskinmux/kernel';
import type {EndpointRequirements, EndpointWeights} from './endpoint_choice.js';
import type {LimitDependencies} from './limited_choice.js';
import {RETURN_SPREAD_MILLISECONDS} from './limited_choice.js';

/** Stands for the random source in a preview: the middle of what is drawn otherwise. */
export const TYPICAL_RANDOM: Random = () => 0.5;

/** What a request waits for. */
export type WaitReason =
  | 'platform_view'
  | 'lease_holder'
  | 'quota_permit'
  | 'model'
  | 'adapter'
  | 'room'
  | 'request_permit'
  | 'pause_end';

/** What would become of a request now. */
export type DecisionPreview =
  | {readonly kind: 'send'; readonly endpoint: EndpointId}
  | {
      readonly kind: 'wait';
      readonly reason: WaitReason;
      /** When the wait ends at the latest. */
      readonly endsAt: Instant;
    }
  | {readonly kind: 'refuse'; readonly refusal: RefusalError};

/** Why an endpoint is not drawn by its weight, although it could serve the request otherwise. */
export type LimitExclusion = 'paused' | 'request_limit' | 'outlier';

/** When a model was told to be ready. */
export interface KnownForecast {
  readonly readyAt: Instant;
  /** When the lease holder has said so. */
  readonly toldAt: Instant;
}

/** What a node knows of a request's model. */
export interface ModelPreview {
  readonly name: ModelName;
  /** Engines that have it. */
  readonly readyAt: readonly EndpointId[];
  /** Undefined if nothing was told, or the told time has passed. */
  readonly forecast: KnownForecast | undefined;
  /** Requests of this node that wait for it. */
  readonly waiting: number;
}

/** What a choice within limits would decide. */
export interface LimitedChoicePreview {
  /** Undefined if there is no endpoint at all. */
  readonly decision: DecisionPreview | undefined;
  readonly weights: EndpointWeights;
  readonly excluded: ReadonlyMap<EndpointId, LimitExclusion>;
}

/** What the search for an endpoint would decide. */
export interface PlacementPreview extends LimitedChoicePreview {
  readonly decision: DecisionPreview;
  /** Endpoints that can serve the request, apart from limits, pauses and outliers. */
  readonly usable: readonly EndpointDescription[];
  /** Undefined for plain services, and if the request names none that is declared. */
  readonly model: ModelPreview | undefined;
}

/** What {@link previewWithinLimits} needs of a choice. */
export interface PreviewedChoice {
  readonly requirements: EndpointRequirements;
  readonly serviceMilliseconds: Milliseconds;
  readonly endpoints: readonly EndpointDescription[];
  readonly weigh: (open: readonly EndpointDescription[]) => EndpointWeights;
  /** Whether another endpoint may come to serve the request meanwhile. */
  readonly canBeAdded: boolean;
}

interface ClosedEndpoint {
  readonly id: EndpointId;
  readonly exclusion: 'paused' | 'request_limit';
  readonly retryAt: Instant;
  readonly isUnowned: boolean;
}

/** Previews `chooseWithinLimits`. */
export function previewWithinLimits(
  choice: PreviewedChoice,
  dependencies: LimitDependencies,
): LimitedChoicePreview {
  const {endpoints} = choice;
  const closed = endpoints.flatMap(each => closedBy(each, dependencies) ?? []);
  const closedIds = new Set(closed.map(({id}) => id));
  const open = endpoints.filter(({id}) => !closedIds.has(id));
  const weights = weighOpen(choice, open);
  const excluded = new Map<EndpointId, LimitExclusion>();
  for (const {id, exclusion} of closed) excluded.set(id, exclusion);
  for (const {id} of open) if (!weights.has(id)) excluded.set(id, 'outlier');
  const best = heaviest(open, weights);
  return {
    weights,
    excluded,
    decision:
      best === undefined
        ? decideWithoutOpen(closed, choice)
        : decideOpen(best, choice, dependencies),
  };
}

/**
 * Weights of the endpoints that take requests. Those that take none are drawn like any other at
 * first; the weight that they have goes to a second draw among the rest. Of several endpoints at
 * their request limits, each takes part in one draw more than is assumed here.
 */
function weighOpen(
  {endpoints, weigh}: PreviewedChoice,
  open: readonly EndpointDescription[],
): EndpointWeights {
  const first = weigh(endpoints);
  const openIds = new Set(open.map(({id}) => id));
  const weights = new Map([...first].filter(([id]) => openIds.has(id)));
  const closedWeight = sumOf(
    new Map([...first].filter(([id]) => !openIds.has(id))),
  );
  if (closedWeight === 0) return weights;
  const second = weigh(open);
  const part = closedWeight / sumOf(second);
  for (const [id, weight] of second)
    weights.set(id, (weights.get(id) ?? 0) + part * weight);
  return weights;
}

function sumOf(weights: EndpointWeights): number {
  let sum = 0;
  for (const weight of weights.values()) sum += weight;
  return sum;
}

/** The endpoint with the most weight; the first of equal ones. */
function heaviest(
  endpoints: readonly EndpointDescription[],
  weights: EndpointWeights,
): EndpointDescription | undefined {
  const weightOf = ({id}: EndpointDescription): number => weights.get(id) ?? 0;
  return endpoints
    .filter(({id}) => weights.has(id))
    .reduce<EndpointDescription | undefined>(
      (best, each) =>
        best === undefined || weightOf(each) > weightOf(best) ? each : best,
      undefined,
    );
}

/** Why an endpoint takes no request now; undefined if it takes one. */
function closedBy(
  endpoint: EndpointDescription,
  {pauses, permits}: LimitDependencies,
): ClosedEndpoint | undefined {
  const {id, incarnation} = endpoint;
  const pauseEndsAt = pauses.endOf(incarnation);
  if (pauseEndsAt !== undefined) {
    const exclusion = 'paused';
    return {id, exclusion, retryAt: pauseEndsAt, isUnowned: false};
  }
  const permit = permits.preview(endpoint);
  if (permit.kind !== 'refused' && permit.kind !== 'unowned') return undefined;
  return {
    id,
    exclusion: 'request_limit',
    retryAt: permit.retryAt,
    isUnowned: permit.kind === 'unowned',
  };
}

function decideOpen(
  endpoint: EndpointDescription,
  choice: PreviewedChoice,
  {permits}: LimitDependencies,
): DecisionPreview {
  return permits.preview(endpoint).kind === 'ask'
    ? {kind: 'wait', reason: 'request_permit', endsAt: waitLimit(choice)}
    : {kind: 'send', endpoint: endpoint.id};
}

function decideWithoutOpen(
  closed: readonly ClosedEndpoint[],
  choice: PreviewedChoice,
): DecisionPreview | undefined {
  const first = closed.reduce<ClosedEndpoint | undefined>(
    (best, each) =>
      best === undefined || each.retryAt < best.retryAt ? each : best,
    undefined,
  );
  if (first === undefined) return undefined;
  const endsAt = waitLimit(choice);
  const {requirements, canBeAdded} = choice;
  const {exclusion, retryAt, isUnowned} = first;
  const isInTime = retryAt < endsAt;
  // Only the lease holder refuses a permit for good.
  if (exclusion === 'request_limit' && (isInTime || !isUnowned))
    return {kind: 'wait', reason: 'request_permit', endsAt};
  if (isInTime) return {kind: 'wait', reason: 'pause_end', endsAt: retryAt};
  if (canBeAdded && exclusion === 'paused')
    return {kind: 'wait', reason: 'model', endsAt: requirements.deadline};
  const spread =
    exclusion === 'paused' ? TYPICAL_RANDOM() * RETURN_SPREAD_MILLISECONDS : 0;
  return {
    kind: 'refuse',
    refusal: createNotRunRefusal(
      ErrorCode.EndpointLimited,
      requirements.service,
      after(retryAt, spread),
    ),
  };
}

function waitLimit(choice: PreviewedChoice): Instant {
  return after(choice.requirements.deadline, -choice.serviceMilliseconds);
}
