/** Refusals of names that are not declared. */

import type {RefusalError} from '@siskinmux/kernel';
import {ErrorCode, refuseNotRun} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';

/** A refusal of a name that is not declared, or of any while nothing is known yet. */
export function refuseUnknownTarget(
  declarations: Declarations,
  requested: string,
): RefusalError {
  const isEmpty = Object.keys(declarations.endpoints).length === 0;
  // A node that has not read the configuration can't say that a name is unknown.
  return refuseNotRun(
    isEmpty ? ErrorCode.ConfigurationUnavailable : ErrorCode.UnknownTarget,
    requested,
  );
}
