/** HTTP client of the weight store's load report. */

import type {WeightStore, WeightStoreReport} from '@siskinmux/ports';
import {PlatformUnavailableError} from '@siskinmux/ports';
import {z} from 'zod';
import type {HttpAgent} from './http_agent.js';
import {send} from './http_client.js';

/** Three numbers. */
const MAXIMUM_REPORT_BYTES = 4_096;

const reportSchema = z.object({
  loadsInTransit: z.number(),
  fullSpeedLoads: z.number(),
  rate: z.number(),
});

/** Implements the weight store port over HTTP. */
export class HttpWeightStore implements WeightStore {
  private constructor(
    private readonly url: string,
    private readonly agent: HttpAgent,
  ) {}

  static create(options: {url: string; agent: HttpAgent}): HttpWeightStore {
    return new HttpWeightStore(options.url, options.agent);
  }

  async report(signal: AbortSignal): Promise<WeightStoreReport> {
    try {
      const url = `${this.url}/report`;
      const response = await send(this.agent, {
        method: 'GET',
        url,
        signal,
        maximumResponseBytes: MAXIMUM_REPORT_BYTES,
      });
      return reportSchema.parse(JSON.parse(response.body));
    } catch (cause) {
      throw new PlatformUnavailableError('weight store', {cause});
    }
  }
}
