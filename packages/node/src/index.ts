/** A siskinmux node: the plug-ins, wired together. */

export type {NodeOptions} from './siskinmux_node.js';
export {SiskinmuxNode} from './siskinmux_node.js';
export type {WriteLine} from './log.js';
export {Peers} from './peers.js';
export {NODE_EVENTS} from './node_events.js';
export {
  DEADLINE_HEADER,
  IDEMPOTENCY_HEADER,
  PRIORITY_HEADER,
  TIMEOUT_HEADER,
} from './caller_request.js';
export type {AllocationReport} from './allocation_task.js';
export {PROBLEM_TYPE} from './problem.js';
