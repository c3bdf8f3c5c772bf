/** The object service over HTTP: entity tags are versions. */

import type {Clock, Instant, ObjectVersion} from '@siskinmux/kernel';
import {after, as} from '@siskinmux/kernel';
import type {
  ExpectedVersion,
  ObjectListing,
  ObjectService,
  StoredObject,
} from '@siskinmux/ports';
import {
  PlatformBusyError,
  PlatformUnavailableError,
  ValueTooLargeError,
  VersionConflictError,
  WriteOutcomeUnknownError,
} from '@siskinmux/ports';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import type {HttpResponse, HttpRequest} from './http_client.js';
import {deliveryOf, send} from './http_client.js';

/** Time after which a call counts as unanswered. */
const CALL_TIMEOUT_MILLISECONDS = 2_000;

const listingSchema = z.array(
  z.object({key: z.string(), version: z.number().int()}),
);

/** What the adapter needs from its surroundings. */
export interface HttpObjectServiceOptions {
  readonly url: string;
  readonly agent: Dispatcher;
  readonly clock: Clock;
}

/** Adapter of the object service port. */
export class HttpObjectService implements ObjectService {
  private constructor(private readonly options: HttpObjectServiceOptions) {}

  static create(options: HttpObjectServiceOptions): HttpObjectService {
    return new HttpObjectService(options);
  }

  async read(key: string): Promise<StoredObject | undefined> {
    const answer = await this.readCall(this.urlOf(key), this.soon());
    return answer.status === 404 ? undefined : storedObject(key, answer);
  }

  async write(
    key: string,
    value: string,
    expected: ExpectedVersion,
  ): Promise<ObjectVersion> {
    const answer = await this.writeCall(key, {
      method: 'PUT',
      url: this.urlOf(key),
      headers: {'content-type': 'application/json', ...condition(expected)},
      body: value,
    });
    checkWritten(key, expected, answer, value);
    return versionOf(key, answer);
  }

  async remove(key: string, expected: ObjectVersion): Promise<void> {
    const answer = await this.writeCall(key, {
      method: 'DELETE',
      url: this.urlOf(key),
      headers: condition(expected),
    });
    checkWritten(key, expected, answer, '');
  }

  async list(prefix: string): Promise<readonly ObjectListing[]> {
    const url = `${this.options.url}/objects?prefix=${encodeURIComponent(prefix)}`;
    const answer = await this.readCall(url, this.soon());
    try {
      const rows = listingSchema.parse(JSON.parse(answer.body));
      return rows.map(({key, version}) => ({
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
    const from = afterVersion === 'absent' ? 0 : afterVersion;
    const url = `${this.urlOf(key)}?watch_after=${from}&wait_until=${waitUntil}`;
    const giveUpAt = after(waitUntil, CALL_TIMEOUT_MILLISECONDS);
    const answer = await this.readCall(url, giveUpAt);
    return answer.status === 204 ? undefined : storedObject(key, answer);
  }

  private async readCall(url: string, until: Instant): Promise<HttpResponse> {
    let answer: HttpResponse;
    try {
      answer = await this.sendUntil({method: 'GET', url}, until);
    } catch (cause) {
      throw new PlatformUnavailableError(url, {cause});
    }
    if (answer.status === 429) throw new PlatformBusyError(url);
    if (answer.status >= 500) {
      throw new PlatformUnavailableError(`${url}: status ${answer.status}`);
    }
    return answer;
  }

  private async writeCall(
    key: string,
    call: HttpRequest,
  ): Promise<HttpResponse> {
    try {
      return await this.sendUntil(call, this.soon());
    } catch (cause) {
      if (deliveryOf(cause) === 'not_sent') {
        throw new PlatformUnavailableError(key, {cause});
      }
      throw new WriteOutcomeUnknownError(key, {cause});
    }
  }

  private async sendUntil(
    call: HttpRequest,
    until: Instant,
  ): Promise<HttpResponse> {
    const abort = new AbortController();
    const cancel = this.options.clock.schedule(until, () => abort.abort());
    try {
      return await send(this.options.agent, {...call, signal: abort.signal});
    } finally {
      cancel();
    }
  }

  private soon(): Instant {
    return after(this.options.clock.now(), CALL_TIMEOUT_MILLISECONDS);
  }

  private urlOf(key: string): string {
    return `${this.options.url}/objects/${encodeURIComponent(key)}`;
  }
}

function condition(expected: ExpectedVersion): Record<string, string> {
  return expected === 'absent'
    ? {'if-none-match': '*'}
    : {'if-match': `"${expected}"`};
}

function checkWritten(
  key: string,
  expected: ExpectedVersion,
  answer: HttpResponse,
  value: string,
): void {
  if (answer.status === 412) throw new VersionConflictError(key, expected);
  if (answer.status === 413) {
    throw new ValueTooLargeError(key, Buffer.byteLength(value));
  }
  if (answer.status === 429) throw new PlatformBusyError(key);
  if (answer.status >= 300) throw new WriteOutcomeUnknownError(key);
}

function storedObject(key: string, answer: HttpResponse): StoredObject {
  return {key, version: versionOf(key, answer), value: answer.body};
}

function versionOf(key: string, answer: HttpResponse): ObjectVersion {
  const version = Number(String(answer.headers['etag']).replaceAll('"', ''));
  if (!Number.isInteger(version)) {
    throw new PlatformUnavailableError(`${key}: no version in the answer`);
  }
  return as<ObjectVersion>(version);
}
