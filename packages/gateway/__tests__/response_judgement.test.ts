import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ResponseHead, ResponseMetadata} from '@siskinmux/forwarding';
import type {RequestId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {judgeResponse} from '../src/response_judgement.js';

const ID = as<RequestId>('request-1');

function head(
  status: number,
  metadata: Partial<ResponseMetadata> = {},
): ResponseHead {
  return {
    status,
    headers: [],
    framing: 'length',
    metadata: {
      requestId: ID,
      isSealed: true,
      isNotRun: false,
      isMisdirected: false,
      isLeaving: false,
      idleTimeoutMilliseconds: undefined,
      requestLimit: {kind: 'none'},
      rejectionLimit: {kind: 'none'},
      pause: {kind: 'none'},
      ...metadata,
    },
  };
}

const judge = (
  response: ResponseHead,
  isOnUsedConnection = false,
  id = ID,
): string => judgeResponse(response, id, {isOnUsedConnection});

describe(judgeResponse.name, () => {
  it('takes a sealed success and any error for the answer', () => {
    expect(judge(head(200))).toEqual('answer');
    expect(judge(head(500, {isSealed: false}))).toEqual('answer');
  });

  // The caller of a later request got the late copy of an earlier answer.
  it('takes a response with another id for that of another request', () => {
    const requestId = as<RequestId>('request-0');
    expect(judge(head(200, {requestId}))).toEqual('foreign');
    expect(judge(head(503, {requestId, isNotRun: true}))).toEqual('foreign');
  });

  it('takes a response without an id for its own only on a new connection', () => {
    const response = head(200, {requestId: undefined});
    expect(judge(response, false)).toEqual('answer');
    expect(judge(response, true)).toEqual('foreign');
    expect(judge(response, true, as<RequestId>(''))).toEqual('answer');
  });

  it('takes the statement of an endpoint that the request has not run', () => {
    expect(judge(head(503, {isNotRun: true}))).toEqual('not_run');
  });

  // A caller that got such a status sent its request once more, though it had run.
  it('takes no error for a statement that the request has not run, sealed or not', () => {
    for (const status of [503, 429, 408])
      for (const isSealed of [true, false])
        expect(judge(head(status, {isSealed}))).toEqual('unfounded');
    for (const status of [500, 502, 504, 400, 404])
      expect(judge(head(status))).toEqual('answer');
  });

  it('takes no success for the answer that the endpoint has not sealed', () => {
    expect(judge(head(200, {isSealed: false}))).toEqual('unsealed');
  });
});
