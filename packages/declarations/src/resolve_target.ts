/** Finds what a request's `model` field names: a model, a version or an adapter. */

import type {AdapterName, ModelName} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {Declarations, ModelDeclaration} from './schema.js';

/** A model at one version, with an adapter when the request names one. */
export interface ModelTarget {
  readonly model: ModelName;
  readonly version: string;
  readonly adapter: AdapterName | undefined;
  readonly declaration: ModelDeclaration;
}

/** The target behind `name`, `name@version` or an adapter's name; undefined when there is none. */
export function resolveModelTarget(
  declarations: Declarations,
  requested: string,
): ModelTarget | undefined {
  const adapter = ownEntry(declarations.adapters, requested);
  if (adapter !== undefined) {
    return targetOf(
      declarations,
      adapter.model,
      undefined,
      as<AdapterName>(requested),
    );
  }
  const [name = '', version] = requested.split('@', 2);
  return targetOf(declarations, name, version, undefined);
}

function targetOf(
  declarations: Declarations,
  name: string,
  version: string | undefined,
  adapter: AdapterName | undefined,
): ModelTarget | undefined {
  const declaration = ownEntry(declarations.models, name);
  if (declaration === undefined) return undefined;
  const chosen = version ?? declaration.current_version;
  if (!declaration.versions.includes(chosen)) return undefined;
  return {
    model: as<ModelName>(name),
    version: chosen,
    adapter,
    declaration,
  };
}

/** Own property only: a caller may ask for the model `__proto__`. */
export function ownEntry<Entry>(
  entries: Readonly<Record<string, Entry>>,
  name: string,
): Entry | undefined {
  return Object.hasOwn(entries, name) ? entries[name] : undefined;
}
