/** A simulated host list that shows changes after a lag. */

import type {Clock, HostId, Instant} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {HostList, ListedHost} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';

interface PendingChange {
  readonly visibleAt: Instant;
  readonly apply: (visibleHosts: Map<HostId, ListedHost>) => void;
}

/** Implements the host list port in process. */
export class HostListStandIn implements HostList {
  /** Whether calls fail as during an outage of the platform. */
  isDown = false;
  private readonly visibleHosts = new Map<HostId, ListedHost>();
  private readonly pendingChanges: PendingChange[] = [];

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
    while ((this.pendingChanges[0]?.visibleAt ?? Infinity) <= now) {
      this.pendingChanges.shift()?.apply(this.visibleHosts);
    }
    return [...this.visibleHosts.values()];
  }

  /** Adds or updates a host; visible after the lag. */
  set(host: ListedHost): void {
    this.scheduleChange(visibleHosts => visibleHosts.set(host.id, host));
  }

  /** Removes a host; visible after the lag. */
  remove(id: HostId): void {
    this.scheduleChange(visibleHosts => visibleHosts.delete(id));
  }

  private scheduleChange(
    apply: (visibleHosts: Map<HostId, ListedHost>) => void,
  ): void {
    const visibleAt = after(this.clock.now(), this.lagMilliseconds);
    this.pendingChanges.push({visibleAt, apply});
  }
}
