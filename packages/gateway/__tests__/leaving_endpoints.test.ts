import {it} from 'node:test';
import type {Incarnation} from '@siskinmux/endpoints';
import {EndpointTable} from '@siskinmux/endpoints';
import type {ServiceName} from '@siskinmux/kernel';
import {as, discardEvents} from '@siskinmux/kernel';
import {VirtualClock, createEngineDescription} from '@siskinmux/testkit';
import {expect} from 'earl';
import {LeavingEndpoints} from '../src/leaving_endpoints.js';
import {createResponse} from './limit_cluster.js';

const LEAVING_COUNT = 32;
/** Time in which the lease holder hears of endpoints that leave. */
const TOLD_MILLISECONDS = 200;

it('reports half of a service that leaves at once in two messages, the first endpoint at once', async () => {
  const clock = VirtualClock.create();
  const leaving = LeavingEndpoints.create({
    table: EndpointTable.create(),
    clock,
    emit: discardEvents,
    onChanges: () => {},
  });
  const reports: Incarnation[][] = [];
  leaving.setExchange({
    reportLeaving: statements =>
      reports.push(statements.map(({incarnation}) => incarnation)),
  });
  const {metadata, ...head} = createResponse(undefined);
  const endpoints = Array.from({length: LEAVING_COUNT}, (_, index) =>
    createEngineDescription(`endpoint-${index}`, as<ServiceName>('text')),
  );
  for (const endpoint of endpoints)
    leaving.recordResponse(endpoint, {
      ...head,
      metadata: {...metadata, isLeaving: true},
    });
  const said = endpoints.map(({incarnation}) => incarnation);
  expect(reports).toEqual([said.slice(0, 1)]);
  await clock.advance(TOLD_MILLISECONDS);
  expect(reports).toEqual([said.slice(0, 1), said.slice(1)]);
});
