/**
 * Sends the orders to one engine, one after the other. An order without an answer is
 * sent again under the same expected count until the engine answers: whichever copy
 * arrives first raises the count, so that a late one is refused.
 */

import type {Clock, EmitEvent, Milliseconds} from '@siskinmux/kernel';
import {after, sleepFor} from '@siskinmux/kernel';
import type {EngineBook} from './engine_book.js';
import type {
  EngineOrders,
  HoldingChange,
  OrderAuthority,
  OrderOutcome,
} from './engine_orders.js';
import {ORDER_ANSWERED, ORDER_UNANSWERED} from './placement_events.js';

/** Longest wait for an answer; engines answer within milliseconds. */
const ANSWER_MILLISECONDS: Milliseconds = 400;

/** Pause before an order is sent again. */
const AGAIN_MILLISECONDS: Milliseconds = 60;

/** What an order line needs from its surroundings. */
export interface OrderLineOptions {
  readonly engine: EngineBook;
  readonly orders: EngineOrders;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** The right to order, asked for before each send; undefined when there is none now. */
  readonly authority: () => OrderAuthority | undefined;
  /** Told when the engine has seen a later term. */
  readonly onFenced: () => void;
}

/** How an order ended; `unsent` changed nothing, `given_up` may still be carried out. */
export type OrderEnd = Exclude<OrderOutcome, 'unknown'> | 'unsent' | 'given_up';

/** The orders to one engine. */
export class OrderLine {
  private last: Promise<unknown> = Promise.resolve();
  private isClosed = false;

  private constructor(private readonly options: OrderLineOptions) {}

  static create(options: OrderLineOptions): OrderLine {
    return new OrderLine(options);
  }

  /** Resolves when every order so far is answered or given up. */
  async drained(): Promise<void> {
    await this.last;
  }

  /** Sends nothing any more; the engine has left or begun a new life. */
  close(): void {
    this.isClosed = true;
  }

  /** Sends an order when those before it are answered. */
  send(change: HoldingChange): Promise<OrderEnd> {
    const sent = this.last.then(() => this.sendUntilAnswered(change));
    this.last = sent;
    return sent;
  }

  private async sendUntilAnswered(change: HoldingChange): Promise<OrderEnd> {
    const {engine, orders, clock, authority} = this.options;
    let isFirst = true;
    for (;;) {
      const right = authority();
      const expectedOrderCount = engine.orderCount;
      if (
        this.isClosed ||
        right === undefined ||
        expectedOrderCount === undefined
      ) {
        return isFirst ? 'unsent' : 'given_up';
      }
      isFirst = false;
      const until = after(clock.now(), ANSWER_MILLISECONDS);
      const outcome = await orders.send(
        {...right, engine, change, expectedOrderCount},
        until,
      );
      this.report(change, outcome, expectedOrderCount);
      if (outcome === 'fenced') this.options.onFenced();
      // Otherwise the engine's state is being read again, and the count with it.
      if (engine.orderCount === expectedOrderCount) {
        engine.orderCount += countOf(change, outcome);
      }
      if (outcome !== 'unknown') return outcome;
      await this.pause();
    }
  }

  private pause(): Promise<void> {
    return sleepFor(this.options.clock, AGAIN_MILLISECONDS);
  }

  private report(
    change: HoldingChange,
    outcome: OrderOutcome,
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

/** Orders by which an answer raises the count: a load that holds already was not accepted. */
function countOf(change: HoldingChange, outcome: OrderOutcome): 0 | 1 {
  if (outcome === 'accepted') return 1;
  return outcome === 'done' && change.operation === 'unload' ? 1 : 0;
}
