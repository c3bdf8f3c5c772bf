/** Exit codes, the same for all commands. */

/** Exit code of the process. */
export enum ExitCode {
  Success = 0,
  /** A failure that no other code describes. */
  Failure = 1,
  /** The command line is not valid. */
  Usage = 2,
  /** Settings or declarations are not valid. */
  Invalid = 3,
  /** The configuration has changed since the plan was made. */
  Conflict = 4,
  /** The node could not be reached, or it could not reach the platform. */
  Unreachable = 5,
}
