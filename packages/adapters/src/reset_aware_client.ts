/** An undici client that fails a response whose connection was reset before its end. */

import {watchForReset} from '@siskinmux/forwarding';
import type {Dispatcher} from 'undici';
import {Client, errors} from 'undici';

/**
 * Creates a client for one connection at a time. By itself, undici takes a reset for the end of a
 * response that has neither a length nor chunks.
 */
export function createResetAwareClient(
  origin: string | URL,
  options: Client.Options,
): Dispatcher {
  let isReset = false;
  const {connect} = options;
  const client = new Client(origin, {
    ...options,
    connect:
      typeof connect !== 'function'
        ? connect
        : (target, callback) =>
            connect(target, (...result) => {
              isReset = false;
              watchForReset(result[1], () => {
                isReset = true;
              });
              callback(...result);
            }),
  });
  return client.compose(
    dispatch => (request, handler) =>
      dispatch(
        request,
        failOnReset(handler, () => isReset),
      ),
  );
}

function failOnReset(
  handler: Dispatcher.DispatchHandler,
  isReset: () => boolean,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (...event) => handler.onRequestStart?.(...event),
    onRequestUpgrade: (...event) => handler.onRequestUpgrade?.(...event),
    onResponseStart: (...event) => handler.onResponseStart?.(...event),
    onResponseData: (...event) => handler.onResponseData?.(...event),
    onResponseError: (...event) => handler.onResponseError?.(...event),
    onResponseEnd: (controller, trailers) => {
      if (!isReset()) return handler.onResponseEnd?.(controller, trailers);
      const failure = new errors.SocketError('reset before its end');
      return handler.onResponseError?.(controller, failure);
    },
  };
}
