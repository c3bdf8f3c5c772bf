/** Which requests a node that stops still begins: those that are likely to end before it does. */

import type {Clock, Instant, Milliseconds} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Route, RouteName} from '@siskinmux/routes';
import {isRetryable} from '@siskinmux/routes';

/** Latest requests of a route whose durations are remembered. */
const REMEMBERED_REQUESTS = 32;

/** Bound on the routes whose durations are remembered; the first one is dropped. */
const MAXIMUM_ROUTES = 1_000;

/** How long requests take by route, and when the process ends. */
export class StopWindow {
  private endsAt: Instant | undefined;
  private readonly durations = new Map<RouteName, Milliseconds[]>();

  private constructor(private readonly clock: Clock) {}

  static create(options: {clock: Clock}): StopWindow {
    return new StopWindow(options.clock);
  }

  /** Records how long a request took that was served. */
  recordServed(route: RouteName, milliseconds: Milliseconds): void {
    const durations = this.durations.get(route) ?? [];
    durations.push(milliseconds);
    if (durations.length > REMEMBERED_REQUESTS) durations.shift();
    this.durations.set(route, durations);
    const [first] = this.durations.keys();
    if (this.durations.size > MAXIMUM_ROUTES && first !== undefined)
      this.durations.delete(first);
  }

  /** Requests that are still open at `endsAt` will be cut. */
  close(endsAt: Instant): void {
    this.endsAt = endsAt;
  }

  /**
   * Whether a request that begins now is likely to end in time. One that may run once, and would
   * be lost, has time if the longest of late did; one that can go on elsewhere, if most did.
   */
  hasTimeFor(route: Route): boolean {
    if (this.endsAt === undefined) return true;
    const durations = [...(this.durations.get(route.name) ?? [])].sort(
      (left, right) => left - right,
    );
    const expected = isRetryable(route)
      ? durations[Math.floor(durations.length / 2)]
      : durations.at(-1);
    return after(this.clock.now(), expected ?? 0) < this.endsAt;
  }
}
