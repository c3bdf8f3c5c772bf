/** Checks that declarations fit together, before a configuration is accepted. */

import type {DeclarationFault} from './declaration_error.js';
import type {Declarations} from './schema.js';

type Report = (path: string, problem: string) => void;

/** All faults between entries; empty when the whole is sound. */
export function checkReferences(
  declarations: Declarations,
): readonly DeclarationFault[] {
  const faults: DeclarationFault[] = [];
  const report: Report = (path, problem) =>
    faults.push({file: undefined, line: undefined, path, problem});
  checkModels(declarations, report);
  checkAdapters(declarations, report);
  checkNames(declarations, report);
  checkEndpoints(declarations, report);
  return faults;
}

function checkModels(declarations: Declarations, report: Report): void {
  for (const [name, model] of Object.entries(declarations.models)) {
    const path = `models.${name}`;
    if (!model.versions.includes(model.current_version)) {
      report(
        `${path}.current_version`,
        `found "${model.current_version}", expected one of ${model.versions.join(', ')}`,
      );
    }
    for (const [domain, limit] of Object.entries(model.replicas)) {
      if (limit > 0) {
        checkRoom(
          declarations,
          `${path}.replicas.${domain}`,
          domain,
          model.memory_gib,
          report,
        );
      }
    }
  }
}

function checkRoom(
  declarations: Declarations,
  path: string,
  domain: string,
  memoryGib: number,
  report: Report,
): void {
  const engines = Object.values(declarations.endpoints).filter(
    endpoint =>
      endpoint.kind === 'engine' && endpoint.failure_domain === domain,
  );
  if (engines.length === 0) {
    report(path, `no engine is declared in failure domain "${domain}"`);
    return;
  }
  const largest = Math.max(
    ...engines.map(engine =>
      engine.kind === 'engine' ? engine.memory_gib : 0,
    ),
  );
  if (largest < memoryGib) {
    report(
      path,
      `the model needs ${memoryGib} GiB, the largest engine in "${domain}" has ${largest} GiB`,
    );
  }
}

function checkAdapters(declarations: Declarations, report: Report): void {
  for (const [name, adapter] of Object.entries(declarations.adapters)) {
    if (declarations.models[adapter.model] === undefined) {
      report(
        `adapters.${name}.model`,
        `found "${adapter.model}", expected the name of a declared model`,
      );
    }
  }
}

/** Models and adapters share the `model` field of a request. */
function checkNames(declarations: Declarations, report: Report): void {
  for (const name of Object.keys(declarations.adapters)) {
    if (declarations.models[name] !== undefined) {
      report(`adapters.${name}`, 'a model has the same name');
    }
  }
}

function checkEndpoints(declarations: Declarations, report: Report): void {
  const urls = new Map<string, string>();
  for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
    const path = `endpoints.${name}`;
    const other = urls.get(endpoint.url);
    if (other !== undefined) {
      report(`${path}.url`, `endpoint "${other}" has the same address`);
    }
    urls.set(endpoint.url, name);
    if (
      endpoint.kind === 'service' &&
      declarations.services[endpoint.service] === undefined
    ) {
      report(
        `${path}.service`,
        `found "${endpoint.service}", expected the name of a declared service`,
      );
    }
  }
}
