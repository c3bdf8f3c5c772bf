/** Prints benchmark results and checks them against their bounds. */

/** A measured value with its bounds. */
export interface BoundedMetric {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly maximum?: number;
  readonly minimum?: number;
}

/** Prints each metric with its bound; true when all are within their bounds. */
export function checkBounds(
  metrics: readonly BoundedMetric[],
  print: (line: string) => void,
): boolean {
  let areWithinBounds = true;
  for (const metric of metrics) {
    const isWithinBound = isWithinBounds(metric);
    areWithinBounds &&= isWithinBound;
    print(
      `${isWithinBound ? 'ok  ' : 'MISS'} ${metric.name.padEnd(52)} ${formatValue(metric.value).padStart(10)} ${metric.unit}${formatBound(metric)}`,
    );
  }
  return areWithinBounds;
}

/** Returns the sample at a share of the sorted samples, such as 0.99. */
export function percentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? NaN;
}

function isWithinBounds({value, maximum, minimum}: BoundedMetric): boolean {
  if (!Number.isFinite(value)) return false;
  return value <= (maximum ?? Infinity) && value >= (minimum ?? -Infinity);
}

function formatBound({maximum, minimum}: BoundedMetric): string {
  if (maximum !== undefined) return ` (at most ${formatValue(maximum)})`;
  if (minimum !== undefined) return ` (at least ${formatValue(minimum)})`;
  return '';
}

function formatValue(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
