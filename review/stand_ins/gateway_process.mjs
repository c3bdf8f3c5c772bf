/** One machine of the system: the process of the deploy file, with settings from its template. */

import {spawn} from 'node:child_process';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** The command of the role that carries the traffic. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

function valueAt(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

/** Renders the parts of the template language that deploy/node.toml.template uses. */
function render(template, fields) {
  return template
    .replace(/\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_, path, inner) => {
      const value = valueAt(fields, path);
      if (value === undefined || value === false) return '';
      return inner.replaceAll('{{.}}', String(value));
    })
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) =>
      String(valueAt(fields, path) ?? ''),
    );
}

export class GatewayProcess {
  starts = 0;
  isWanted = false;

  constructor({name, ip, zone, folder, storeAddress, restartMs = 300}) {
    Object.assign(this, {name, ip, zone, folder, restartMs});
    this.callers = `${ip}:8149`;
    this.ready = `${ip}:8141`;
    this.settingsFile = join(folder, `${name}.toml`);
    const fields = {
      nodeName: name,
      zone,
      ip,
      internalPorts: [7380, 7395],
      listen: {front: this.callers, ready: this.ready},
      platform: {address: storeAddress},
      limits: {cpuShare: 0.675, linkMbps: 1000},
      heartbeatMs: 1200,
      bounds: {
        graceS: 8,
        leaseTtlMs: 3000,
        requireFencing: true,
        drainMs: 2000,
        configApplyMs: 2000,
        ceilingWindowS: 5,
        budgetRatio: 0.2,
        budgetSlack: 54,
        budgetWindowS: 10,
      },
    };
    const template = readFileSync(
      join(ROOT, 'deploy/node.toml.template'),
      'utf8',
    );
    writeFileSync(this.settingsFile, render(template, fields));
  }

  /** Starts the process; the platform starts it again when it ends. */
  start() {
    this.isWanted = true;
    this.starts += 1;
    const [program, ...words] = runCommand();
    const log = openSync(join(this.folder, `${this.name}.log`), 'a');
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, SISKINMUX_NODE_FILE: this.settingsFile},
      stdio: ['ignore', log, log],
    });
    const {child} = this;
    child.once('exit', (code, signal) => {
      this.lastExit = {at: Date.now(), code, signal};
      if (this.isWanted && this.child === child)
        setTimeout(() => this.isWanted && this.start(), this.restartMs);
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Ends the process for good. */
  end() {
    this.isWanted = false;
    this.child?.kill('SIGKILL');
  }

  /** The status of the readiness probe; undefined without an answer. */
  readiness() {
    return new Promise(resolve => {
      const [host, port] = this.ready.split(':');
      const probe = request(
        {host, port, path: '/ready', agent: false, timeout: 500},
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      probe.once('error', () => resolve(undefined));
      probe.once('timeout', () => probe.destroy());
      probe.end();
    });
  }

  async waitUntilReady(timeoutMs) {
    const deadline = Date.now() + timeoutMs;
    while (Date.now() < deadline) {
      if ((await this.readiness()) === 200) return true;
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    return false;
  }
}
