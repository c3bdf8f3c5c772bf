/** `siskinmux status`: which models are awake, where and why. */

import type {Command, CommandOutput} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {NODE_OPTIONS, OperatorClient} from '../operator_client.js';
import {renderTable} from '../render_table.js';

interface Status {
  readonly now: number;
  readonly configuration: number;
  readonly isPlatformAway: boolean;
  readonly nodes: readonly {
    id: string;
    failureDomain: string;
    status: string;
  }[];
  readonly reservations: readonly Reservation[];
  readonly refusals: readonly {subject: Subject; reason: string}[];
}

interface Subject {
  readonly model: string;
  readonly version?: string;
  readonly adapter?: string;
}

interface Reservation {
  readonly failureDomain: string;
  readonly subject: Subject;
  readonly engine: string;
  readonly state: string;
  readonly reason: string;
  readonly readyAt?: number;
  readonly keepUntil?: number;
  readonly waiting: number;
}

/** Shows the state of the system in words. */
export const statusCommand: Command = {
  name: 'status',
  summary: 'Show nodes, awake models, loads under way and refusals.',
  positionals: [],
  options: NODE_OPTIONS,
  examples: [
    {commandLine: 'siskinmux status', purpose: 'see what is awake, where and why'},
    {commandLine: 'siskinmux status --json', purpose: 'the same for a program'},
  ],
  async run(_positionals, options, output) {
    const status = (await OperatorClient.create(options).get(
      '/status',
    )) as Status;
    if (options['json'] === true) output.writeLine(JSON.stringify(status));
    else print(status, output);
    return ExitCode.Success;
  },
};

function print(status: Status, output: CommandOutput): void {
  output.writeLine(`Configuration ${status.configuration} is in force.`);
  if (status.isPlatformAway) {
    output.writeLine(
      'The object service does not answer. What is loaded goes on serving; nothing new is loaded.',
    );
  }
  output.writeLine(
    renderTable(
      ['node', 'failure domain', 'status'],
      status.nodes.map(node => [node.id, node.failureDomain, node.status]),
    ),
  );
  output.writeLine('');
  if (status.reservations.length === 0) output.writeLine('No model is awake.');
  for (const reservation of status.reservations) {
    output.writeLine(describe(reservation, status.now));
  }
  for (const {subject, reason} of status.refusals) {
    output.writeLine(`${nameOf(subject)} got no place: ${reason}.`);
  }
}

function describe(reservation: Reservation, now: number): string {
  const {subject, failureDomain, engine, waiting} = reservation;
  const place = `on ${engine} in ${failureDomain}`;
  const queue = waiting > 0 ? `; ${waiting} requests wait` : '';
  return `${nameOf(subject)} ${stateOf(reservation, now)} ${place}${queue}.`;
}

function stateOf(reservation: Reservation, now: number): string {
  const {state, reason, readyAt, keepUntil} = reservation;
  switch (state) {
    case 'loading':
      return `is loading (ready ${inWords(readyAt, now)}; because ${reason})`;
    case 'ready':
      return `is awake (kept until ${inWords(keepUntil, now)} if unused)`;
    case 'draining':
      return `takes no new work (${reason})`;
    case 'unloading':
      return `is being unloaded (${reason})`;
    default:
      return `still counts (${reason})`;
  }
}

function inWords(instant: number | undefined, now: number): string {
  if (instant === undefined) return 'at a time not known';
  const seconds = Math.round((instant - now) / 1_000);
  return seconds <= 0 ? 'now' : `in ${seconds} s`;
}

function nameOf(subject: Subject): string {
  if (subject.adapter !== undefined) {
    return `adapter ${subject.adapter} of ${subject.model}`;
  }
  return `${subject.model}@${subject.version ?? ''}`;
}
