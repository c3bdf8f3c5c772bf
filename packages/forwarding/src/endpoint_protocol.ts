/**
 * Port to the headers that callers, this system and endpoints exchange. Only the
 * platform's adapter knows their names; other code uses the decoded metadata.
 */

import type {
  AdapterName,
  Brand,
  EndpointId,
  Milliseconds,
  ModelName,
  RequestId,
  TeamName,
} from '@siskinmux/kernel';

/** Alternating header names and values, as received. */
export type RawHeaders = readonly string[];

/**
 * Identity of a part of a prompt, equal for all spellings of the same id.
 */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** A part of a prompt; requests share a prefix if they begin with the same parts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata of a request, from the caller's headers. */
export interface RequestMetadata {
  /** The caller's id for this attempt; empty if it sent none. */
  readonly id: RequestId;
  /** The caller's timeout, counted from when it sent the request. */
  readonly timeoutMilliseconds: Milliseconds | undefined;
  /** Set on requests to engines. */
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
  /** Tokens of the prompt and the output, as the caller states them; 0 if it doesn't. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prompt: readonly PromptPart[];
  /**
   * The parts of the prompt that other requests may share, which are all but the last, each
   * once. Includes parts that are malformed otherwise, since an endpoint may read them.
   */
  readonly sharedParts: readonly PromptPartId[];
  /** Id of the last event that the caller received from this stream. */
  readonly resumeAfter: string | undefined;
  /** The attempt that delivered the first event of the stream that the caller resumes. */
  readonly resumes: RequestId | undefined;
}

/** What is added to the headers of a request that is forwarded to an endpoint. */
export interface ForwardingOptions {
  /** The intended endpoint; any other one at its address refuses the request. */
  readonly endpoint: EndpointId;
  readonly remainingMilliseconds: Milliseconds;
  /** Rank in the engine's queue; 0 is served first. */
  readonly urgency: number | undefined;
  /** Id of the last event that was passed on, if a stream is resumed. */
  readonly resumeAfter: string | undefined;
  /**
   * Whose request it is, by the gateway; replaces what the caller sent. Undefined where callers
   * aren't identified, so that such headers are passed on like any other.
   */
  readonly identity?: {readonly team: TeamName | undefined} | undefined;
}

/** What a response says about the requests that its endpoint takes, or rejects, from all nodes together. */
export type RequestLimitStatement =
  | {readonly kind: 'none'}
  | {readonly kind: 'limit'; readonly requestsPerSecond: number}
  /** Not a positive decimal number, or several different ones. */
  | {readonly kind: 'invalid'; readonly text: string};

/** Whether an endpoint that rejects a request asks this node for no more, and for how long. */
export type PauseStatement =
  | {readonly kind: 'none'}
  | {readonly kind: 'pause'; readonly milliseconds: Milliseconds}
  /** Not a decimal number, or several different ones. */
  | {readonly kind: 'invalid'; readonly text: string};

/** Metadata of a response, from its status and headers. */
export interface ResponseMetadata {
  /** The attempt to which the response belongs; undefined if it names none. */
  readonly requestId: RequestId | undefined;
  /** Whether the response carries the seal header that marks it as the endpoint's own. */
  readonly isSealed: boolean;
  /** Whether the endpoint states that it has not run the request and will not run it. */
  readonly isNotRun: boolean;
  /** Whether the request reached an endpoint other than the intended one. */
  readonly isMisdirected: boolean;
  /** Whether the endpoint says that it leaves, and should get no more requests. */
  readonly isLeaving: boolean;
  readonly pause: PauseStatement;
  /** How long the connection may be idle until the endpoint closes it. */
  readonly idleTimeoutMilliseconds: Milliseconds | undefined;
  readonly requestLimit: RequestLimitStatement;
  /** Rejections a second, of all nodes together, that the endpoint survives. */
  readonly rejectionLimit: RequestLimitStatement;
}

/** Decodes and encodes the headers of a platform. */
export interface EndpointProtocol {
  readRequest(headers: RawHeaders): RequestMetadata;
  /** The caller's API key; undefined if there is none, or several different ones. */
  readApiKey(headers: RawHeaders): string | undefined;
  /**
   * The headers of a request whose caller has been identified, as relayed to another node: without
   * the key, and with the name of the team in place of what the caller sent.
   */
  identifiedHeaders(headers: RawHeaders, team: TeamName | undefined): string[];
  /** The request's headers as forwarded to the endpoint. */
  requestHeaders(headers: RawHeaders, options: ForwardingOptions): string[];
  /** The headers of a request that resumes the stream of an attempt after an event. */
  resumedHeaders(
    headers: RawHeaders,
    stream: RequestId,
    resumeAfter: string,
  ): string[];
  readResponse(status: number, headers: RawHeaders): ResponseMetadata;
  /** The response's headers as forwarded to the caller. */
  responseHeaders(headers: RawHeaders): string[];
}
