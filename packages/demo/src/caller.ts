/** A caller as it stands before the balancer: sends to any node, and again elsewhere when it got no answer. */

import {randomUUID} from 'node:crypto';
import type {Clock, Instant, Random} from '@siskinmux/kernel';
import {SiskinmuxError, after, randomBelow, sleepFor} from '@siskinmux/kernel';
import {createAgent, send} from '@siskinmux/adapters';
import type {HttpAnswer} from '@siskinmux/adapters';
import {answerWords} from '@siskinmux/standins';

/** Pause before the same request is sent again. */
const RESEND_MILLISECONDS = 100;

/** Time after which a caller gives up. */
const PATIENCE_MILLISECONDS = 20_000;

/** What became of a request, as its caller sees it. */
export type CallerOutcome =
  /** The right and whole answer. */
  | 'answered'
  /** Refused as "not run", to the end of the caller's patience. */
  | 'refused'
  /** Told that the outcome is not known. */
  | 'unknown'
  /** Another's answer, or a part of one. */
  | 'wrong'
  /** No final answer at all. */
  | 'dropped';

/** One finished request. */
export interface CallerResult {
  readonly kind: 'text' | 'coupon';
  readonly outcome: CallerOutcome;
  /** Key of a coupon. */
  readonly key: string | undefined;
  readonly milliseconds: number;
  /** How often it was sent. */
  readonly attempts: number;
}

/** What a caller needs from its surroundings. */
export interface CallerOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses that the balancer sends to now. */
  readonly nodes: () => readonly string[];
}

interface Sending {
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
  readonly judge: (answer: HttpAnswer) => CallerOutcome;
}

/** Sends requests and judges the answers. */
export class DemoCaller {
  private readonly agent = createAgent();

  private constructor(private readonly options: CallerOptions) {}

  static create(options: CallerOptions): DemoCaller {
    return new DemoCaller(options);
  }

  /** Asks for text and checks that the answer belongs to the question. */
  async text(model: string, tokens: number): Promise<CallerResult> {
    const content = `offer for shopper ${randomUUID()}`;
    const messages = [{role: 'user', content}];
    const expected = answerWords({
      input: {kind: 'chat', messages},
      maximumTokens: tokens,
    }).join('');
    return this.send('text', undefined, {
      path: '/v1/chat/completions',
      headers: {},
      body: JSON.stringify({model, messages, max_tokens: tokens}),
      judge: answer => judgeText(answer, expected),
    });
  }

  /** Has a coupon issued under a key of its own. */
  async coupon(): Promise<CallerResult> {
    const key = randomUUID();
    return this.send('coupon', key, {
      path: '/services/coupons/issue',
      headers: {'idempotency-key': key},
      body: JSON.stringify({shopper: key}),
      judge: answer => judgeCoupon(answer, key),
    });
  }

  private async send(
    kind: CallerResult['kind'],
    key: string | undefined,
    sending: Sending,
  ): Promise<CallerResult> {
    const {clock} = this.options;
    const startedAt = clock.now();
    const giveUpAt = after(startedAt, PATIENCE_MILLISECONDS);
    let outcome: CallerOutcome = 'dropped';
    let sent = 0;
    while (clock.now() < giveUpAt) {
      sent += 1;
      outcome = await this.once(sending, giveUpAt);
      if (outcome === 'answered' || outcome === 'wrong') break;
      if (outcome === 'unknown') break;
      await sleepFor(clock, RESEND_MILLISECONDS);
    }
    const milliseconds = clock.now() - startedAt;
    return {kind, outcome, key, milliseconds, attempts: sent};
  }

  private async once(sending: Sending, until: Instant): Promise<CallerOutcome> {
    const {clock, random, nodes} = this.options;
    const addresses = nodes();
    const address = addresses[randomBelow(random, addresses.length)];
    const abort = new AbortController();
    const cancel = clock.schedule(until, () => abort.abort());
    try {
      const answer = await send(this.agent, {
        method: 'POST',
        url: `${address}${sending.path}`,
        headers: {'content-type': 'application/json', ...sending.headers},
        body: sending.body,
        signal: abort.signal,
      });
      return sending.judge(answer);
    } catch (failure) {
      if (failure instanceof SiskinmuxError) throw failure;
      return 'dropped';
    } finally {
      cancel();
    }
  }
}

function judgeText(answer: HttpAnswer, expected: string): CallerOutcome {
  if (answer.status !== 200) return judgeRefusal(answer);
  const body = JSON.parse(answer.body) as {
    choices: {message: {content: string}}[];
  };
  return body.choices[0]?.message.content === expected ? 'answered' : 'wrong';
}

function judgeCoupon(answer: HttpAnswer, key: string): CallerOutcome {
  if (answer.status !== 200) return judgeRefusal(answer);
  const {echo} = JSON.parse(answer.body) as {echo: string};
  return echo === JSON.stringify({shopper: key}) ? 'answered' : 'wrong';
}

function judgeRefusal(answer: HttpAnswer): CallerOutcome {
  const {outcome} = JSON.parse(answer.body) as {outcome?: string};
  return outcome === 'not run' ? 'refused' : 'unknown';
}
