/** Renders help texts from the definitions of the commands. */

import type {Command} from './command.js';

/** Lists all commands whose name starts with `prefix`; an empty prefix lists all. */
export function renderOverview(
  commands: readonly Command[],
  prefix: string,
): string {
  const listed = commands.filter(({name}) => name.startsWith(prefix));
  const width = Math.max(...listed.map(({name}) => name.length));
  const lines = listed.map(
    ({name, summary}) => `  ${name.padEnd(width)}  ${summary}`,
  );
  return [
    'siskinmux serves rarely used language models and plain services.',
    '',
    `Usage: siskinmux ${prefix === '' ? '' : `${prefix} `}COMMAND [OPTIONS]`,
    '',
    ...lines,
    '',
    'How to change the configuration:',
    '  siskinmux check --declarations ./declarations',
    '  siskinmux config plan ./declarations --out plan.json',
    '  siskinmux config apply plan.json --reason "why"',
    '  siskinmux status',
    '',
    'Help for one command: siskinmux COMMAND --help',
  ].join('\n');
}

/** Describes one command with its options and examples. */
export function renderCommandHelp(command: Command): string {
  const {name, summary, positionals, options, examples} = command;
  const optionLines = Object.entries(options).map(([option, spec]) => {
    const flag = `--${option}${spec.placeholder === undefined ? '' : ` ${spec.placeholder}`}`;
    return `  ${flag.padEnd(22)} ${spec.help}`;
  });
  const usage = ['siskinmux', name, ...positionals, '[OPTIONS]'].join(' ');
  return [
    summary,
    '',
    `Usage: ${usage}`,
    ...(optionLines.length > 0 ? ['', 'Options:', ...optionLines] : []),
    '',
    'Examples:',
    ...examples.flatMap(({commandLine, purpose}) => [
      `  ${commandLine}`,
      `      ${purpose}`,
    ]),
    '',
    'Exit codes: 0 success, 1 failure, 2 usage, 3 invalid, 4 conflict, 5 unreachable.',
  ].join('\n');
}
