/** `npm run bench:awake`: cold starts against idle accelerators, by policy. */

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
import type {AwakeFigures} from './awake_simulation.js';
import {AwakeSimulation} from './awake_simulation.js';
import type {Workload} from './awake_workload.js';
import {createBrindlecoteWorkload, petirWaspada} from './awake_workload.js';
import {judgeFigures, percentile} from './bound.js';

const SEED = 1;
const HOURS = 4;
const MINUTE_MILLISECONDS = 60_000;
const PLOT = 'build/awake.svg';
const FACTORS = [0.25, 1, 4];

/** Bounds that the target sets. */
const MOST_TAIL_RATIO = 1.25;
const MOST_IDLE_RATIO = 0.5;

const print = (line: string): void => console.log(line);

/** A policy that keeps every model for the same time. */
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

interface Row {
  readonly workload: string;
  readonly policy: string;
  readonly figures: AwakeFigures;
}

const rows: Row[] = [];
let areKept = true;
for (const create of [createBrindlecoteWorkload, petirWaspada]) {
  const workload = create(createSeededRandom(SEED), HOURS);
  print(
    `${workload.name}: ${workload.models.length} models, ${workload.engines} engines, ${workload.arrivals.length} requests in ${HOURS} h, seed ${SEED}`,
  );
  print(
    'policy                        cold starts   p50 ms   p99 ms  worst ms  idle h  loads/h  in time',
  );
  for (const factor of FACTORS) {
    const weighed = {
      ...workload,
      coldStartWeight: workload.coldStartWeight * factor,
    };
    await play(
      weighed,
      `chosen, cold start weight x${factor}`,
      HistogramKeepAlive.create,
    );
  }
  await play(workload, 'fixed 1 min', () =>
    FixedTimeout.create(MINUTE_MILLISECONDS),
  );
  await play(workload, 'fixed 10 min', () =>
    FixedTimeout.create(10 * MINUTE_MILLISECONDS),
  );
  await play(workload, 'never unless room is needed', () =>
    FixedTimeout.create(100 * HOURS * 60 * MINUTE_MILLISECONDS),
  );
  const bound = lowerBound(workload);
  print(
    `offline bound: a load takes ${workload.loadMilliseconds} ms; ${bound.idleHours.toFixed(2)} idle h, ${bound.coldStarts} cold starts with all arrivals known`,
  );
  areKept = judge(workload) && areKept;
  print('');
}
plot();
print(`plot: ${PLOT}`);
process.exit(areKept ? 0 : 1);

async function play(
  workload: Workload,
  policy: string,
  create: () => KeepAlivePolicy,
): Promise<void> {
  const figures = await AwakeSimulation.create(workload, create).run();
  rows.push({workload: workload.name, policy, figures});
  const {coldStarts, idleHours, loads, inTimeShare} = figures;
  print(
    [
      policy.padEnd(34),
      String(coldStarts.length).padStart(6),
      percentile(coldStarts, 0.5).toFixed(0).padStart(8),
      percentile(coldStarts, 0.99).toFixed(0).padStart(8),
      Math.max(0, ...coldStarts)
        .toFixed(0)
        .padStart(9),
      idleHours.toFixed(2).padStart(7),
      (loads / HOURS).toFixed(1).padStart(8),
      `${(100 * inTimeShare).toFixed(2)} %`.padStart(9),
    ].join(' '),
  );
}

/** Keeps a model over a gap just if that is cheaper than loading it again. */
function lowerBound(workload: Workload): {
  idleHours: number;
  coldStarts: number;
} {
  const breakEven =
    (workload.coldStartWeight / workload.idleHourWeight) *
    workload.loadMilliseconds *
    COLD_START_COST_FACTOR;
  let idle = 0;
  let coldStarts = 0;
  for (const {name, memoryGib} of workload.models) {
    let last: number | undefined;
    for (const {at, model} of workload.arrivals) {
      if (model !== name) continue;
      const gap = last === undefined ? Infinity : at - last;
      if (gap <= breakEven) idle += gap * (memoryGib / workload.engineGib);
      else coldStarts += 1;
      last = at;
    }
  }
  return {idleHours: idle / (60 * MINUTE_MILLISECONDS), coldStarts};
}

function judge(workload: Workload): boolean {
  const figuresOf = (policy: string): AwakeFigures | undefined =>
    rows.find(
      row => row.workload === workload.name && row.policy.includes(policy),
    )?.figures;
  const chosen = figuresOf('x1');
  const tenMinutes = figuresOf('fixed 10 min');
  return judgeFigures(
    [
      {
        name: `${workload.name}: p99 cold start over a load at full speed`,
        value:
          percentile(chosen?.coldStarts ?? [], 0.99) /
          workload.loadMilliseconds,
        unit: 'times',
        atMost: MOST_TAIL_RATIO,
      },
      {
        name: `${workload.name}: idle hours over fixed 10 min`,
        value: (chosen?.idleHours ?? NaN) / (tenMinutes?.idleHours ?? NaN),
        unit: 'times',
        atMost: MOST_IDLE_RATIO,
      },
    ],
    print,
  );
}

function plot(): void {
  const chart = echarts.init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: 900,
    height: 500,
  });
  const workloads = [...new Set(rows.map(({workload}) => workload))];
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
      data: rows
        .filter(row => row.workload === workload)
        .map(({policy, figures}) => [
          figures.idleHours,
          figures.coldStarts.length,
          policy,
        ]),
    })),
  });
  mkdirSync('build', {recursive: true});
  writeFileSync(PLOT, chart.renderToSVGString());
}
