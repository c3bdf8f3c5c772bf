/** Explains the outcome of one request from the log lines of all nodes. */

import type {LogLine} from './log_line.js';
import {numberOf} from './log_line.js';
import {describeReturn, findStoreReturns} from './store_return.js';

/** Share of the response time from which the wait for an endpoint counts as its main cause. */
const WAIT_DOMINANT_SHARE = 0.5;

/** Events that affect all requests of a node, not only those of one model or endpoint. */
const NODE_WIDE_EVENTS: ReadonlySet<string> = new Set([
  'allocator-lost',
  'allocator-followed',
  'store-lost',
  'store-regained',
  'routes-in-force',
]);

/** Events about requests with the same trait, at any time and on any node. */
const CRASH_EVENTS: ReadonlySet<string> = new Set([
  'run-crashed',
  'request-quarantined',
  'trait-cleared',
]);

/** Events about the pause that an endpoint asks one node for. */
const PAUSE_EVENTS: ReadonlySet<string> = new Set([
  'endpoint-paused',
  'endpoint-pause-invalid',
]);

/** Events about the limit that an endpoint names. */
const LIMIT_EVENTS: ReadonlySet<string> = new Set([
  'endpoint-limit-changed',
  'endpoint-limit-invalid',
]);

/** Results that follow from the routes which a node knew. */
const DECIDED_BY_ROUTES: ReadonlySet<unknown> = new Set([
  'unknown-target',
  'body-too-large',
  'configuration-unavailable',
]);

/** Events about a node's reads of the store. */
const READ_EVENTS: ReadonlySet<string> = new Set([
  'store-lost',
  'store-regained',
  'feed-used',
  'feed-lost',
  'read-overdue',
  'entry-unreadable',
]);

/** Log lines that explain a request, and its outcome in words. */
export interface RequestExplanation {
  /** Lines with the ID of the request, and related ones while it was open. */
  readonly lines: readonly LogLine[];
  readonly outcome: string;
}

/** Explains a request; undefined when no line has its ID. */
export function explainRequest(
  id: string,
  allLines: readonly LogLine[],
): RequestExplanation | undefined {
  const ownLines = allLines.filter(({fields}) => fields['id'] === id);
  const ends = ownLines.filter(({event}) => event === 'request-ended');
  if (ownLines.length === 0) return undefined;
  const related = ends.flatMap(end =>
    allLines.filter(line => isRelated(line, end)),
  );
  const causes = [
    ...linesOfCrashes(ownLines, allLines),
    ...linesOfLimits(ownLines, allLines),
    ...ends.flatMap(end => lineOfBuffers(end, allLines)),
    ...ends.flatMap(end => linesOfRoutes(end, allLines)),
    ...ends.flatMap(end =>
      findStoreReturns(end, allLines).flatMap(({lines}) => lines),
    ),
  ];
  const lines = [...new Set([...ownLines, ...related, ...causes])].sort(
    (left, right) => left.time - right.time,
  );
  const outcome =
    ends.length === 0
      ? 'Still open, or its node stopped first: no line reports its outcome.'
      : ends
          .flatMap(end => [
            `${describeOutcome(end, allLines)}${describeSilences(end, ownLines)}`,
            ...findStoreReturns(end, allLines).map(describeReturn),
          ])
          .join('\n');
  return {lines, outcome};
}

/**
 * Whether a line concerns the model, the endpoint or the node of a request while it was
 * open. `end` is the line that reports the outcome of the request.
 */
function isRelated(line: LogLine, end: LogLine): boolean {
  const durationMilliseconds = numberOf(end, 'milliseconds') ?? 0;
  if (line.time < end.time - durationMilliseconds || line.time > end.time)
    return false;
  const {fields} = line;
  if (fields['id'] !== undefined) return false;
  const {model, endpoint} = end.fields;
  const names = [fields['load'], fields['model'], fields['engine']];
  const isSameTarget =
    (model !== undefined && names.includes(model)) ||
    (endpoint !== undefined &&
      (names.includes(endpoint) || fields['endpoint'] === endpoint));
  return (
    isSameTarget || (line.node === end.node && NODE_WIDE_EVENTS.has(line.event))
  );
}

