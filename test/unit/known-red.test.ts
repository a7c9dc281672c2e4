/** Guards against failures that pass unnoticed because another test of the same file is listed in KNOWN-RED.txt. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type FileOutcome, judgeFile, KnownRedError, parseKnownRed } from '../support/known-red.js';

const LISTED = 'a test with "quotes", and: a colon';

function outcome(failed: readonly string[], change: Partial<FileOutcome> = {}): FileOutcome {
  const failures = failed.map((name) => `   FAIL  ${name}\n    Expected values to be equal\n`);
  return {
    exitCode: failed.length === 0 ? 0 : 1,
    signal: undefined,
    passed: 5 - failed.length,
    total: 5,
    output: `• ✘ •   (${5 - failed.length} / 5)\n\n${failures.join('\n')}\n  Total:     5\n`,
    ...change,
  };
}

test('an entry names a file and a test, whatever the name contains', () => {
  const text = `\nunit/a.test.ts "${LISTED}": seed 3, lost a write (12)\n`;
  assert.equal(parseKnownRed(text), [{ file: 'unit/a', name: LISTED }]);
});

test('an entry without the name of a test is an error that names its line', () => {
  const text = 'unit/a.test.ts "b": seen (12)\nunit/c.test.ts: seen (12)\n';
  assert.throws(
    () => parseKnownRed(text),
    (error: unknown) => error instanceof KnownRedError && error.message.includes('line 2'),
  );
});

test('a listed failure is passed over, also in a suite', () => {
  for (const line of [`"${LISTED}"`, `a suite  "${LISTED}"`]) {
    assert.is(judgeFile(outcome([line]), [LISTED]).state, 'known-red');
  }
});

test('another failure of the same file is a failure', () => {
  assert.is(judgeFile(outcome(['"other"']), [LISTED]).state, 'failed');
  const both = judgeFile(outcome([`"${LISTED}"`, '"other"']), [LISTED]);
  assert.is(both.state, 'failed');
  assert.equal(both.failedNames, [LISTED, 'other']);
});

test('a listed test that passes is named', () => {
  assert.equal(judgeFile(outcome([]), [LISTED]).passedListed, [LISTED]);
  assert.equal(judgeFile(outcome([`"${LISTED}"`]), [LISTED]).passedListed, []);
});

test('a hook, a signal, a missing test or an unnamed failure is not excused', () => {
  const failure = outcome([`"${LISTED}"`]);
  const hook = `${failure.output}\na hook after "${LISTED}" failed: Error: x\n`;
  const changes: Partial<FileOutcome>[] = [
    { output: hook },
    { signal: 'SIGKILL', exitCode: undefined },
    { passed: 3 },
    { output: 'Total:     5' },
    { passed: 0, total: 0, output: '', exitCode: 1 },
  ];
  for (const change of changes) {
    assert.is(judgeFile({ ...failure, ...change }, [LISTED]).state, 'failed');
  }
});

test.run();
