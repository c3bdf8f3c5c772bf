/** Limits retries and hedges to a share of the requests, so that a recovery sees no storm. */

/** How much may be repeated. */
export interface RetryLimits {
  /** Retries allowed for each request. */
  readonly share: number;
  /** Retries that are allowed before the first request. */
  readonly atStart: number;
  /** Most retries that can be saved up. */
  readonly mostSaved: number;
}

/** Limits of a node for itself: a tenth of the requests, and one burst. */
const OWN_LIMITS: RetryLimits = {share: 0.1, atStart: 3, mostSaved: 100};

/** Token bucket filled by requests and drained by retries. */
export class RetryBudget {
  private tokens: number;

  private constructor(private limits: RetryLimits) {
    this.tokens = limits.atStart;
  }

  static create(limits: RetryLimits = OWN_LIMITS): RetryBudget {
    return new RetryBudget(limits);
  }

  /** Uses other limits from now on; what was saved beyond them is lost. */
  setLimits(limits: RetryLimits): void {
    this.limits = limits;
    this.tokens = Math.min(this.tokens, limits.mostSaved);
  }

  /** Notes a first try. */
  noteRequest(): void {
    const {share, mostSaved} = this.limits;
    this.tokens = Math.min(mostSaved, this.tokens + share);
  }

  /** Takes one retry; false when the budget is spent. */
  tryRetry(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
