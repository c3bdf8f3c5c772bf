/** Rate-limited and prioritized access to the platform's object service. */

export type {
  CallCounts,
  CallPriority,
  PlatformClientOptions,
} from './platform_client.js';
export {CALL_PRIORITIES, PlatformClient} from './platform_client.js';
