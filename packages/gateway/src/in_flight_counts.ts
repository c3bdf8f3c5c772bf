/** What this node has running at each endpoint, for choosing and for the allocator. */

import type {AdapterName, EndpointId, ModelName} from '@siskinmux/kernel';

/** What a request occupies at an endpoint. */
export interface InFlightRequest {
  readonly endpoint: EndpointId;
  readonly model: ModelName | undefined;
  readonly adapter: AdapterName | undefined;
}

/** Requests of this node that run, by endpoint and by model there. */
export class InFlightCounts {
  private readonly byEndpoint = new Map<EndpointId, number>();
  private readonly byModel = new Map<EndpointId, Map<ModelName, number>>();

  private constructor(
    private readonly onChange: (occupation: InFlightRequest) => void,
  ) {}

  /** `onChange` hears of each request that begins or ends at an endpoint. */
  static create(
    onChange: (occupation: InFlightRequest) => void = () => {},
  ): InFlightCounts {
    return new InFlightCounts(onChange);
  }

  /** Requests of this node at an endpoint. */
  at(endpoint: EndpointId): number {
    return this.byEndpoint.get(endpoint) ?? 0;
  }

  /** Requests of this node by endpoint and model, at the endpoints asked for. */
  countsByModel(
    isWanted: (endpoint: EndpointId) => boolean,
  ): {endpoint: EndpointId; model: ModelName; count: number}[] {
    return [...this.byModel].flatMap(([endpoint, models]) =>
      isWanted(endpoint)
        ? [...models].map(([model, count]) => ({endpoint, model, count}))
        : [],
    );
  }

  /** Notes that a request begins; returns what to call once when it has ended. */
  track(occupation: InFlightRequest): () => void {
    this.add(occupation, 1);
    let hasLeft = false;
    return () => {
      if (hasLeft) return;
      hasLeft = true;
      this.add(occupation, -1);
    };
  }

  private add(occupation: InFlightRequest, change: 1 | -1): void {
    const {endpoint, model} = occupation;
    addTo(this.byEndpoint, endpoint, change);
    if (model !== undefined) {
      const models = this.byModel.get(endpoint) ?? new Map<ModelName, number>();
      addTo(models, model, change);
      if (models.size === 0) this.byModel.delete(endpoint);
      else this.byModel.set(endpoint, models);
    }
    this.onChange(occupation);
  }
}

function addTo<Key>(counts: Map<Key, number>, key: Key, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count === 0) counts.delete(key);
  else counts.set(key, count);
}
