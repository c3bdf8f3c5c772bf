/** Lines of the structured log, read back. */

import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {ErrorCode, SiskinmuxError} from '@siskinmux/kernel';
import {z} from 'zod';

const lineSchema = z.object({
  context: z.looseObject({node: z.string(), event: z.number()}),
  message: z.string(),
  time: z.number(),
});

/** One line: which event, at which node, when, with its fields. */
export interface LogLine {
  /** Unix milliseconds by the node's clock. */
  readonly time: number;
  readonly node: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A log can't be read. */
export class LogUnreadableError extends SiskinmuxError {
  constructor(file: string, options?: ErrorOptions) {
    super(ErrorCode.UsageError, `${file} can't be read as a log`, options);
  }
}

/** Reads a line; anything in front of the JSON is passed over. Undefined for other text. */
export function parseLogLine(text: string): LogLine | undefined {
  const begin = text.indexOf('{');
  if (begin < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(begin));
  } catch {
    // Not a line of the log: collectors add their own, and the last one may be cut.
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const {context, message, time} = parsed.data;
  const fields: Record<string, unknown> = {...context};
  for (const name of ['node', 'event', 'logLevel']) delete fields[name];
  return {time, node: context.node, event: message, fields};
}

/** The lines of some files that `isWanted`, in order of time. Throws {@link LogUnreadableError}. */
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
