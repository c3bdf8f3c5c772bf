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

/** Writes a self-signed key pair; the node trusts `authority`, by default its own certificate. */
async function createKeyPair(name: string, authority?: string): Promise<Files> {
  const folder = mkdtempSync(join(tmpdir(), 'tls-'));
  const generated = await generate([{name: 'commonName', value: name}], {
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
  writeFileSync(files.certificate_file, generated.cert);
  writeFileSync(files.key_file, generated.private);
  writeFileSync(files.authority_file, authority ?? generated.cert);
  return files;
}

function createTransport(tls: Files | undefined): HttpPeerTransport {
  const peer = {address: '127.0.0.1', port: 0, tls};
  return HttpPeerTransport.create(Kernel.create({settings: {peer}}));
}

const signal = new AbortController().signal;

describe('peers over TLS', () => {
  it('accept messages from a node whose certificate is signed by the trusted authority', async () => {
    const trusted = await createKeyPair('node');
    const receiver = createTransport(trusted);
    const address = await receiver.listen(async text => `heard ${text}`);
    try {
      expect(address.startsWith('https://')).toEqual(true);
      const response = await createTransport(trusted).send(
        address,
        'hello',
        signal,
      );
      expect(response).toEqual('heard hello');
    } finally {
      await receiver.close();
    }
  });

  it('reject messages from a node with an untrusted certificate, or without one', async () => {
    const receiver = createTransport(await createKeyPair('node'));
    let receivedCount = 0;
    const address = await receiver.listen(async () => {
      receivedCount += 1;
      return 'heard';
    });
    try {
      const untrusted = createTransport(await createKeyPair('stranger'));
      await expect(untrusted.send(address, 'hello', signal)).toBeRejected();
      const withoutTls = createTransport(undefined);
      await expect(withoutTls.send(address, 'hello', signal)).toBeRejected();
      expect(receivedCount).toEqual(0);
    } finally {
      await receiver.close();
    }
  });
});
