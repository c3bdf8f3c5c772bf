/** Reads the TLS key pair of the host from files, and reloads it when they change. */

import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import type {SecureContextOptions} from 'node:tls';
import {SettingsError} from '@siskinmux/kernel';
import type {z} from 'zod';
import type {tlsSchema} from './settings_section.js';

/** Paths of the key pair's files. */
export type TlsFiles = z.infer<typeof tlsSchema>;

/** Interval at which the files are checked for changes. */
const WATCH_INTERVAL_MILLISECONDS = 2_000;

/** Contents of the files, named as in the options of `node:tls`. */
export interface KeyPair {
  readonly cert: string;
  readonly key: string;
  readonly ca: string;
}

/** Reads the files. Throws a {@link SettingsError} that names an unreadable file. */
export function readKeyPair(files: TlsFiles): KeyPair {
  return {
    cert: readText('tls.certificate_file', files.certificate_file),
    key: readText('tls.key_file', files.key_file),
    ca: readText('tls.authority_file', files.authority_file),
  };
}

/** Calls `onChange` with the new key pair after a file has changed; returns a stop function. */
export function watchKeyPair(
  files: TlsFiles,
  onChange: (keyPair: SecureContextOptions) => void,
): () => void {
  const names = [files.certificate_file, files.key_file, files.authority_file];
  const listener = (): void => {
    try {
      onChange(readKeyPair(files));
    } catch (failure) {
      // A partly replaced key pair is read again at the next change.
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