/** Lines about earlier crashes because of which one of a request's sends was withheld. */
function linesOfCrashes(
  ownLines: readonly LogLine[],
  allLines: readonly LogLine[],
): LogLine[] {
  const withheld = new Set(
    ownLines
      .filter(({event}) => event === 'request-withheld')
      .map(({fields}) => fields['trait']),
  );
  return allLines.filter(
    ({event, fields}) =>
      CRASH_EVENTS.has(event) &&
      traitsOf(fields).some(trait => withheld.has(trait)),
  );
}

/** The traits that a line about crashes names. */
function traitsOf({trait, content, traits}: LogLine['fields']): unknown[] {
  const others = typeof traits === 'string' ? traits.split(' ') : [];
  return [trait, content, ...others];
}

/** Lines about the limits and pauses because of which a request was diverted, waited or was refused. */
function linesOfLimits(
  ownLines: readonly LogLine[],
  allLines: readonly LogLine[],
): LogLine[] {
  const limited = ownLines.filter(({event}) => event === 'request-limited');
  const lives = new Set(limited.map(({fields}) => fields['life']));
  const nodes = new Set(limited.map(({node}) => node));
  const lastAt = Math.max(...limited.map(({time}) => time));
  return allLines.filter(
    ({event, node, fields, time}) =>
      (LIMIT_EVENTS.has(event) ||
        (PAUSE_EVENTS.has(event) && nodes.has(node))) &&
      lives.has(fields['life']) &&
      time <= lastAt,
  );
}

/** When the memory of the node was used up that had none for a request. */
function lineOfBuffers(end: LogLine, allLines: readonly LogLine[]): LogLine[] {
  if (end.fields['result'] !== 'buffers-full') return [];
  return allLines
    .filter(
      ({event, node, time}) =>
        event === 'buffers-full' && node === end.node && time <= end.time,
    )
    .sort((left, right) => left.time - right.time)
    .slice(-1);
}

/**
 * When the node of a request that it refused by its routes learned of them, before and after,
 * its reads in between, and the first node with newer ones.
 */
function linesOfRoutes(end: LogLine, allLines: readonly LogLine[]): LogLine[] {
  if (!DECIDED_BY_ROUTES.has(end.fields['result'])) return [];
  const ownLines = allLines
    .filter(({node}) => node === end.node)
    .sort((left, right) => left.time - right.time);
  const switches = ownLines.filter(({event}) => event === 'routes-in-force');
  const knownUntil = end.time - (numberOf(end, 'routesAge') ?? Infinity);
  const newer = findNewerRoutes(end, allLines);
  const reads = ownLines.filter(
    ({event, time}) =>
      READ_EVENTS.has(event) && time >= knownUntil && time <= end.time,
  );
  return [
    ...switches.filter(({time}) => time <= end.time).slice(-1),
    ...reads,
    ...switches.filter(({time}) => time > end.time).slice(0, 1),
    ...(newer === undefined ? [] : [newer]),
  ];
}

/** The first switch of any node to newer routes than a request was decided by, before its end. */
function findNewerRoutes(
  end: LogLine,
  allLines: readonly LogLine[],
): LogLine | undefined {
  const version = numberOf(end, 'version') ?? 0;
  return allLines
    .filter(
      line =>
        line.event === 'routes-in-force' &&
        line.time <= end.time &&
        (numberOf(line, 'version') ?? 0) > version,
    )
    .sort((left, right) => left.time - right.time)
    .at(0);
}

function describeNewerRoutes(
  end: LogLine,
  allLines: readonly LogLine[],
): string {
  const newer = findNewerRoutes(end, allLines);
  if (newer === undefined)
    return 'No line shows newer routes at another node by then.';
  return `Version ${String(newer.fields['version'])} had been in force at ${newer.node} for ${end.time - newer.time} ms.`;
}

/** The routes that a request was decided by, and how far they may have been behind the store. */
function describeRoutes(end: LogLine): string {
  const {version} = end.fields;
  if (version === undefined) return 'no routes';
  const age = numberOf(end, 'routesAge');
  const delay = age === undefined ? '' : `, at most ${age} ms behind the store`;
  return `routes version ${String(version)}${delay}`;
}

