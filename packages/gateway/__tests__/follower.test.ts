import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, ModelName, ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {Follower} from '../src/follower.js';
import {PeerLink} from '../src/peer_link.js';
import {
  MESSAGE,
  forecastsSchema,
  helloSchema,
} from '../src/placement_messages.js';

const service = as<ServiceName>('text');
const model = (name: string): ModelName => as<ModelName>(name);

/** A follower over a real connection, and what arrives at its other end. */
async function build() {
  const clock = VirtualClock.create();
  const options = {clock, emit: discardEvents};
  const told: string[][] = [];
  const server = createServer(socket => {
    const link = PeerLink.create(socket, options);
    link.handle(MESSAGE.forecasts, forecastsSchema, ({models}) => {
      told.push(models.map(([name]) => name));
    });
    link.handle(MESSAGE.hello, helloSchema, () => true);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const link = await PeerLink.connect(`127.0.0.1:${port}`, options);
  const follower = Follower.create(link, clock.now());
  const wait = (...models: string[]): void =>
    follower.noteUsage(
      service,
      {
        waiting: models.map(name => ({
          model: model(name),
          count: 1,
          priority: 0,
          uselessAt: as<Instant>(clock.now() + 1_000),
        })),
        running: [],
        arrived: [],
      },
      true,
      clock.now(),
    );
  const tell = (name: string, inMilliseconds: number): void =>
    follower.tellForecasts(
      service,
      [{model: model(name), readyAt: as<Instant>(inMilliseconds)}],
      clock.now(),
    );
  /** What was sent before has arrived when a later question is answered. */
  const arrival = (): Promise<unknown> =>
    link.request(
      MESSAGE.hello,
      {node: 'node-1'},
      as<Instant>(clock.now() + 5_000),
    );
  const close = (): void => {
    link.close();
    server.close();
  };
  return {clock, follower, told, wait, tell, arrival, close};
}

describe('what a follower is told of forecasts', () => {
  it('concerns only the models that its requests wait for', async () => {
    const {told, wait, tell, arrival, close} = await build();
    tell('a', 1_000);
    wait('b');
    tell('a', 1_000);
    tell('b', 1_000);
    await arrival();
    expect(told).toEqual([['b']]);
    close();
  });

  it('is told again when it moves, or to a request that begins to wait anew', async () => {
    const {told, wait, tell, arrival, close} = await build();
    wait('b');
    tell('b', 1_000);
    tell('b', 1_030);
    wait('b');
    tell('b', 1_040);
    tell('b', 1_500);
    wait();
    wait('b');
    tell('b', 1_500);
    await arrival();
    expect(told.length).toEqual(3);
    close();
  });

  it('counts a node as gone that has been silent for three seconds', async () => {
    const {clock, follower, wait, close} = await build();
    await clock.advance(2_900);
    wait();
    await clock.advance(2_900);
    expect(follower.isExpired(clock.now())).toEqual(false);
    await clock.advance(200);
    expect(follower.isExpired(clock.now())).toEqual(true);
    close();
  });
});
