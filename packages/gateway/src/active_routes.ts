/** The route configuration that this node serves; its version never decreases. */

import type {EmitEvent, Milliseconds} from '@siskinmux/kernel';
import type {RouteConfiguration} from '@siskinmux/routes';
import {RouteTable} from '@siskinmux/routes';
import {ROUTES_IN_FORCE} from './gateway_events.js';

/** A route configuration and the table built from it. */
export interface RouteSnapshot {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
}

/** How a change reached this node, for the log. */
export interface ChangeOrigin {
  readonly source: string;
  /** Greatest possible milliseconds since its acknowledgement; undefined at the first read. */
  readonly delayUpTo: Milliseconds | undefined;
}

/** Holds the newest route configuration that this node has read. */
export class ActiveRoutes {
  private snapshot: RouteSnapshot | undefined;
  private readonly listeners: ((snapshot: RouteSnapshot) => void)[] = [];

  private constructor(private readonly emit: EmitEvent) {}

  static create(emit: EmitEvent): ActiveRoutes {
    return new ActiveRoutes(emit);
  }

  /** Undefined until the first configuration has been read. */
  get current(): RouteSnapshot | undefined {
    return this.snapshot;
  }

  /** Calls the listener for each newer configuration. */
  onChange(listener: (snapshot: RouteSnapshot) => void): void {
    this.listeners.push(listener);
  }

  /** Applies a configuration if it is newer; the store may respond with an outdated one. */
  applyIfNewer(configuration: RouteConfiguration, origin: ChangeOrigin): void {
    const before = this.snapshot?.configuration.version;
    if (before !== undefined && configuration.version <= before) return;
    this.snapshot = {configuration, table: RouteTable.create(configuration)};
    this.emit(ROUTES_IN_FORCE, {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      ...origin,
    });
    for (const listener of this.listeners) listener(this.snapshot);
  }
}
