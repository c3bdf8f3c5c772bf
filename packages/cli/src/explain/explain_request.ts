/** What became of one request, from the lines of all nodes. */

import type {LogLine} from './log_line.js';

/** Share of the time to the answer from which the wait at the node is the reason. */
const WAITED_SHARE = 0.5;

/** Events that change what a node believes of everything, not of one model or endpoint. */
const BELIEFS: ReadonlySet<string> = new Set([
  'allocator-lost',
  'allocator-followed',
  'store-lost',
  'store-regained',
  'routes-in-force',
]);

/** The lines that tell of a request. */
export interface RequestStory {
  /** Lines with the request's id, and those that bear on it while it was open. */
  readonly lines: readonly LogLine[];
  readonly outcome: string;
}

/** Picks the lines about a request out of all; undefined when no line names it. */
export function explainRequest(
  id: string,
  all: readonly LogLine[],
): RequestStory | undefined {
  const own = all.filter(({fields}) => fields['id'] === id);
  const ends = own.filter(({event}) => event === 'request-ended');
  if (own.length === 0) return undefined;
  const bearing = ends.flatMap(end => all.filter(line => bearsOn(line, end)));
  const lines = [...new Set([...own, ...bearing])].sort(
    (left, right) => left.time - right.time,
  );
  const outcome =
    ends.length === 0
      ? 'Still open, or its node ended before it: no line says how it ended.'
      : ends.map(describeEnd).join('\n');
  return {lines, outcome};
}

/** Whether a line tells of the model, the endpoint or the node while the request was open. */
function bearsOn(line: LogLine, end: LogLine): boolean {
  const took = numberOf(end, 'milliseconds') ?? 0;
  if (line.time < end.time - took || line.time > end.time) return false;
  const {fields} = line;
  if (fields['id'] !== undefined) return false;
  const {model, endpoint} = end.fields;
  const names = [fields['load'], fields['model'], fields['engine']];
  const isAboutIts =
    (model !== undefined && names.includes(model)) ||
    (endpoint !== undefined &&
      (names.includes(endpoint) || fields['endpoint'] === endpoint));
  return isAboutIts || (line.node === end.node && BELIEFS.has(line.event));
}

function describeEnd(end: LogLine): string {
  const {result, endpoint, model, version} = end.fields;
  const took = numberOf(end, 'milliseconds') ?? 0;
  const sends = numberOf(end, 'sends') ?? 0;
  const at = `At ${end.node}, by version ${String(version)} of the routes`;
  switch (result) {
    case 'served':
      return `${at}: served by ${String(endpoint)} within ${took} ms, ${sends} sends. ${whereTheTimeWent(end)}`;
    case 'no-endpoint':
      return `${at}: refused after ${took} ms, not run: ${
        model === undefined
          ? 'no endpoint of the service could take it'
          : `no engine could have ${String(model)} ready in time`
      }.`;
    case 'outcome-unknown':
      return `${at}: ended after ${took} ms with an unknown outcome: ${String(endpoint)} had it and did not answer, and it may not run twice.`;
    case 'caller_gone':
      return `${at}: its caller left after ${took} ms; what ran was cancelled.`;
    default:
      return `${at}: ended as ${String(result)} after ${took} ms, ${sends} sends, the last to ${String(endpoint)}.`;
  }
}

function whereTheTimeWent(end: LogLine): string {
  const sent = numberOf(end, 'sentAfter');
  const answered = numberOf(end, 'answeredAfter');
  if (sent === undefined || answered === undefined) return '';
  return sent >= answered * WAITED_SHARE
    ? `Of ${answered} ms to the answer it waited ${sent} ms here, for an endpoint.`
    : `Of ${answered} ms to the answer it spent ${answered - sent} ms at the endpoint.`;
}

function numberOf({fields}: LogLine, name: string): number | undefined {
  const value = fields[name];
  return typeof value === 'number' ? value : undefined;
}
