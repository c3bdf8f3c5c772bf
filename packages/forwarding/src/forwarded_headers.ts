/** Headers of a message that is forwarded over another connection. */

import type {RawHeaders} from './endpoint_protocol.js';

/** Hop-by-hop headers (RFC 9110, 7.6.1), and those that frame the message. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Removes hop-by-hop headers, those named in Connection, and those that `isRemoved` selects. */
export function removeHeaders(
  headers: RawHeaders,
  isRemoved: (name: string) => boolean,
): string[] {
  const connectionOptions = new Set(
    (findHeader(headers, 'connection') ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower)) continue;
    // A caller must not be able to remove Host by naming it in Connection.
    if (connectionOptions.has(lower) && lower !== 'host') continue;
    if (isRemoved(lower)) continue;
    kept.push(name, headers[index + 1] ?? '');
  }
  return kept;
}

/** The first value of a header; `lowerName` is its name in lowercase. */
export function findHeader(
  headers: RawHeaders,
  lowerName: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === lowerName) return headers[index + 1];
  }
  return undefined;
}
