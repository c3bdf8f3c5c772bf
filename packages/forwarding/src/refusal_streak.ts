/** Counts refusals of a connection's requests that cost a node more than they cost its client. */

/**
 * Requests in a row that are refused for their callers, with none served in between, after which a
 * connection is closed. Callers don't repeat a request with an unknown key, and wait as long as the
 * refusal for a quota states.
 */
export const MAXIMUM_REFUSALS_IN_A_ROW = 32;

/** What a request is answered: refused for its caller (key or quota), or for another reason. */
export type AnswerKind = 'served' | 'caller_refused' | 'refused';

/** The refusals since a request of the connection was served. */
export class RefusalStreak {
  private count = 0;

  private constructor() {}

  static create(): RefusalStreak {
    return new RefusalStreak();
  }

  /** Refusals for other reasons say nothing about the caller. */
  record(kind: AnswerKind): void {
    if (kind === 'served') this.count = 0;
    else if (kind === 'caller_refused') this.count += 1;
  }

  /** Whether the next refusal, or this one, should be the last. */
  get isAtLimit(): boolean {
    return this.count >= MAXIMUM_REFUSALS_IN_A_ROW;
  }
}
