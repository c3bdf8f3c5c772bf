/** Endpoints by service and by failure domain, indexed once for each configuration. */

import type {EndpointId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {EndpointDeclaration} from './schema.js';

/** A declared engine with its name. */
export type DeclaredEngine = readonly [
  EndpointId,
  Extract<EndpointDeclaration, {kind: 'engine'}>,
];

/** A declared instance of a plain service with its name. */
export type DeclaredInstance = readonly [
  EndpointId,
  Extract<EndpointDeclaration, {kind: 'service'}>,
];

type Endpoints = Readonly<Record<string, EndpointDeclaration>>;

interface EndpointIndex {
  readonly engines: Map<string, DeclaredEngine[]>;
  readonly instances: Map<string, DeclaredInstance[]>;
}

/** Sections that a change does not touch keep their identity, and so their index. */
const indexes = new WeakMap<Endpoints, EndpointIndex>();

/** The engines of one failure domain. */
export function enginesIn(
  endpoints: Endpoints,
  failureDomain: string,
): readonly DeclaredEngine[] {
  return indexOf(endpoints).engines.get(failureDomain) ?? [];
}

/** The instances of one plain service. */
export function instancesOf(
  endpoints: Endpoints,
  service: string,
): readonly DeclaredInstance[] {
  return indexOf(endpoints).instances.get(service) ?? [];
}

/** Failure domains that have engines. */
export function engineFailureDomains(endpoints: Endpoints): readonly string[] {
  return [...indexOf(endpoints).engines.keys()];
}

function indexOf(endpoints: Endpoints): EndpointIndex {
  let index = indexes.get(endpoints);
  if (index === undefined) {
    index = buildIndex(endpoints);
    indexes.set(endpoints, index);
  }
  return index;
}

function buildIndex(endpoints: Endpoints): EndpointIndex {
  const index: EndpointIndex = {engines: new Map(), instances: new Map()};
  for (const [name, endpoint] of Object.entries(endpoints)) {
    const id = as<EndpointId>(name);
    if (endpoint.kind === 'engine') {
      append(index.engines, endpoint.failure_domain, [id, endpoint] as const);
    } else {
      append(index.instances, endpoint.service, [id, endpoint] as const);
    }
  }
  return index;
}

function append<Item>(
  lists: Map<string, Item[]>,
  key: string,
  item: Item,
): void {
  const list = lists.get(key);
  if (list === undefined) lists.set(key, [item]);
  else list.push(item);
}
