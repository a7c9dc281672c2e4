/** Waiting with a bound. */
import type { Milliseconds } from '../core/units.js';

/** Resolves after a time; never keeps the process alive by itself. */
export function pause(milliseconds: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds).unref();
  });
}

/** The first of the promises' values, or `undefined` if none comes in time. */
export function firstWithin<Value>(
  promises: Iterable<Promise<Value>>,
  milliseconds: Milliseconds,
): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), Math.max(0, milliseconds));
    for (const promise of promises) {
      promise.then((value) => {
        clearTimeout(timer);
        resolve(value);
      }, reject);
    }
  });
}
