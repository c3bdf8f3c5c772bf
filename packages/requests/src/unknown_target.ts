/** Refusals of targets that are not declared. */

import type {RefusalError} from '@siskinmux/kernel';
import {ErrorCode, createNotRunRefusal} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';

/** A refusal of an undeclared target, or of any target before the configuration is read. */
export function refuseUnknownTarget(
  declarations: Declarations,
  requested: string,
): RefusalError {
  const isEmpty = Object.keys(declarations.endpoints).length === 0;
  // Without the configuration, a node can't tell declared targets from unknown ones.
  return createNotRunRefusal(
    isEmpty ? ErrorCode.ConfigurationUnavailable : ErrorCode.UnknownTarget,
    requested,
  );
}
