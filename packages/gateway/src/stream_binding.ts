/** Binds one request's stream to the software version that delivered its first event. */

import type {StreamContinuity} from '@siskinmux/continuity';
import type {
  EndpointDescription,
  VersionRequirement,
} from '@siskinmux/endpoints';
import {ANY_VERSION} from '@siskinmux/endpoints';
import type {RequestMetadata} from '@siskinmux/forwarding';
import type {Instant, Milliseconds, ServiceName} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {Route} from '@siskinmux/routes';

/** Time beyond a caller's deadline for which the origin of its stream is kept. */
const RESUMPTION_MARGIN_MILLISECONDS: Milliseconds = 1_000;

/** Streams of two versions are not compatible, so one has to deliver all events of a stream. */
export class StreamBinding {
  private version: VersionRequirement = ANY_VERSION;

  private constructor(
    private readonly continuity: StreamContinuity,
    private readonly route: Route,
    private readonly metadata: RequestMetadata,
    private readonly receivedAt: Instant,
  ) {}

  static create(
    continuity: StreamContinuity,
    route: Route,
    metadata: RequestMetadata,
    receivedAt: Instant,
  ): StreamBinding {
    return new StreamBinding(continuity, route, metadata, receivedAt);
  }

  /** Which endpoints the request may be sent to. */
  get requirement(): VersionRequirement {
    return this.version;
  }

  /**
   * Binds a stream that the caller resumes to the version of its origin. Throws a
   * `RefusalError` if that isn't known.
   */
  async requireOrigin(
    service: ServiceName,
    deadline: Instant,
    signal: AbortSignal,
  ): Promise<void> {
    const {id, resumes: stream, resumeAfter} = this.metadata;
    const isResumed = stream !== undefined || resumeAfter !== undefined;
    if (!isResumed || this.route.kind !== 'stream') return;
    this.version = await this.continuity.requirementOf(
      {id, stream, service, deadline},
      signal,
    );
  }

  /** Called when events of an endpoint have been passed on; the first call binds the stream. */
  bind(endpoint: EndpointDescription): void {
    if (this.version.kind === 'only') return;
    this.version = {kind: 'only', version: endpoint.softwareVersion};
    if (!this.route.isResumable) return;
    const {id, timeoutMilliseconds} = this.metadata;
    const expiresAt = after(
      this.receivedAt,
      (timeoutMilliseconds ?? this.route.timeoutMilliseconds) +
        RESUMPTION_MARGIN_MILLISECONDS,
    );
    this.continuity.recordStart(id, endpoint, expiresAt);
  }
}
