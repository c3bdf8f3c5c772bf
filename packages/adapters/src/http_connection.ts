/** An undici client that notices resets, and whose long responses take turns. */

import type {FlowControl} from '@siskinmux/forwarding';
import {PacedSocket, SLICE_BYTES, watchForReset} from '@siskinmux/forwarding';
import type {Dispatcher} from 'undici';
import {Client, errors} from 'undici';
import type {LongResponsePacer, PacedResponse} from './long_response_pacer.js';

/** The current connection of a client. */
interface Connection {
  isReset: boolean;
  flow: FlowControl | undefined;
}

/**
 * Creates a client for one connection at a time, whose responses `pacer` paces. By itself, undici
 * takes a reset for the end of a response that has neither a length nor chunks.
 */
export function createClient(
  origin: string | URL,
  options: Client.Options,
  pacer: LongResponsePacer,
): Dispatcher {
  const connection: Connection = {isReset: false, flow: undefined};
  const {connect} = options;
  const client = new Client(origin, {
    ...options,
    connect:
      typeof connect !== 'function'
        ? connect
        : (target, callback) =>
            connect(target, (...result) => {
              const [, socket] = result;
              connection.isReset = false;
              watchForReset(socket, () => {
                connection.isReset = true;
              });
              connection.flow = socket
                ? PacedSocket.create(socket, {sliceBytes: SLICE_BYTES})
                : undefined;
              callback(...result);
            }),
  });
  return client.compose(
    dispatch => (request, handler) =>
      dispatch(request, watchResponse(handler, connection, pacer)),
  );
}

function watchResponse(
  handler: Dispatcher.DispatchHandler,
  connection: Connection,
  pacer: LongResponsePacer,
): Dispatcher.DispatchHandler {
  let response: PacedResponse | undefined;
  return {
    onRequestStart: (...event) => handler.onRequestStart?.(...event),
    onRequestUpgrade: (...event) => handler.onRequestUpgrade?.(...event),
    onResponseStart: (...event) => {
      const {flow} = connection;
      response = flow && pacer.begin(flow);
      handler.onResponseStart?.(...event);
    },
    onResponseData: (controller, chunk) => {
      response?.record(chunk.length);
      handler.onResponseData?.(controller, chunk);
    },
    onResponseError: (...event) => handler.onResponseError?.(...event),
    onResponseEnd: (controller, trailers) => {
      if (!connection.isReset)
        return handler.onResponseEnd?.(controller, trailers);
      const failure = new errors.SocketError('reset before its end');
      return handler.onResponseError?.(controller, failure);
    },
  };
}
