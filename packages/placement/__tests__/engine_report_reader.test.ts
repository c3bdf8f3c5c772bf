import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {EndpointId, Instant} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {EngineReportReader} from '../src/engine_report_reader.js';
import type {
  EngineOrderClient,
  EngineReport,
  ReportFailure,
} from '../src/index.js';

const report = {orderCount: 3} as EngineReport;

describe(EngineReportReader.name, () => {
  // A report that could not be read left no line.
  it('logs a report that can not be read, once until the result differs', async () => {
    const results: (EngineReport | ReportFailure)[] = [
      'too_long',
      'too_long',
      'unanswered',
      report,
      'too_long',
    ];
    const logged: unknown[] = [];
    const reader = EngineReportReader.create({
      orders: {
        report: () => Promise.resolve(results.shift()),
      } as unknown as EngineOrderClient,
      emit: ({name}, fields) => logged.push([name, fields]),
    });
    const engine = {id: as<EndpointId>('e'), address: '127.0.0.1:1'};
    const read: unknown[] = [];
    while (results.length > 0)
      read.push(await reader.read(engine, as<Instant>(0)));
    expect(read).toEqual([undefined, undefined, undefined, report, undefined]);
    expect(logged).toEqual(
      ['too_long', 'unanswered', 'too_long'].map(reason => [
        'report-unreadable',
        {engine: engine.id, reason},
      ]),
    );
  });
});
