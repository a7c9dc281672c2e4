/** Waiting with a bound. */
import type { Milliseconds } from '../core/units.js';

/** Resolves after a time; never keeps the process alive by itself. */
export function pause(milliseconds: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/**
 * Runs once what has arrived is read: a timer that is late would run before it. Of two turns of the event loop the
 * second has polled the sockets, wherever in its first the caller stands.
 */
export function afterPendingInput(run: () => void): void {
  setImmediate(() => setImmediate(run));
}

/**
 * Calls back after a time, unless the function that is given back was called: what came in time and waits unread, since
 * the process is late, must not be taken for silence. A statement that is answered would be told as in doubt.
 */
export function timeoutAfterInput(milliseconds: Milliseconds, run: () => void): () => void {
  let isWaiting = true;
  const expire = (): void => {
    if (isWaiting) run();
  };
  const timer = setTimeout(() => afterPendingInput(expire), Math.max(0, milliseconds));
  return () => {
    isWaiting = false;
    clearTimeout(timer);
  };
}

/** The first of the promises' values, or `undefined` if none comes in time. */
export function firstWithin<Value>(
  promises: Iterable<Promise<Value>>,
  milliseconds: Milliseconds,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const stopWaiting = timeoutAfterInput(milliseconds, () => resolve(undefined));
    for (const promise of promises) {
      promise.then((value) => {
        stopWaiting();
        resolve(value);
      }, reject);
    }
  });
}
