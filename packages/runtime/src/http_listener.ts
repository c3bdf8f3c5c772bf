/** Runs a NestJS application on Fastify that listens on one address. */

import 'reflect-metadata';
import type {Server} from 'node:https';
import type {DynamicModule, Provider, Type} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {FastifyInstance} from 'fastify';
import type {TlsFiles} from './tls_files.js';
import {readKeyPair, watchKeyPair} from './tls_files.js';

/** Time limit for receiving a complete request. */
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** Address, TLS files, limits and controllers of a listener. */
export interface ListenerOptions {
  readonly address: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly bodyLimitBytes: number;
  readonly controllers: Type[];
  readonly providers: Provider[];
}

/** A running HTTP server. */
export interface Listener {
  /** Base URL of the server, with the port that was bound. */
  readonly url: string;
  readonly server: FastifyInstance;
  /** Closes idle connections and waits for requests in progress. */
  close(): Promise<void>;
  /** Closes all connections immediately, as in a crash. */
  abandon(): Promise<void>;
}

/** Starts a server; resolves when it listens. */
export async function listen(options: ListenerOptions): Promise<Listener> {
  const adapter = new FastifyAdapter({
    bodyLimit: options.bodyLimitBytes,
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    forceCloseConnections: 'idle',
    ...(options.tls && {
      https: {
        ...readKeyPair(options.tls),
        requestCert: true,
        rejectUnauthorized: true,
      },
    }),
  });
  const module: DynamicModule = {
    module: class ListenerModule {},
    controllers: options.controllers,
    providers: options.providers,
  };
  const application = await NestFactory.create<NestFastifyApplication>(
    module,
    adapter,
    {logger: false, abortOnError: false, bodyParser: false},
  );
  const server: FastifyInstance = adapter.getInstance();
  // Bodies are not parsed here: plain services accept any content type, and malformed
  // JSON must produce a problem response of this system instead of Fastify's error.
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'string'},
    (_request, body, done) => done(null, body),
  );
  await application.listen(options.port, options.address);
  const stopWatching = reloadKeyPairOnChange(options, adapter.getHttpServer());
  return {
    url: urlOf(server, options.tls !== undefined),
    server,
    close: async () => {
      stopWatching();
      await application.close();
    },
    abandon: async () => {
      stopWatching();
      server.server.closeAllConnections();
      await application.close();
    },
  };
}

function reloadKeyPairOnChange(
  options: ListenerOptions,
  server: unknown,
): () => void {
  if (options.tls === undefined) return () => {};
  return watchKeyPair(options.tls, keyPair =>
    (server as Server).setSecureContext(keyPair),
  );
}

function urlOf(server: FastifyInstance, isSecure: boolean): string {
  const bound = server.server.address();
  if (bound === null || typeof bound === 'string') return '';
  const host = bound.family === 'IPv6' ? `[${bound.address}]` : bound.address;
  return `${isSecure ? 'https' : 'http'}://${host}:${bound.port}`;
}
