/**
 * Sends orders to one engine, one at a time. An order without a response is resent with
 * the same expected order count until the engine responds. The first copy to arrive
 * increments the engine's count, so the engine refuses copies that arrive later.
 */

import type {Clock, EmitEvent, Milliseconds} from '@siskinmux/kernel';
import {after, sleepFor} from '@siskinmux/kernel';
import type {
  EngineChange,
  EngineOrderClient,
  EngineOrderOutcome,
  OrderAuthority,
} from './engine_order_client.js';
import type {EngineView} from './engine_view.js';
import {ORDER_ANSWERED, ORDER_UNANSWERED} from './placement_events.js';

/** Response timeout; engines respond within milliseconds. */
const RESPONSE_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** Delay before an order without a response is resent. */
const RESEND_DELAY_MILLISECONDS: Milliseconds = 60;

/** Dependencies of {@link OrderQueue}. */
export interface OrderQueueOptions {
  readonly engine: EngineView;
  readonly orders: EngineOrderClient;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Read before each send; undefined while this node may not send orders. */
  readonly authority: () => OrderAuthority | undefined;
  /** Called when the engine has seen a later term. */
  readonly onFenced: () => void;
}

/**
 * Outcome of a queued order after any resends. `unsent`: never sent. `given_up`: resending
 * has stopped, but the order may still be executed.
 */
export type QueuedOrderOutcome =
  Exclude<EngineOrderOutcome, 'unknown'> | 'unsent' | 'given_up';

/** The orders to one engine, in the order of their submission. */
export class OrderQueue {
  private lastOrder: Promise<unknown> = Promise.resolve();
  private isClosed = false;

  private constructor(private readonly options: OrderQueueOptions) {}

  static create(options: OrderQueueOptions): OrderQueue {
    return new OrderQueue(options);
  }

  /** Resolves when every order submitted so far has a response or was given up. */
  async settled(): Promise<void> {
    await this.lastOrder;
  }

  /** Stops sending: the engine has left or restarted, or the allocator is stopping. */
  close(): void {
    this.isClosed = true;
  }

  /** Sends an order once all earlier orders have a response. */
  send(change: EngineChange): Promise<QueuedOrderOutcome> {
    const sent = this.lastOrder.then(() => this.sendWithRetries(change));
    this.lastOrder = sent;
    return sent;
  }

  private async sendWithRetries(
    change: EngineChange,
  ): Promise<QueuedOrderOutcome> {
    const {engine, orders, clock, authority} = this.options;
    let isFirstAttempt = true;
    for (;;) {
      const currentAuthority = authority();
      const expectedOrderCount = engine.orderCount;
      if (
        this.isClosed ||
        currentAuthority === undefined ||
        expectedOrderCount === undefined
      ) {
        return isFirstAttempt ? 'unsent' : 'given_up';
      }
      isFirstAttempt = false;
      const deadline = after(clock.now(), RESPONSE_TIMEOUT_MILLISECONDS);
      const outcome = await orders.send(
        {...currentAuthority, engine, change, expectedOrderCount},
        deadline,
      );
      this.emitOutcome(change, outcome, expectedOrderCount);
      if (outcome === 'fenced') this.options.onFenced();
      // Otherwise the count is being read again from the engine's report.
      if (engine.orderCount === expectedOrderCount) {
        engine.orderCount += orderCountIncrement(change, outcome);
      }
      if (outcome !== 'unknown') return outcome;
      await this.waitBeforeResend();
    }
  }

  private waitBeforeResend(): Promise<void> {
    return sleepFor(this.options.clock, RESEND_DELAY_MILLISECONDS);
  }

  private emitOutcome(
    change: EngineChange,
    outcome: EngineOrderOutcome,
    expected: number,
  ): void {
    this.options.emit(
      outcome === 'unknown' ? ORDER_UNANSWERED : ORDER_ANSWERED,
      {
        engine: this.options.engine.id,
        operation: change.operation,
        model: change.model,
        adapter: change.adapter,
        expected,
        outcome,
      },
    );
  }
}

/**
 * Increment of the engine's order count: engines don't count the load of a model or
 * adapter that they already have.
 */
function orderCountIncrement(
  change: EngineChange,
  outcome: EngineOrderOutcome,
): 0 | 1 {
  if (outcome === 'accepted') return 1;
  return outcome === 'done' && change.operation === 'unload' ? 1 : 0;
}
