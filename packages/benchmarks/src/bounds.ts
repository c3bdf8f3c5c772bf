/** Figures with the bounds that the target sets, printed and judged. */

/** One figure and what it has to keep to. */
export interface BoundedMetric {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly maximum?: number;
  readonly minimum?: number;
}

/** Prints figures against their bounds; true when all are kept. */
export function checkBounds(
  figures: readonly BoundedMetric[],
  print: (line: string) => void,
): boolean {
  let areKept = true;
  for (const figure of figures) {
    const isKept = keeps(figure);
    areKept &&= isKept;
    print(
      `${isKept ? 'ok  ' : 'MISS'} ${figure.name.padEnd(52)} ${format(figure.value).padStart(10)} ${figure.unit}${boundOf(figure)}`,
    );
  }
  return areKept;
}

/** The value at a share of sorted samples. */
export function percentile(samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? NaN;
}

function keeps({
  value,
  maximum: atMost,
  minimum: atLeast,
}: BoundedMetric): boolean {
  if (!Number.isFinite(value)) return false;
  return value <= (atMost ?? Infinity) && value >= (atLeast ?? -Infinity);
}

function boundOf({maximum: atMost, minimum: atLeast}: BoundedMetric): string {
  if (atMost !== undefined) return ` (at most ${format(atMost)})`;
  if (atLeast !== undefined) return ` (at least ${format(atLeast)})`;
  return '';
}

function format(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
