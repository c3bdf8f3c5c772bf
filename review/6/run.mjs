/**
 * One of four servers answers a single request with bytes that are no answer in the protocol: the
 * status of its status line is 000. What becomes of the other requests at the machine that got it?
 */

import http from 'node:http';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Gateway,
  Record,
  Server,
  Store,
  call,
  configuration,
  sealed,
  sleep,
} from '../stand_ins_2/kit.mjs';

const SERVERS = 4;
const TIMEOUT_MILLISECONDS = 600;
const DEADLINE_MILLISECONDS = 3_000;
const INTERVAL_MILLISECONDS = 50;
const CALM_MILLISECONDS = 5_000;
const LENGTH_MILLISECONDS = 14_000;
/** Final answers are due this long after the route's timeout. */
const ALLOWANCE_MILLISECONDS = 500;
/** So many without one, and more than this part of those past their timeout, break the rule. */
const LEAST_LATE = 8;
const LATE_SHARE = 0.25;
const READY_INTERVAL_MILLISECONDS = 1_000;

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);
const store = new Store();
const servers = [];
let gateway;
let isDue = false;
let exitCode = 2;

/** Asks once a second whether the machine is ready, as the platform does. */
function probe(until) {
  const ask = () => {
    if (performance.now() >= until) return;
    const at = performance.now();
    const request = http.get(
      {
        host: gateway.host,
        port: gateway.readiness,
        path: '/ready',
        agent: false,
      },
      response => {
        response.resume();
        record.add(
          `ready: ${response.statusCode} after ${Math.round(performance.now() - at)} ms`,
        );
      },
    );
    request.on('error', () => {});
    setTimeout(ask, READY_INTERVAL_MILLISECONDS);
  };
  ask();
}

try {
  await store.start();
  store.put('config', 'main', configuration({timeoutMs: TIMEOUT_MILLISECONDS}));
  for (let index = 1; index <= SERVERS; index += 1) {
    const server = new Server({
      id: `i-${index}`,
      service: 'till',
      store,
      record,
      run: async (request, _body, response) => {
        await sleep(15);
        if (isDue && index === 1) {
          isDue = false;
          const id = request.headers['attempt-id'];
          record.add(`i-1 answers ${id} with the status 000`);
          response.socket.end(
            `HTTP/1.1 000 \r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nno`,
          );
          return;
        }
        response.writeHead(200, sealed(request, {'content-length': 2}));
        response.end('ok');
      },
    });
    await server.start();
    servers.push(server);
  }
  gateway = await Gateway.start({store, record});
  const begin = performance.now();
  probe(begin + LENGTH_MILLISECONDS);
  setTimeout(() => (isDue = isTroubled), CALM_MILLISECONDS);
  const calls = [];
  for (
    let number = 1;
    performance.now() < begin + LENGTH_MILLISECONDS;
    number += 1
  ) {
    const id = `a${number.toString(16).padStart(15, '0')}`;
    const sentAt = performance.now();
    record.add(`client sends ${id}`);
    calls.push(
      call(gateway, {
        path: `/read/${number}`,
        id,
        deadlineMs: DEADLINE_MILLISECONDS,
        leavesAtDeadline: true,
      }).then(({status}) => {
        const milliseconds = performance.now() - sentAt;
        record.add(
          `client ${status === undefined ? 'leaves' : 'gets'} ${id} ${status ?? ''} after ${Math.round(milliseconds)} ms`,
        );
        return {status, milliseconds};
      }),
    );
    await sleep(INTERVAL_MILLISECONDS);
  }
  const results = await Promise.all(calls);
  const past = results.filter(
    ({milliseconds}) => milliseconds > TIMEOUT_MILLISECONDS,
  );
  const late = past.filter(
    ({milliseconds}) =>
      milliseconds > TIMEOUT_MILLISECONDS + ALLOWANCE_MILLISECONDS,
  );
  const served = results.filter(({status}) => status === 200).length;
  record.add(
    `${results.length} requests, ${served} served, ${past.length} last longer than ${TIMEOUT_MILLISECONDS} ms, ${late.length} have no final answer ${ALLOWANCE_MILLISECONDS} ms after it`,
  );
  const isBroken =
    late.length >= LEAST_LATE && late.length > past.length * LATE_SHARE;
  exitCode = isBroken ? 1 : served > 0 ? 0 : 2;
} catch (failure) {
  record.add(`could not run: ${failure.stack ?? failure}`);
} finally {
  await gateway?.end();
  for (const server of servers) server.stop();
  store.stop();
  record.write();
}
process.exit(exitCode);
