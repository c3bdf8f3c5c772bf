/** Reads the standard input of the process. */

import type {Readable} from 'node:stream';

/** Reads a stream to its end; undefined if it has more than `limitBytes`. */
export async function readToEnd(
  stream: Readable,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of stream) {
    const bytes = Buffer.from(chunk as Buffer);
    length += bytes.length;
    if (length > limitBytes) return undefined;
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}
