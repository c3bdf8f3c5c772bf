/**
 * `npm run bench:awake`: compares keep-alive policies by cold starts and idle
 * accelerator hours.
 */

import {mkdirSync, writeFileSync} from 'node:fs';
import * as echarts from 'echarts';
import type {Instant} from '@siskinmux/kernel';
import {after} from '@siskinmux/kernel';
import type {KeepAlivePolicy} from '@siskinmux/allocation';
import {
  COLD_START_COST_FACTOR,
  HistogramKeepAlive,
} from '@siskinmux/allocation';
import {createSeededRandom} from '@siskinmux/testkit';
import type {KeepAliveResult} from './keep_alive_simulation.js';
import {KeepAliveSimulation} from './keep_alive_simulation.js';
import type {Workload} from './keep_alive_workload.js';
import {
  createBrindlecoteWorkload,
  createPetirWaspadaWorkload,
} from './keep_alive_workload.js';
import {checkBounds, percentile} from './bounds.js';

const SEED = 1;
const SIMULATED_HOURS = 4;
const MINUTE_MILLISECONDS = 60_000;
const PLOT_FILE = 'build/awake.svg';
const COLD_START_WEIGHT_FACTORS = [0.25, 1, 4];

/** Bounds from the performance targets. */
const MAXIMUM_P99_RATIO = 1.25;
const MAXIMUM_IDLE_RATIO = 0.5;

const print = (line: string): void => console.log(line);

/** A policy that unloads every model after the same idle time. */
class FixedTimeout implements KeepAlivePolicy {
  latestArrivalAt: Instant | undefined;

  private constructor(private readonly milliseconds: number) {}

  static create(milliseconds: number): FixedTimeout {
    return new FixedTimeout(milliseconds);
  }

  recordArrival(now: Instant): void {
    this.latestArrivalAt = now;
  }

  keepUntil(idleSince: Instant): Instant {
    return after(idleSince, this.milliseconds);
  }
}

interface PolicyResult {
  readonly workload: string;
  readonly policy: string;
  readonly result: KeepAliveResult;
}

const results: PolicyResult[] = [];
let areWithinBounds = true;
for (const create of [createBrindlecoteWorkload, createPetirWaspadaWorkload]) {
  const workload = create(createSeededRandom(SEED), SIMULATED_HOURS);
  print(
    `${workload.name}: ${workload.models.length} models, ${workload.engines} engines, ${workload.arrivals.length} requests in ${SIMULATED_HOURS} h, seed ${SEED}`,
  );
  print(
    'policy                        cold starts   p50 ms   p99 ms  worst ms  idle h  loads/h  in time',
  );
  for (const factor of COLD_START_WEIGHT_FACTORS) {
    const weightedWorkload = {
      ...workload,
      coldStartWeight: workload.coldStartWeight * factor,
    };
    await simulate(
      weightedWorkload,
      `chosen, cold start weight x${factor}`,
      HistogramKeepAlive.create,
    );
  }
  await simulate(workload, 'fixed 1 min', () =>
    FixedTimeout.create(MINUTE_MILLISECONDS),
  );
  await simulate(workload, 'fixed 10 min', () =>
    FixedTimeout.create(10 * MINUTE_MILLISECONDS),
  );
  await simulate(workload, 'never unless room is needed', () =>
    FixedTimeout.create(100 * SIMULATED_HOURS * 60 * MINUTE_MILLISECONDS),
  );
  const optimum = computeOfflineOptimum(workload);
  print(
    `offline bound: a load takes ${workload.loadMilliseconds} ms; ${optimum.idleHours.toFixed(2)} idle h, ${optimum.coldStarts} cold starts with all arrivals known`,
  );
  areWithinBounds = checkWorkloadBounds(workload) && areWithinBounds;
  print('');
}
writePlot();
print(`plot: ${PLOT_FILE}`);
process.exit(areWithinBounds ? 0 : 1);

