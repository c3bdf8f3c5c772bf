/** Describes in words where a request would go now. */

import type {
  WhereAnswer,
  WhereCandidate,
  WhereDecision,
  WhereModel,
  WhereRoute,
  WhereTeam,
} from '@siskinmux/gateway';
import {renderTable} from '../render_table.js';

/** Fraction digits of weights. */
const WEIGHT_DIGITS = 2;

/** The lines that describe an answer; the decision is the last one. */
export function describeWhere(answer: WhereAnswer): string[] {
  const {node, at, route, team, model, candidates, decision} = answer;
  const lines = [`Node ${node} at ${at}.`];
  lines.push(route === null ? 'No route.' : describeRoute(route));
  if (team !== null) lines.push(describeTeam(team));
  if (model !== null) lines.push(describeModel(model));
  if (candidates.length > 0) {
    lines.push(
      `Endpoints, by a list ${ageText(answer.endpointsAge)}:`,
      renderCandidates(candidates),
    );
  }
  if (answer.omittedCandidates > 0)
    lines.push(`${answer.omittedCandidates} more endpoints are not shown.`);
  lines.push(describeDecision(decision));
  return lines;
}

function describeRoute(route: WhereRoute): string {
  const {name, kind, service, targets, deadlineIn} = route;
  const {configurationVersion, configurationAge} = route;
  const share =
    targets.length > 1
      ? ` (of ${targets.map(each => `${each.service}:${each.weight}`).join(', ')})`
      : '';
  return (
    `Route ${name} (${kind}) to ${service ?? 'no service'}${share}; ` +
    `has to ${kind === 'stream' ? 'begin' : 'end'} within ${deadlineIn} ms; ` +
    `configuration ${configurationVersion}, ${ageText(configurationAge)}.`
  );
}

function describeTeam({name, priority, quota}: WhereTeam): string {
  const team = `Team ${name}, priority ${priority}`;
  if (quota === null) return `${team}, no quota.`;
  const {cost, unit, level, age, isMetered, hasLeaseHolder} = quota;
  const state = [
    isMetered ? 'metered' : 'not metered',
    hasLeaseHolder
      ? `by a heartbeat ${ageText(age)}`
      : 'without a lease holder',
  ].join(', ');
  return `${team}; costs ${cost} ${unit}, ${level} may be admitted here without asking; ${state}.`;
}

function describeModel(model: WhereModel): string {
  const {name, state, readyAt, forecast, waiting} = model;
  if (state === 'ready')
    return `Model ${name} is ready at ${readyAt.join(', ')}.`;
  const told =
    forecast === null
      ? 'no forecast is known'
      : `ready in ${forecast.readyIn} ms by a forecast ${ageText(forecast.age)}`;
  return `Model ${name} is ${state}; ${told}; ${waiting} requests of this node wait for it.`;
}

function renderCandidates(candidates: readonly WhereCandidate[]): string {
  return renderTable(
    [
      'endpoint',
      'domain',
      'in flight',
      'expected',
      'own',
      'slots',
      'age ms',
      'weight',
      'excluded',
    ],
    candidates.map(each => [
      each.endpoint,
      each.failureDomain,
      String(each.knownInFlight),
      String(each.expectedInFlight),
      String(each.ownInFlight),
      String(each.slots),
      each.age === null ? '-' : String(each.age),
      each.weight.toFixed(WEIGHT_DIGITS),
      each.excluded ?? '-',
    ]),
  );
}

function describeDecision(decision: WhereDecision): string {
  const {statement} = decision;
  switch (decision.kind) {
    case 'send':
      return decision.relay === null
        ? `Sent to ${decision.endpoint ?? ''}: it ${statement}.`
        : `Sent by node ${decision.relay}: ${statement}.`;
    case 'wait':
      return `Waits ${statement}; at most ${decision.atMost} ms.`;
    case 'refuse': {
      const {status, code, returnIn} = decision;
      const returnText =
        returnIn === null ? '' : ` May return in ${returnIn} ms.`;
      return `Refused with ${status} ${code}: ${statement}${returnText}`;
    }
  }
}

function ageText(age: number | null): string {
  return age === null ? 'of unknown age' : `${age} ms old`;
}
