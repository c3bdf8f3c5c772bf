import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ServiceName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Route, RouteName, RouteVersion} from '../src/index.js';
import {
  RouteTable,
  firstEventPatience,
  mayRepeat,
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
    maximumAttempts: 1,
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
  it('takes the longest prefix of the host', () => {
    const short = route({name: as<RouteName>('short'), pathPrefix: '/'});
    const long = route({name: as<RouteName>('long'), pathPrefix: '/a/b/'});
    const routes = table(short, long);
    expect(routes.find('offers.example', '/a/b/c')?.name).toEqual(long.name);
    expect(routes.find('offers.example', '/a/c')?.name).toEqual(short.name);
  });

  it('looks at neither the query, the port nor the case of the host', () => {
    const routes = table(route());
    expect(routes.find('OFFERS.example:8080', '/a/x?y=/b/')).not.toEqual(
      undefined,
    );
    expect(routes.find('offers.example', '/b/?/a/')).toEqual(undefined);
  });

  it('finds nothing for a host that no route has, or without a host', () => {
    expect(table(route()).find('other.example', '/a/')).toEqual(undefined);
    expect(table(route()).find(undefined, '/a/')).toEqual(undefined);
  });

  it('needs the whole prefix, slash included', () => {
    expect(table(route()).find('offers.example', '/a')).toEqual(undefined);
  });
});

describe('the split of a route', () => {
  const targets = [
    {service: as<ServiceName>('old'), weight: 90},
    {service: as<ServiceName>('none'), weight: 0},
    {service: as<ServiceName>('new'), weight: 10},
  ];

  it('follows the weights', () => {
    const counts = new Map<string | undefined, number>();
    for (let point = 0; point < 1; point += 0.001) {
      const service = pickTarget(route({targets}), point);
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    expect(Math.round((counts.get('old') ?? 0) / 10)).toEqual(90);
    expect(Math.round((counts.get('new') ?? 0) / 10)).toEqual(10);
    expect(counts.has('none')).toEqual(false);
  });

  it('gives nothing when no target takes requests', () => {
    const none = [{service: as<ServiceName>('none'), weight: 0}];
    expect(pickTarget(route({targets: none}), 0.5)).toEqual(undefined);
  });
});

describe('a route', () => {
  it('may be repeated when it is safe, or a stream that resumes', () => {
    expect(mayRepeat(route({kind: 'safe'}))).toEqual(true);
    expect(mayRepeat(route({kind: 'unsafe', isResumable: true}))).toEqual(
      false,
    );
    expect(mayRepeat(route({kind: 'stream'}))).toEqual(false);
    expect(mayRepeat(route({kind: 'stream', isResumable: true}))).toEqual(true);
  });

  it('has patience for the longest of two seconds, four objectives, eight gaps', () => {
    expect(firstEventPatience(route())).toEqual(2_000);
    expect(firstEventPatience(route({latencyObjectiveMilliseconds: 2_000}))).toEqual(
      8_000,
    );
    expect(firstEventPatience(route({maximumEventGapMilliseconds: 500}))).toEqual(
      4_000,
    );
  });
});
