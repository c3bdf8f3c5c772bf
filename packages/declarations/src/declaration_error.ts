/** Failures found in declarations, each with the place where it was found. */

import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** One fault in a declaration. */
export interface DeclarationFault {
  /** File name, when the declarations come from files. */
  readonly file: string | undefined;
  /** Line from 1, when it is known. */
  readonly line: number | undefined;
  /** Key path such as `models.offers.replicas`. */
  readonly path: string;
  /** What was found and what is expected. */
  readonly problem: string;
}

/** One or more declarations are not valid. */
export class DeclarationError extends SiskinmuxError {
  constructor(readonly faults: readonly DeclarationFault[]) {
    super(
      ErrorCode.InvalidDeclaration,
      faults.map(fault => formatFault(fault)).join('\n'),
    );
  }
}

/** One line for people: file, line, key path, problem. */
export function formatFault(fault: DeclarationFault): string {
  const place = [fault.file, fault.line].filter(part => part !== undefined);
  const prefix = place.length > 0 ? `${place.join(':')}: ` : '';
  return `${prefix}${fault.path ? `${fault.path}: ` : ''}${fault.problem}`;
}
