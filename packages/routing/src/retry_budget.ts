/**
 * Limits retries to a share of the requests, so that they do not overload recovering
 * endpoints.
 */

/** Size and refill rate of a {@link RetryBudget}. */
export interface RetryLimits {
  /** Retry tokens added for each request. */
  readonly share: number;
  /** Retry tokens available before the first request. */
  readonly initialTokens: number;
  /** Maximum number of retry tokens that accumulate. */
  readonly maximumTokens: number;
}

/** Retries for a tenth of the requests, plus a small initial burst. */
const DEFAULT_LIMITS: RetryLimits = {
  share: 0.1,
  initialTokens: 3,
  maximumTokens: 100,
};

/** Token bucket that requests fill and retries drain. */
export class RetryBudget {
  private tokens: number;

  private constructor(private limits: RetryLimits) {
    this.tokens = limits.initialTokens;
  }

  static create(limits: RetryLimits = DEFAULT_LIMITS): RetryBudget {
    return new RetryBudget(limits);
  }

  /** Replaces the limits; tokens beyond the new maximum are discarded. */
  setLimits(limits: RetryLimits): void {
    this.limits = limits;
    this.tokens = Math.min(this.tokens, limits.maximumTokens);
  }

  /** Adds retry tokens, up to the maximum. */
  addTokens(tokens: number): void {
    const {maximumTokens} = this.limits;
    this.tokens = Math.min(maximumTokens, this.tokens + tokens);
  }

  /** Records the first attempt of a request. */
  recordRequest(): void {
    this.addTokens(this.limits.share);
  }

  /** Whether a retry token is left. */
  get canRetry(): boolean {
    return this.tokens >= 1;
  }

  /** Consumes one retry token; returns false when none is left. */
  tryAcquireRetry(): boolean {
    if (!this.canRetry) return false;
    this.tokens -= 1;
    return true;
  }
}
