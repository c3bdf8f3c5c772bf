/** HTTP client of the object service, which sends versions as entity tags. */

import type {
  Clock,
  Instant,
  Milliseconds,
  ObjectVersion,
} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectListing,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  MAXIMUM_VALUE_BYTES,
  PlatformBusyError,
  PlatformUnavailableError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import {z} from 'zod';
import type {HttpAgent} from './http_agent.js';
import {MAXIMUM_RESPONSE_BYTES} from './http_agent.js';
import type {
  BoundedHttpRequest,
  HttpRequest,
  HttpResponse,
} from './http_client.js';
import {deliveryOf, send} from './http_client.js';
import {ProgressDeadline} from './progress_deadline.js';

/**
 * Time allowed for the head of a response, after a watch's wait or the upload of a value, and
 * for each pause in its body.
 */
const RESPONSE_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

/** Mean rate below which a response counts as stalled although bytes arrive. */
const MINIMUM_RESPONSE_BYTES_PER_SECOND = 32_768;

/** Rate at which the upload of a value is assumed to proceed; its progress is not observed. */
const UPLOAD_BYTES_PER_SECOND = 250_000;

const listingSchema = z.array(
  z.object({key: z.string(), version: z.number().int()}),
);

/** Dependencies of {@link HttpObjectService}. */
export interface HttpObjectServiceOptions {
  readonly url: string;
  readonly agent: HttpAgent;
  readonly clock: Clock;
}

/** Implements the object service port over HTTP. */
export class HttpObjectService implements ObjectService {
  private constructor(private readonly options: HttpObjectServiceOptions) {}

  static create(options: HttpObjectServiceOptions): HttpObjectService {
    return new HttpObjectService(options);
  }

  async read(key: string): Promise<StoredObject | undefined> {
    const response = await this.sendRead(
      this.urlOf(key),
      this.responseDeadline(),
      MAXIMUM_VALUE_BYTES,
    );
    return response.status === 404 ? undefined : storedObject(key, response);
  }

  async write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion> {
    const response = await this.sendWrite(key, {
      method: 'PUT',
      url: this.urlOf(key),
      headers: {
        'content-type': 'application/json',
        ...createCondition(expected),
      },
      body: value,
    });
    checkWriteResponse(key, expected, response, value);
    return versionOf(key, response);
  }

  async remove(key: string, expected: ObjectVersion): Promise<void> {
    const response = await this.sendWrite(key, {
      method: 'DELETE',
      url: this.urlOf(key),
      headers: createCondition(expected),
    });
    checkWriteResponse(key, expected, response, '');
  }

  async list(prefix: string): Promise<readonly ObjectListing[]> {
    const url = `${this.options.url}/objects?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.sendRead(
      url,
      this.responseDeadline(),
      MAXIMUM_RESPONSE_BYTES,
    );
    try {
      const listings = listingSchema.parse(JSON.parse(response.body));
      return listings.map(({key, version}) => ({
        key,
        version: as<ObjectVersion>(version),
      }));
    } catch (cause) {
      throw new PlatformUnavailableError(`list ${prefix}`, {cause});
    }
  }

  async watch(
    key: string,
    afterVersion: ExpectedVersion,
    waitUntil: Instant,
  ): Promise<StoredObject | undefined> {
    const version = afterVersion === 'absent' ? 0 : afterVersion;
    const url = `${this.urlOf(key)}?watch_after=${version}&wait_until=${waitUntil}`;
    const headUntil = after(waitUntil, RESPONSE_TIMEOUT_MILLISECONDS);
    const response = await this.sendRead(url, headUntil, MAXIMUM_VALUE_BYTES);
    return response.status === 204 ? undefined : storedObject(key, response);
  }

  private async sendRead(
    url: string,
    headUntil: Instant,
    maximumResponseBytes: number,
  ): Promise<HttpResponse> {
    let response: HttpResponse;
    try {
      response = await this.sendUntil(
        {method: 'GET', url, maximumResponseBytes},
        headUntil,
      );
    } catch (cause) {
      throw new PlatformUnavailableError(url, {cause});
    }
    if (response.status === 429) throw new PlatformBusyError(url);
    if (response.status >= 500) {
      throw new PlatformUnavailableError(`${url}: status ${response.status}`);
    }
    return response;
  }

  private async sendWrite(
    key: string,
    request: HttpRequest,
  ): Promise<HttpResponse> {
    const uploadBytes = Buffer.byteLength(request.body ?? '');
    const headUntil = after(
      this.responseDeadline(),
      (uploadBytes * 1_000) / UPLOAD_BYTES_PER_SECOND,
    );
    try {
      return await this.sendUntil(
        {...request, maximumResponseBytes: MAXIMUM_VALUE_BYTES},
        headUntil,
      );
    } catch (cause) {
      if (deliveryOf(cause) === 'not_sent') {
        throw new PlatformUnavailableError(key, {cause});
      }
      throw new WriteOutcomeUnknownError(key, {cause});
    }
  }

  private async sendUntil(
    request: BoundedHttpRequest,
    headUntil: Instant,
  ): Promise<HttpResponse> {
    const {agent, clock} = this.options;
    const abort = new AbortController();
    const deadline = ProgressDeadline.create({
      clock,
      headUntil,
      stallMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
      minimumBytesPerSecond: MINIMUM_RESPONSE_BYTES_PER_SECOND,
      onExpired: () => abort.abort(),
    });
    try {
      return await send(agent, {
        ...request,
        signal: abort.signal,
        onProgress: receivedBytes => deadline.recordProgress(receivedBytes),
      });
    } finally {
      deadline.cancel();
    }
  }

  private responseDeadline(): Instant {
    return after(this.options.clock.now(), RESPONSE_TIMEOUT_MILLISECONDS);
  }

  private urlOf(key: string): string {
    return `${this.options.url}/objects/${encodeURIComponent(key)}`;
  }
}

function createCondition(expected: ExpectedVersion): Record<string, string> {
  return expected === 'absent'
    ? {'if-none-match': '*'}
    : {'if-match': `"${expected}"`};
}

function checkWriteResponse(
  key: string,
  expected: ExpectedVersion,
  response: HttpResponse,
  value: string,
): void {
  if (response.status === 412) throw new VersionConflictError(key, expected);
  if (response.status === 413) {
    throw new ValueTooLargeError(key, Buffer.byteLength(value));
  }
  if (response.status === 429) throw new PlatformBusyError(key);
  if (response.status >= 300) throw new WriteOutcomeUnknownError(key);
}

function storedObject(key: string, response: HttpResponse): StoredObject {
  return {key, version: versionOf(key, response), value: response.body};
}

function versionOf(key: string, response: HttpResponse): ObjectVersion {
  const version = Number(String(response.headers['etag']).replaceAll('"', ''));
  if (!Number.isInteger(version)) {
    throw new PlatformUnavailableError(`${key}: no version in the answer`);
  }
  return as<ObjectVersion>(version);
}
