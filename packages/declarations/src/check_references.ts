/** Checks rules between entries, such as references, before a configuration is accepted. */

import type {DeclarationFault} from './declaration_error.js';
import type {Declarations} from './schema.js';

type ReportFault = (path: string, problem: string) => void;

/** Returns the violations of rules between entries; empty when all of them hold. */
export function checkReferences(
  declarations: Declarations,
): readonly DeclarationFault[] {
  const faults: DeclarationFault[] = [];
  const report: ReportFault = (path, problem) =>
    faults.push({file: undefined, line: undefined, path, problem});
  checkModels(declarations, report);
  checkAdapters(declarations, report);
  checkNameCollisions(declarations, report);
  checkEndpoints(declarations, report);
  checkKeyDigests(declarations, report);
  return faults;
}

function checkModels(declarations: Declarations, report: ReportFault): void {
  for (const [name, model] of Object.entries(declarations.models)) {
    const path = `models.${name}`;
    if (!model.versions.includes(model.current_version)) {
      report(
        `${path}.current_version`,
        `found "${model.current_version}", expected one of ${model.versions.join(', ')}`,
      );
    }
    for (const [failureDomain, maximumReplicas] of Object.entries(
      model.replicas,
    )) {
      if (maximumReplicas > 0) {
        checkEngineMemory(
          declarations,
          `${path}.replicas.${failureDomain}`,
          failureDomain,
          model.memory_gib,
          report,
        );
      }
    }
  }
}

function checkEngineMemory(
  declarations: Declarations,
  path: string,
  failureDomain: string,
  memoryGib: number,
  report: ReportFault,
): void {
  const engines = Object.values(declarations.endpoints).filter(
    endpoint =>
      endpoint.kind === 'engine' && endpoint.failure_domain === failureDomain,
  );
  if (engines.length === 0) {
    report(path, `no engine is declared in failure domain "${failureDomain}"`);
    return;
  }
  const largestGib = Math.max(
    ...engines.map(engine =>
      engine.kind === 'engine' ? engine.memory_gib : 0,
    ),
  );
  if (largestGib < memoryGib) {
    report(
      path,
      `the model needs ${memoryGib} GiB, the largest engine in "${failureDomain}" has ${largestGib} GiB`,
    );
  }
}

function checkAdapters(declarations: Declarations, report: ReportFault): void {
  for (const [name, adapter] of Object.entries(declarations.adapters)) {
    if (declarations.models[adapter.model] === undefined) {
      report(
        `adapters.${name}.model`,
        `found "${adapter.model}", expected the name of a declared model`,
      );
    }
  }
}

/** A request's `model` field may name a model or an adapter, so names must be unique. */
function checkNameCollisions(
  declarations: Declarations,
  report: ReportFault,
): void {
  for (const name of Object.keys(declarations.adapters)) {
    if (declarations.models[name] !== undefined) {
      report(`adapters.${name}`, 'a model has the same name');
    }
  }
}

function checkEndpoints(declarations: Declarations, report: ReportFault): void {
  const nameByUrl = new Map<string, string>();
  for (const [name, endpoint] of Object.entries(declarations.endpoints)) {
    const path = `endpoints.${name}`;
    const otherName = nameByUrl.get(endpoint.url);
    if (otherName !== undefined) {
      report(`${path}.url`, `endpoint "${otherName}" has the same address`);
    }
    nameByUrl.set(endpoint.url, name);
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

/** A key identifies one team. The digests themselves are not reported. */
function checkKeyDigests(
  declarations: Declarations,
  report: ReportFault,
): void {
  const nameByDigest = new Map<string, string>();
  for (const [name, team] of Object.entries(declarations.teams)) {
    for (const [index, digest] of team.key_digests.entries()) {
      const otherName = nameByDigest.get(digest);
      if (otherName !== undefined) {
        report(
          `teams.${name}.key_digests.${index}`,
          otherName === name
            ? `team "${name}" has the same digest twice`
            : `teams "${otherName}" and "${name}" have the same digest`,
        );
      }
      nameByDigest.set(digest, name);
    }
  }
}
