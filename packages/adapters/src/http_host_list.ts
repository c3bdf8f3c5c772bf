/** HTTP client of the platform's host list. */

import type {FailureDomain, HostId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {HostList, ListedHost} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {send} from './http_client.js';

const hostsSchema = z.array(
  z.object({
    id: z.string(),
    state: z.enum(['live', 'leaving']),
    failureDomain: z.string(),
  }),
);

/** Implements the host list port over HTTP. */
export class HttpHostList implements HostList {
  private constructor(
    private readonly url: string,
    private readonly agent: Dispatcher,
  ) {}

  static create(options: {url: string; agent: Dispatcher}): HttpHostList {
    return new HttpHostList(options.url, options.agent);
  }

  async hosts(): Promise<readonly ListedHost[]> {
    try {
      const response = await send(this.agent, {
        method: 'GET',
        url: `${this.url}/hosts`,
      });
      return hostsSchema.parse(JSON.parse(response.body)).map(host => ({
        id: as<HostId>(host.id),
        state: host.state,
        failureDomain: as<FailureDomain>(host.failureDomain),
      }));
    } catch (cause) {
      throw new PlatformUnavailableError('host list', {cause});
    }
  }
}
