/** Ways to the declared endpoints. */

import type {EndpointId, Plugin} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, injectionKey} from '@siskinmux/kernel';
import {HttpEngine, HttpPlainService} from '@siskinmux/adapters';
import type {Engine, PlainService} from '@siskinmux/ports';
import type {Dispatcher} from 'undici';
import {CONFIGURATION} from './configuration_task.js';
import {AGENT} from './platform.js';

/** An endpoint is no longer declared. */
export class EndpointNotDeclaredError extends SiskinmuxError {
  constructor(id: EndpointId) {
    super(ErrorCode.NoEndpoint, `${id} is not declared`);
  }
}

/** Ways to the endpoints. */
export interface EndpointAdapters {
  /** An engine. Throws {@link EndpointNotDeclaredError}. */
  engine(id: EndpointId): Engine;
  /** An instance of a plain service. Throws {@link EndpointNotDeclaredError}. */
  service(id: EndpointId): PlainService;
}

/** Ways to the endpoints over HTTP, made when they are first used. */
export class HttpEndpoints implements EndpointAdapters {
  private readonly engines = new Map<string, Engine>();
  private readonly services = new Map<string, PlainService>();

  private constructor(
    private readonly agent: Dispatcher,
    private readonly urlOf: (id: EndpointId) => string | undefined,
  ) {}

  static create(options: {
    agent: Dispatcher;
    urlOf: (id: EndpointId) => string | undefined;
  }): HttpEndpoints {
    return new HttpEndpoints(options.agent, options.urlOf);
  }

  engine(id: EndpointId): Engine {
    return this.cached(this.engines, id, HttpEngine.create);
  }

  service(id: EndpointId): PlainService {
    return this.cached(this.services, id, HttpPlainService.create);
  }

  /** A changed address gets a new adapter. */
  private cached<Adapter>(
    adapters: Map<string, Adapter>,
    id: EndpointId,
    create: (options: {url: string; agent: Dispatcher}) => Adapter,
  ): Adapter {
    const url = this.urlOf(id);
    if (url === undefined) throw new EndpointNotDeclaredError(id);
    let adapter = adapters.get(url);
    if (adapter === undefined) {
      adapter = create({url, agent: this.agent});
      adapters.set(url, adapter);
    }
    return adapter;
  }
}

/** Key of the endpoint adapters. */
export const ENDPOINTS = injectionKey<EndpointAdapters>('endpoints');

/** Provides {@link ENDPOINTS}. */
export const endpointsPlugin: Plugin = {
  name: 'endpoints',
  install(kernel) {
    const {state} = kernel.inject(CONFIGURATION);
    kernel.provide(
      ENDPOINTS,
      HttpEndpoints.create({
        agent: kernel.inject(AGENT),
        urlOf: id => state.current.declarations.endpoints[id]?.url,
      }),
    );
  },
};
