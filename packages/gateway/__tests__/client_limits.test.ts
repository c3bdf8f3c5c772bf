import type {Socket} from 'node:net';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '@siskinmux/testkit';
import {Registry} from 'prom-client';
import {ClientLimitReports, connectionLimits} from '../src/client_limits.js';

const socket = {remoteAddress: '10.0.0.1', remotePort: 4} as Socket;

describe('limits on connections', () => {
  it('follow from the memory of the process, unless they are set', () => {
    expect(connectionLimits({}, 210)).toEqual({total: 840, perAddress: 630});
    expect(
      connectionLimits({connections: 9, connections_per_address: 2}, 210),
    ).toEqual({total: 9, perAddress: 2});
  });
});

describe('reports of limits', () => {
  // A line for each connection that is closed would cost more than the connection.
  it('log one line within 10 s for each listener and limit, and count all', async () => {
    const clock = VirtualClock.create();
    const registry = new Registry();
    const lines: unknown[] = [];
    const reports = ClientLimitReports.create(registry, clock, (_, fields) =>
      lines.push(fields),
    );
    const onLimited = reports.of('callers');
    for (let count = 0; count < 100; count += 1) onLimited('unread', socket);
    reports.of('relays')('unread', socket);
    await clock.advance(10_001);
    onLimited('unread', socket);
    const line = {limit: 'unread', address: '10.0.0.1:4'};
    expect(lines).toEqual([
      {listener: 'callers', ...line, unlogged: 0},
      {listener: 'relays', ...line, unlogged: 0},
      {listener: 'callers', ...line, unlogged: 99},
    ]);
    expect(await registry.metrics()).toMatchRegex(
      /client_limits_total\{listener="callers",limit="unread"\} 101/,
    );
  });
});
