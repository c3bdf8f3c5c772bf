/** This node's part of the connections that an endpoint accepts from all nodes. */

import type {EndpointTable} from '@siskinmux/endpoints';
import {MAXIMUM_IDLE_CONNECTIONS} from '@siskinmux/forwarding';
import type {EndpointId} from '@siskinmux/kernel';
import type {ActiveRoutes} from './active_routes.js';

/** Part of an endpoint's connections that all nodes may keep idle; requests need the others. */
const IDLE_SHARE = 0.5;

/** Returns how many idle connections this node may keep to an endpoint. */
export function createIdleLimit(
  table: EndpointTable,
  routes: ActiveRoutes,
  nodeCount: () => number,
): (endpoint: EndpointId) => number {
  return endpoint => {
    const service = table.get(endpoint)?.service;
    const declared =
      service && routes.current?.configuration.services.get(service);
    if (!declared) return MAXIMUM_IDLE_CONNECTIONS;
    const share = (declared.maximumConnections * IDLE_SHARE) / nodeCount();
    return Math.min(MAXIMUM_IDLE_CONNECTIONS, Math.floor(share));
  };
}
