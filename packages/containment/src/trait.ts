/** Properties of a request that the crash of its endpoint may be attributed to. */

import {createHash} from 'node:crypto';
import type {PromptPartId} from '@siskinmux/forwarding';
import type {Brand, Fingerprint} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';

/** Kind and value of a property; a trait without a kind is a fingerprint of the content. */
export type Trait = Brand<string, 'Trait'>;

/** Bound on the traits of one request, so that no caller makes its checks expensive. */
export const MAXIMUM_TRAITS = 64;

/** Longer values are replaced by a digest. */
const MAXIMUM_VALUE_CHARACTERS = 64;

const KIND_SEPARATOR = ':';

/** The whole content of a request. */
export function contentTrait(fingerprint: Fingerprint): Trait {
  return as<Trait>(fingerprint);
}

/** A part of a prompt that other requests may share. */
export function promptPartTrait(part: PromptPartId): Trait {
  return namedTrait('part', part);
}

/** A trait of any other kind. */
export function namedTrait(kind: string, value: string): Trait {
  const text =
    value.length <= MAXIMUM_VALUE_CHARACTERS
      ? value
      : createHash('sha256').update(value).digest('base64url');
  return as<Trait>(`${kind}${KIND_SEPARATOR}${text}`);
}

/** The content and the first shared parts of a request, within {@link MAXIMUM_TRAITS}. */
export function traitsOfPrompt(
  fingerprint: Fingerprint,
  sharedParts: readonly PromptPartId[],
): Trait[] {
  return [
    contentTrait(fingerprint),
    ...sharedParts.slice(0, MAXIMUM_TRAITS - 1).map(promptPartTrait),
  ];
}
