/**
 * Explains where a request would go now, by the code that decides about requests. Decisions are
 * tried on copies of the state: nothing is counted, taken, queued, drawn or sent.
 */

import {ANY_VERSION} from '@siskinmux/endpoints';
import type {
  Clock,
  Instant,
  Milliseconds,
  NodeId,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {
  ErrorCode,
  after,
  as,
  createNotRunRefusal,
  earlier,
} from '@siskinmux/kernel';
import type {EndpointReach} from '@siskinmux/reach';
import type {PeerChoice} from '@siskinmux/relay';
import type {Route, TeamDirectory} from '@siskinmux/routes';
import type {EndpointRequirements} from './endpoint_choice.js';
import type {
  DecisionPreview,
  PlacementPreview,
} from './limited_choice_preview.js';
import {createLinksLostRefusal} from './peer_sender.js';
import type {PlatformView} from './platform_view.js';
import {
  deadlineOf,
  firstDeadlineOf,
  orderingOf,
  quotaWaitUntil,
} from './request_terms.js';
import {rankOf} from './caller_identity.js';
import type {RequestTarget, RouteDecision} from './route_decision.js';
import {createRouteRefusal} from './route_decision.js';
import type {QuotaPreview, TeamQuotas} from './team_quotas.js';
import {requestCost} from './team_quotas.js';
import {HOLD_MILLISECONDS, MAXIMUM_HOLD_MILLISECONDS} from './wait_for_view.js';
import type {
  WhereAnswer,
  WhereDecision,
  WhereModel,
  WhereRoute,
  WhereTeam,
} from './where_answer.js';
import type {CandidateDependencies} from './where_candidates.js';
import {stateCandidates} from './where_candidates.js';
import type {WhereQuestion} from './where_question.js';
import {WhereQueryError} from './where_question.js';
import {stateDecision, stateRelay, timeTo} from './where_statements.js';

/** Bound on the candidates of an answer, and on the engines that have the model. */
export const MAXIMUM_CANDIDATES = 1_000;

/** Dependencies of {@link WhereExplainer}: parts of the node that decide about its requests. */
export interface WhereExplainerOptions extends CandidateDependencies {
  readonly node: NodeId;
  readonly clock: Clock;
  /** Decides on a route; `undecided` only if the known routes may be outdated. */
  readonly decideRoute: (
    request: RequestTarget,
    isDecidable: boolean,
  ) => RouteDecision;
  readonly teams: () => TeamDirectory | undefined;
  readonly view: Pick<PlatformView, 'age' | 'isDecidable'>;
  readonly teamQuotas: Pick<TeamQuotas, 'preview'>;
  readonly placement: {
    readonly preview: (requirements: EndpointRequirements) => PlacementPreview;
  };
  readonly hasTimeFor: (route: Route) => boolean;
  readonly reach: Pick<EndpointReach, 'isCutFrom'>;
  readonly peers: Pick<PeerChoice, 'candidates'>;
}

type FoundRoute = RouteDecision & {kind: 'found'};

/** A question with what is derived from it once its route is known. */
interface RoutedQuestion {
  readonly question: WhereQuestion;
  readonly found: FoundRoute;
  readonly service: ServiceName | undefined;
  readonly now: Instant;
  readonly deadline: Instant;
}

/** Explains requests at one node. */
export class WhereExplainer {
  private constructor(private readonly options: WhereExplainerOptions) {}

  static create(options: WhereExplainerOptions): WhereExplainer {
    return new WhereExplainer(options);
  }

  /** Throws {@link WhereQueryError} if the question has a key in place of a name. */
  explain(question: WhereQuestion): WhereAnswer {
    const {clock, view} = this.options;
    const now = clock.now();
    const target = this.targetOf(question);
    const decision = this.options.decideRoute(target, view.isDecidable);
    if (decision.kind === 'refused')
      return this.answerWithoutRoute(
        {kind: 'refuse', refusal: createRouteRefusal(decision.code, now)},
        now,
      );
    const wait = viewWait(now, question.timeoutMilliseconds);
    const known =
      decision.kind === 'found'
        ? decision
        : this.options.decideRoute(target, true);
    if (known.kind !== 'found') return this.answerWithoutRoute(wait, now);
    return this.answerWithRoute(
      this.routeQuestion(question, known, now),
      decision.kind === 'undecided' ? wait : undefined,
    );
  }

  private targetOf({host, path, team}: WhereQuestion): RequestTarget {
    const teams = this.options.teams();
    if (team !== undefined && teams?.findByKey(team) !== undefined)
      throw new WhereQueryError('team', 'expected a name, not a key');
    const isKnown = team !== undefined && teams?.teams.has(team) === true;
    return {
      host,
      target: path,
      relayedTeam: isKnown ? team : undefined,
      readApiKey: () => undefined,
    };
  }

  private routeQuestion(
    question: WhereQuestion,
    found: FoundRoute,
    now: Instant,
  ): RoutedQuestion {
    const {route} = found;
    const {timeoutMilliseconds} = question;
    const deadline = firstDeadlineOf(
      route,
      now,
      deadlineOf(route, now, timeoutMilliseconds),
    );
    return {question, found, service: mainService(route), now, deadline};
  }

  private answerWithoutRoute(
    decision: DecisionPreview,
    now: Instant,
  ): WhereAnswer {
    return {
      ...this.stateNode(now),
      route: null,
      team: null,
      model: null,
      candidates: [],
      omittedCandidates: 0,
      decision: stateDecision(decision, now),
    };
  }

  private answerWithRoute(
    routed: RoutedQuestion,
    wait: DecisionPreview | undefined,
  ): WhereAnswer {
    const {question, found, service, now} = routed;
    const quota = this.previewQuota(routed);
    const preview =
      service === undefined
        ? undefined
        : this.options.placement.preview(requirementsOf(routed, service));
    const candidates =
      service === undefined || preview === undefined
        ? []
        : stateCandidates(
            {
              service,
              hasEngines:
                found.configuration.services.get(service)?.engine !== undefined,
              version: versionOf(question),
              preview,
            },
            this.options,
          );
    const earlierDecision =
      wait ??
      (quota === undefined || quota.decision.kind === 'admitted'
        ? undefined
        : quota.decision);
    return {
      ...this.stateNode(now),
      route: this.stateRoute(routed),
      team: stateTeam(routed, quota),
      model: stateModel(preview, now),
      candidates: candidates.slice(0, MAXIMUM_CANDIDATES),
      omittedCandidates: Math.max(0, candidates.length - MAXIMUM_CANDIDATES),
      decision:
        earlierDecision === undefined
          ? this.decide(routed, preview)
          : stateDecision(earlierDecision, now),
    };
  }

  /** Decides in the order in which a request is decided on once its quota is acquired. */
  private decide(
    {found: {route}, service, now, question}: RoutedQuestion,
    preview: PlacementPreview | undefined,
  ): WhereDecision {
    const {hasTimeFor, reach, peers, view} = this.options;
    const refuse = (code: ErrorCode, at?: Instant): WhereDecision =>
      stateDecision(
        {kind: 'refuse', refusal: createNotRunRefusal(code, route.name, at)},
        now,
      );
    if (!hasTimeFor(route)) return refuse(ErrorCode.ShuttingDown, now);
    if (service === undefined || preview === undefined)
      return refuse(ErrorCode.NoEndpoint);
    if (reach.isCutFrom(service)) {
      const [peer] = peers.candidates(service, new Set());
      if (peer !== undefined) return stateRelay(peer.node);
      const refusal = createLinksLostRefusal(service, now);
      return stateDecision({kind: 'refuse', refusal}, now);
    }
    return view.isDecidable
      ? stateDecision(preview.decision, now)
      : stateDecision(viewWait(now, question.timeoutMilliseconds), now);
  }

  private previewQuota({
    question,
    found: {route, caller},
    now,
    deadline,
  }: RoutedQuestion): QuotaPreview | undefined {
    if (caller.kind !== 'team' || caller.team.quota === undefined)
      return undefined;
    const {name: team, quota} = caller.team;
    return this.options.teamQuotas.preview({
      team,
      amount: requestCost(quota, question),
      deadline,
      waitUntil: quotaWaitUntil(route, now),
    });
  }

  private stateNode(
    now: Instant,
  ): Pick<WhereAnswer, 'node' | 'at' | 'endpointsAge'> {
    const {node, view} = this.options;
    return {
      node,
      at: new Date(now).toISOString(),
      endpointsAge: view.age.endpoints ?? null,
    };
  }

  private stateRoute({
    found: {route, configuration},
    service,
    now,
    deadline,
  }: RoutedQuestion): WhereRoute {
    return {
      name: route.name,
      service: service ?? null,
      targets: route.targets.map(each => ({...each})),
      kind: route.kind,
      timeout: route.timeoutMilliseconds,
      latencyObjective: route.latencyObjectiveMilliseconds,
      deadlineIn: timeTo(deadline, now),
      configurationVersion: configuration.version,
      configurationAge: this.options.view.age.routes ?? null,
    };
  }
}

function viewWait(
  now: Instant,
  timeoutMilliseconds: Milliseconds | undefined,
): DecisionPreview {
  const endsAt = earlier(
    after(now, HOLD_MILLISECONDS),
    after(now, timeoutMilliseconds ?? MAXIMUM_HOLD_MILLISECONDS),
  );
  return {kind: 'wait', reason: 'platform_view', endsAt};
}

/** The target with the most weight. */
function mainService({targets}: Route): ServiceName | undefined {
  return targets.reduce<Route['targets'][number] | undefined>(
    (best, each) =>
      each.weight > 0 && each.weight > (best?.weight ?? 0) ? each : best,
    undefined,
  )?.service;
}

function versionOf({version}: WhereQuestion): EndpointRequirements['version'] {
  return version === undefined ? ANY_VERSION : {kind: 'only', version};
}

function requirementsOf(
  {question, found: {route, caller}, now, deadline}: RoutedQuestion,
  service: ServiceName,
): EndpointRequirements {
  return {
    id: as<RequestId>(''),
    service,
    model: question.model,
    adapter: question.adapter,
    version: versionOf(question),
    triedEndpoints: new Set(),
    avoidedEndpoints: new Set(),
    deadline,
    priority: rankOf(caller, route),
    ordering: orderingOf(caller, route, now, question),
    isFirstAttempt: false,
    signal: new AbortController().signal,
  };
}

function stateTeam(
  {question, found: {caller}, now}: RoutedQuestion,
  preview: QuotaPreview | undefined,
): WhereTeam | null {
  if (caller.kind !== 'team') return null;
  const {name, priority, quota} = caller.team;
  if (quota === undefined || preview === undefined)
    return {name, priority, quota: null};
  const {level, heardAt, isMetered, hasHolder} = preview;
  return {
    name,
    priority,
    quota: {
      unit: quota.unit,
      cost: requestCost(quota, question),
      level: Math.round(level),
      age: heardAt === undefined ? null : timeTo(now, heardAt),
      isMetered,
      hasLeaseHolder: hasHolder,
    },
  };
}

function stateModel(
  preview: PlacementPreview | undefined,
  now: Instant,
): WhereModel | null {
  if (preview?.model === undefined) return null;
  const {name, readyAt, forecast, waiting} = preview.model;
  const isLoading = forecast !== undefined && waiting > 0;
  const absent = isLoading ? 'loading' : 'asleep';
  return {
    name,
    state: readyAt.length > 0 ? 'ready' : absent,
    readyAt: readyAt.slice(0, MAXIMUM_CANDIDATES),
    forecast:
      forecast === undefined
        ? null
        : {
            readyIn: timeTo(forecast.readyAt, now),
            age: timeTo(now, forecast.toldAt),
          },
    waiting,
  };
}
