/** Identifies requests with the same content. */

import {createHash} from 'node:crypto';
import type {Fingerprint} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** 132 bits, so that two requests of one deployment practically never share a fingerprint. */
const FINGERPRINT_CHARACTERS = 22;

/**
 * Digest of a request's content. `head` is what an endpoint interprets besides the body,
 * without anything that differs between attempts, such as ids and deadlines.
 */
export function fingerprintOf(
  head: string,
  body: string | Buffer = '',
): Fingerprint {
  const digest = createHash('sha256')
    .update(`${head}\n`)
    .update(body)
    .digest('base64url');
  return as<Fingerprint>(digest.slice(0, FINGERPRINT_CHARACTERS));
}
