/** Pauses and timeouts that don't mistake a delayed process for a missing response. */
import type { Milliseconds } from '../core/units.js';

/** Resolves after the given time; does not keep the process alive. */
export function pause(milliseconds: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/**
 * Calls back once the input that has already arrived was read; an overdue timer would run before that. Two turns of the
 * event loop are needed: whatever phase the caller is in, the sockets are polled before the second callback.
 */
export function afterPendingInput(run: () => void): void {
  setImmediate(() => setImmediate(run));
}

/**
 * A timeout that expires only after pending input was read; the returned function cancels it. A response that arrived
 * in time but is still unread, because the process is delayed, must not count as missing: a statement that has a
 * response would be reported as in doubt.
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

/** Resolves with the first value of the promises, or with `undefined` after the timeout. */
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
