/** Numbered log events of the adapters. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** The response to a call of the node itself was given up. */
export const RESPONSE_DROPPED: EventDescriptor = {
  number: 9001,
  name: 'response-dropped',
  level: 'warn',
  meaning:
    'The response of the server at `origin` to a call of this node itself was given up, and its connection closed. `reason`: `too_long` if it is longer than any response of its kind, `no_memory` if all responses that are being read take the memory for them. Logged again only after another result. A server with `too_long` is faulty; `no_memory` may be caused by others.',
};

/** All events of this package. */
export const ADAPTER_EVENTS = [RESPONSE_DROPPED];
