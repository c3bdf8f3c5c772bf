import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EndpointTable} from '@siskinmux/endpoints';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import type {RouteConfiguration, RouteVersion} from '@siskinmux/routes';
import {ActiveRoutes} from '../src/active_routes.js';
import {createIdleLimit} from '../src/idle_connections.js';
import {createEngineDescription} from '@siskinmux/testkit';

const service = as<ServiceName>('text');
const engine = as<EndpointId>('engine-1');

function totalIdle(nodeCount: number, maximumConnections: number): number {
  const table = EndpointTable.create();
  table.replaceAll([createEngineDescription(engine, service)], undefined);
  const routes = ActiveRoutes.create(discardEvents);
  const configuration: RouteConfiguration = {
    version: as<RouteVersion>(1),
    routes: [],
    services: new Map([
      [
        service,
        {
          name: service,
          probePath: '/',
          maximumConnections,
          engine: undefined,
        },
      ],
    ]),
    limits: {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
  };
  routes.applyIfNewer(configuration, {source: 'list', delayUpTo: undefined});
  return nodeCount * createIdleLimit(table, routes, () => nodeCount)(engine);
}

describe('idle connections of all nodes together', () => {
  for (const [nodeCount, maximumConnections] of [
    [7, 100],
    [91, 610],
    [570, 830],
  ] as const) {
    it(`leave half of ${maximumConnections} connections of an endpoint to the requests of ${nodeCount} nodes`, () => {
      expect(totalIdle(nodeCount, maximumConnections)).toBeLessThanOrEqual(
        maximumConnections / 2,
      );
    });
  }
});
