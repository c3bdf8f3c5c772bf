/** What a refusal or a failure says about the request's effect. */

/** Truthful statement on whether a request took effect. */
export enum Outcome {
  /** The request reached no endpoint and never will. */
  NotRun = 'not run',
  /** The endpoint ran the request and reported a failure. */
  Failed = 'ran and failed',
  /** The request may have run; it is never sent a second time. */
  Unknown = 'unknown',
}
