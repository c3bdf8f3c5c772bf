import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Instant, ModelName, ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock} from '@siskinmux/testkit';
import {Follower} from '../src/follower.js';
import {PeerConnection} from '../src/peer_connection.js';
import {
  PEER_METHODS,
  forecastsSchema,
  helloSchema,
} from '../src/placement_messages.js';

const service = as<ServiceName>('text');
const model = (name: string): ModelName => as<ModelName>(name);

/** A follower over a TCP connection, with the forecasts that its other end receives. */
async function build() {
  const clock = VirtualClock.create();
  const options = {clock, emit: discardEvents};
  const received: string[][] = [];
  const server = createServer(socket => {
    const connection = PeerConnection.create(socket, options);
    connection.handle(PEER_METHODS.forecasts, forecastsSchema, ({models}) => {
      received.push(models.map(([name]) => name));
    });
    connection.handle(PEER_METHODS.hello, helloSchema, () => true);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const connection = await PeerConnection.connect(`127.0.0.1:${port}`, options);
  const follower = Follower.create(connection, clock.now());
  const reportWaiting = (...models: string[]): void =>
    follower.recordUsage(
      service,
      {
        waiting: models.map(name => ({
          model: model(name),
          count: 1,
          priority: 0,
          earliestDeadline: as<Instant>(clock.now() + 1_000),
        })),
        inFlight: [],
        arrived: [],
      },
      true,
      clock.now(),
    );
  const sendForecast = (name: string, readyAt: number): void =>
    follower.sendForecasts(
      service,
      [{model: model(name), readyAt: as<Instant>(readyAt)}],
      clock.now(),
    );
  /** Messages are delivered in order, so all earlier ones have arrived with this response. */
  const allDelivered = (): Promise<unknown> =>
    connection.request(
      PEER_METHODS.hello,
      {node: 'node-1'},
      as<Instant>(clock.now() + 5_000),
    );
  const close = (): void => {
    connection.close();
    server.close();
  };
  return {
    clock,
    follower,
    received,
    reportWaiting,
    sendForecast,
    allDelivered,
    close,
  };
}

describe('Follower of the lease holder', () => {
  it('receives forecasts only of models that its requests wait for', async () => {
    const {received, reportWaiting, sendForecast, allDelivered, close} =
      await build();
    sendForecast('a', 1_000);
    reportWaiting('b');
    sendForecast('a', 1_000);
    sendForecast('b', 1_000);
    await allDelivered();
    expect(received).toEqual([['b']]);
    close();
  });

  it('receives a forecast again when it has changed by 60 ms or requests wait for the model again', async () => {
    const {received, reportWaiting, sendForecast, allDelivered, close} =
      await build();
    reportWaiting('b');
    sendForecast('b', 1_000);
    sendForecast('b', 1_030);
    reportWaiting('b');
    sendForecast('b', 1_040);
    sendForecast('b', 1_500);
    reportWaiting();
    reportWaiting('b');
    sendForecast('b', 1_500);
    await allDelivered();
    expect(received.length).toEqual(3);
    close();
  });

  it('expires three seconds after the last usage report', async () => {
    const {clock, follower, reportWaiting, close} = await build();
    await clock.advance(2_900);
    reportWaiting();
    await clock.advance(2_900);
    expect(follower.isExpired(clock.now())).toEqual(false);
    await clock.advance(200);
    expect(follower.isExpired(clock.now())).toEqual(true);
    close();
  });
});
