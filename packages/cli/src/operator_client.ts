/** Calls of the operators' interface of a node. */

import {readFileSync} from 'node:fs';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import {createAgent, send} from '@siskinmux/adapters';
import type {Dispatcher} from 'undici';
import type {OptionSpec, OptionValues} from './command.js';
import {stringOption} from './command.js';

/** Where a node on this machine listens for operators by the example settings. */
const DEFAULT_NODE = 'http://127.0.0.1:17021';

/** Environment variable that replaces the default. */
const NODE_VARIABLE = 'SISKINMUX_NODE';

/** Options of all commands that talk to a node. */
export const NODE_OPTIONS: Readonly<Record<string, OptionSpec>> = {
  node: {
    type: 'string',
    placeholder: 'URL',
    help: `operator address of any node (default $${NODE_VARIABLE} or ${DEFAULT_NODE})`,
  },
  certificate: {type: 'string', placeholder: 'FILE', help: 'your certificate (TLS)'},
  key: {type: 'string', placeholder: 'FILE', help: "your certificate's key (TLS)"},
  authority: {
    type: 'string',
    placeholder: 'FILE',
    help: "the nodes' authority (TLS)",
  },
  json: {type: 'boolean', help: 'print JSON for programs'},
};

/** The node answered with a problem. */
export class OperatorProblemError extends SiskinmuxError {
  constructor(
    readonly status: number,
    readonly problem: Readonly<Record<string, unknown>>,
  ) {
    super(
      ErrorCode.EndpointFailed,
      `${String(problem['title'] ?? '')} ${String(problem['detail'] ?? '')}`,
    );
  }
}

/** The node could not be reached. */
export class NodeUnreachableError extends SiskinmuxError {
  constructor(url: string, options: ErrorOptions) {
    super(ErrorCode.PeerUnreachable, `${url}; is the address right?`, options);
  }
}

/** One node's operators' interface. */
export class OperatorClient {
  private constructor(
    private readonly url: string,
    private readonly agent: Dispatcher,
  ) {}

  /** A client as the options of {@link NODE_OPTIONS} say. */
  static create(options: OptionValues): OperatorClient {
    const url =
      stringOption(options, 'node') ??
      process.env[NODE_VARIABLE] ??
      DEFAULT_NODE;
    const agent = createAgent({
      cert: readOptional(options, 'certificate'),
      key: readOptional(options, 'key'),
      ca: readOptional(options, 'authority'),
    });
    return new OperatorClient(url, agent);
  }

  /** Reads a resource. */
  get(path: string): Promise<unknown> {
    return this.call('GET', path);
  }

  /** Submits a resource. */
  post(path: string, body: unknown): Promise<unknown> {
    return this.call('POST', path, JSON.stringify(body));
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const answer = await send(this.agent, {
      method,
      url: `${this.url}${path}`,
      headers: {'content-type': 'application/json'},
      body,
    }).catch(cause => {
      throw new NodeUnreachableError(this.url, {cause});
    });
    const json: unknown = JSON.parse(answer.body);
    if (answer.status < 300) return json;
    throw new OperatorProblemError(
      answer.status,
      json as Record<string, unknown>,
    );
  }
}

function readOptional(options: OptionValues, name: string): string | undefined {
  const file = stringOption(options, name);
  return file === undefined ? undefined : readFileSync(file, 'utf8');
}
