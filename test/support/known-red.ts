/** The tests that may fail, by name: entries of KNOWN-RED.txt, and what they say of a test file's result. */
import { MeadowstackError } from '../../src/core/errors.js';

/** An entry is not of the form `<file>.test.ts "<test name>": <what was seen> (<issue>)`. */
export class KnownRedError extends MeadowstackError {
  readonly code = 'MS-TEST-KNOWN-RED';

  constructor(line: number) {
    super(`KNOWN-RED.txt, line ${line}: expected <file>.test.ts "<test name>": <what was seen>`);
  }
}

export interface KnownRedTest {
  /** Path below `test/`, without its extension. */
  readonly file: string;
  readonly name: string;
}

/** Result of one test file, as its process printed it. */
export interface FileOutcome {
  readonly exitCode: number | undefined;
  readonly signal: NodeJS.Signals | undefined;
  readonly passed: number;
  readonly total: number;
  readonly output: string;
}

/** A file's outcome in view of the tests that may fail. */
export interface FileVerdict {
  /** `known-red`: every failure is of a listed test. */
  readonly state: 'ok' | 'known-red' | 'failed';
  readonly failedNames: readonly string[];
  /** Listed tests of this file that passed. */
  readonly passedListed: readonly string[];
}

const ENTRY_PATTERN = /^(\S+)\.test\.ts "(.+?)": \S/;
const FAILURE_PATTERN = /^\s+FAIL\s+(?:\S.*?\s+)??"(.*)"$/gm;
const HOOK_FAILURE_PATTERN = /^a hook after ".*" failed: /m;

/** Parses KNOWN-RED.txt. @throws KnownRedError */
export function parseKnownRed(text: string): readonly KnownRedTest[] {
  return text.split('\n').flatMap((line, index) => {
    if (line.trim() === '') return [];
    const [, file, name] = ENTRY_PATTERN.exec(line) ?? [];
    if (file === undefined || name === undefined) throw new KnownRedError(index + 1);
    return [{ file, name }];
  });
}

/** @param listed names of the file's tests that may fail */
export function judgeFile(outcome: FileOutcome, listed: readonly string[]): FileVerdict {
  const { output, exitCode, signal, passed, total } = outcome;
  const failedNames = [...output.matchAll(FAILURE_PATTERN)].map(([, name = '']) => name);
  const passedListed = listed.filter((name) => !failedNames.includes(name));
  const isOk = exitCode === 0 && total > 0 && passed === total;
  // Anything that is not the failure of a listed test, such as a hook or a crash, is a failure of the file.
  const isKnownRed =
    signal === undefined &&
    failedNames.length > 0 &&
    failedNames.length === total - passed &&
    failedNames.every((name) => listed.includes(name)) &&
    !HOOK_FAILURE_PATTERN.test(output);
  return { state: isOk ? 'ok' : isKnownRed ? 'known-red' : 'failed', failedNames, passedListed };
}
