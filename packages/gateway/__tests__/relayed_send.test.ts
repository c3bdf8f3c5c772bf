import {describe, it} from 'node:test';
import type {ResponseBody, SendResult} from '@siskinmux/forwarding';
import type {EndpointId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {RELAY_HEADER, encodeStatement} from '@siskinmux/relay';
import {expect} from 'earl';
import {readRelayOutcome} from '../src/relayed_send.js';

const ENDPOINT = as<EndpointId>('engine-1');

/** Reads what a peer says that passes on an endpoint's response with this status. */
async function readPassedOn(status: number) {
  const aborts: string[] = [];
  const sentRequest = {
    isOnUsedConnection: false,
    abortReason: undefined,
    result: new Promise<SendResult>(() => {}),
    abort: (reason: string) => void aborts.push(reason),
  };
  const outcome = await readRelayOutcome(
    {
      kind: 'answered',
      head: {
        status,
        headers: [
          RELAY_HEADER,
          encodeStatement({kind: 'endpoint', endpoint: ENDPOINT, runs: 1}),
        ],
      },
      body: {} as ResponseBody,
    } as unknown as SendResult & {kind: 'answered'},
    sentRequest as unknown as Parameters<typeof readRelayOutcome>[1],
  );
  return {outcome, aborts};
}

describe(readRelayOutcome.name, () => {
  // A node of an earlier version passes on an error by which callers take the request for not run.
  it('takes the outcome for unknown if the endpoint does not state that it has not run', async () => {
    for (const status of [503, 429, 408, 421]) {
      const {outcome, aborts} = await readPassedOn(status);
      expect([outcome.kind, aborts]).toEqual(['unknown', ['invalid_response']]);
    }
  });

  it('reads other responses of the endpoint', async () => {
    for (const status of [200, 404, 500]) {
      const {outcome, aborts} = await readPassedOn(status);
      expect([outcome.kind, aborts]).toEqual(['endpoint', []]);
    }
  });
});
