/**
 * The allocator's view of one engine. It counts whatever may occupy memory there: an order
 * without a response, an adapter that is being loaded, and an unload in progress.
 */

import type {
  EndpointDescription,
  Incarnation,
  SoftwareVersion,
} from '@siskinmux/endpoints';
import type {
  AdapterName,
  EndpointId,
  FailureDomain,
  Instant,
  Milliseconds,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import type {EngineDeclaration, WeightTier} from '@siskinmux/routes';
import type {EngineReport} from './engine_order_client.js';

/**
 * State of a model on an engine; it occupies memory in every state. `closing`: draining;
 * nodes may no longer use it, and it is unloaded once it is idle.
 */
export type ModelState = 'loading' | 'ready' | 'closing' | 'unloading';

/** An adapter that is loaded on an engine, or being loaded or unloaded. */
export interface PlacedAdapter {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  /** `arriving`: being loaded. `leaving`: being unloaded. */
  state: 'arriving' | 'ready' | 'leaving';
  /** When requests may first be sent. */
  usableAt: Instant;
  /** End of the latest grant to nodes. */
  grantedUntil: Instant;
}

/** A model that is loaded on an engine, or being loaded or unloaded. */
export interface PlacedModel {
  readonly model: ModelName;
  state: ModelState;
  /** When it entered this state. */
  since: Instant;
  /** When its load is expected to end. */
  readyAt: Instant;
}

/** View of one run of an engine; a restarted engine gets a new view. */
export class EngineView {
  readonly models = new Map<ModelName, PlacedModel>();
  readonly adapters = new Map<string, PlacedAdapter>();
  /** Models whose weights the engine can load from a copy in its memory or on its disk. */
  readonly inMemory = new Set<ModelName>();
  readonly onDisk = new Set<ModelName>();
  /**
   * Orders that the engine has accepted since its start; undefined until a report was
   * read.
   */
  orderCount: number | undefined;
  /**
   * The model that the change in progress loads, and the earliest time at which it is
   * ready; undefined if no change is in progress.
   */
  pendingLoad:
    {readonly model: ModelName; readonly readyAt: Instant} | undefined;
  isDraining: boolean;
  /** Requests a second that the engine takes from all nodes; undefined if it names no limit. */
  requestLimit: number | undefined;
  /** Mean gap between two events of a stream; undefined if too few were measured recently. */
  eventGapMilliseconds: Milliseconds | undefined;
  /** Whether the engine carries out an order that this lease holder did not send. */
  hasUnknownOrder = false;
  /** Whether permits under the limit are left unused. */
  hasUnusedPermits = false;

  private constructor(
    readonly id: EndpointId,
    readonly address: string,
    readonly service: ServiceName,
    readonly incarnation: Incarnation,
    readonly softwareVersion: SoftwareVersion | undefined,
    readonly failureDomain: FailureDomain,
    readonly slots: number,
    isDraining: boolean,
  ) {
    this.isDraining = isDraining;
  }

  static create(description: EndpointDescription): EngineView {
    const {id, address, service, incarnation, failureDomain} = description;
    return new EngineView(
      id,
      address,
      service,
      incarnation,
      description.softwareVersion,
      failureDomain,
      description.slots,
      description.isDraining,
    );
  }

  /**
   * Whether a change can be planned: the state is known, the engine isn't draining, and
   * no change is in progress.
   */
  get canPlanChange(): boolean {
    return (
      !this.isDraining && !this.isChanging && this.orderCount !== undefined
    );
  }

  /** Location of the nearest copy of a model's weights. */
  nearestWeightTier(model: ModelName): WeightTier {
    if (this.inMemory.has(model)) return 'memory';
    return this.onDisk.has(model) ? 'disk' : 'store';
  }

  /** Whether a change of models is in progress. */
  get isChanging(): boolean {
    return this.pendingLoad !== undefined;
  }

  /** Free weight memory, assuming the maximum number of adapters of the largest size. */
  freeMegabytes(declaration: EngineDeclaration): number {
    let free = declaration.weightCapacityMegabytes;
    let largestAdapter = 0;
    for (const model of declaration.models.values()) {
      largestAdapter = Math.max(largestAdapter, model.adapterMegabytes);
    }
    free -= declaration.maximumAdapters * largestAdapter;
    for (const {model} of this.models.values()) {
      // The size of a model that is no longer declared is unknown: it counts as the whole
      // memory.
      free -=
        declaration.models.get(model)?.weightsMegabytes ??
        declaration.weightCapacityMegabytes;
    }
    return free;
  }

  /** Whether nodes hold a grant for any adapter of this engine. */
  hasGrantedAdapters(now: Instant): boolean {
    for (const {grantedUntil} of this.adapters.values()) {
      if (grantedUntil > now) return true;
    }
    return false;
  }

  /** Whether a model accepts requests. */
  isReady(model: ModelName): boolean {
    return this.models.get(model)?.state === 'ready';
  }

  /**
   * Replaces the models, adapters and order count by those of the engine's report; grants
   * stay.
   */
  applyReport(report: EngineReport, now: Instant): void {
    this.orderCount = report.orderCount;
    this.hasUnknownOrder = false;
    this.models.clear();
    const previous = new Map(this.adapters);
    this.adapters.clear();
    for (const {model, adapters} of report.models) {
      this.models.set(model, {model, state: 'ready', since: now, readyAt: now});
      for (const adapter of adapters) {
        this.addAdapter(model, adapter, 'ready', now);
      }
    }
    for (const {model, adapter} of report.loadingAdapters) {
      this.addAdapter(model, adapter, 'arriving', now);
    }
    for (const [key, placed] of this.adapters) {
      placed.grantedUntil =
        previous.get(key)?.grantedUntil ?? placed.grantedUntil;
    }
    if (report.copies !== undefined) this.replaceCopies(report.copies);
  }

  /** Replaces the local copies of weights that the engine has. */
  replaceCopies(copies: {
    inMemory: readonly ModelName[];
    onDisk: readonly ModelName[];
  }): void {
    this.inMemory.clear();
    this.onDisk.clear();
    for (const model of copies.inMemory) this.inMemory.add(model);
    for (const model of copies.onDisk) this.onDisk.add(model);
  }

  /** Adds an adapter, which counts toward the maximum from now on. */
  addAdapter(
    model: ModelName,
    adapter: AdapterName,
    state: PlacedAdapter['state'],
    usableAt: Instant,
  ): PlacedAdapter {
    const placed = {model, adapter, state, usableAt, grantedUntil: usableAt};
    this.adapters.set(adapterKey(model, adapter), placed);
    return placed;
  }

  /** Removes a model with its adapters. */
  removeModel(model: ModelName): void {
    this.models.delete(model);
    for (const [key, placed] of this.adapters) {
      if (placed.model === model) this.adapters.delete(key);
    }
  }
}

/** Key of an adapter in {@link EngineView.adapters}. */
export function adapterKey(model: ModelName, adapter: AdapterName): string {
  return `${model}/${adapter}`;
}
