/** Forwarding of requests to endpoints: connections, headers, responses and event streams. */

export type {OutgoingRequest} from './endpoint_connection.js';
export type {EndpointAddress} from './endpoint_connection_pool.js';
export {
  EndpointConnectionPool,
  IDLE_SWEEP_INTERVAL_MILLISECONDS,
  MAXIMUM_IDLE_CONNECTIONS,
} from './endpoint_connection_pool.js';
export type {
  EndpointProtocol,
  ForwardingOptions,
  PromptPart,
  PromptPartId,
  RawHeaders,
  RequestMetadata,
  PauseStatement,
  RequestLimitStatement,
  ResponseMetadata,
} from './endpoint_protocol.js';
export {findHeader, removeHeaders} from './forwarded_headers.js';
export {ByteAccumulator} from './byte_accumulator.js';
export type {BufferMemory, BufferUse} from './buffer_budget.js';
export {BufferBudget, BufferHolder, UNBOUNDED_MEMORY} from './buffer_budget.js';
export type {EventStreamSplitterOptions} from './event_stream_splitter.js';
export {EventStreamSplitter} from './event_stream_splitter.js';
export type {ProbeResult, ResponseProbeResult} from './probe_endpoint.js';
export {probeEndpoint, probeResponse} from './probe_endpoint.js';
export type {
  FlowControl,
  PauseReason,
  ReceiveMeter,
} from './receive_scheduler.js';
export {ReceiveScheduler, SHORT_CHUNK_BYTES} from './receive_scheduler.js';
export type {
  ClientLimit,
  ConnectionLimits,
  ConnectionUse,
} from './bounded_connections.js';
export {BoundedConnections} from './bounded_connections.js';
export {HeadScanner} from './head_scanner.js';
export type {HeadLimit, HeadLimits, HeadRules} from './head_watch.js';
export {HeadWatch} from './head_watch.js';
export type {
  ListenerBoundsOptions,
  OnClientLimited,
} from './listener_bounds.js';
export {ListenerBounds} from './listener_bounds.js';
export type {AnswerKind} from './refusal_streak.js';
export {MAXIMUM_REFUSALS_IN_A_ROW, RefusalStreak} from './refusal_streak.js';
export type {ConnectionEnd, RequestGateOptions} from './request_gate.js';
export {MAXIMUM_OPEN_REQUESTS, RequestGate} from './request_gate.js';
export {RequestTurns} from './request_turns.js';
export {watchForReset} from './reset_detection.js';
export {PacedSocket, SLICE_BYTES, SocketPacer} from './socket_pacer.js';
export {isSocketAddress} from './socket_address.js';
export type {
  BodyEnd,
  BodyFraming,
  ResponseHead,
  SendResult,
  AbortReason,
  SentRequest,
} from './sent_request.js';
export {ResponseBody} from './sent_request.js';