async function simulate(
  workload: Workload,
  policy: string,
  create: () => KeepAlivePolicy,
): Promise<void> {
  const result = await KeepAliveSimulation.create(workload, create).run();
  results.push({workload: workload.name, policy, result});
  const {coldStartMilliseconds, idleAcceleratorHours, loads, deadlineMetShare} =
    result;
  print(
    [
      policy.padEnd(34),
      String(coldStartMilliseconds.length).padStart(6),
      percentile(coldStartMilliseconds, 0.5).toFixed(0).padStart(8),
      percentile(coldStartMilliseconds, 0.99).toFixed(0).padStart(8),
      Math.max(0, ...coldStartMilliseconds)
        .toFixed(0)
        .padStart(9),
      idleAcceleratorHours.toFixed(2).padStart(7),
      (loads / SIMULATED_HOURS).toFixed(1).padStart(8),
      `${(100 * deadlineMetShare).toFixed(2)} %`.padStart(9),
    ].join(' '),
  );
}

/**
 * Computes the cost with all arrivals known: a model stays loaded during a gap only if
 * that costs less than a reload.
 */
function computeOfflineOptimum(workload: Workload): {
  idleHours: number;
  coldStarts: number;
} {
  const breakEvenMilliseconds =
    (workload.coldStartWeight / workload.idleHourWeight) *
    workload.loadMilliseconds *
    COLD_START_COST_FACTOR;
  let idleMilliseconds = 0;
  let coldStarts = 0;
  for (const {name, memoryGib} of workload.models) {
    let lastArrivalAt: number | undefined;
    for (const {at, model} of workload.arrivals) {
      if (model !== name) continue;
      const gap = lastArrivalAt === undefined ? Infinity : at - lastArrivalAt;
      if (gap <= breakEvenMilliseconds)
        idleMilliseconds += gap * (memoryGib / workload.engineMemoryGib);
      else coldStarts += 1;
      lastArrivalAt = at;
    }
  }
  return {idleHours: idleMilliseconds / (60 * MINUTE_MILLISECONDS), coldStarts};
}

function checkWorkloadBounds(workload: Workload): boolean {
  const resultOf = (policy: string): KeepAliveResult | undefined =>
    results.find(
      candidate =>
        candidate.workload === workload.name &&
        candidate.policy.includes(policy),
    )?.result;
  const defaultResult = resultOf('x1');
  const tenMinutes = resultOf('fixed 10 min');
  return checkBounds(
    [
      {
        name: `${workload.name}: p99 cold start over a load at full speed`,
        value:
          percentile(defaultResult?.coldStartMilliseconds ?? [], 0.99) /
          workload.loadMilliseconds,
        unit: 'times',
        maximum: MAXIMUM_P99_RATIO,
      },
      {
        name: `${workload.name}: idle hours over fixed 10 min`,
        value:
          (defaultResult?.idleAcceleratorHours ?? NaN) /
          (tenMinutes?.idleAcceleratorHours ?? NaN),
        unit: 'times',
        maximum: MAXIMUM_IDLE_RATIO,
      },
    ],
    print,
  );
}

function writePlot(): void {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: 900,
    height: 500,
  });
  const workloads = [...new Set(results.map(({workload}) => workload))];
  chart.setOption({
    animation: false,
    title: {text: 'Cold starts against idle accelerator hours'},
    legend: {bottom: 0},
    xAxis: {name: 'idle accelerator hours', type: 'log'},
    yAxis: {name: 'cold starts'},
    series: workloads.map(workload => ({
      name: workload,
      type: 'scatter',
      symbolSize: 12,
      label: {show: true, position: 'right', formatter: '{@[2]}'},
      data: results
        .filter(candidate => candidate.workload === workload)
        .map(({policy, result}) => [
          result.idleAcceleratorHours,
          result.coldStartMilliseconds.length,
          policy,
        ]),
    })),
  });
  mkdirSync('build', {recursive: true});
  writeFileSync(PLOT_FILE, chart.renderToSVGString());
}
