/** HTTP load on loopback: closed loops for throughput, open loops for latency. */

import {Agent, request} from 'undici';
import {build} from 'hdr-histogram-js';
import {sleep} from './processes.js';

/** What is sent again and again. */
export interface HttpTarget {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
}

/** Latencies in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly failures: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly requestsPerSecond: number;
}

/** Microseconds in a millisecond; the histogram takes whole numbers. */
const MICROSECONDS = 1_000;

/** Connections of an open loop. */
const MOST_CONNECTIONS = 256;

/** `callers` send as fast as they get answers. */
export async function runClosedLoop(
  target: HttpTarget,
  callers: number,
  seconds: number,
): Promise<LatencySummary> {
  const recorder = createRecorder(callers);
  const end = performance.now() + seconds * 1_000;
  const run = async (): Promise<void> => {
    while (performance.now() < end) await recorder.send(target);
  };
  await Promise.all(Array.from({length: callers}, run));
  return recorder.figures(seconds);
}

/** Requests at a fixed rate, whatever the answers take. */
export async function runOpenLoop(
  target: HttpTarget,
  perSecond: number,
  seconds: number,
): Promise<LatencySummary> {
  const recorder = createRecorder(MOST_CONNECTIONS);
  const begin = performance.now();
  const total = Math.floor(perSecond * seconds);
  const open: Promise<void>[] = [];
  for (let sent = 0; sent < total;) {
    const due = Math.min(
      total,
      Math.floor(((performance.now() - begin) / 1_000) * perSecond),
    );
    for (; sent < due; sent += 1) open.push(recorder.send(target));
    await sleep(1);
  }
  await Promise.all(open);
  return recorder.figures(seconds);
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
      const answer = await request(target.url, {
        method: target.method,
        body: target.body,
        dispatcher: agent,
      });
      await answer.body.dump();
      if (answer.statusCode !== 200) failures += 1;
      const took = performance.now() - startedAt;
      histogram.recordValue(Math.max(1, Math.round(took * MICROSECONDS)));
    },
    figures(seconds: number): LatencySummary {
      void agent.close();
      return {
        count: histogram.totalCount,
        failures,
        p50Milliseconds: histogram.getValueAtPercentile(50) / MICROSECONDS,
        p99Milliseconds: histogram.getValueAtPercentile(99) / MICROSECONDS,
        requestsPerSecond: histogram.totalCount / seconds,
      };
    },
  };
}
