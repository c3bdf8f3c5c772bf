/**
 * Endpoints that say in their responses that they leave, before their entries in the
 * platform's store do. All nodes tell each other; the endpoint table then treats them as draining.
 */

import type {
  EndpointDescription,
  EndpointTable,
  EndpointTableChange,
  Incarnation,
} from '@siskinmux/endpoints';
import type {ResponseHead} from '@siskinmux/forwarding';
import type {Clock, EmitEvent, Instant, Milliseconds} from '@siskinmux/kernel';
import {after, as, until} from '@siskinmux/kernel';
import {z} from 'zod';
import {ENDPOINT_LEAVING} from './gateway_events.js';
import {ReportBatch} from './report_batch.js';

/** Least time between two messages to a node; many endpoints may leave at once. */
export const LEAVING_REPORT_MILLISECONDS: Milliseconds = 100;

/** What an endpoint has said about its end. */
export interface LeavingStatement {
  readonly incarnation: Incarnation;
  /** When the first response arrived that says so. */
  readonly saidAt: Instant;
}

/** Access to the lease holder, which tells the other nodes. */
export interface LeavingExchange {
  reportLeaving(statements: readonly LeavingStatement[]): void;
}

/** Incarnations, each with the milliseconds since it said that it leaves; in either direction. */
export const leavingSchema = z.object({
  leaving: z.array(
    z.tuple([z.string().min(1).max(512), z.number().nonnegative()]),
  ),
});

type LeavingMessage = z.infer<typeof leavingSchema>;

export function encodeLeaving(
  statements: readonly LeavingStatement[],
  now: Instant,
): LeavingMessage {
  return {
    leaving: statements.map(({incarnation, saidAt}) => [
      incarnation,
      Math.max(0, until(saidAt, now)),
    ]),
  };
}

export function decodeLeaving(
  {leaving}: LeavingMessage,
  now: Instant,
): LeavingStatement[] {
  return leaving.map(([incarnation, age]) => ({
    incarnation: as<Incarnation>(incarnation),
    saidAt: after(now, -age),
  }));
}

/** Dependencies of {@link LeavingEndpoints}. */
export interface LeavingEndpointsOptions {
  readonly table: EndpointTable;
  readonly clock: Clock;
  readonly emit: EmitEvent;
  /** Called with the endpoints of the table that are draining from now on. */
  readonly onChanges: (changes: readonly EndpointTableChange[]) => void;
}

/** Reads the statements of endpoints, and exchanges them with the other nodes. */
export class LeavingEndpoints {
  private exchange: LeavingExchange | undefined;
  private readonly reports: ReportBatch<LeavingStatement>;

  private constructor(private readonly options: LeavingEndpointsOptions) {
    this.reports = ReportBatch.create({
      clock: options.clock,
      intervalMilliseconds: LEAVING_REPORT_MILLISECONDS,
      send: statements => this.exchange?.reportLeaving(statements),
    });
  }

  static create(options: LeavingEndpointsOptions): LeavingEndpoints {
    return new LeavingEndpoints(options);
  }

  /** All statements that this node knows. */
  get all(): LeavingStatement[] {
    return this.options.table.leaving;
  }

  /** Switches to another lease holder, and tells it what this node knows. */
  setExchange(exchange: LeavingExchange | undefined): void {
    this.exchange = exchange;
    const known = this.all;
    if (known.length > 0) exchange?.reportLeaving(known);
  }

  /** Reads a response of an endpoint. */
  recordResponse(
    {incarnation}: EndpointDescription,
    {metadata}: ResponseHead,
  ): void {
    if (!metadata.isLeaving) return;
    const statement = {incarnation, saidAt: this.options.clock.now()};
    if (this.put(statement, 'response')) this.reports.add([statement]);
  }

  /** Merges what other nodes have read; returns the statements that were news. */
  merge(received: readonly LeavingStatement[]): LeavingStatement[] {
    return received.filter(statement => this.put(statement, 'peer'));
  }

  private put(
    statement: LeavingStatement,
    source: 'response' | 'peer',
  ): boolean {
    const {table, clock, emit, onChanges} = this.options;
    const {incarnation, saidAt} = statement;
    const now = clock.now();
    const changes = table.recordLeaving(incarnation, saidAt, now);
    if (changes === undefined) return false;
    emit(ENDPOINT_LEAVING, {
      life: incarnation,
      source,
      age: Math.round(until(saidAt, now)),
      isListed: changes.length > 0,
    });
    if (changes.length > 0) onChanges(changes);
    return true;
  }
}
