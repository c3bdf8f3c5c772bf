/** Asks a running gateway where a request would go now. */

import {createAgent, send} from '@siskinmux/adapters';
import type {WhereAnswer} from '@siskinmux/gateway';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {OptionValues} from '../command.js';
import {UsageError, requiredOption, stringOption} from '../command.js';
import {
  NodeUnreachableError,
  ProblemResponseError,
} from '../operator_client.js';

/** A node that takes longer counts as unreachable. */
const TIMEOUT_MILLISECONDS = 2_000;

/** Bound on an answer; a test compares it with the longest one. */
const MAXIMUM_ANSWER_BYTES = 1_048_576;

/** Forms of the options, which the node checks as well. */
const FORMS: readonly (readonly [string, RegExp, string])[] = [
  ['method', /^[A-Z]{1,16}$/, 'an HTTP method in capitals'],
  ['host', /^.{1,256}$/, 'the host of the request'],
  ['path', /^\//, 'a path that begins with a slash'],
  ['model', /^.{1,256}$/, 'the name of a model'],
  ['adapter', /^.{1,256}$/, 'the name of an adapter'],
  ['version', /^.{1,256}$/, 'a software version'],
  ['team', /^.{1,256}$/, 'the name of a team'],
  ['tokens', /^\d{1,9},\d{1,9}$/, 'PROMPT,OUTPUT'],
  ['deadline', /^[1-9]\d{0,8}$/, 'milliseconds, 1 or more'],
];

/** HOST:PORT; an IPv6 address is in brackets. */
const NODE_FORM = /^(\[[\da-f:.]+\]|[^\s/:@]+):(\d{1,5})$/i;

const GREATEST_PORT = 65_535;

/** What the node responds is not an answer. */
export class AnswerUnreadableError extends SiskinmuxError {
  constructor(node: string) {
    super(ErrorCode.EndpointFailed, `${node} serves no /where`);
  }
}

/**
 * Asks the node that the options name. Throws `UsageError` for options that can't be read,
 * `NodeUnreachableError` if the node doesn't answer in time, `ProblemResponseError` if it rejects
 * the question, and {@link AnswerUnreadableError} if it is no gateway with this request.
 */
export async function askWhere(options: OptionValues): Promise<WhereAnswer> {
  const node = readNode(options);
  const query = readQuery(options);
  const response = await send(createAgent(), {
    method: 'GET',
    url: `http://${node}/where?${query.toString()}`,
    signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    maximumResponseBytes: MAXIMUM_ANSWER_BYTES,
  }).catch((cause: unknown) => {
    throw new NodeUnreachableError(node, {cause});
  });
  const body = parseObject(response.body, node);
  if (response.status === 200 && 'decision' in body)
    return body as unknown as WhereAnswer;
  if (response.status === 400) throw new ProblemResponseError(400, body);
  throw new AnswerUnreadableError(node);
}

function readNode(options: OptionValues): string {
  const node = requiredOption(options, 'node');
  const port = Number(NODE_FORM.exec(node)?.[2] ?? 0);
  if (port === 0 || port > GREATEST_PORT)
    throw new UsageError('--node: expected HOST:PORT with --where.');
  return node;
}

function readQuery(options: OptionValues): URLSearchParams {
  const query = new URLSearchParams();
  requiredOption(options, 'host');
  requiredOption(options, 'path');
  for (const [name, form, expected] of FORMS) {
    const value = stringOption(options, name);
    if (value === undefined) continue;
    if (!form.test(value))
      throw new UsageError(`--${name}: expected ${expected}.`);
    query.set(name, value);
  }
  return query;
}

function parseObject(text: string, node: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null)
      return value as Record<string, unknown>;
  } catch (failure) {
    if (!(failure instanceof SyntaxError)) throw failure;
  }
  throw new AnswerUnreadableError(node);
}
