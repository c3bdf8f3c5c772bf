/** Counts this node's in-flight requests, for endpoint choice and for the allocator. */

import type {AdapterName, EndpointId, ModelName} from '@siskinmux/kernel';

/** Where a request is in flight. */
export interface InFlightRequest {
  readonly endpoint: EndpointId;
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
}

/** In-flight requests of this node, by endpoint and by model. */
export class InFlightCounts {
  private readonly byEndpoint = new Map<EndpointId, number>();
  private readonly byModel = new Map<EndpointId, Map<ModelName, number>>();

  private constructor(
    private readonly onChange: (request: InFlightRequest) => void,
  ) {}

  /** `onChange` is called when a request begins or ends. */
  static create(
    onChange: (request: InFlightRequest) => void = () => {},
  ): InFlightCounts {
    return new InFlightCounts(onChange);
  }

  /** This node's requests at an endpoint. */
  at(endpoint: EndpointId): number {
    return this.byEndpoint.get(endpoint) ?? 0;
  }

  /** This node's requests by endpoint and model, at the endpoints that match. */
  countsByModel(
    matches: (endpoint: EndpointId) => boolean,
  ): {endpoint: EndpointId; model: ModelName; count: number}[] {
    return [...this.byModel].flatMap(([endpoint, models]) =>
      matches(endpoint)
        ? [...models].map(([model, count]) => ({endpoint, model, count}))
        : [],
    );
  }

  /** Counts a request until the returned function is called; repeated calls do nothing. */
  track(request: InFlightRequest): () => void {
    this.add(request, 1);
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.add(request, -1);
    };
  }

  private add(request: InFlightRequest, change: 1 | -1): void {
    const {endpoint, model} = request;
    addTo(this.byEndpoint, endpoint, change);
    if (model !== undefined) {
      const models = this.byModel.get(endpoint) ?? new Map<ModelName, number>();
      addTo(models, model, change);
      if (models.size === 0) this.byModel.delete(endpoint);
      else this.byModel.set(endpoint, models);
    }
    this.onChange(request);
  }
}

function addTo<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}
