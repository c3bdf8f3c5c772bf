/** HTTP client for the operator API of a node. */

import {readFileSync} from 'node:fs';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import type {HttpAgent} from '@siskinmux/adapters';
import {MAXIMUM_RESPONSE_BYTES, createAgent, send} from '@siskinmux/adapters';
import type {OptionSpec, OptionValues} from './command.js';
import {stringOption} from './command.js';

/** Operator address of the first node of the example settings. */
const DEFAULT_NODE_URL = 'http://127.0.0.1:17021';

/** Environment variable that overrides the default address. */
const NODE_URL_VARIABLE = 'SISKINMUX_NODE';

/** Options of all commands that call a node. */
export const CONNECTION_OPTIONS: Readonly<Record<string, OptionSpec>> = {
  node: {
    type: 'string',
    placeholder: 'URL',
    help: `operator address of any node (default $${NODE_URL_VARIABLE} or ${DEFAULT_NODE_URL})`,
  },
  certificate: {
    type: 'string',
    placeholder: 'FILE',
    help: 'client certificate (TLS)',
  },
  key: {
    type: 'string',
    placeholder: 'FILE',
    help: 'key of the client certificate (TLS)',
  },
  authority: {
    type: 'string',
    placeholder: 'FILE',
    help: 'certificate authority of the nodes (TLS)',
  },
  json: {type: 'boolean', help: 'print JSON'},
};

/** The node responded with an error status and a problem document. */
export class ProblemResponseError extends SiskinmuxError {
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
    super(ErrorCode.PeerUnreachable, `${url}; check the address`, options);
  }
}

/**
 * Calls the operator API of one node. Calls reject with {@link NodeUnreachableError} if
 * they get no response, and with {@link ProblemResponseError} on an error status.
 */
export class OperatorClient {
  private constructor(
    private readonly url: string,
    private readonly agent: HttpAgent,
  ) {}

  /** Creates a client from the values of {@link CONNECTION_OPTIONS}. */
  static create(options: OptionValues): OperatorClient {
    const url =
      stringOption(options, 'node') ??
      process.env[NODE_URL_VARIABLE] ??
      DEFAULT_NODE_URL;
    const agent = createAgent({
      tls: {
        cert: readOptionalFile(options, 'certificate'),
        key: readOptionalFile(options, 'key'),
        ca: readOptionalFile(options, 'authority'),
      },
    });
    return new OperatorClient(url, agent);
  }

  /** Gets a resource. */
  get(path: string): Promise<unknown> {
    return this.call('GET', path);
  }

  /** Posts a JSON body to a resource. */
  post(path: string, body: unknown): Promise<unknown> {
    return this.call('POST', path, JSON.stringify(body));
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await send(this.agent, {
      method,
      url: `${this.url}${path}`,
      headers: {'content-type': 'application/json'},
      body,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
    }).catch(cause => {
      throw new NodeUnreachableError(this.url, {cause});
    });
    const json: unknown = JSON.parse(response.body);
    if (response.status < 300) return json;
    throw new ProblemResponseError(
      response.status,
      json as Record<string, unknown>,
    );
  }
}

function readOptionalFile(
  options: OptionValues,
  name: string,
): string | undefined {
  const file = stringOption(options, name);
  return file === undefined ? undefined : readFileSync(file, 'utf8');
}
