/** Limits retries and hedges to a share of the requests, so that a recovery sees no storm. */

/** Retries allowed for each request. */
const RETRY_SHARE = 0.1;

/** Retries that are allowed without any recent request. */
const FLOOR = 3;

/** Most retries that can be saved up. */
const MOST_SAVED = 100;

/** Token bucket filled by requests and drained by retries. */
export class RetryBudget {
  private tokens = FLOOR;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Notes a first try. */
  noteRequest(): void {
    this.tokens = Math.min(MOST_SAVED, this.tokens + RETRY_SHARE);
  }

  /** Takes one retry; false when the budget is spent. */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
