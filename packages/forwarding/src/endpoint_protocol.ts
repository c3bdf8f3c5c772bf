/**
 * Port to the headers that callers, the system and endpoints exchange. The platform's
 * adapter knows their names; everything else works with the facts here.
 */

import type {
  AdapterName,
  EndpointId,
  Milliseconds,
  ModelName,
  RequestId,
} from '@siskinmux/kernel';

/** Header names and values in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** A part of a prompt that requests share, from the first part on. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of its request. */
export interface RequestFacts {
  /** The caller's name for this attempt; empty when it gave none. */
  readonly id: RequestId;
  /** How long the caller waits, counted from when it sent the request. */
  readonly patienceMilliseconds: Milliseconds | undefined;
  /** Set for requests to model engines. */
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly prompt: readonly PromptPart[];
  /** Id of the last event that the caller has of this stream. */
  readonly resumeAfter: string | undefined;
}

/** What the system adds to a request that it sends to an endpoint. */
export interface SendDirective {
  /** Any other endpoint at this address refuses the request. */
  readonly endpoint: EndpointId;
  readonly remainingMilliseconds: Milliseconds;
  /** Rank at the engine's queue; 0 goes first. */
  readonly urgency: number | undefined;
  /** Id of the last event that was passed on, when a stream goes on. */
  readonly resumeAfter: string | undefined;
}

/** What an endpoint's answer says besides its body. */
export interface AnswerMetadata {
  /** The attempt that it answers; undefined when it names none. */
  readonly requestId: RequestId | undefined;
  /** Whether the endpoint vouches for the answer as its own. */
  readonly isSealed: boolean;
  /** Whether the endpoint says that it has not run the request and will not. */
  readonly isNotRun: boolean;
  /** Whether another endpoint answered than the one that was meant. */
  readonly isMisdirected: boolean;
  /** How long the connection may be idle before the endpoint closes it. */
  readonly idleTimeoutMilliseconds: Milliseconds | undefined;
}

/** The headers of one platform. */
export interface EndpointProtocol {
  readRequest(headers: RawHeaders): RequestFacts;
  /** The request's headers as the endpoint gets them. */
  requestHeaders(headers: RawHeaders, directive: SendDirective): string[];
  readAnswer(status: number, headers: RawHeaders): AnswerMetadata;
  /** The answer's headers as the caller gets them. */
  answerHeaders(headers: RawHeaders): string[];
}
