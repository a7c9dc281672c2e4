/** Waits for a condition in tests, instead of for a fixed time. */
import { AssertionError } from 'node:assert';
import { setTimeout as pause } from 'node:timers/promises';

/** Maximum wait for one condition. */
export const WAIT_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 10;
const TIMED_OUT = Symbol('gave up');

/**
 * Resolves when the condition holds. Rejects after the timeout, also if the condition's own promise never settles,
 * as with a request to a paused process.
 */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  const timer = new AbortController();
  const timeout = pause(timeoutMs, TIMED_OUT, { signal: timer.signal });
  // Prevents an unhandled rejection if the condition throws before the race.
  timeout.catch(() => undefined);
  try {
    for (;;) {
      const outcome = await Promise.race([condition(), timeout]);
      if (outcome === true) return;
      if (outcome === TIMED_OUT || performance.now() > deadline) {
        throw new AssertionError({ message: `never: ${what}` });
      }
      await pause(POLL_INTERVAL_MS);
    }
  } finally {
    timer.abort();
  }
}
