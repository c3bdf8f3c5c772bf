/** Implementations of the ports: HTTP clients, system clocks and system randomness. */

export {ADAPTER_EVENTS, RESPONSE_DROPPED} from './adapter_events.js';
export {
  HttpAgent,
  MAXIMUM_RESPONSE_BYTES,
  ResponsesFullError,
  createAgent,
  isTooLong,
} from './http_agent.js';
export type {
  DropReason,
  DroppedResponse,
  HttpAgentOptions,
} from './http_agent.js';
export {deliveryOf, send, sendForStatus} from './http_client.js';
export type {BoundedHttpRequest, HttpResponse} from './http_client.js';
export {HttpEngine} from './http_engine.js';
export {HttpHostList} from './http_host_list.js';
export {HttpObjectService} from './http_object_service.js';
export {HttpPlainService} from './http_plain_service.js';
export {HttpWeightStore} from './http_weight_store.js';
export {ProgressDeadline} from './progress_deadline.js';
export type {ProgressDeadlineOptions} from './progress_deadline.js';
export {readProcessorTime} from './processor_time.js';
export {readClocks, steadyClock} from './steady_clock.js';
export {systemClock, systemRandom} from './system_clock.js';
