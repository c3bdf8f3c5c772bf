/** Errors in declarations, with the file, line and key path of each. */

import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';

/** One error in the declarations. */
export interface DeclarationFault {
  /** File name; undefined when the declarations don't come from files. */
  readonly file: string | undefined;
  /** Line number, counted from 1; undefined when it can't be determined. */
  readonly line: number | undefined;
  /** Key path, for example `models.offers.replicas`. */
  readonly path: string;
  /** Message with the value found and what is expected instead. */
  readonly problem: string;
}

/** Thrown when declarations are invalid; lists every fault that was found. */
export class DeclarationError extends SiskinmuxError {
  constructor(readonly faults: readonly DeclarationFault[]) {
    super(
      ErrorCode.InvalidDeclaration,
      faults.map(fault => formatFault(fault)).join('\n'),
    );
  }
}

/** Formats a fault as one line: file, line, key path and problem. */
export function formatFault(fault: DeclarationFault): string {
  const location = [fault.file, fault.line].filter(part => part !== undefined);
  const prefix = location.length > 0 ? `${location.join(':')}: ` : '';
  return `${prefix}${fault.path ? `${fault.path}: ` : ''}${fault.problem}`;
}
