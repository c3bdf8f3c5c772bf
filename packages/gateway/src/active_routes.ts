/** The route configuration that this node serves; its version never decreases. */

import type {EmitEvent, Milliseconds} from '@siskinmux/kernel';
import type {RouteConfiguration} from '@siskinmux/routes';
import {RouteTable, TeamDirectory} from '@siskinmux/routes';
import {ROUTES_IN_FORCE, TEAMS_UNUSABLE} from './gateway_events.js';

/** A route configuration and the table built from it. */
export interface RouteSnapshot {
  readonly configuration: RouteConfiguration;
  readonly table: RouteTable;
  /** Undefined if callers need no keys. */
  readonly teams?: TeamDirectory | undefined;
}

/** Bounds on the names in the log line about teams that can't be used. */
const MAXIMUM_LOGGED_TEAMS = 8;
const MAXIMUM_LOGGED_CHARACTERS = 64;

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
    const teams =
      configuration.teams &&
      TeamDirectory.create(configuration.teams, this.snapshot?.teams);
    this.snapshot = {
      configuration,
      table: RouteTable.create(configuration),
      teams,
    };
    this.emit(ROUTES_IN_FORCE, {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      ...origin,
    });
    this.logUnusableTeams(configuration, teams);
    for (const listener of this.listeners) listener(this.snapshot);
  }

  private logUnusableTeams(
    {version, teams}: RouteConfiguration,
    directory: TeamDirectory | undefined,
  ): void {
    const unusable = teams?.unusable ?? [];
    const sharedKeys = directory?.sharedKeyCount ?? 0;
    if (unusable.length === 0 && sharedKeys === 0) return;
    this.emit(TEAMS_UNUSABLE, {
      version,
      count: unusable.length,
      teams: unusable
        .slice(0, MAXIMUM_LOGGED_TEAMS)
        .map(name => name.slice(0, MAXIMUM_LOGGED_CHARACTERS))
        .join(' '),
      sharedKeys,
    });
  }
}
