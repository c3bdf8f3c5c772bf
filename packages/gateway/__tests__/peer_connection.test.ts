import {describe, it} from 'node:test';
import {expect} from 'earl';
import {discardEvents} from '@siskinmux/kernel';
import {PeerUnreachableError} from '@siskinmux/membership';
import {VirtualClock} from '@siskinmux/testkit';
import {PeerConnection} from '../src/peer_connection.js';

describe('connection to the lease holder that a stored record names', () => {
  it('fails as unreachable, instead of ending the election, if its address is none', async () => {
    const options = {clock: VirtualClock.create(), emit: discardEvents};
    for (const address of [
      '127.0.0.1:99999',
      '999.1.1.1:80',
      '',
      'host:1',
      '1',
    ])
      await expect(PeerConnection.connect(address, options)).toBeRejectedWith(
        PeerUnreachableError,
      );
  });
});
