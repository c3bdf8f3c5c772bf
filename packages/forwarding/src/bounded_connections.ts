/** Bounds the connections that clients of a listener may keep open. */

import type {Socket} from 'node:net';

/** Most connections of a listener. */
export interface ConnectionLimits {
  readonly total: number;
  readonly perAddress: number;
}

/**
 * Checks in a row without progress after which a connection whose client doesn't read is closed.
 * Checks are counted, as the time in which a process was paused doesn't count.
 */
const MAXIMUM_UNREAD_CHECKS = 30;

/** Checks in a row after which a connection is closed whose client has taken the last response. */
const MAXIMUM_ENDED_CHECKS = 2;

/** What a connection is used for; those that come first are closed first. */
export const CONNECTION_USES = [
  /** Its client doesn't read responses, or has more requests than are read ahead. */
  'held_back',
  /** No request is open. */
  'idle',
  /** A request is being received. */
  'receiving',
  /** A request is served. */
  'serving',
] as const;

export type ConnectionUse = (typeof CONNECTION_USES)[number];

/** Why a connection was closed or held back. */
export type ClientLimit =
  | 'connections'
  | 'connections_per_address'
  | 'unread'
  | 'read_ahead'
  | 'refusals'
  | 'head_bytes'
  | 'head_time'
  | 'peer_messages'
  | 'read_rate';

/** Options of {@link BoundedConnections}. */
export interface BoundedConnectionsOptions {
  readonly limits: ConnectionLimits;
  readonly useOf: (socket: Socket) => ConnectionUse;
  readonly onLimited: (limit: ClientLimit, socket: Socket) => void;
}

interface Connection {
  readonly socket: Socket;
  readonly address: string;
  /** Bytes that its client had taken at the last check, and how many checks found as many. */
  takenBytes: number;
  unreadChecks: number;
  /** Checks since all responses have been taken, the last one included. */
  endedChecks: number;
}

/**
 * The open connections of a listener. At a limit, one is closed: of the address that has most of
 * them, the one that is first by its use, and among equals the oldest; the new one, if all others
 * serve requests.
 */
export class BoundedConnections {
  private readonly byAddress = new Map<string, Set<Connection>>();
  private count = 0;

  private constructor(private readonly options: BoundedConnectionsOptions) {}

  static create(options: BoundedConnectionsOptions): BoundedConnections {
    return new BoundedConnections(options);
  }

  /** Counts a new connection; false if it has been closed. */
  accept(socket: Socket): boolean {
    const {total, perAddress} = this.options.limits;
    const address = socket.remoteAddress ?? '';
    const connection: Connection = {
      socket,
      address,
      takenBytes: 0,
      unreadChecks: 0,
      endedChecks: 0,
    };
    this.add(connection);
    const own = this.byAddress.get(address);
    if (own !== undefined && own.size > perAddress)
      this.closeOneOf(own, connection, 'connections_per_address');
    else if (this.count > total)
      this.closeOneOf(this.largest(), connection, 'connections');
    return !socket.destroyed;
  }

  /**
   * Closes connections whose clients have taken nothing of what waits for them for too long, or
   * don't close them after the last response. Has to be called once a second.
   */
  closeUnread(): void {
    const connections = [...this.byAddress.values()].flatMap(own => [...own]);
    for (const connection of connections) {
      const {socket} = connection;
      const {bytesWritten, writableLength} = socket;
      if (socket.writableFinished) connection.endedChecks += 1;
      if (connection.endedChecks >= MAXIMUM_ENDED_CHECKS) socket.destroy();
      const takenBytes = bytesWritten - writableLength;
      const isStalled =
        writableLength > 0 && takenBytes === connection.takenBytes;
      connection.takenBytes = takenBytes;
      connection.unreadChecks = isStalled ? connection.unreadChecks + 1 : 0;
      if (connection.unreadChecks >= MAXIMUM_UNREAD_CHECKS)
        this.close(connection, 'unread');
    }
  }

  private add(connection: Connection): void {
    const {address, socket} = connection;
    const own = this.byAddress.get(address) ?? new Set();
    this.byAddress.set(address, own.add(connection));
    this.count += 1;
    socket.once('close', () => this.remove(connection));
  }

  private remove(connection: Connection): void {
    const own = this.byAddress.get(connection.address);
    if (!own?.delete(connection)) return;
    this.count -= 1;
    if (own.size === 0) this.byAddress.delete(connection.address);
  }

  private largest(): ReadonlySet<Connection> {
    let largest: ReadonlySet<Connection> = new Set();
    for (const own of this.byAddress.values())
      if (own.size > largest.size) largest = own;
    return largest;
  }

  private closeOneOf(
    connections: ReadonlySet<Connection>,
    added: Connection,
    limit: ClientLimit,
  ): void {
    const firstByUse = new Map<ConnectionUse, Connection>();
    for (const connection of connections) {
      if (connection === added) continue;
      const use = this.options.useOf(connection.socket);
      if (!firstByUse.has(use)) firstByUse.set(use, connection);
    }
    firstByUse.delete('serving');
    const use = CONNECTION_USES.find(use => firstByUse.has(use));
    const closed = use && firstByUse.get(use);
    this.close(closed ?? added, limit);
  }

  private close(connection: Connection, limit: ClientLimit): void {
    // The socket reports its close later.
    this.remove(connection);
    this.options.onLimited(limit, connection.socket);
    connection.socket.destroy();
  }
}
