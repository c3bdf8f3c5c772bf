/**
 * Endpoints that reject a request and ask this node for no more before a given time, as far as
 * their responses say so. Other nodes get answers of their own, so they aren't told.
 */

import type {
  EndpointDescription,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {ResponseHead} from '@siskinmux/forwarding';
import type {
  Clock,
  EmitEvent,
  Instant,
  Milliseconds,
  ServiceName,
} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import {ENDPOINT_PAUSED, ENDPOINT_PAUSE_INVALID} from './gateway_events.js';

/** Longest pause that is kept; an endpoint that needs a longer one asks again. */
const MAXIMUM_PAUSE_MILLISECONDS: Milliseconds = 30_000;

/** Bound on the known pauses; the one that was asked for first is dropped. */
const MAXIMUM_KNOWN_PAUSES = 2_000;

/** An endpoint that wants no request of this node now. */
export interface EndpointPause {
  /** As it was listed when it asked for the pause. */
  readonly endpoint: EndpointDescription;
  readonly endsAt: Instant;
}

/** Dependencies of {@link EndpointPauses}. */
export interface EndpointPausesOptions {
  readonly clock: Clock;
  readonly emit: EmitEvent;
}

/** Until when each endpoint wants no request of this node. */
export class EndpointPauses {
  private readonly pauses = new Map<Incarnation, EndpointPause>();
  /** The last invalid value of each endpoint, which is logged once. */
  private readonly invalidTexts = new Map<Incarnation, string>();

  private constructor(private readonly options: EndpointPausesOptions) {}

  static create(options: EndpointPausesOptions): EndpointPauses {
    return new EndpointPauses(options);
  }

  /** End of the pause of a run of an endpoint; undefined if there is none now. */
  endOf(incarnation: Incarnation): Instant | undefined {
    const endsAt = this.pauses.get(incarnation)?.endsAt;
    return endsAt !== undefined && endsAt > this.options.clock.now()
      ? endsAt
      : undefined;
  }

  /** All pauses in a service, in the order of their ends. */
  ofService(service: ServiceName): readonly EndpointPause[] {
    const now = this.options.clock.now();
    for (const [incarnation, {endsAt}] of this.pauses)
      if (endsAt <= now) this.pauses.delete(incarnation);
    return [...this.pauses.values()]
      .filter(({endpoint}) => endpoint.service === service)
      .sort((left, right) => left.endsAt - right.endsAt);
  }

  /** Reads a response; the later of two ends applies. */
  recordResponse(
    endpoint: EndpointDescription,
    {metadata: {pause}}: ResponseHead,
  ): void {
    const {id, incarnation} = endpoint;
    const {clock, emit} = this.options;
    if (pause.kind === 'none') return;
    if (pause.kind === 'invalid') {
      const {text} = pause;
      if (this.invalidTexts.get(incarnation) === text) return;
      remember(this.invalidTexts, incarnation, text);
      emit(ENDPOINT_PAUSE_INVALID, {endpoint: id, life: incarnation, text});
      return;
    }
    const milliseconds = Math.min(
      pause.milliseconds,
      MAXIMUM_PAUSE_MILLISECONDS,
    );
    const endsAt = after(clock.now(), milliseconds);
    const known = this.endOf(incarnation);
    if (known !== undefined && known >= endsAt) return;
    remember(this.pauses, incarnation, {endpoint, endsAt});
    if (known !== undefined) return;
    emit(ENDPOINT_PAUSED, {
      endpoint: id,
      life: incarnation,
      asked: Math.round(pause.milliseconds),
      kept: Math.round(milliseconds),
    });
  }

  /** Drops what is known about endpoints that have ended. */
  applyEndpointChanges(changes: readonly EndpointTableChange[]): void {
    for (const {before, now} of changes) {
      if (before === undefined || before.incarnation === now?.incarnation)
        continue;
      this.pauses.delete(before.incarnation);
      this.invalidTexts.delete(before.incarnation);
    }
  }
}

function remember<Value>(
  known: Map<Incarnation, Value>,
  incarnation: Incarnation,
  value: Value,
): void {
  known.delete(incarnation);
  known.set(incarnation, value);
  if (known.size <= MAXIMUM_KNOWN_PAUSES) return;
  const [oldest] = known.keys();
  if (oldest !== undefined) known.delete(oldest);
}
