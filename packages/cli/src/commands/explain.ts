/**
 * `siskinmux explain`: explains the outcome of a request, or lists the state changes of a
 * node, from the logs.
 */

import type {Command} from '../command.js';
import {UsageError, stringOption} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {isNodeStateChange} from '../explain/explain_node.js';
import {explainRequest} from '../explain/explain_request.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogs} from '../explain/log_line.js';

/** Correlates the log lines of all nodes. */
export const explainCommand: Command = {
  name: 'explain',
  summary: 'Explain the outcome of a request, or what a node lost, from logs.',
  positionals: ['LOG...'],
  options: {
    request: {
      type: 'string',
      placeholder: 'ID',
      help: 'the request to explain',
    },
    node: {type: 'string', placeholder: 'NODE', help: 'the node to explain'},
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
  ],
  async run(files, options, output) {
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
