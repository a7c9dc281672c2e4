/** Waiting in tests: on a condition or on the next event, never for a fixed time. */
import { AssertionError } from 'node:assert';
import { setTimeout as pause } from 'node:timers/promises';

/** The longest that a test waits for one thing. */
export const GIVE_UP_AFTER_MS = 20_000;
const POLL_INTERVAL_MS = 10;
const GAVE_UP = Symbol('gave up');

/**
 * Resolves when the condition holds; fails the test if it does not within 20 s, also if the
 * condition itself never answers: a process that is paused keeps its callers waiting without end.
 */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
  giveUpAfterMs = GIVE_UP_AFTER_MS,
): Promise<void> {
  const deadline = performance.now() + giveUpAfterMs;
  const over = new AbortController();
  const gaveUp = pause(giveUpAfterMs, GAVE_UP, { signal: over.signal });
  // Also if nothing waits for it, as when the condition throws at once.
  gaveUp.catch(() => undefined);
  try {
    for (;;) {
      const outcome = await Promise.race([condition(), gaveUp]);
      if (outcome === true) return;
      if (outcome === GAVE_UP || performance.now() > deadline) {
        throw new AssertionError({ message: `never: ${what}` });
      }
      await pause(POLL_INTERVAL_MS);
    }
  } finally {
    over.abort();
  }
}
