/** Exit codes, the same for all commands. */

/** What the process's exit code says. */
export enum ExitCode {
  Success = 0,
  /** Something failed that the other codes don't name. */
  Failure = 1,
  /** The command line is not valid. */
  Usage = 2,
  /** Settings or declarations are not valid. */
  Invalid = 3,
  /** The configuration has moved on since the plan was made. */
  Conflict = 4,
  /** The node could not be reached or could not reach the platform. */
  Unreachable = 5,
}
