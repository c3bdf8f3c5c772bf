/** The route configuration in force on this node; it never goes back. */

import type {EmitEvent} from '@siskinmux/kernel';
import type {RouteConfiguration} from '@siskinmux/routes';
import {RouteTable} from '@siskinmux/routes';
import {ROUTES_IN_FORCE} from './gateway_events.js';

/** A configuration and its table. */
export interface RoutesInForce {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
}

/** Holds the newest configuration that this node has seen. */
export class ActiveRoutes {
  private inForce: RoutesInForce | undefined;
  private readonly followers: ((routes: RoutesInForce) => void)[] = [];

  private constructor(private readonly emit: EmitEvent) {}

  static create(emit: EmitEvent): ActiveRoutes {
    return new ActiveRoutes(emit);
  }

  /** Undefined until the first configuration was read. */
  get current(): RoutesInForce | undefined {
    return this.inForce;
  }

  /** Calls back at each newer configuration. */
  onChange(follower: (routes: RoutesInForce) => void): void {
    this.followers.push(follower);
  }

  /** Takes a configuration over if it is newer; an answer of the store may be old. */
  applyIfNewer(configuration: RouteConfiguration): void {
    const before = this.inForce?.configuration.version;
    if (before !== undefined && configuration.version <= before) return;
    this.inForce = {configuration, table: RouteTable.create(configuration)};
    this.emit(ROUTES_IN_FORCE, {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
    });
    for (const follow of this.followers) follow(this.inForce);
  }
}
