/** Renders plain-text tables. */

import Table from 'cli-table3';

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: ' ',
};

/** Renders rows in aligned columns without borders. */
export function renderTable(
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...head],
    chars: BORDERLESS,
    style: {'padding-left': 0, 'padding-right': 1, head: [], border: []},
  });
  for (const row of rows) table.push([...row]);
  return table.toString();
}
