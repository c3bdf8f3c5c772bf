import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Route, RouteName, RouteVersion} from '../src/index.js';
import {
  RouteTable,
  firstEventTimeoutMilliseconds,
  isRetryable,
  pickTarget,
} from '../src/index.js';

function route(changes: Partial<Route> = {}): Route {
  return {
    name: as<RouteName>('offers'),
    host: 'offers.example',
    pathPrefix: '/a/',
    kind: 'safe',
    timeoutMilliseconds: 1_000,
    latencyObjectiveMilliseconds: 100,
    priority: 0,
    maximumRuns: 1,
    targets: [{service: as<ServiceName>('coupons'), weight: 1}],
    isResumable: false,
    maximumEventGapMilliseconds: 200,
    ...changes,
  };
}

function table(...routes: Route[]): RouteTable {
  return RouteTable.create({
    version: as<RouteVersion>(1),
    routes,
    services: new Map(),
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  });
}

describe('the route table', () => {
  it('selects the route with the longest matching path prefix of the host', () => {
    const short = route({name: as<RouteName>('short'), pathPrefix: '/'});
    const long = route({name: as<RouteName>('long'), pathPrefix: '/a/b/'});
    const routes = table(short, long);
    expect(routes.find('offers.example', '/a/b/c')?.name).toEqual(long.name);
    expect(routes.find('offers.example', '/a/c')?.name).toEqual(short.name);
  });

  it('ignores the query, and the port and letter case of the host', () => {
    const routes = table(route());
    expect(routes.find('OFFERS.example:8080', '/a/x?y=/b/')).not.toEqual(
      undefined,
    );
    expect(routes.find('offers.example', '/b/?/a/')).toEqual(undefined);
  });

  it('finds no route for an unknown or missing host', () => {
    expect(table(route()).find('other.example', '/a/')).toEqual(undefined);
    expect(table(route()).find(undefined, '/a/')).toEqual(undefined);
  });

  it('matches a path prefix only with its trailing slash', () => {
    expect(table(route()).find('offers.example', '/a')).toEqual(undefined);
  });
});

describe('target selection of a route', () => {
  const targets = [
    {service: as<ServiceName>('old'), weight: 90},
    {service: as<ServiceName>('none'), weight: 0},
    {service: as<ServiceName>('new'), weight: 10},
  ];

  it('distributes requests in proportion to the weights, with none for weight 0', () => {
    const counts = new Map<string | undefined, number>();
    for (let point = 0; point < 1; point += 0.001) {
      const service = pickTarget(route({targets}), point);
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect(Math.round((counts.get('old') ?? 0) / 10)).toEqual(90);
    expect(Math.round((counts.get('new') ?? 0) / 10)).toEqual(10);
    expect(counts.has('none')).toEqual(false);
  });

  it('selects no target when all weights are 0', () => {
    const none = [{service: as<ServiceName>('none'), weight: 0}];
    expect(pickTarget(route({targets: none}), 0.5)).toEqual(undefined);
  });
});

describe('a route', () => {
  it('is retryable if it is safe, or a resumable stream', () => {
    expect(isRetryable(route({kind: 'safe'}))).toEqual(true);
    expect(isRetryable(route({kind: 'unsafe', isResumable: true}))).toEqual(
      false,
    );
    expect(isRetryable(route({kind: 'stream'}))).toEqual(false);
    expect(isRetryable(route({kind: 'stream', isResumable: true}))).toEqual(
      true,
    );
  });

  it('allows the longest of two seconds, four latency objectives and eight event gaps until the first event', () => {
    expect(firstEventTimeoutMilliseconds(route())).toEqual(2_000);
    expect(
      firstEventTimeoutMilliseconds(
        route({latencyObjectiveMilliseconds: 2_000}),
      ),
    ).toEqual(8_000);
    expect(
      firstEventTimeoutMilliseconds(route({maximumEventGapMilliseconds: 500})),
    ).toEqual(4_000);
  });
});
