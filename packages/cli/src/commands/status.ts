/** `siskinmux status`: shows which models are loaded, where and why. */

import type {Command, CommandOutput} from '../command.js';
import {ExitCode} from '../exit_code.js';
import {CONNECTION_OPTIONS, OperatorClient} from '../operator_client.js';
import {renderTable} from '../render_table.js';

/** Response of the node; all instants are in Unix milliseconds by its clock. */
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

/** Shows the state of the system as text or JSON. */
export const statusCommand: Command = {
  name: 'status',
  summary: 'Show nodes, loaded models, loads in progress and refusals.',
  positionals: [],
  options: CONNECTION_OPTIONS,
  examples: [
    {
      commandLine: 'siskinmux status',
      purpose: 'see which models are loaded, where and why',
    },
    {commandLine: 'siskinmux status --json', purpose: 'print the same as JSON'},
  ],
  async run(_positionals, options, output) {
    const status = (await OperatorClient.create(options).get(
      '/status',
    )) as Status;
    if (options['json'] === true) output.writeLine(JSON.stringify(status));
    else printStatus(status, output);
    return ExitCode.Success;
  },
};

function printStatus(status: Status, output: CommandOutput): void {
  output.writeLine(`Configuration ${status.configuration} is active.`);
  if (status.isPlatformAway) {
    output.writeLine(
      'The object service is unavailable. Loaded models continue to serve; nothing more is loaded.',
    );
  }
  output.writeLine(
    renderTable(
      ['node', 'failure domain', 'status'],
      status.nodes.map(node => [node.id, node.failureDomain, node.status]),
    ),
  );
  output.writeLine('');
  if (status.reservations.length === 0) output.writeLine('No model is loaded.');
  for (const reservation of status.reservations) {
    output.writeLine(describeReservation(reservation, status.now));
  }
  for (const {subject, reason} of status.refusals) {
    output.writeLine(`${nameOf(subject)} could not be placed: ${reason}.`);
  }
}

function describeReservation(reservation: Reservation, now: number): string {
  const {subject, failureDomain, engine, waiting} = reservation;
  const location = `on ${engine} in ${failureDomain}`;
  const waitingText = waiting > 0 ? `; ${waiting} requests are waiting` : '';
  return `${nameOf(subject)} ${describeState(reservation, now)} ${location}${waitingText}.`;
}

function describeState(reservation: Reservation, now: number): string {
  const {state, reason, readyAt, keepUntil} = reservation;
  switch (state) {
    case 'loading':
      return `is loading (ready ${describeInstant(readyAt, now)}; reason: ${reason})`;
    case 'ready':
      return `is ready (unloaded ${describeInstant(keepUntil, now)} if unused)`;
    case 'draining':
      return `is draining (${reason})`;
    case 'unloading':
      return `is unloading (${reason})`;
    default:
      return `still has its memory reserved (${reason})`;
  }
}

function describeInstant(instant: number | undefined, now: number): string {
  if (instant === undefined) return 'at an unknown time';
  const seconds = Math.round((instant - now) / 1_000);
  return seconds <= 0 ? 'now' : `in ${seconds} s`;
}

function nameOf(subject: Subject): string {
  if (subject.adapter !== undefined) {
    return `adapter ${subject.adapter} of ${subject.model}`;
  }
  return `${subject.model}@${subject.version ?? ''}`;
}
