/** Waiting in tests: on a condition or on the next event, never for a fixed time. */
import { AssertionError } from 'node:assert';
import { setTimeout as pause } from 'node:timers/promises';

const GIVE_UP_AFTER_MS = 20_000;
const POLL_INTERVAL_MS = 10;

/** Resolves when the condition holds; fails the test if it does not within 20 s. */
export async function until(
  what: string,
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  const deadline = performance.now() + GIVE_UP_AFTER_MS;
  while (!(await condition())) {
    if (performance.now() > deadline) throw new AssertionError({ message: `never: ${what}` });
    await pause(POLL_INTERVAL_MS);
  }
}
