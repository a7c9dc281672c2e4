/**
 * Loaded before each test file. When a test fails, uvu runs its `after.each` hooks a second time and, if a hook then
 * throws, drops both errors: the file reports fewer passed tests than total and names no failure. This module prints a
 * hook's error at once and sets the exit code at the end, so that uvu still prints the test's own failure. It also
 * prints the test during which a process ended because its event loop was empty.
 */
import { test } from 'uvu';

type Hook = Parameters<typeof test.after.each>[0];

const EXIT_FAILED = 1;
let running: string | undefined;
let isOver = false;
let hookFailures = 0;

function tell(what: string): void {
  process.stderr.write(`\n${what}\n`);
}

function named(hook: Hook): Hook {
  return async (context) => {
    try {
      await hook(context);
    } catch (err) {
      hookFailures += 1;
      tell(`a hook after "${running}" failed: ${err instanceof Error ? err.stack : String(err)}`);
    }
  };
}

test.before.each((context) => {
  running = context.__test__;
});
test.after(() => {
  isOver = true;
});
const { each } = test.after;
Object.assign(test.after, { each: (hook: Hook) => each(named(hook)) });

process.on('exit', () => {
  if (!isOver && running !== undefined) tell(`ended within "${running}"`);
  if (hookFailures > 0) process.exitCode = EXIT_FAILED;
});
