/** Provides the adapters through which the node calls its declared endpoints. */

import type {EndpointId, Plugin} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, injectionKey} from '@siskinmux/kernel';
import type {HttpAgent} from '@siskinmux/adapters';
import {HttpEngine, HttpPlainService} from '@siskinmux/adapters';
import type {Engine, PlainService} from '@siskinmux/ports';
import {CONFIGURATION} from './configuration_task.js';
import {ENDPOINT_AGENT} from './platform.js';

/** The endpoint is not, or no longer, declared. */
export class EndpointNotDeclaredError extends SiskinmuxError {
  constructor(id: EndpointId) {
    super(ErrorCode.NoEndpoint, `${id} is not declared`);
  }
}

/** Looks up the adapter of an endpoint. */
export interface EndpointAdapters {
  /** Adapter of an engine. Throws {@link EndpointNotDeclaredError}. */
  engine(id: EndpointId): Engine;
  /** Adapter of an instance of a plain service. Throws {@link EndpointNotDeclaredError}. */
  service(id: EndpointId): PlainService;
}

/** HTTP adapters of the endpoints, created on first use. */
export class HttpEndpointAdapters implements EndpointAdapters {
  private readonly engines = new Map<string, Engine>();
  private readonly services = new Map<string, PlainService>();

  private constructor(
    private readonly agent: HttpAgent,
    private readonly urlOf: (id: EndpointId) => string | undefined,
  ) {}

  static create(options: {
    agent: HttpAgent;
    urlOf: (id: EndpointId) => string | undefined;
  }): HttpEndpointAdapters {
    return new HttpEndpointAdapters(options.agent, options.urlOf);
  }

  engine(id: EndpointId): Engine {
    return this.cachedAdapter(this.engines, id, HttpEngine.create);
  }

  service(id: EndpointId): PlainService {
    return this.cachedAdapter(this.services, id, HttpPlainService.create);
  }

  /** Adapters are cached by URL, so that an endpoint with a changed URL gets a new one. */
  private cachedAdapter<Adapter>(
    adapters: Map<string, Adapter>,
    id: EndpointId,
    create: (options: {url: string; agent: HttpAgent}) => Adapter,
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

/** Injection key of the endpoint adapters. */
export const ENDPOINTS = injectionKey<EndpointAdapters>('endpoints');

/** Provides {@link ENDPOINTS}. */
export const endpointsPlugin: Plugin = {
  name: 'endpoints',
  install(kernel) {
    const {state} = kernel.inject(CONFIGURATION);
    kernel.provide(
      ENDPOINTS,
      HttpEndpointAdapters.create({
        agent: kernel.inject(ENDPOINT_AGENT),
        urlOf: id => state.current.declarations.endpoints[id]?.url,
      }),
    );
  },
};
