/** Implementations of the ports: HTTP clients, system clocks and system randomness. */

export {
  createAgent,
  deliveryOf,
  isTooLong,
  send,
  sendForStatus,
} from './http_client.js';
export type {HttpRequest, HttpResponse} from './http_client.js';
export {HttpEngine} from './http_engine.js';
export {HttpHostList} from './http_host_list.js';
export {HttpObjectService} from './http_object_service.js';
export {HttpPlainService} from './http_plain_service.js';
export {HttpWeightStore} from './http_weight_store.js';
export {ProgressDeadline} from './progress_deadline.js';
export type {ProgressDeadlineOptions} from './progress_deadline.js';
export {readClocks, steadyClock} from './steady_clock.js';
export {systemClock, systemRandom} from './system_clock.js';
