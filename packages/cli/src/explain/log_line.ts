/** Parses the structured log of a node. */

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import {z} from 'zod';

const lineSchema = z.object({
  context: z.looseObject({node: z.string(), event: z.number()}),
  message: z.string(),
  time: z.number(),
});

/** One event of a log, with its fields. */
export interface LogLine {
  /** Unix milliseconds by the node's clock. */
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A log file can't be read. */
export class LogUnreadableError extends SiskinmuxError {
  constructor(file: string, options?: ErrorOptions) {
    super(ErrorCode.UsageError, `${file} can't be read as a log`, options);
  }
}

/** Parses a line and ignores text before the JSON; undefined for lines of other programs. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // Log collectors add lines of their own, and the last line may be truncated.
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const {context, message, time} = parsed.data;
  const fields: Record<string, unknown> = {...context};
  for (const name of ['node', 'event', 'logLevel']) delete fields[name];
  return {time, node: context.node, event: message, fields};
}

/**
 * Reads the lines that satisfy `isWanted`, ordered by time.
 * Throws {@link LogUnreadableError}.
 */
export async function readLogs(
  files: readonly string[],
  isWanted: (line: LogLine) => boolean,
): Promise<LogLine[]> {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      for await (const text of createInterface(createReadStream(file))) {
        const line = parseLogLine(text);
        if (line !== undefined && isWanted(line)) lines.push(line);
      }
    } catch (cause) {
      throw new LogUnreadableError(file, {cause});
    }
  }
  return lines.sort((left, right) => left.time - right.time);
}

/** The field `name` of a line; undefined if it is no number. */
export function numberOf({fields}: LogLine, name: string): number | undefined {
  const value = fields[name];
  return typeof value === 'number' ? value : undefined;
}
