/** Forwarding of requests to endpoints: connections, headers, answers and event streams. */

export type {
  ResponseMetadata,
  EndpointProtocol,
  ForwardingOptions,
  PromptPart,
  RawHeaders,
  RequestMetadata,
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
