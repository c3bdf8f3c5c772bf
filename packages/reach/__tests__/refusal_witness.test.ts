import {describe, it} from 'node:test';
import {expect} from 'earl';
import {EndpointTable} from '@siskinmux/endpoints';
import type {EndpointDescription} from '@siskinmux/endpoints';
import type {ProbeResult} from '@siskinmux/forwarding';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {createEngineDescription} from '@siskinmux/testkit';
import {RefusalWitness} from '../src/index.js';

function endpoint(name: string): EndpointDescription {
  return {
    ...createEngineDescription(
      as<EndpointId>(name),
      as<ServiceName>('text'),
      [],
    ),
    address: name,
  };
}

/** A node that sees the endpoints as given, and a peer that answers as given. */
function build(
  seen: Readonly<Record<string, ProbeResult>>,
  peer: ProbeResult = 'unknown',
): RefusalWitness {
  const table = EndpointTable.create();
  table.replaceAll(Object.keys(seen).map(endpoint), undefined);
  return RefusalWitness.create({
    table,
    probe: address => Promise.resolve(seen[address] ?? 'unknown'),
    askPeer: () => Promise.resolve(peer),
    random: () => 0,
    emit: discardEvents,
  });
}

describe(RefusalWitness.name, () => {
  it('takes an endpoint for ended if another node finds its port closed, too', async () => {
    const witness = build({a: 'refused', b: 'refused'}, 'refused');
    expect(await witness.hasEnded(endpoint('a'))).toEqual(true);
  });

  it('takes its own link for broken if another node still reaches the endpoint', async () => {
    const witness = build({a: 'refused', b: 'listening'}, 'listening');
    expect(await witness.hasEnded(endpoint('a'))).toEqual(false);
  });

  it('goes by the other endpoints that it reaches while no other node can tell', async () => {
    const sound = build({a: 'refused', b: 'listening'});
    expect(await sound.hasEnded(endpoint('a'))).toEqual(true);
    const cut = build({a: 'refused', b: 'refused', c: 'unknown'});
    expect(await cut.hasEnded(endpoint('a'))).toEqual(false);
    const single = build({a: 'refused'});
    expect(await single.hasEnded(endpoint('a'))).toEqual(true);
  });

  it('testifies to a closed port only while it reaches another endpoint', async () => {
    const a = as<EndpointId>('a');
    const testify = (seen: Record<string, ProbeResult>): Promise<ProbeResult> =>
      build(seen).testify(a);
    expect(await testify({a: 'refused', b: 'listening'})).toEqual('refused');
    expect(await testify({a: 'refused', b: 'unknown'})).toEqual('unknown');
    expect(await testify({a: 'listening', b: 'unknown'})).toEqual('listening');
    expect(await testify({b: 'listening'})).toEqual('unknown');
  });
});
