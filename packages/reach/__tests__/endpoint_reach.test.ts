import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointDescription} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {ResponseProbeResult} from '@siskinmux/forwarding';
import type {EndpointId, ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {
  VirtualClock,
  createEngineDescription,
  createSeededRandom,
} from '@siskinmux/testkit';
import {
  EXAMINATION_INTERVAL_MILLISECONDS,
  EndpointReach,
} from '../src/index.js';

const TEXT = as<ServiceName>('text');
const PLAIN = as<ServiceName>('plain');

function endpoint(name: string, service = TEXT): EndpointDescription {
  return {
    ...createEngineDescription(as<EndpointId>(name), service, []),
    address: name,
  };
}

const ENDPOINTS = [
  endpoint('a'),
  endpoint('b'),
  endpoint('c'),
  endpoint('d'),
  endpoint('p', PLAIN),
];

function build() {
  const clock = VirtualClock.create();
  const table = EndpointTable.create();
  table.replaceAll(ENDPOINTS, undefined);
  const unreachable = new Set<string>();
  const silent = new Set<string>();
  let respondsToPeer = false;
  let probes = 0;
  let changes = 0;
  const reach = EndpointReach.create({
    table,
    clock,
    random: createSeededRandom(1),
    emit: discardEvents,
    probe: ({address}): Promise<ResponseProbeResult> => {
      probes += 1;
      if (unreachable.has(address)) return Promise.resolve('refused');
      return Promise.resolve(silent.has(address) ? 'silent' : 'responding');
    },
    askPeer: () => Promise.resolve(respondsToPeer),
    onChange: () => {
      changes += 1;
    },
  });
  const pass = async (milliseconds: number): Promise<void> => {
    for (
      let passed = 0;
      passed < milliseconds;
      passed += EXAMINATION_INTERVAL_MILLISECONDS
    ) {
      await clock.advance(EXAMINATION_INTERVAL_MILLISECONDS);
      reach.examineSends();
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  const cut = (...names: string[]): void => {
    for (const name of names) unreachable.add(name);
  };
  return {
    clock,
    table,
    reach,
    pass,
    cut,
    silence: (...names: string[]): void => {
      for (const name of names) silent.add(name);
    },
    setPeerResponse: (responds: boolean): void => {
      respondsToPeer = responds;
    },
    heal: () => {
      unreachable.clear();
      silent.clear();
    },
    probes: () => probes,
    changes: () => changes,
  };
}

const ALL = ['a', 'b', 'c', 'd', 'p'];

describe(EndpointReach.name, () => {
  it('takes its links for lost when no endpoint can be connected to, for all services at once', async () => {
    const {reach, cut, changes} = build();
    cut(...ALL);
    await reach.track(endpoint('a'), () => {}).recordNoConnection();
    await new Promise(resolve => setImmediate(resolve));
    expect(reach.cutServices).toEqual([TEXT, PLAIN]);
    expect(changes()).toEqual(2);
  });

  it('does not take one endpoint without connections for lost links, and does not probe at each of its failures', async () => {
    const {reach, cut, probes} = build();
    cut('a');
    for (let failure = 0; failure < 20; failure += 1)
      await reach.track(endpoint('a'), () => {}).recordNoConnection();
    expect(reach.cutServices).toEqual([]);
    expect(probes()).toBeLessThanOrEqual(3);
  });

  it('finds out by silence that connections hang, and ends the sends that wait', async () => {
    const {reach, cut, pass} = build();
    let silent = 0;
    reach.track(endpoint('a'), () => {
      silent += 1;
    });
    cut(...ALL);
    await pass(1_000);
    expect([reach.isCutFrom(TEXT), silent]).toEqual([true, 1]);
  });

  it('takes its links for lost if endpoints accept connections and respond to another node only', async () => {
    const {reach, silence, setPeerResponse, heal, pass} = build();
    let abandoned = 0;
    const send = reach.track(endpoint('a'), () => {
      abandoned += 1;
    });
    silence(...ALL);
    setPeerResponse(true);
    await pass(1_000);
    expect([reach.isCutFrom(TEXT), abandoned]).toEqual([true, 1]);
    send.end();
    await pass(1_500);
    expect(reach.isCutFrom(TEXT)).toEqual(true);
    heal();
    await pass(1_500);
    expect(reach.isCutFrom(TEXT)).toEqual(false);
  });

  it('keeps its links and its sends while all nodes find the endpoints silent', async () => {
    const {reach, silence, pass} = build();
    let abandoned = 0;
    reach.track(endpoint('a'), () => {
      abandoned += 1;
    });
    silence(...ALL);
    await pass(3_000);
    expect([reach.isCutFrom(TEXT), abandoned]).toEqual([false, 0]);
  });

  it('testifies that a service responds, unless it is cut from it or finds it silent', async () => {
    const {reach, silence, cut, pass} = build();
    reach.track(endpoint('a'), () => {}).recordContact();
    silence(...ALL);
    expect(await reach.testify(TEXT)).toEqual(true);
    await pass(1_200);
    expect(await reach.testify(TEXT)).toEqual(false);
    cut(...ALL);
    await reach.track(endpoint('a'), () => {}).recordNoConnection();
    expect(await reach.testify(TEXT)).toEqual(false);
  });

  it('does not testify that a service responds of which it lists no endpoint', async () => {
    const {reach} = build();
    expect(await reach.testify(as<ServiceName>('unlisted'))).toEqual(false);
  });

  it('does not end a send whose connection lives on while new ones are refused', async () => {
    const {reach, cut, pass} = build();
    let silent = 0;
    const stream = reach.track(endpoint('a'), () => {
      silent += 1;
    });
    cut(...ALL);
    stream.recordContact();
    await reach.track(endpoint('b'), () => {}).recordNoConnection();
    stream.recordContact();
    await pass(1_000);
    expect([reach.isCutFrom(TEXT), silent]).toEqual([true, 0]);
  });

  it('does not probe while a slow response is pending and other endpoints of the service respond', async () => {
    const {reach, pass, probes} = build();
    reach.track(endpoint('a'), () => {});
    for (let second = 0; second < 5; second += 1) {
      reach.track(endpoint('b'), () => {}).recordContact();
      await pass(300);
    }
    expect(probes()).toEqual(0);
  });

  it('regains its links after two sound rounds of probes, not in a flapping one', async () => {
    const {reach, cut, heal, pass} = build();
    cut(...ALL);
    const send = reach.track(endpoint('a'), () => {});
    await send.recordNoConnection();
    send.end();
    for (let flap = 0; flap < 4; flap += 1) {
      heal();
      await pass(500);
      cut(...ALL);
      await pass(500);
      expect(reach.isCutFrom(TEXT)).toEqual(true);
    }
    heal();
    await pass(1_500);
    expect(reach.cutServices).toEqual([]);
  });

  it('does not count as cut from a service that has no endpoint left', async () => {
    const {reach, table, cut, pass} = build();
    cut(...ALL);
    await reach.track(endpoint('a'), () => {}).recordNoConnection();
    table.replaceAll([endpoint('p', PLAIN)], undefined);
    await pass(1_500);
    expect(reach.isCutFrom(TEXT)).toEqual(false);
    expect(reach.isCutFrom(PLAIN)).toEqual(true);
  });
});
