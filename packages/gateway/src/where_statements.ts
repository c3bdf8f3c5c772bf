/** States a previewed decision for `GET /where`. */

import type {Instant, NodeId, RefusalError} from '@siskinmux/kernel';
import {ERROR_MESSAGES, until} from '@siskinmux/kernel';
import type {DecisionPreview, WaitReason} from './limited_choice_preview.js';
import {mayReturnAfter, refusalStatus} from './refusal_response.js';
import type {WhereDecision} from './where_answer.js';

const SENT = 'has the most weight; the actual choice is random by weight';
const RELAYED =
  'this node has lost its links to the service; the other one chooses the endpoint';

const WAITS: Readonly<Record<WaitReason, string>> = {
  platform_view: 'for a read of the store, as the known state is too old',
  lease_holder: 'for a lease holder; it is refused if there is none by then',
  quota_permit:
    'for a permit of the lease holder, which knows how much of the quota is left; it is refused if its turn comes later',
  model:
    'for an engine that has the model; it is refused once a forecast is too late, or none has it by then',
  adapter: 'for an engine with the adapter, which the lease holder assigns',
  room: 'for room, as the engines that have the model are loaded beyond the level',
  request_permit:
    'for a permit of the lease holder under the request limit of an endpoint',
  pause_end: 'for the end of the pause that an endpoint has asked for',
};

/** Converts a decision; `now` is the instant of the answer. */
export function stateDecision(
  decision: DecisionPreview,
  now: Instant,
): WhereDecision {
  switch (decision.kind) {
    case 'send':
      return {
        kind: 'send',
        endpoint: decision.endpoint,
        relay: null,
        statement: SENT,
      };
    case 'wait':
      return {
        kind: 'wait',
        reason: decision.reason,
        atMost: timeTo(decision.endsAt, now),
        statement: WAITS[decision.reason],
      };
    case 'refuse':
      return stateRefusal(decision.refusal, now);
  }
}

/** States that another node sends the request. */
export function stateRelay(peer: NodeId): WhereDecision {
  return {kind: 'send', endpoint: null, relay: peer, statement: RELAYED};
}

function stateRefusal(refusal: RefusalError, now: Instant): WhereDecision {
  const {code, retryAt} = refusal;
  const status = refusalStatus(refusal);
  return {
    kind: 'refuse',
    status,
    code,
    returnIn:
      retryAt !== undefined && mayReturnAfter(status)
        ? timeTo(retryAt, now)
        : null,
    statement: ERROR_MESSAGES[code],
  };
}

/** Whole milliseconds until an instant. */
export function timeTo(instant: Instant, now: Instant): number {
  return Math.max(0, Math.round(until(now, instant)));
}
