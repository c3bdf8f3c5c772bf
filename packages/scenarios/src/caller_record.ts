/** What callers sent and what came of it. */

import type {Instant, RequestId} from '@siskinmux/kernel';

/** How a request ended for its caller. */
export type CallerEnd =
  | 'answered'
  /** Refused, and said to have not run. */
  | 'refused'
  /** Ran and failed, visibly. */
  | 'failed'
  | 'unknown'
  /** The connection broke, as when a node dies. */
  | 'broken'
  /** An answer that is not the request's own, or not whole. */
  | 'wrong'
  | 'open';

/** One sending of a request to one node. */
export interface Sending {
  readonly id: RequestId;
  readonly node: string;
  readonly sentAt: Instant;
  readonly deadline: Instant;
  endedAt: Instant | undefined;
  end: CallerEnd;
  detail: string;
  /** The node was paused or killed meanwhile. */
  isNodeFaulted: boolean;
  /** The node was told to stop gracefully meanwhile. */
  isNodeStopping: boolean;
}

/** A request with all its sendings. */
export interface CallerRecord {
  readonly kind: 'text' | 'call';
  readonly label: string;
  /** Idempotency key of a call that may not be repeated. */
  readonly key: string | undefined;
  readonly sendings: Sending[];
}

/** How a request ended in the end. */
export function finalEnd(record: CallerRecord): CallerEnd {
  return record.sendings.at(-1)?.end ?? 'open';
}

/** Numbers of requests by how they ended. */
export type EndCounts = Record<CallerEnd, number>;

/** Counts before any request has ended. */
export function noEnds(): EndCounts {
  return {
    answered: 0,
    refused: 0,
    failed: 0,
    unknown: 0,
    broken: 0,
    wrong: 0,
    open: 0,
  };
}
