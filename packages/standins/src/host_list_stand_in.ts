/** A host list that shows changes late. */

import type {Clock, HostId, Instant} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {HostList, ListedHost} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';

interface Change {
  readonly shownAt: Instant;
  readonly apply: (shown: Map<HostId, ListedHost>) => void;
}

/** Hosts as the platform lists them. */
export class HostListStandIn implements HostList {
  isDown = false;
  private readonly shown = new Map<HostId, ListedHost>();
  private readonly changes: Change[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly lagMilliseconds: number,
  ) {}

  static create(options: {
    clock: Clock;
    lagMilliseconds: number;
  }): HostListStandIn {
    return new HostListStandIn(options.clock, options.lagMilliseconds);
  }

  async hosts(): Promise<readonly ListedHost[]> {
    if (this.isDown) throw new PlatformUnavailableError('host list');
    const now = this.clock.now();
    while ((this.changes[0]?.shownAt ?? Infinity) <= now) {
      this.changes.shift()?.apply(this.shown);
    }
    return [...this.shown.values()];
  }

  /** Lists a host, or changes its state, after the lag. */
  set(host: ListedHost): void {
    this.change(shown => shown.set(host.id, host));
  }

  /** Takes a host off the list, after the lag. */
  remove(id: HostId): void {
    this.change(shown => shown.delete(id));
  }

  private change(apply: (shown: Map<HostId, ListedHost>) => void): void {
    const shownAt = after(this.clock.now(), this.lagMilliseconds);
    this.changes.push({shownAt, apply});
  }
}
