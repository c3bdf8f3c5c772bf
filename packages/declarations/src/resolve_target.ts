/** Resolves a request's `model` field, which names a model, a version or an adapter. */

import type {AdapterName, ModelName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Declarations, ModelDeclaration} from './schema.js';

/** A model version, with an adapter if the request names one. */
export interface ModelTarget {
  readonly model: ModelName;
  readonly version: string;
  readonly adapter: AdapterName | undefined;
  readonly declaration: ModelDeclaration;
}

/** Resolves `name`, `name@version` or an adapter's name; undefined when it is not declared. */
export function resolveModelTarget(
  declarations: Declarations,
  requestedName: string,
): ModelTarget | undefined {
  const adapter = ownEntry(declarations.adapters, requestedName);
  if (adapter !== undefined) {
    return findTarget(
      declarations,
      adapter.model,
      undefined,
      as<AdapterName>(requestedName),
    );
  }
  const [name = '', version] = requestedName.split('@', 2);
  return findTarget(declarations, name, version, undefined);
}

function findTarget(
  declarations: Declarations,
  name: string,
  version: string | undefined,
  adapter: AdapterName | undefined,
): ModelTarget | undefined {
  const declaration = ownEntry(declarations.models, name);
  if (declaration === undefined) return undefined;
  const resolvedVersion = version ?? declaration.current_version;
  if (!declaration.versions.includes(resolvedVersion)) return undefined;
  return {
    model: as<ModelName>(name),
    version: resolvedVersion,
    adapter,
    declaration,
  };
}

/** Looks up own properties only, since a caller may request the model `__proto__`. */
export function ownEntry<Entry>(
  entries: Readonly<Record<string, Entry>>,
  name: string,
): Entry | undefined {
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}
