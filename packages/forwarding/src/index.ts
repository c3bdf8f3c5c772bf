/** Forwarding: connections to endpoints, requests over them, and their answers. */

export type {
  AnswerMetadata,
  EndpointProtocol,
  PromptPart,
  RawHeaders,
  RequestMetadata,
  ForwardingOptions,
} from './endpoint_protocol.js';
export type {OutgoingRequest} from './endpoint_connection.js';
export type {EndpointAddress} from './endpoint_connection_pool.js';
export {
  EndpointConnectionPool,
  IDLE_SWEEP_INTERVAL_MILLISECONDS,
} from './endpoint_connection_pool.js';
export type {
  AnswerHead,
  BodyEnd,
  SendResult,
  SentRequest,
} from './sent_request.js';
export {AnswerBody} from './sent_request.js';
export {EventStreamSplitter} from './event_stream_splitter.js';
