/** Puts a small deployment together: store, engines, machines, clients, and the record of a run. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {GatewayProcess} from './gateway_process.mjs';
import {StoreStandIn} from './store_stand_in.mjs';

export const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** A client's attempt: resolves when its answer has ended or its connection is gone. */
export function send({address, method = 'GET', path, host, headers, body}) {
  const [ip, port] = address.split(':');
  const sentAt = Date.now();
  return new Promise(resolve => {
    const call = request(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {host, ...headers},
      },
      response => {
        const chunks = [];
        const end = () =>
          resolve({
            sentAt,
            endedAt: Date.now(),
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
          });
        response.on('data', chunk => chunks.push(chunk));
        response.once('error', () => {});
        response.once('close', end);
      },
    );
    call.once('error', failure =>
      resolve({sentAt, endedAt: Date.now(), failure: failure.code}),
    );
    call.end(body);
  });
}

export class World {
  lines = [];
  gateways = [];
  endpoints = [];
  startedAt = Date.now();

  constructor(caseFolder) {
    this.caseFolder = caseFolder;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.net = `127.${10 + Math.floor(Math.random() * 240)}.${Math.floor(Math.random() * 250)}`;
    this.store = new StoreStandIn();
    const stop = cause => this.finish(2, `the case ended early: ${cause}`);
    for (const kind of ['uncaughtException', 'unhandledRejection'])
      process.on(kind, failure => stop(failure?.message ?? failure));
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, stop);
  }

  async startStore() {
    await this.store.start(`${this.net}.200`, 8142);
  }

  addEndpoint(endpoint) {
    this.endpoints.push(endpoint);
    return endpoint.start();
  }

  addGateway(name, number, zone) {
    const gateway = new GatewayProcess({
      name,
      ip: `${this.net}.${number}`,
      zone,
      folder: this.folder,
      storeAddress: this.store.address,
    });
    this.gateways.push(gateway);
    gateway.start();
    return gateway;
  }

  /** One line of the record, with seconds since the start. */
  record(kind, fields = {}) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${at} ${kind} ${JSON.stringify(fields)}`);
  }

  /** Ends all processes, writes the record and ends with the result. */
  finish(code, verdict) {
    this.lines.push(`verdict ${code} ${verdict}`);
    console.log(verdict);
    for (const gateway of this.gateways) gateway.end();
    for (const endpoint of this.endpoints) endpoint.stop();
    this.store.stop();
    writeFileSync(
      join(this.caseFolder, 'record.txt'),
      `${this.lines.join('\n')}\n`,
    );
    if (!process.env.KEEP) rmSync(this.folder, {recursive: true, force: true});
    else console.log(this.folder);
    process.exit(code);
  }
}
