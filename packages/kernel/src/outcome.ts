/** Outcome of a failed request, as reported to its caller. */

/** Whether a failed request took effect, as far as this system can guarantee it. */
export enum Outcome {
  /** No endpoint ran the request, and none will. */
  NotRun = 'not run',
  /** The endpoint ran the request and reported a failure. */
  Failed = 'ran and failed',
  /** The request may have run; it is not sent again. */
  Unknown = 'unknown',
}
