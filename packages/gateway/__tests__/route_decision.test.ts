import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ServiceName} from '@siskinmux/kernel';
import {ErrorCode, as, createNotRunRefusal} from '@siskinmux/kernel';
import type {Route, RouteName, RouteVersion} from '@siskinmux/routes';
import {RouteTable} from '@siskinmux/routes';
import type {RouteSnapshot} from '../src/active_routes.js';
import {statementOfRefusal} from '../src/relayed_send.js';
import type {RouteKnowledge} from '../src/route_decision.js';
import {decideRoute} from '../src/route_decision.js';

const ROUTE: Route = {
  name: as<RouteName>('offers'),
  host: 'offers.example',
  pathPrefix: '/known/',
  kind: 'safe',
  timeoutMilliseconds: 1_000,
  latencyObjectiveMilliseconds: 100,
  priority: 0,
  maximumRuns: 1,
  targets: [{service: as<ServiceName>('coupons'), weight: 1}],
  isResumable: false,
  maximumEventGapMilliseconds: 200,
};

function snapshot(...configured: Route[]): RouteSnapshot {
  const configuration = {
    version: as<RouteVersion>(1),
    routes: configured,
    services: new Map(),
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
  return {configuration, table: RouteTable.create(configuration)};
}

const CURRENT = {isCurrent: true, isDecidable: true};
/** The store counts as unreachable. */
const OUTDATED = {isCurrent: false, isDecidable: true};
/** A read of the store is awaited, of the routes or of other objects. */
const ROUTES_AWAITED = {isCurrent: false, isDecidable: false};
const OTHERS_AWAITED = {isCurrent: true, isDecidable: false};

function decide(
  routes: RouteSnapshot | undefined,
  knowledge: Omit<RouteKnowledge, 'routes'>,
  target: string,
  host = 'offers.example',
): string {
  const decision = decideRoute({routes, ...knowledge}, {host, target});
  if (decision.kind === 'found') return decision.route.name;
  return decision.kind === 'refused' ? decision.code : decision.kind;
}

describe('decideRoute', () => {
  it('does not take outdated routes as evidence that a route does not exist', () => {
    const routes = snapshot(ROUTE);
    const refused = ErrorCode.ConfigurationUnavailable;
    expect(decide(routes, OUTDATED, '/added/1')).toEqual(refused);
    expect(decide(routes, OUTDATED, '/known/1', 'added')).toEqual(refused);
    expect(decide(snapshot(), OUTDATED, '/known/1')).toEqual(refused);
  });

  it('refuses a route that does not exist for good by current routes, at once', () => {
    const refused = ErrorCode.UnknownTarget;
    expect(decide(snapshot(ROUTE), CURRENT, '/added/1')).toEqual(refused);
    expect(decide(snapshot(), CURRENT, '/known/1')).toEqual(refused);
    expect(decide(snapshot(ROUTE), OTHERS_AWAITED, '/added/1')).toEqual(
      refused,
    );
  });

  it('serves a known route also by outdated routes, as in an outage of the store', () => {
    expect(decide(snapshot(ROUTE), CURRENT, '/known/1')).toEqual('offers');
    expect(decide(snapshot(ROUTE), OUTDATED, '/known/1')).toEqual('offers');
  });

  it('does not decide while a read may bring another route or endpoint', () => {
    const routes = snapshot(ROUTE);
    expect(decide(routes, ROUTES_AWAITED, '/known/1')).toEqual('undecided');
    expect(decide(routes, ROUTES_AWAITED, '/added/1')).toEqual('undecided');
    expect(decide(routes, OTHERS_AWAITED, '/known/1')).toEqual('undecided');
  });

  it('refuses all requests as not run until a configuration has been read', () => {
    for (const knowledge of [CURRENT, OUTDATED])
      expect(decide(undefined, knowledge, '/known/1')).toEqual(
        ErrorCode.ConfigurationUnavailable,
      );
  });

  it('lets the node that relayed a request ask another one if the routes may be outdated', () => {
    const refusal = createNotRunRefusal(ErrorCode.ConfigurationUnavailable, '');
    expect(statementOfRefusal(refusal)).toEqual({
      kind: 'refusal',
      code: ErrorCode.ConfigurationUnavailable,
      isUnable: true,
    });
  });

  it('lets the node that relayed a request ask another one if this one finds no identity', () => {
    const refusal = createNotRunRefusal(ErrorCode.Unauthenticated, '');
    expect(statementOfRefusal(refusal)).toEqual({
      kind: 'refusal',
      code: ErrorCode.Unauthenticated,
      isUnable: true,
    });
  });
});
