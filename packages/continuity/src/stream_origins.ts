/** Remembers at which software version streams began. */

import type {SoftwareVersion} from '@siskinmux/endpoints';
import type {
  Instant,
  Milliseconds,
  RequestId,
  ServiceName,
} from '@siskinmux/kernel';
import {after, earlier} from '@siskinmux/kernel';

/** Longest time for which the origin of a stream is kept. */
export const MAXIMUM_MEMORY_MILLISECONDS: Milliseconds = 60_000;

/** Bound on the streams of one node or, at the lease holder, of all nodes. */
const MAXIMUM_STREAMS = 50_000;

/** Bound on the id of a stream, which callers choose. */
const MAXIMUM_ID_CHARACTERS = 128;

/** Where a stream began; its continuation has to fit. */
export interface StreamOrigin {
  /** The attempt that delivered the first event. */
  readonly stream: RequestId;
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  /** When no caller resumes the stream any more. */
  readonly expiresAt: Instant;
}

/** What is known about a stream; `ambiguous` if streams of several origins have its id. */
export type KnownOrigin = StreamOrigin | 'ambiguous' | undefined;

/** Origins of streams, the oldest of which are dropped beyond a bound. */
export class StreamOrigins {
  private readonly byStream = new Map<
    RequestId,
    {readonly origin: StreamOrigin; readonly isAmbiguous: boolean}
  >();

  private constructor() {}

  static create(): StreamOrigins {
    return new StreamOrigins();
  }

  get size(): number {
    return this.byStream.size;
  }

  /** Adds an origin; one that contradicts a known one makes both unusable. */
  add(added: StreamOrigin, now: Instant): void {
    const {stream} = added;
    if (stream === '' || stream.length > MAXIMUM_ID_CHARACTERS) return;
    const origin = {
      ...added,
      expiresAt: earlier(
        added.expiresAt,
        after(now, MAXIMUM_MEMORY_MILLISECONDS),
      ),
    };
    const known = this.byStream.get(stream);
    const isAmbiguous =
      known !== undefined &&
      (known.isAmbiguous || !isSameOrigin(known.origin, origin));
    this.byStream.delete(stream);
    this.byStream.set(stream, {origin, isAmbiguous});
    this.prune(now);
  }

  get(stream: RequestId, now: Instant): KnownOrigin {
    const known = this.byStream.get(stream);
    if (known === undefined || known.origin.expiresAt <= now) return undefined;
    return known.isAmbiguous ? 'ambiguous' : known.origin;
  }

  /** Origins of a service's streams that callers may still resume. */
  ofService(service: ServiceName, now: Instant): StreamOrigin[] {
    return [...this.byStream.values()].flatMap(({origin}) =>
      origin.service === service && origin.expiresAt > now ? [origin] : [],
    );
  }

  private prune(now: Instant): void {
    for (const [stream, {origin}] of this.byStream) {
      const isDropped =
        origin.expiresAt <= now || this.byStream.size > MAXIMUM_STREAMS;
      if (!isDropped) return;
      this.byStream.delete(stream);
    }
  }
}

function isSameOrigin(left: StreamOrigin, right: StreamOrigin): boolean {
  return left.service === right.service && left.version === right.version;
}
