/** Tells a connection that was reset from one that was closed. */

import type {Socket} from 'node:net';

const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Detects a connection reset, even if Node.js reports only the end of the stream.
 * A reset that arrives together with the last bytes is read as a normal end, and undici
 * treats either as the end of a response without a length. An empty write fails on a
 * connection that was reset and has no effect on one that was closed.
 */
export function watchForReset(
  socket: Socket | null,
  onReset: () => void,
): void {
  socket?.prependListener('error', onReset);
  socket?.prependListener('end', () => {
    socket.write(EMPTY_BUFFER);
    if (socket.errored) onReset();
  });
}
