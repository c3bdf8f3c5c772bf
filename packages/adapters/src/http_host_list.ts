/** HTTP client of the platform's host list. */

import type {FailureDomain, HostId} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import type {HostList, ListedHost} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';
import {z} from 'zod';
import type {HttpAgent} from './http_agent.js';
import {send} from './http_client.js';

/** Some 40,000 hosts. */
const MAXIMUM_LIST_BYTES = 4_194_304;

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
    private readonly agent: HttpAgent,
  ) {}

  static create(options: {url: string; agent: HttpAgent}): HttpHostList {
    return new HttpHostList(options.url, options.agent);
  }

  async hosts(): Promise<readonly ListedHost[]> {
    try {
      const response = await send(this.agent, {
        method: 'GET',
        url: `${this.url}/hosts`,
        maximumResponseBytes: MAXIMUM_LIST_BYTES,
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
