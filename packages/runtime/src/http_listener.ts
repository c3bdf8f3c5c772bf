/** A NestJS application on Fastify, listening on one address. */

import 'reflect-metadata';
import type {Server} from 'node:https';
import type {DynamicModule, Provider, Type} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import type {NestFastifyApplication} from '@nestjs/platform-fastify';
import {FastifyAdapter} from '@nestjs/platform-fastify';
import type {FastifyInstance} from 'fastify';
import type {TlsFiles} from './tls_files.js';
import {readKeyPair, watchKeyPair} from './tls_files.js';

/** Time in which a sender has to deliver its whole request. */
const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** Where and how to listen, and what to serve. */
export interface ListenerOptions {
  readonly address: string;
  readonly port: number;
  readonly tls?: TlsFiles | undefined;
  readonly bodyLimitBytes: number;
  readonly controllers: Type[];
  readonly providers: Provider[];
}

/** A listening application. */
export interface Listener {
  /** Base URL under which it can be reached. */
  readonly url: string;
  readonly server: FastifyInstance;
  /** Ends idle connections and waits for the others. */
  close(): Promise<void>;
  /** Cuts all connections. */
  abandon(): Promise<void>;
}

/** Starts to listen. */
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
  // Bodies stay text here: a plain service takes any type, and malformed JSON
  // gets an answer of this system's own.
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'string'},
    (_request, body, done) => done(null, body),
  );
  await application.listen(options.port, options.address);
  const stopWatching = reloadKeyPair(options, adapter.getHttpServer());
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

function reloadKeyPair(options: ListenerOptions, server: unknown): () => void {
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