function describeOutcome(end: LogLine, allLines: readonly LogLine[]): string {
  const {result, endpoint, model, version} = end.fields;
  const durationMilliseconds = numberOf(end, 'milliseconds') ?? 0;
  const sends = numberOf(end, 'sends') ?? 0;
  const prefix = `Node ${end.node} (${describeRoutes(end)})`;
  switch (result) {
    case 'served':
      return `${prefix}: served by ${String(endpoint)} within ${durationMilliseconds} ms, ${sends} sends. ${describeLatency(end)}`;
    case 'unknown-target':
      return `${prefix}: refused with 404 after ${durationMilliseconds} ms, as these routes have none for it. ${describeNewerRoutes(end, allLines)}`;
    case 'configuration-unavailable':
      return version === undefined
        ? `${prefix}: refused after ${durationMilliseconds} ms, not run: the node had not read any routes.`
        : `${prefix}: refused after ${durationMilliseconds} ms, not run: what the node knew may have been outdated. ${describeNewerRoutes(end, allLines)}`;
    case 'no-endpoint':
      return `${prefix}: refused after ${durationMilliseconds} ms, not run: ${
        model === undefined
          ? 'no endpoint of the service could accept it'
          : `no engine could load ${String(model)} in time`
      }.`;
    case 'request-quarantined':
      return `${prefix}: refused after ${durationMilliseconds} ms, not run: requests with the same content or part of a prompt crashed endpoints; the lines \`run-crashed\` name them.`;
    case 'endpoint-limited':
      return `${prefix}: refused after ${durationMilliseconds} ms, not run: all endpoints of the service had named limits that were used up, or wanted no request of this node; the lines \`endpoint-limit-changed\` and \`endpoint-paused\` name them.`;
    case 'buffers-full':
      return `${prefix}: refused after ${durationMilliseconds} ms, not run: the bodies that the node held took all memory for them; the line \`buffers-full\` says how much.`;
    case 'outcome-unknown':
      return `${prefix}: ended after ${durationMilliseconds} ms with an unknown outcome: ${String(endpoint)} received the request and did not respond; it was not retried because it must not run twice.`;
    case 'caller_gone':
      return `${prefix}: the caller left after ${durationMilliseconds} ms, and any running attempt was cancelled.`;
    default:
      return `${prefix}: ended as ${String(result)} after ${durationMilliseconds} ms, ${sends} sends, the last to ${String(endpoint)}.`;
  }
}

/** What the node of a request did while endpoints were silent about it. */
function describeSilences(end: LogLine, ownLines: readonly LogLine[]): string {
  return ownLines
    .filter(({node}) => node === end.node)
    .sort((left, right) => left.time - right.time)
    .map(describeSilence)
    .join('');
}

function describeSilence({event, fields}: LogLine): string {
  if (event === 'run-suspected') {
    const cause =
      fields['suspicion'] === 'links_lost'
        ? 'The node had lost its links to the service'
        : `${String(fields['endpoint'])} was silent for ${String(fields['silentFor'])} ms`;
    const decision =
      fields['decision'] === 'send'
        ? 'the request was sent to another one beside it'
        : `the request was not sent to another one: ${String(fields['decision'])}`;
    return ` ${cause}; ${decision}.`;
  }
  if (event === 'run-superseded')
    return ` ${String(fields['by'])} went on first, and the run at ${String(fields['ended'])} was ended.`;
  return event === 'retry-refused'
    ? ` No other endpoint took it: ${String(fields['code'])}.`
    : '';
}

function describeLatency(end: LogLine): string {
  const sentMilliseconds = numberOf(end, 'sentAfter');
  const responseMilliseconds = numberOf(end, 'answeredAfter');
  if (sentMilliseconds === undefined || responseMilliseconds === undefined)
    return '';
  return sentMilliseconds >= responseMilliseconds * WAIT_DOMINANT_SHARE
    ? `The response took ${responseMilliseconds} ms, of which the request waited ${sentMilliseconds} ms for an endpoint.`
    : `The response took ${responseMilliseconds} ms, of which the request spent ${responseMilliseconds - sentMilliseconds} ms at the endpoint.`;
}
