/** The question where a request would go now, as the query of `GET /where` states it. */

import type {
  AdapterName,
  Milliseconds,
  ModelName,
  TeamName,
} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, as} from '@siskinmux/kernel';
import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {QueryFields} from '@siskinmux/runtime';
import {z} from 'zod';

/** Longest values that are read. */
const MAXIMUM_NAME_CHARACTERS = 256;
const MAXIMUM_PATH_CHARACTERS = 4_096;

/** Names of unknown fields are repeated only if they can't be a key. */
const REPEATABLE_FIELD = /^[a-z]{1,12}$/;

const name = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);

const schema = z.strictObject({
  method: z
    .string()
    .regex(/^[A-Z]{1,16}$/)
    .default('GET'),
  host: name,
  path: z.string().startsWith('/').max(MAXIMUM_PATH_CHARACTERS),
  model: name.optional(),
  adapter: name.optional(),
  version: name.optional(),
  team: name.optional(),
  tokens: z
    .string()
    .regex(/^\d{1,9},\d{1,9}$/)
    .default('0,0'),
  deadline: z
    .string()
    .regex(/^[1-9]\d{0,8}$/)
    .optional(),
});

/** What is expected of each field. */
const EXPECTED: Readonly<Record<string, string>> = {
  method: 'expected an HTTP method in capitals',
  host: 'expected the host of the request',
  path: 'expected the path of the request, which begins with a slash',
  model: 'expected the name of a model',
  adapter: 'expected the name of an adapter',
  version: 'expected a software version',
  team: 'expected the name of a team',
  tokens: 'expected PROMPT,OUTPUT',
  deadline: 'expected milliseconds, 1 or more',
};

/** A request that is asked about. */
export interface WhereQuestion {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
  /** Set for the continuation of a stream that this version began. */
  readonly version: SoftwareVersion | undefined;
  /** Never a key. */
  readonly team: TeamName | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly timeoutMilliseconds: Milliseconds | undefined;
}

/** A field of the query can't be read. Its value may be a key and is not repeated. */
export class WhereQueryError extends SiskinmuxError {
  constructor(
    readonly field: string,
    problem: string,
  ) {
    super(ErrorCode.InvalidRequest, `${field}: ${problem}`);
  }
}

/** Reads a query; throws {@link WhereQueryError}. */
export function readWhereQuestion(query: QueryFields): WhereQuestion {
  const {data, error} = schema.safeParse({...query});
  if (data === undefined) throw toQueryError(error);
  const [promptTokens = 0, outputTokens = 0] = data.tokens
    .split(',')
    .map(Number);
  const {method, host, path, model, adapter, version, team, deadline} = data;
  return {
    method,
    host,
    path,
    model: model === undefined ? undefined : as<ModelName>(model),
    adapter: adapter === undefined ? undefined : as<AdapterName>(adapter),
    version: version === undefined ? undefined : as<SoftwareVersion>(version),
    team: team === undefined ? undefined : as<TeamName>(team),
    promptTokens,
    outputTokens,
    timeoutMilliseconds: deadline === undefined ? undefined : Number(deadline),
  };
}

function toQueryError({issues}: z.ZodError): WhereQueryError {
  const [issue] = issues;
  if (issue?.code === 'unrecognized_keys') {
    const [key = ''] = issue.keys;
    const field = REPEATABLE_FIELD.test(key) ? key : 'unknown field';
    const known = Object.keys(EXPECTED).join(', ');
    return new WhereQueryError(field, `expected one of ${known}`);
  }
  const field = String(issue?.path[0] ?? 'query');
  return new WhereQueryError(field, EXPECTED[field] ?? 'not valid');
}
