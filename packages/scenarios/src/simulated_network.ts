/** A simulated network between nodes, with delays and cut links. */

import type {Clock, Random} from '@siskinmux/kernel';
import {ErrorCode, SiskinmuxError, jitter, sleepFor} from '@siskinmux/kernel';
import type {PeerTransport, ReceiveMessage} from '@siskinmux/node';
import type {ProcessGate} from './process_gate.js';

/** Mean one-way delay of a message, as between failure domains, and the share by which it varies. */
const DELAY_MILLISECONDS = 1;
const DELAY_JITTER = 0.5;

/** A message or its response did not arrive. */
export class MessageLostError extends SiskinmuxError {
  constructor(detail: string) {
    super(ErrorCode.PeerUnreachable, detail);
  }
}

interface Listener {
  readonly gate: ProcessGate;
  readonly receive: ReceiveMessage;
}

/** Delivers messages between addresses, except over links that are cut. */
export class SimulatedNetwork {
  private readonly listeners = new Map<string, Listener>();
  private readonly cutLinks = new Set<string>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(options: {clock: Clock; random: Random}): SimulatedNetwork {
    return new SimulatedNetwork(options.clock, options.random);
  }

  /** Drops all messages between two addresses, in both directions. */
  cut(left: string, right: string): void {
    this.cutLinks.add(linkKey(left, right));
  }

  /** Restores all cut links. */
  heal(): void {
    this.cutLinks.clear();
  }

  /** Whether messages between two addresses are dropped. */
  isCut(left: string, right: string): boolean {
    return this.cutLinks.has(linkKey(left, right));
  }

  /** Resolves after the simulated one-way delay. */
  delayMessage(): Promise<void> {
    const delay = jitter(this.random, DELAY_MILLISECONDS, DELAY_JITTER);
    return sleepFor(this.clock, delay);
  }

  /** Creates the transport of the node at `address`. */
  transport(address: string, gate: ProcessGate): PeerTransport {
    return {
      send: (target, text, signal) =>
        gate.settleWhileRunning(
          rejectOnAbort(this.send(address, target, text), signal),
        ),
      listen: async receive => {
        this.listeners.set(address, {gate, receive});
        return address;
      },
      close: async () => this.removeListener(address, gate),
      abandon: async () => this.removeListener(address, gate),
    };
  }

  /** Keeps the listener of a later process that uses the same address. */
  private removeListener(address: string, gate: ProcessGate): void {
    if (this.listeners.get(address)?.gate === gate) {
      this.listeners.delete(address);
    }
  }

  private async send(from: string, to: string, text: string): Promise<string> {
    await this.delayMessage();
    if (this.isCut(from, to)) return neverSettles();
    const listener = this.listeners.get(to);
    if (listener === undefined || listener.gate.state === 'killed') {
      throw new MessageLostError(`${to} refuses connections`);
    }
    await listener.gate.whenRunning();
    const response = await listener.gate.settleWhileRunning(
      listener.receive(text),
    );
    await this.delayMessage();
    // The link may have been cut while the request was handled.
    if (this.isCut(from, to)) return neverSettles();
    return response ?? 'null';
  }
}

/** Settles as `work` does, or rejects if the signal aborts first. */
export function rejectOnAbort<Result>(
  work: Promise<Result>,
  signal: AbortSignal,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    const abort = (): void =>
      reject(new MessageLostError('aborted by the sender'));
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

function neverSettles(): Promise<never> {
  return new Promise(() => {});
}

function linkKey(left: string, right: string): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`;
}
