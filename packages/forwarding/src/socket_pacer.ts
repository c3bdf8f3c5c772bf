/** Paces what connections pass to their HTTP parser. */

import type {Socket} from 'node:net';
import type {
  FlowControl,
  PauseReason,
  ReceiveMeter,
  ReceiveScheduler,
} from './receive_scheduler.js';
import type {ReceiveGate, RequestGate} from './request_gate.js';

/** Bytes that are parsed at once; a read of the socket returns up to 65,536. */
export const SLICE_BYTES = 4_096;

/** Options of {@link PacedSocket}. */
export interface PacedSocketOptions {
  /** Most bytes that are passed on at once. */
  readonly sliceBytes: number;
  readonly onPause?: () => void;
  /** Decides how much of a slice is passed on; all of it if there is no gate. */
  readonly gate?: ReceiveGate | undefined;
}

/**
 * Holds received bytes back while the connection is out of turn, and reads no more meanwhile.
 * Pausing the parser instead has no effect on a server, whose requests resume it, and lets the
 * unread bytes of a client's connection grow with each resumption.
 */
export class PacedSocket implements FlowControl {
  private readonly held: (Buffer | null)[] = [];
  private isInTurn = true;
  private readonly push: (bytes: Buffer | null) => boolean;
  private readonly read: (size: number) => void;

  private constructor(
    private readonly socket: Socket,
    private readonly options: PacedSocketOptions,
  ) {
    this.push = socket.push.bind(socket);
    socket.push = (bytes: Buffer | null) => this.receive(bytes);
    this.read = socket._read.bind(socket);
    // Each slice that is passed on makes the stream read again, also while others are held.
    socket._read = size => {
      if (this.held.length === 0) this.read(size);
    };
  }

  /** Makes `socket` pass on what it receives through the returned object. */
  static create(socket: Socket, options: PacedSocketOptions): PacedSocket {
    return new PacedSocket(socket, options);
  }

  /** False if the socket should not be read. */
  private receive(bytes: Buffer | null): boolean {
    this.held.push(bytes);
    return this.passOn(this.held.length === 1);
  }

  /** Passes on what the gate admits now. */
  readonly continueReceipt = (): void => {
    this.passOn(false);
  };

  pause(): void {
    this.isInTurn = false;
    this.options.onPause?.();
  }

  resume(): void {
    this.isInTurn = true;
    this.passOn(false);
  }

  /** False if the socket should not be read; `isFirst` if the first bytes have just been read. */
  private passOn(isFirst: boolean): boolean {
    const {sliceBytes, gate} = this.options;
    let canContinue = true;
    let isNew = isFirst;
    while (this.isInTurn && !this.socket.destroyed) {
      const [bytes] = this.held;
      if (bytes === undefined) return canContinue;
      if (bytes === null) {
        this.held.shift();
        canContinue = this.push(null);
        continue;
      }
      if (gate !== undefined && gate.receipt !== 'admitted') {
        this.held.shift();
        gate.drop(bytes.length);
        canContinue = gate.receipt === 'dropped';
        // Nothing is passed on that would make the stream read again.
        if (canContinue) this.read(0);
        continue;
      }
      const slice = bytes.subarray(0, sliceBytes);
      const count = gate?.admit(slice, isNew) ?? slice.length;
      if (count === 0) return false;
      isNew = false;
      if (count === bytes.length) this.held.shift();
      else this.held[0] = bytes.subarray(count);
      canContinue = this.push(slice.subarray(0, count));
    }
    return false;
  }
}

/** Called with the other end of a connection, and why it is held back. */
export type OnPaced = (address: string, reason: PauseReason) => void;

/** Lets a scheduler pace connections. */
export class SocketPacer {
  private readonly meters = new WeakMap<Socket, ReceiveMeter>();

  private constructor(
    private readonly scheduler: ReceiveScheduler,
    private readonly onPaced: OnPaced,
  ) {}

  /** `onPaced` is called when a connection is held back for a reason for the first time. */
  static create(scheduler: ReceiveScheduler, onPaced: OnPaced): SocketPacer {
    return new SocketPacer(scheduler, onPaced);
  }

  /** The meter of a connection, which all its requests share. */
  meterOf(socket: Socket): ReceiveMeter {
    return this.meters.get(socket) ?? this.pace(socket);
  }

  /** Paces a connection from now on, and lets its gate hold it back; returns its meter. */
  pace(socket: Socket, gate?: RequestGate): ReceiveMeter {
    const {remoteAddress, remotePort} = socket;
    const reported = new Set<PauseReason>();
    const paced = PacedSocket.create(socket, {
      sliceBytes: SLICE_BYTES,
      onPause: () => {
        const {pauseReason} = meter;
        if (reported.has(pauseReason)) return;
        reported.add(pauseReason);
        this.onPaced(`${remoteAddress}:${remotePort}`, pauseReason);
      },
      gate,
    });
    gate?.onContinue(paced.continueReceipt);
    // Responses of endpoints are bounded by their readers, and have to be read within their time.
    const meter = this.scheduler.createMeter(paced, gate !== undefined);
    this.meters.set(socket, meter);
    socket.once('close', () => meter.end());
    return meter;
  }
}
