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

/** Lines of a node by which it lost or regained something; `node` may leave out its last part. */
export function explainNode(node: string, all: readonly LogLine[]): LogLine[] {
  return all.filter(
    line =>
      TURNS.has(line.event) &&
      (line.node === node || line.node.startsWith(`${node}-`)),
  );
}

/** Whether a line may be needed to explain a node. */
export function isTurn(line: LogLine): boolean {
  return TURNS.has(line.event);
}
