/** The host's key pair, read from files and read again when they change. */

import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {SecureContextOptions} from 'node:tls';
import {SettingsError} from '@siskinmux/kernel';
import type {z} from 'zod';
import type {tlsSchema} from './settings_section.js';

/** Names of the files. */
export type TlsFiles = z.infer<typeof tlsSchema>;

/** Pause between two looks at the files. */
const WATCH_INTERVAL_MILLISECONDS = 2_000;

/** Contents of the files, as node's TLS takes them. */
export interface KeyPair {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Reads the files. Throws {@link SettingsError} that names the one that can't be read. */
export function readKeyPair(files: TlsFiles): KeyPair {
  return {
    cert: readText('tls.certificate_file', files.certificate_file),
    key: readText('tls.key_file', files.key_file),
    ca: readText('tls.authority_file', files.authority_file),
  };
}

/** Calls `onChange` with the new key pair after a file was replaced; returns the way to stop that. */
export function watchKeyPair(
  files: TlsFiles,
  onChange: (keyPair: SecureContextOptions) => void,
): () => void {
  const names = [files.certificate_file, files.key_file, files.authority_file];
  const listener = (): void => {
    try {
      onChange(readKeyPair(files));
    } catch (failure) {
      // Half-written files are looked at again when the rest has arrived.
      if (!(failure instanceof SettingsError)) throw failure;
    }
  };
  for (const name of names) {
    watchFile(
      name,
      {interval: WATCH_INTERVAL_MILLISECONDS, persistent: false},
      listener,
    );
  }
  return () => {
    for (const name of names) unwatchFile(name, listener);
  };
}

function readText(path: string, file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    throw new SettingsError(path, `the file ${file} can't be read`);
  }
}
