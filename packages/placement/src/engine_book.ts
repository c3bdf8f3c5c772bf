/**
 * What the allocator believes of one engine. Counts what may be there rather than what
 * should be: an order without an answer, an adapter on its way and an unload that has
 * not ended all take room.
 */

import type {
  AdapterName,
  EndpointId,
  FailureDomain,
  Instant,
  ModelName,
  ServiceName,
} from '@siskinmux/kernel';
import type {EndpointDescription, Incarnation} from '@siskinmux/endpoints';
import type {EngineDeclaration, WeightTier} from '@siskinmux/routes';
import type {EngineReport} from './engine_orders.js';

/** How far a model is; it takes room in every state. */
export type ModelState = 'loading' | 'ready' | 'closing' | 'unloading';

/** An adapter that is at an engine or on its way. */
export interface AdapterPlace {
  readonly model: ModelName;
  readonly adapter: AdapterName;
  state: 'arriving' | 'ready' | 'leaving';
  /** When requests may be sent. */
  usableAt: Instant;
  /** Until when nodes were told that they may use it. */
  grantedUntil: Instant;
}

/** A model at an engine. */
export interface ModelPlace {
  readonly model: ModelName;
  state: ModelState;
  /** When it came into this state. */
  since: Instant;
  /** When a load is expected to end. */
  readyAt: Instant;
}

/** One life of one engine. */
export class EngineBook {
  readonly models = new Map<ModelName, ModelPlace>();
  readonly adapters = new Map<string, AdapterPlace>();
  readonly inMemory = new Set<ModelName>();
  readonly onDisk = new Set<ModelName>();
  /** Orders accepted in this life; undefined until a report was read. */
  orderCount: number | undefined;
  /** The model that a change under way brings, and when at best; undefined without one. */
  incoming: {readonly model: ModelName; readonly readyAt: Instant} | undefined;
  isDraining: boolean;

  private constructor(
    readonly id: EndpointId,
    readonly address: string,
    readonly service: ServiceName,
    readonly incarnation: Incarnation,
    readonly failureDomain: FailureDomain,
    readonly slots: number,
    isDraining: boolean,
  ) {
    this.isDraining = isDraining;
  }

  static create(description: EndpointDescription): EngineBook {
    const {id, address, service, incarnation, failureDomain} = description;
    return new EngineBook(
      id,
      address,
      service,
      incarnation,
      failureDomain,
      description.slots,
      description.isDraining,
    );
  }

  /** Whether orders can be planned: the engine is known, stays, and has none under way. */
  get isOperable(): boolean {
    return (
      !this.isDraining && !this.isChanging && this.orderCount !== undefined
    );
  }

  /** The nearest copy of a model's weights. */
  tierOf(model: ModelName): WeightTier {
    if (this.inMemory.has(model)) return 'memory';
    return this.onDisk.has(model) ? 'disk' : 'store';
  }

  /** Whether a change of models is under way. */
  get isChanging(): boolean {
    return this.incoming !== undefined;
  }

  /** Room that is surely free, in megabytes, with every place for adapters filled. */
  freeMegabytes(declaration: EngineDeclaration): number {
    let free = declaration.weightCapacityMegabytes;
    let largestAdapter = 0;
    for (const model of declaration.models.values()) {
      largestAdapter = Math.max(largestAdapter, model.adapterMegabytes);
    }
    free -= declaration.maximumAdapters * largestAdapter;
    for (const {model} of this.models.values()) {
      // A model that is not declared any more still takes room of unknown size.
      free -=
        declaration.models.get(model)?.weightsMegabytes ??
        declaration.weightCapacityMegabytes;
    }
    return free;
  }

  /** Whether nodes were told that they may use some adapter here. */
  hasGrantedAdapters(now: Instant): boolean {
    for (const {grantedUntil} of this.adapters.values()) {
      if (grantedUntil > now) return true;
    }
    return false;
  }

  /** Whether a model takes requests. */
  isReady(model: ModelName): boolean {
    return this.models.get(model)?.state === 'ready';
  }

  /** Takes over what the engine says of itself, before the first order of this holder. */
  adopt(report: EngineReport, now: Instant): void {
    this.orderCount = report.orderCount;
    this.models.clear();
    const before = new Map(this.adapters);
    this.adapters.clear();
    for (const {model, adapters} of report.models) {
      this.models.set(model, {model, state: 'ready', since: now, readyAt: now});
      for (const adapter of adapters) {
        this.putAdapter(model, adapter, 'ready', now);
      }
    }
    for (const {model, adapter} of report.loadingAdapters) {
      this.putAdapter(model, adapter, 'arriving', now);
    }
    for (const [key, place] of this.adapters) {
      place.grantedUntil = before.get(key)?.grantedUntil ?? place.grantedUntil;
    }
    if (report.copies !== undefined) this.takeCopies(report.copies);
  }

  /** Takes over which copies the engine has. */
  takeCopies(copies: {
    inMemory: readonly ModelName[];
    onDisk: readonly ModelName[];
  }): void {
    this.inMemory.clear();
    this.onDisk.clear();
    for (const model of copies.inMemory) this.inMemory.add(model);
    for (const model of copies.onDisk) this.onDisk.add(model);
  }

  /** Notes an adapter that takes a place from now on. */
  putAdapter(
    model: ModelName,
    adapter: AdapterName,
    state: AdapterPlace['state'],
    usableAt: Instant,
  ): AdapterPlace {
    const place = {model, adapter, state, usableAt, grantedUntil: usableAt};
    this.adapters.set(adapterKey(model, adapter), place);
    return place;
  }

  /** Drops a model with its adapters. */
  dropModel(model: ModelName): void {
    this.models.delete(model);
    for (const [key, place] of this.adapters) {
      if (place.model === model) this.adapters.delete(key);
    }
  }
}

/** Key of an adapter at an engine. */
export function adapterKey(model: ModelName, adapter: AdapterName): string {
  return `${model}/${adapter}`;
}
