/** `siskinmux explain`: what became of a request, or what a node lost, from the logs. */

import type {Command} from '../command.js';
import {UsageError, stringOption} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {isTurnOf} from '../explain/explain_node.js';
import {explainRequest} from '../explain/explain_request.js';
import type {LogLine} from '../explain/log_line.js';
import {readLogs} from '../explain/log_line.js';

/** Explains from the logs of all nodes. */
export const explainCommand: Command = {
  name: 'explain',
  summary: 'Tell what became of a request, or what a node lost, from logs.',
  positionals: ['LOG...'],
  options: {
    request: {type: 'string', placeholder: 'ID', help: 'the request to explain'},
    node: {type: 'string', placeholder: 'NODE', help: 'the node to explain'},
  },
  examples: [
    {
      commandLine: 'siskinmux explain --request 778fa88ef9d9986c node-*.log',
      purpose: 'find out why a caller got what it got',
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
      const lines = await readLogs(files, line => isTurnOf(node, line));
      for (const line of lines) output.writeLine(render(line, lines[0]));
      if (lines.length > 0) return ExitCode.Success;
      output.writeError(`No line of ${node} tells of something lost or regained.`);
      return ExitCode.Failure;
    }
    const id = request ?? '';
    const story = explainRequest(id, await readLogs(files, () => true));
    if (story === undefined) {
      output.writeError(`No line names the request ${id}.`);
      return ExitCode.Failure;
    }
    for (const line of story.lines) output.writeLine(render(line, story.lines[0]));
    output.writeLine(story.outcome);
    return ExitCode.Success;
  },
};

/** A line with the milliseconds since the first one, which bear the nodes' own clocks. */
function render(line: LogLine, first: LogLine | undefined): string {
  const since = line.time - (first?.time ?? line.time);
  const fields = Object.entries(line.fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}=${String(value)}`);
  return `+${since} ms  ${line.node}  ${line.event}  ${fields.join(' ')}`;
}
