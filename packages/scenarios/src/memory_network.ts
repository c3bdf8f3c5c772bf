/** Messages between simulated nodes, with delays, losses and cuts. */

import type {Clock, Random} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, jitter, sleepFor} from '@siskinmux/kernel';
import type {PeerTransport, ReceiveMessage} from '@siskinmux/node';
import type {ProcessGate} from './process_gate.js';

/** One way between failure domains, and its spread. */
const DELAY_MILLISECONDS = 1;
const DELAY_JITTER = 0.5;

/** The other side was not reached. */
export class MessageLostError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.PeerUnreachable, detail);
  }
}

interface Station {
  readonly gate: ProcessGate;
  readonly receive: ReceiveMessage;
}

/** All stations and the cuts between them. */
export class SimulatedNetwork {
  private readonly stations = new Map<string, Station>();
  private readonly cuts = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(options: {clock: Clock; random: Random}): SimulatedNetwork {
    return new SimulatedNetwork(options.clock, options.random);
  }

  /** Loses all messages between two stations, both ways. */
  cut(left: string, right: string): void {
    this.cuts.add(pairOf(left, right));
  }

  /** Ends all cuts. */
  heal(): void {
    this.cuts.clear();
  }

  /** Whether messages pass between two stations. */
  isCut(left: string, right: string): boolean {
    return this.cuts.has(pairOf(left, right));
  }

  /** A message's time on its way. */
  delayMessage(): Promise<void> {
    const delay = jitter(this.random, DELAY_MILLISECONDS, DELAY_JITTER);
    return sleepFor(this.clock, delay);
  }

  /** The transport of one node. */
  transport(address: string, gate: ProcessGate): PeerTransport {
    return {
      send: (target, text, signal) =>
        gate.pass(abortable(this.send(address, target, text), signal)),
      listen: async receive => {
        this.stations.set(address, {gate, receive});
        return address;
      },
      close: async () => this.leave(address, gate),
      abandon: async () => this.leave(address, gate),
    };
  }

  /** A later process on the same address keeps it. */
  private leave(address: string, gate: ProcessGate): void {
    if (this.stations.get(address)?.gate === gate) {
      this.stations.delete(address);
    }
  }

  private async send(from: string, to: string, text: string): Promise<string> {
    await this.delayMessage();
    if (this.isCut(from, to)) return never();
    const station = this.stations.get(to);
    if (station === undefined || station.gate.state === 'killed') {
      throw new MessageLostError(`${to} refuses connections`);
    }
    await station.gate.whenRunning();
    const answer = await station.gate.pass(station.receive(text));
    await this.delayMessage();
    // An answer is lost as easily as a question.
    if (this.isCut(from, to)) return never();
    return answer ?? 'null';
  }
}

/** Rejects when the signal aborts first. */
export function abortable<Result>(
  work: Promise<Result>,
  signal: AbortSignal,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const abort = (): void => reject(new MessageLostError('gave up waiting'));
    if (signal.aborted) {
      abort();
      return;
    }
    signal.addEventListener('abort', abort, {once: true});
    work.then(resolve, reject).finally(() => {
      signal.removeEventListener('abort', abort);
    });
  });
}

function never(): Promise<never> {
  return new Promise(() => {});
}

function pairOf(left: string, right: string): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`;
}
