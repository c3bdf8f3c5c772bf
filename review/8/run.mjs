/**
 * One of seven servers runs requests that may run once and fails part of them with its own
 * status 503, which doesn't state that they haven't run. What do their clients get?
 */

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

const SERVERS = 7;
const REQUESTS = 140;
const FAILED_SHARE = 0.4;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

const isTroubled = process.env.TROUBLE !== '0';
const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);
const store = new Store();
const servers = [];
let gateway;
let exitCode = 2;
try {
  await store.start();
  store.put('config', 'main', configuration());
  for (let index = 1; index <= SERVERS; index += 1) {
    let count = 0;
    const server = new Server({
      id: `i-${index}`,
      service: 'till',
      store,
      record,
      run: async (request, _body, response) => {
        await sleep(15);
        count += 1;
        const fails =
          isTroubled &&
          index === 1 &&
          Math.floor(count * FAILED_SHARE) >
            Math.floor((count - 1) * FAILED_SHARE);
        const body = fails ? 'failed' : 'issued';
        record.add(
          `i-${index} answers ${request.headers['attempt-id']} ${fails ? 503 : 200}`,
        );
        response.writeHead(
          fails ? 503 : 200,
          sealed(request, {'content-length': body.length}),
        );
        response.end(body);
      },
    });
    await server.start();
    servers.push(server);
  }
  gateway = await Gateway.start({store, record});
  const answers = [];
  for (let number = 1; number <= REQUESTS; number += 1) {
    const id = `c${number.toString(16).padStart(15, '0')}`;
    record.add(`client sends ${id} POST /issue/${number}`);
    answers.push(
      call(gateway, {
        method: 'POST',
        path: `/issue/${number}`,
        id,
        body: 'coupon',
      }).then(({status, headers}) => {
        record.add(
          `client gets ${id} ${status}${headers?.['server-seal'] ? ', sealed' : ''}`,
        );
        return {id, status};
      }),
    );
    await sleep(25);
  }
  const results = await Promise.all(answers);
  const ran = new Set(servers.flatMap(({runs}) => runs.map(({id}) => id)));
  const broken = results.filter(
    ({id, status}) => PROMISES.has(status) && ran.has(id),
  );
  const served = results.filter(({status}) => status === 200).length;
  record.add(
    `${results.length} requests, ${served} served, ${broken.length} answered with a promise although they ran`,
  );
  exitCode = broken.length > 0 ? 1 : served > 0 ? 0 : 2;
} catch (failure) {
  record.add(`could not run: ${failure.stack ?? failure}`);
} finally {
  await gateway?.end();
  for (const server of servers) server.stop();
  store.stop();
  record.write();
}
process.exit(exitCode);
