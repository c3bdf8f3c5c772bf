/** Help texts, made from the commands themselves. */

import type {Command} from './command.js';

/** Help for everything, or for the commands that start with `prefix`. */
export function overview(commands: readonly Command[], prefix: string): string {
  const shown = commands.filter(({name}) => name.startsWith(prefix));
  const width = Math.max(...shown.map(({name}) => name.length));
  const lines = shown.map(
    ({name, summary}) => `  ${name.padEnd(width)}  ${summary}`,
  );
  return [
    'siskinmux serves rarely used language models and the services beside them.',
    '',
    `Usage: siskinmux ${prefix === '' ? '' : `${prefix} `}COMMAND [OPTIONS]`,
    '',
    ...lines,
    '',
    'A change, from start to end:',
    '  siskinmux check --declarations ./declarations',
    '  siskinmux config plan ./declarations --out plan.json',
    '  siskinmux config apply plan.json --reason "why"',
    '  siskinmux status',
    '',
    'Help on one command: siskinmux COMMAND --help',
  ].join('\n');
}

/** Help on one command. */
export function helpOn(command: Command): string {
  const {name, summary, positionals, options, examples} = command;
  const lines = Object.entries(options).map(([option, spec]) => {
    const flag = `--${option}${spec.placeholder === undefined ? '' : ` ${spec.placeholder}`}`;
    return `  ${flag.padEnd(22)} ${spec.help}`;
  });
  const usage = ['siskinmux', name, ...positionals, '[OPTIONS]'].join(' ');
  return [
    summary,
    '',
    `Usage: ${usage}`,
    ...(lines.length > 0 ? ['', 'Options:', ...lines] : []),
    '',
    'Examples:',
    ...examples.flatMap(({commandLine: line, purpose}) => [`  ${line}`, `      ${purpose}`]),
    '',
    'Exit codes: 0 done, 1 failed, 2 usage, 3 not valid, 4 conflict, 5 not reached.',
  ].join('\n');
}
