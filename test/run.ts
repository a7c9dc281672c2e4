/**
 * Test runner: runs each `*.test.js` file under uvu in its own process, several at a time. Arguments are substrings of
 * the file paths to run; without arguments all files run. Tests that KNOWN-RED.txt names are run and printed, but their
 * failures do not change the exit code; those of any other test in the same file do.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  type FileOutcome,
  type FileVerdict,
  judgeFile,
  type KnownRedTest,
  parseKnownRed,
} from './support/known-red.js';

const MAX_CONCURRENT_FILES = 4;
/** Kills files that hang. The longest one uses 80 s of CPU time, which may take five minutes on a busy machine. */
const FILE_TIMEOUT_MS = 400_000;
/** Printed for a file with fewer passed tests than total that exits with 0 and so names no failure. */
const UNNAMED_FAILURE_HINT =
  'uvu drops the errors of a test and of a hook after it where both fail';
const MS_PER_SECOND = 1000;
const testRoot = dirname(fileURLToPath(import.meta.url));
const NODE_FLAGS = [
  '--enable-source-maps',
  '--import',
  new URL('./support/named-failures.js', import.meta.url).href,
];
const repositoryRoot = join(testRoot, '..', '..');

interface FileResult extends FileOutcome {
  readonly file: string;
  readonly tookMs: number;
}

function listTestFiles(filters: readonly string[]): string[] {
  const files = readdirSync(testRoot, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.test.js'))
    .sort();
  if (filters.length === 0) return files;
  return files.filter((file) => filters.some((filter) => file.includes(filter)));
}

function readKnownRed(): readonly KnownRedTest[] {
  const path = join(repositoryRoot, 'KNOWN-RED.txt');
  return existsSync(path) ? parseKnownRed(readFileSync(path, 'utf8')) : [];
}

function parseCount(output: string, label: string): number {
  const match = new RegExp(`${label}:\\s+(\\d+)`).exec(output);
  return match?.[1] === undefined ? 0 : Number(match[1]);
}

function runFile(file: string): Promise<FileResult> {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const child = spawn(process.execPath, [...NODE_FLAGS, join(testRoot, file)], {
      cwd: repositoryRoot,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.stderr.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const timer = setTimeout(() => {
      output += `\ntimed out after ${FILE_TIMEOUT_MS} ms\n`;
      child.kill('SIGKILL');
    }, FILE_TIMEOUT_MS);
    child.on('close', (code, endedBy) => {
      clearTimeout(timer);
      resolve({
        file,
        exitCode: code ?? undefined,
        signal: endedBy ?? undefined,
        tookMs: performance.now() - startedAt,
        passed: parseCount(output, 'Passed'),
        total: parseCount(output, 'Total'),
        output,
      });
    });
  });
}

const VERDICT_TEXTS: Readonly<Record<FileVerdict['state'], string>> = {
  ok: 'ok',
  'known-red': 'KNOWN RED',
  failed: 'FAILED',
};

function printResult(result: FileResult, verdict: FileVerdict): void {
  const source = relative(repositoryRoot, join(testRoot, result.file));
  console.log(`${VERDICT_TEXTS[verdict.state]}  ${source}  ${result.passed}/${result.total}`);
  for (const name of verdict.passedListed) {
    console.log(`LISTED AS KNOWN RED, BUT PASSED  ${source}  "${name}"`);
  }
  if (verdict.state === 'ok') return;
  const seconds = (result.tookMs / MS_PER_SECOND).toFixed(1);
  console.log(`${result.output}\nended after ${seconds} s with ${describeExit(result)}`);
  if (result.exitCode === 0) console.log(UNNAMED_FAILURE_HINT);
}

function describeExit({ exitCode, signal }: FileResult): string {
  return signal === undefined ? `exit code ${exitCode}` : `signal ${signal}`;
}

function listedNames(knownRed: readonly KnownRedTest[], file: string): readonly string[] {
  const path = file.replace(/\.test\.js$/, '');
  return knownRed.filter((listed) => listed.file === path).map(({ name }) => name);
}

async function main(): Promise<void> {
  const queue = listTestFiles(process.argv.slice(2));
  const knownRed = readKnownRed();
  let passed = 0;
  let failed = 0;
  let failedFiles = 0;
  let knownRedTests = 0;
  const worker = async (): Promise<void> => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await runFile(file);
      const verdict = judgeFile(result, listedNames(knownRed, file));
      printResult(result, verdict);
      passed += result.passed;
      if (verdict.state === 'known-red') knownRedTests += verdict.failedNames.length;
      if (verdict.state !== 'failed') continue;
      failed += result.total - result.passed;
      failedFiles += 1;
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_FILES }, worker));
  const knownRedText = knownRedTests === 0 ? '' : `, ${knownRedTests} known red`;
  console.log(`${passed} passed, ${Math.max(failed, failedFiles)} failed${knownRedText}`);
  process.exitCode = failedFiles > 0 || passed === 0 ? 1 : 0;
}

await main();
