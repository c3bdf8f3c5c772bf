/** Judges by the head of an endpoint's response what it says about a request. */

import type {ResponseHead, SentRequest} from '@siskinmux/forwarding';
import type {RequestId} from '@siskinmux/kernel';
import {statesNotRun} from './refusal_response.js';
import {isSuccess} from './relay_response.js';

/**
 * `foreign`: the response to another request. `not_run`: the endpoint rejects the request
 * before it runs. `unfounded`: an error whose status tells callers that the request hasn't run,
 * while the endpoint doesn't state so. `unsealed`: a success that the endpoint doesn't vouch for.
 * `answer`: the endpoint's own response.
 */
export type ResponseJudgement =
  'foreign' | 'not_run' | 'unfounded' | 'unsealed' | 'answer';

/** Judges the response that has come for a request. */
export function judgeResponse(
  head: ResponseHead,
  id: RequestId,
  sentRequest: Pick<SentRequest, 'isOnUsedConnection'>,
): ResponseJudgement {
  const {isNotRun, isSealed} = head.metadata;
  if (!isOwnResponse(head, id, sentRequest)) return 'foreign';
  if (isNotRun) return 'not_run';
  if (statesNotRun(head.status)) return 'unfounded';
  return isSuccess(head) && !isSealed ? 'unsealed' : 'answer';
}

/** Why an `unfounded` response isn't passed on. */
export function unfoundedCause({status}: ResponseHead): string {
  return `status ${status} without a statement that the request has not run`;
}

/** A response without an id belongs to the only request that its connection has carried. */
function isOwnResponse(
  {metadata: {requestId}}: ResponseHead,
  id: RequestId,
  {isOnUsedConnection}: Pick<SentRequest, 'isOnUsedConnection'>,
): boolean {
  return requestId === undefined
    ? id === '' || !isOnUsedConnection
    : requestId === id;
}
