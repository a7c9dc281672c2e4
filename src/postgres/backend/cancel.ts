/**
 * Sends a CancelRequest over a separate connection. Source: PostgreSQL manual, "Canceling Requests in
 * Progress".
 *
 * The race: a CancelRequest names a back-end process, not a statement. The server signals that process when
 * it handles the request, and cancels whatever the process runs at that time. A request that is still in
 * transit when the batch ends would cancel the next batch, perhaps another tenant's.
 *
 * The rule: the server closes the cancel connection only after it has sent the signal. So a connection
 * takes no other batch until its current batch has ended and the server has closed every cancel connection
 * that was opened for it. If that close is not observed (timeout, reset), the connection is closed and
 * never used again.
 */

import type { Socket } from 'node:net';
import { errAsync, type ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { BackendCancelError } from './errors.js';
import { openSocket } from './open-socket.js';
import { type BackendConnectOptions, DEFAULT_CANCEL_TIMEOUT_MS } from './options.js';

/** `closed-by-server`: the request can't take effect any more. `uncertain`: it may still take effect. */
export type CancelOutcome = 'closed-by-server' | 'uncertain';

/** Sends a CancelRequest. An error means that nothing was sent. */
export function sendCancelRequest(
  options: BackendConnectOptions,
  processId: number,
  secretKey: number,
): ResultAsync<CancelOutcome, BackendCancelError> {
  const controller = new AbortController();
  const timeout = setTimeout(
    () => controller.abort(),
    options.cancelTimeoutMs ?? DEFAULT_CANCEL_TIMEOUT_MS,
  );
  return openSocket(options, controller.signal)
    .map((socket) => writeAndAwaitClose(socket, serialize.cancel(processId, secretKey)))
    .map((outcome) => {
      clearTimeout(timeout);
      return outcome;
    })
    .orElse((cause) => {
      clearTimeout(timeout);
      return errAsync(new BackendCancelError('the cancel connection failed', { cause }));
    });
}

function writeAndAwaitClose(socket: Socket, request: Buffer): Promise<CancelOutcome> {
  return new Promise((resolve) => {
    socket.once('end', () => {
      socket.destroy();
      resolve('closed-by-server');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => resolve('uncertain'));
    socket.resume();
    socket.write(request);
  });
}
