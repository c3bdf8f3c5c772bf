/** Forwarding: connections to endpoints, requests over them, and their answers. */

export type {
  AnswerMetadata,
  EndpointProtocol,
  PromptPart,
  RawHeaders,
  RequestFacts,
  SendDirective,
} from './endpoint_protocol.js';
export type {OutgoingRequest} from './endpoint_connection.js';
export type {EndpointAddress} from './endpoint_connections.js';
export {
  EndpointConnections,
  SWEEP_MILLISECONDS,
} from './endpoint_connections.js';
export type {
  AnswerHead,
  BodyEnd,
  SendResult,
  OpenedRequest,
} from './opened_request.js';
export {AnswerBody} from './opened_request.js';
export {EventStream} from './event_stream.js';
