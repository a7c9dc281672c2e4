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
export function afterInput(run: () => void): void {
  setImmediate(() => setImmediate(run));
}

/**
 * The first of the promises' values, or `undefined` if none comes in time. An answer that came in time and waits unread,
 * since the process is late, is taken: a request that is answered already would be told as in doubt.
 */
export function firstWithin<Value>(
  promises: Iterable<Promise<Value>>,
  milliseconds: Milliseconds,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const giveUp = (): void => afterInput(() => resolve(undefined));
    const timer = setTimeout(giveUp, Math.max(0, milliseconds));
    for (const promise of promises) {
      promise.then((value) => {
        clearTimeout(timer);
        resolve(value);
      }, reject);
    }
  });
}
