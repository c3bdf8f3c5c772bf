/** Budgeted and prioritised access to the platform. */

export type {
  CallCounts,
  CallPriority,
  PlatformClientOptions,
} from './platform_client.js';
export {CALL_PRIORITIES, PlatformClient} from './platform_client.js';
