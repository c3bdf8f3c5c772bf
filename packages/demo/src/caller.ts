/**
 * A caller behind a load balancer: sends to a random node, and retries when refused or
 * without a response.
 */

import {randomUUID} from 'node:crypto';
import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {SiskinmuxError, after, randomBelow, sleepFor} from '@siskinmux/kernel';
import {MAXIMUM_RESPONSE_BYTES, createAgent, send} from '@siskinmux/adapters';
import type {HttpResponse} from '@siskinmux/adapters';
import {completionWords} from '@siskinmux/standins';

/** Delay before a retry of the same request. */
const RETRY_DELAY_MILLISECONDS = 100;

/** Time after which a caller gives up on a request. */
const REQUEST_TIMEOUT_MILLISECONDS = 20_000;

/** Outcome of a request as its caller sees it. */
export type DemoOutcome =
  /** The complete and correct response. */
  | 'answered'
  /** Refused as "not run" until the timeout of the caller. */
  | 'refused'
  /** The response says that the outcome is unknown. */
  | 'unknown'
  /** The response to another request, or an incomplete one. */
  | 'wrong'
  /** No final response. */
  | 'dropped';

/** A finished request. */
export interface CallerResult {
  readonly kind: 'text' | 'coupon';
  readonly outcome: DemoOutcome;
  /** Idempotency key of a coupon; undefined for text. */
  readonly key: string | undefined;
  /** Time from the first attempt to the outcome, including retries. */
  readonly milliseconds: number;
  /** Number of times that the request was sent. */
  readonly attempts: number;
}

/** Dependencies of {@link DemoCaller}. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses of the nodes that the load balancer currently uses. */
  readonly nodes: () => readonly string[];
}

interface CallerRequest {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly verify: (response: HttpResponse) => DemoOutcome;
}

/** Sends requests and verifies the responses. */
export class DemoCaller {
  private readonly agent = createAgent();

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): DemoCaller {
    return new DemoCaller(options);
  }

  /** Requests text and verifies that the response matches the prompt. */
  async text(model: string, tokens: number): Promise<CallerResult> {
    const content = `offer for shopper ${randomUUID()}`;
    const messages = [{role: 'user', content}];
    const expected = completionWords({
      input: {kind: 'chat', messages},
      maximumTokens: tokens,
    }).join('');
    return this.send('text', undefined, {
      path: '/v1/chat/completions',
      headers: {},
      body: JSON.stringify({model, messages, max_tokens: tokens}),
      verify: response => verifyText(response, expected),
    });
  }

  /** Issues a coupon under a new idempotency key. */
  async coupon(): Promise<CallerResult> {
    const key = randomUUID();
    return this.send('coupon', key, {
      path: '/services/coupons/issue',
      headers: {'idempotency-key': key},
      body: JSON.stringify({shopper: key}),
      verify: response => verifyCoupon(response, key),
    });
  }

  private async send(
    kind: CallerResult['kind'],
    key: string | undefined,
    request: CallerRequest,
  ): Promise<CallerResult> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const deadline = after(startedAt, REQUEST_TIMEOUT_MILLISECONDS);
    let outcome: DemoOutcome = 'dropped';
    let attempts = 0;
    while (clock.now() < deadline) {
      attempts += 1;
      outcome = await this.attempt(request, deadline);
      if (outcome === 'answered' || outcome === 'wrong') break;
      if (outcome === 'unknown') break;
      await sleepFor(clock, RETRY_DELAY_MILLISECONDS);
    }
    const milliseconds = clock.now() - startedAt;
    return {kind, outcome, key, milliseconds, attempts};
  }

  private async attempt(
    request: CallerRequest,
    deadline: Instant,
  ): Promise<DemoOutcome> {
    const {clock, random, nodes} = this.options;
    const addresses = nodes();
    const address = addresses[randomBelow(random, addresses.length)];
    const abortController = new AbortController();
    const cancel = clock.schedule(deadline, () => abortController.abort());
    try {
      const response = await send(this.agent, {
        method: 'POST',
        url: `${address}${request.path}`,
        headers: {'content-type': 'application/json', ...request.headers},
        body: request.body,
        signal: abortController.signal,
        maximumResponseBytes: MAXIMUM_RESPONSE_BYTES,
      });
      return request.verify(response);
    } catch (failure) {
      if (failure instanceof SiskinmuxError) throw failure;
      return 'dropped';
    } finally {
      cancel();
    }
  }
}

function verifyText(response: HttpResponse, expected: string): DemoOutcome {
  if (response.status !== 200) return classifyRefusal(response);
  const body = JSON.parse(response.body) as {
    choices: {message: {content: string}}[];
  };
  return body.choices[0]?.message.content === expected ? 'answered' : 'wrong';
}

function verifyCoupon(response: HttpResponse, key: string): DemoOutcome {
  if (response.status !== 200) return classifyRefusal(response);
  const {echo} = JSON.parse(response.body) as {echo: string};
  return echo === JSON.stringify({shopper: key}) ? 'answered' : 'wrong';
}

function classifyRefusal(response: HttpResponse): DemoOutcome {
  const {outcome} = JSON.parse(response.body) as {outcome?: string};
  return outcome === 'not run' ? 'refused' : 'unknown';
}
