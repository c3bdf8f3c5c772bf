/**
 * How much runs at each endpoint over all nodes, as the lease's holder tells it. With
 * many nodes each knows of a small part only, and its own requests say next to nothing.
 */

import type {Clock, EndpointId, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {LoadBook} from './load_book.js';

/** Age from which the figures say nothing any more; three are told in that time. */
const LIFETIME_MILLISECONDS: Milliseconds = 1_000;

/** Requests at one endpoint, as they travel. */
export type EndpointLoad = [endpoint: string, requests: number];

interface Told {
  readonly total: number;
  /** This node's part when the figure came. */
  readonly own: number;
}

/** The figures told last. */
export class ClusterLoad {
  private told = new Map<string, Told>();
  private expiresAt: Instant | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly load: LoadBook,
  ) {}

  static create(options: {clock: Clock; load: LoadBook}): ClusterLoad {
    return new ClusterLoad(options.clock, options.load);
  }

  /** Whether the figures are recent. */
  get isKnown(): boolean {
    return this.expiresAt !== undefined && this.clock.now() < this.expiresAt;
  }

  /** Takes over figures; endpoints that they lack run nothing. */
  update(loads: readonly EndpointLoad[]): void {
    this.expiresAt = after(this.clock.now(), LIFETIME_MILLISECONDS);
    this.told = new Map(
      loads.map(([endpoint, total]) => [
        endpoint,
        {total, own: this.load.at(endpoint as EndpointId)},
      ]),
    );
  }

  /** Requests at an endpoint, with what this node has begun and ended since. */
  at(endpoint: EndpointId): number {
    const {total, own} = this.told.get(endpoint) ?? {total: 0, own: 0};
    return Math.max(0, total + this.load.at(endpoint) - own);
  }
}
