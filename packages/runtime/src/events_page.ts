/** Generates the event catalogue of the documentation. */

import type {EventDescriptor} from '@siskinmux/kernel';

/** Renders a Markdown page that lists events by number. */
export function renderEventsPage(
  title: string,
  events: readonly EventDescriptor[],
): string {
  const rows = [...events]
    .sort((left, right) => left.number - right.number)
    .map(
      ({number, name, level, meaning}) =>
        `| ${number} | ${name} | ${level} | ${meaning} |`,
    );
  return [
    `# ${title}`,
    '',
    'Every log line is one JSON object. `context.event` is the number below,',
    '`message` the name. This page is made by `npm run catalogues`; a test compares it.',
    '',
    '| number | name | level | meaning and what to do |',
    '|---|---|---|---|',
    ...rows,
    '',
  ].join('\n');
}
