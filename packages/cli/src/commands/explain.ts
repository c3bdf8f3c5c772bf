/**
 * `siskinmux explain`: explains the outcome of a request, or lists the state changes of a
 * node, from the logs; or asks a running node where a request would go now.
 */

import type {Command, CommandOutput, OptionValues} from '../command.js';
import {UsageError, stringOption} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {askWhere} from '../explain/ask_where.js';
import {describeWhere} from '../explain/describe_where.js';
import {isNodeStateChange} from '../explain/explain_node.js';
import {explainRequest} from '../explain/explain_request.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogs} from '../explain/log_line.js';

/** Options that belong to `--where`. */
const WHERE_OPTIONS = [
  'method',
  'host',
  'path',
  'model',
  'adapter',
  'version',
  'team',
  'tokens',
  'deadline',
  'json',
] as const;

/** Correlates the log lines of all nodes, or asks one of them. */
export const explainCommand: Command = {
  name: 'explain',
  summary:
    'Explain the outcome of a request, or what a node lost, from logs, or where a request would go now.',
  positionals: ['[LOG...]'],
  options: {
    request: {
      type: 'string',
      placeholder: 'ID',
      help: 'the request to explain',
    },
    node: {
      type: 'string',
      placeholder: 'NODE',
      help: 'the node to explain; with --where, HOST:PORT of its metrics address',
    },
    where: {
      type: 'boolean',
      help: 'ask a running gateway where a request would go now, without sending it',
    },
    method: {type: 'string', placeholder: 'METHOD', help: 'default GET'},
    host: {type: 'string', placeholder: 'HOST', help: 'host of the request'},
    path: {type: 'string', placeholder: 'PATH', help: 'path of the request'},
    model: {type: 'string', placeholder: 'MODEL', help: 'its model'},
    adapter: {type: 'string', placeholder: 'ADAPTER', help: 'its adapter'},
    version: {
      type: 'string',
      placeholder: 'VERSION',
      help: 'software version that began the stream which it continues',
    },
    team: {
      type: 'string',
      placeholder: 'NAME',
      help: 'name of its team, never a key',
    },
    tokens: {
      type: 'string',
      placeholder: 'PROMPT,OUTPUT',
      help: 'its prompt tokens and maximum output tokens',
    },
    deadline: {
      type: 'string',
      placeholder: 'MILLISECONDS',
      help: 'time until its caller gives up',
    },
    json: {type: 'boolean', help: 'with --where, print JSON'},
  },
  examples: [
    {
      commandLine: 'siskinmux explain --request 778fa88ef9d9986c node-*.log',
      purpose: 'find out why a request had its outcome',
    },
    {
      commandLine: 'siskinmux explain --node front-a-1 node-*.log',
      purpose: 'see when a node lost the store or the allocator',
    },
    {
      commandLine:
        'siskinmux explain --where --node 10.1.0.4:7381 --host offers.example --path /text/ --model m0 --team fizi430',
      purpose: 'see where a request would go now, and why',
    },
  ],
  async run(files, options, output) {
    if (options['where'] === true) return explainWhere(files, options, output);
    const foreign = WHERE_OPTIONS.find(name => options[name] !== undefined);
    if (foreign !== undefined)
      throw new UsageError(`--${foreign} is only used with --where.`);
    if (files.length === 0) throw new UsageError('explain expects LOG....');
    const request = stringOption(options, 'request');
    const node = stringOption(options, 'node');
    if ((request === undefined) === (node === undefined)) {
      throw new UsageError('Name either --request or --node.');
    }
    if (node !== undefined) {
      const lines = await readLogs(files, line =>
        isNodeStateChange(node, line),
      );
      for (const line of lines) output.writeLine(renderLine(line, lines[0]));
      if (lines.length > 0) return ExitCode.Success;
      output.writeError(
        `No log line of ${node} reports anything lost or regained.`,
      );
      return ExitCode.Failure;
    }
    const id = request ?? '';
    const explanation = explainRequest(id, await readLogs(files, () => true));
    if (explanation === undefined) {
      output.writeError(`No log line mentions request ${id}.`);
      return ExitCode.Failure;
    }
    for (const line of explanation.lines)
      output.writeLine(renderLine(line, explanation.lines[0]));
    output.writeLine(explanation.outcome);
    return ExitCode.Success;
  },
};

async function explainWhere(
  files: readonly string[],
  options: OptionValues,
  output: CommandOutput,
): Promise<ExitCode> {
  if (files.length > 0 || stringOption(options, 'request') !== undefined)
    throw new UsageError('--where takes neither logs nor --request.');
  const answer = await askWhere(options);
  if (options['json'] === true) output.writeLine(JSON.stringify(answer));
  else for (const line of describeWhere(answer)) output.writeLine(line);
  return ExitCode.Success;
}

/**
 * Renders a line with its offset from the first. Offsets include the skew between the
 * clocks of the nodes.
 */
function renderLine(line: LogLine, first: LogLine | undefined): string {
  const offsetMilliseconds = line.time - (first?.time ?? line.time);
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  return `+${offsetMilliseconds} ms  ${line.node}  ${line.event}  ${fields.join(' ')}`;
}
