import {describe, it} from 'node:test';
import type {EventFields, Instant} from '@siskinmux/kernel';
import {Kernel, after} from '@siskinmux/kernel';
import {expect} from 'earl';
import {
  EMIT_EVENT,
  EVENT_LOOP_STALLED,
  METRICS,
  createEventLoopPlugin,
  metricsRegistryPlugin,
} from '../src/index.js';

/** A process whose timers are late whenever it is busy or paused. */
class StallingProcess {
  readonly reports: (EventFields | undefined)[] = [];
  private readonly kernel = Kernel.create({settings: {}});
  private now = 1_000 as Instant;
  private processorTime = 0;
  private timer: {at: Instant; callback: () => void} | undefined;

  static async create(): Promise<StallingProcess> {
    const stalling = new StallingProcess();
    await stalling.start();
    return stalling;
  }

  private async start(): Promise<void> {
    const {kernel} = this;
    kernel.provide(EMIT_EVENT, (event, fields) => {
      expect(event).toEqual(EVENT_LOOP_STALLED);
      this.reports.push(fields);
    });
    kernel.use(metricsRegistryPlugin);
    kernel.use(
      createEventLoopPlugin({
        clock: {
          now: () => this.now,
          schedule: (at, callback) => {
            this.timer = {at, callback};
            return () => {};
          },
        },
        readProcessorTime: () => this.processorTime,
      }),
    );
    await kernel.start();
    await settle();
  }

  /** Lets the next timer run this late, after this much processor time. */
  async runLate(milliseconds: number, processorTime = 0): Promise<void> {
    const {timer} = this;
    if (timer === undefined) throw new TypeError('no timer');
    this.now = after(timer.at, milliseconds);
    this.processorTime += processorTime;
    timer.callback();
    await settle();
  }

  metrics(): Promise<string> {
    return this.kernel.inject(METRICS).metrics();
  }
}

const settle = (): Promise<void> =>
  new Promise(resolve => setImmediate(resolve));

describe('event loop monitor', () => {
  // A process that stood still for 5 s left no trace: review/6.
  it('reports a long function with its length and processor time', async () => {
    const stalling = await StallingProcess.create();
    await stalling.runLate(5_200, 5_190);
    expect(stalling.reports).toEqual([
      {milliseconds: 5_200, processorMilliseconds: 5_190},
    ]);
    expect(await stalling.metrics()).toInclude(
      'siskinmux_event_loop_stalled_seconds_total 5.2',
    );
  });

  it('tells a pause of the process from a long function', async () => {
    const stalling = await StallingProcess.create();
    await stalling.runLate(2_000, 3);
    expect(stalling.reports).toEqual([
      {milliseconds: 2_000, processorMilliseconds: 3},
    ]);
  });

  it('reports each stall once, and no usual delay', async () => {
    const stalling = await StallingProcess.create();
    await stalling.runLate(20, 15);
    await stalling.runLate(400, 390);
    await stalling.runLate(0);
    await stalling.runLate(249, 200);
    await stalling.runLate(300, 290);
    expect(stalling.reports).toEqual([
      {milliseconds: 400, processorMilliseconds: 390},
      {milliseconds: 300, processorMilliseconds: 290},
    ]);
    expect(await stalling.metrics()).toInclude(
      'siskinmux_event_loop_stalls_total 2',
    );
  });
});
