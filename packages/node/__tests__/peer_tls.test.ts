import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Kernel} from '@siskinmux/kernel';
import {generate} from 'selfsigned';
import {HttpPeerTransport} from '../src/http_peer_transport.js';

interface Files {
  readonly certificate_file: string;
  readonly key_file: string;
  readonly authority_file: string;
}

/** A key pair of its own authority; `authority` names another that it trusts. */
async function keyPair(name: string, authority?: string): Promise<Files> {
  const folder = mkdtempSync(join(tmpdir(), 'tls-'));
  const made = await generate([{name: 'commonName', value: name}], {
    extensions: [
      {name: 'basicConstraints', cA: true},
      {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
    ],
  });
  const files = {
    certificate_file: join(folder, 'certificate.pem'),
    key_file: join(folder, 'key.pem'),
    authority_file: join(folder, 'authority.pem'),
  };
  writeFileSync(files.certificate_file, made.cert);
  writeFileSync(files.key_file, made.private);
  writeFileSync(files.authority_file, authority ?? made.cert);
  return files;
}

function transport(tls: Files | undefined): HttpPeerTransport {
  const peer = {address: '127.0.0.1', port: 0, tls};
  return HttpPeerTransport.create(Kernel.create({settings: {peer}}));
}

const signal = new AbortController().signal;

describe('peers over TLS', () => {
  it('take messages from a node whose certificate the authority has signed', async () => {
    const trusted = await keyPair('node');
    const receiver = transport(trusted);
    const address = await receiver.listen(async text => `heard ${text}`);
    try {
      expect(address.startsWith('https://')).toEqual(true);
      const answer = await transport(trusted).send(address, 'hello', signal);
      expect(answer).toEqual('heard hello');
    } finally {
      await receiver.close();
    }
  });

  it('take nothing from one with another certificate, or with none', async () => {
    const receiver = transport(await keyPair('node'));
    let heard = 0;
    const address = await receiver.listen(async () => {
      heard += 1;
      return 'heard';
    });
    try {
      const stranger = transport(await keyPair('stranger'));
      await expect(stranger.send(address, 'hello', signal)).toBeRejected();
      const plain = transport(undefined);
      await expect(plain.send(address, 'hello', signal)).toBeRejected();
      expect(heard).toEqual(0);
    } finally {
      await receiver.close();
    }
  });
});
