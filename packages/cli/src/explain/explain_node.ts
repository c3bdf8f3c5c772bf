/** Selects the log lines that report state changes of one node. */

import type {LogLine} from './log_line.js';

/** Events that report a dependency lost or regained, or a start or stop of the node. */
const STATE_CHANGE_EVENTS: ReadonlySet<string> = new Set([
  'gateway-started',
  'gateway-stopping',
  'gateway-stopped',
  'store-lost',
  'store-regained',
  'store-era-changed',
  'store-era-unusable',
  'store-relisted',
  'lease-restored',
  'feed-used',
  'feed-lost',
  'allocator-followed',
  'allocator-lost',
  'lease-taken',
  'lease-ended',
  'lease-unreachable',
  'retry-limits-changed',
  'buffers-full',
  'buffers-free',
]);

/**
 * Whether a line reports a state change of a node. `node` may omit the last part of the
 * ID, which differs for each start.
 */
export function isNodeStateChange(node: string, line: LogLine): boolean {
  if (!STATE_CHANGE_EVENTS.has(line.event)) return false;
  return line.node === node || line.node.startsWith(`${node}-`);
}
