/** Reads the reports of engines and logs those that can't be read. */

import type {EmitEvent, Instant} from '@siskinmux/kernel';
import type {
  EngineAddress,
  EngineOrderClient,
  EngineReport,
  ReportFailure,
} from './engine_order_client.js';
import {REPORT_UNREADABLE} from './placement_events.js';

/** Dependencies of {@link EngineReportReader}. */
export interface EngineReportReaderOptions {
  readonly orders: EngineOrderClient;
  readonly emit: EmitEvent;
}

/** Logs a failure when an engine's last read had another result, as reads are repeated. */
export class EngineReportReader {
  private readonly lastFailures = new WeakMap<EngineAddress, ReportFailure>();

  private constructor(private readonly options: EngineReportReaderOptions) {}

  static create(options: EngineReportReaderOptions): EngineReportReader {
    return new EngineReportReader(options);
  }

  /** Whether the last response that should have been a report was longer than any report. */
  isTooLong(engine: EngineAddress): boolean {
    return this.lastFailures.get(engine) === 'too_long';
  }

  /** Undefined when the engine sent no valid report by `deadline`. */
  async read(
    engine: EngineAddress,
    deadline: Instant,
  ): Promise<EngineReport | undefined> {
    const {orders, emit} = this.options;
    const result = await orders.report(engine, deadline);
    if (typeof result !== 'string') {
      this.lastFailures.delete(engine);
      return result;
    }
    if (this.lastFailures.get(engine) !== result)
      emit(REPORT_UNREADABLE, {engine: engine.id, reason: result});
    this.lastFailures.set(engine, result);
    return undefined;
  }
}
