/** What one node lost and regained. */

import type {LogLine} from './log_line.js';

/** Events by which a dependency is lost or regained, or the node begins or ends. */
const TURNS: ReadonlySet<string> = new Set([
  'gateway-started',
  'gateway-stopping',
  'gateway-stopped',
  'store-lost',
  'store-regained',
  'feed-used',
  'feed-lost',
  'allocator-followed',
  'allocator-lost',
  'lease-taken',
  'lease-ended',
  'lease-unreachable',
]);

/**
 * Whether a line tells that a node lost or regained something; `node` may leave out the
 * last part of the id, which is new with each start.
 */
export function isTurnOf(node: string, line: LogLine): boolean {
  if (!TURNS.has(line.event)) return false;
  return line.node === node || line.node.startsWith(`${node}-`);
}
