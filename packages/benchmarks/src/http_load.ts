/** Generates HTTP load: closed loops measure throughput, open loops latency. */

import {Agent, request} from 'undici';
import {build} from 'hdr-histogram-js';
import {sleep} from './processes.js';

/** The request that a load sends repeatedly. */
export interface HttpTarget {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
}

/** Throughput and latency percentiles of one load. */
export interface LatencySummary {
  readonly count: number;
  readonly failures: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly requestsPerSecond: number;
}

/** The histogram accepts only integers, so latencies are recorded in microseconds. */
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Connections of an open loop; further requests queue in the client. */
const MAXIMUM_CONNECTIONS = 256;

/** Each of `callers` sends its next request as soon as the previous response is complete. */
export async function runClosedLoop(
  target: HttpTarget,
  callers: number,
  seconds: number,
): Promise<LatencySummary> {
  const recorder = createRecorder(callers);
  const endsAt = performance.now() + seconds * 1_000;
  const runCaller = async (): Promise<void> => {
    while (performance.now() < endsAt) await recorder.send(target);
  };
  await Promise.all(Array.from({length: callers}, runCaller));
  return recorder.summarize(seconds);
}

/** Sends requests at a fixed rate, independent of the response times. */
export async function runOpenLoop(
  target: HttpTarget,
  perSecond: number,
  seconds: number,
): Promise<LatencySummary> {
  const recorder = createRecorder(MAXIMUM_CONNECTIONS);
  const startedAt = performance.now();
  const requestCount = Math.floor(perSecond * seconds);
  const openRequests: Promise<void>[] = [];
  for (let sent = 0; sent < requestCount;) {
    const dueCount = Math.min(
      requestCount,
      Math.floor(((performance.now() - startedAt) / 1_000) * perSecond),
    );
    for (; sent < dueCount; sent += 1) openRequests.push(recorder.send(target));
    await sleep(1);
  }
  await Promise.all(openRequests);
  return recorder.summarize(seconds);
}

function createRecorder(connections: number) {
  const agent = new Agent({connections});
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
  });
  let failures = 0;
  return {
    async send(target: HttpTarget): Promise<void> {
      const startedAt = performance.now();
      const response = await request(target.url, {
        method: target.method,
        body: target.body,
        dispatcher: agent,
      });
      await response.body.dump();
      if (response.statusCode !== 200) failures += 1;
      const elapsedMilliseconds = performance.now() - startedAt;
      histogram.recordValue(
        Math.max(
          1,
          Math.round(elapsedMilliseconds * MICROSECONDS_PER_MILLISECOND),
        ),
      );
    },
    summarize(seconds: number): LatencySummary {
      void agent.close();
      return {
        count: histogram.totalCount,
        failures,
        p50Milliseconds:
          histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        p99Milliseconds:
          histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
        requestsPerSecond: histogram.totalCount / seconds,
      };
    },
  };
}
