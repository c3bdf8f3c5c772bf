/** Refusals of targets that are not declared. */

import type {RefusalError} from '@siskinmux/kernel';
import {ErrorCode, createNotRunRefusal} from '@siskinmux/kernel';
import type {Declarations} from '@siskinmux/declarations';

/** Creates the refusal of an undeclared target, or of any before the configuration is read. */
export function createUnknownTargetRefusal(
  declarations: Declarations,
  requestedName: string,
): RefusalError {
  const isEmpty = Object.keys(declarations.endpoints).length === 0;
  // Without the configuration, a node can't tell declared targets from unknown ones.
  return createNotRunRefusal(
    isEmpty ? ErrorCode.ConfigurationUnavailable : ErrorCode.UnknownTarget,
    requestedName,
  );
}
