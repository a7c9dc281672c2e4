/**
 * Spawns a process of this repository, reads the JSON object on its first line of stdout, and ends
 * the process. A child exits when its stdin closes, so that none outlives the harness.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { z } from 'zod';
import { MeadowstackError } from '../../src/core/errors.js';

const START_TIMEOUT_MS = 20_000;
const MAX_STDERR_CHARACTERS = 4000;

/** A child did not start, or its first line is invalid. */
export class ChildStartError extends MeadowstackError {
  readonly code = 'MS-HARNESS-CHILD';
}

/** A child process whose first line has been read. */
export interface StartedChild<Announcement> {
  readonly pid: number;
  readonly announcement: Announcement;
  readonly process: ChildProcess;
  /** Closes its stdin and resolves when it has exited. */
  stop(): Promise<void>;
  /** Sends it a signal and resolves when it has exited. */
  kill(signal?: NodeJS.Signals): Promise<void>;
}

/**
 * Starts `dist/<modulePath>` under node.
 * @throws ChildStartError (as a rejection) if it exits or times out before its first line.
 */
export async function startChild<Schema extends z.ZodType>(
  modulePath: string,
  flags: readonly string[],
  schema: Schema,
): Promise<StartedChild<z.output<Schema>>> {
  const path = fileURLToPath(new URL(`../../${modulePath}`, import.meta.url));
  const child = spawn(process.execPath, ['--enable-source-maps', path, ...flags], {
    stdio: ['pipe', 'pipe', 'pipe'],
  });
  const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()));
  const stop = (): Promise<void> => {
    child.stdin.end();
    return exited;
  };
  const kill = (signal: NodeJS.Signals = 'SIGKILL'): Promise<void> => {
    child.kill(signal);
    return exited;
  };
  child.stdin.on('error', () => {});
  try {
    const announcement = schema.parse(JSON.parse(await firstLine(child, modulePath)));
    return { pid: child.pid ?? 0, announcement, process: child, stop, kill };
  } catch (cause) {
    await kill();
    if (cause instanceof ChildStartError) throw cause;
    throw new ChildStartError(`the first line of ${modulePath} is invalid`, { cause });
  }
}

function firstLine(child: ChildProcess, name: string): Promise<string> {
  const { stdout, stderr } = child;
  if (stdout === null || stderr === null) throw new ChildStartError(`${name} has no pipes`);
  let errors = '';
  stderr.on('data', (chunk: Buffer) => {
    errors = (errors + chunk.toString()).slice(-MAX_STDERR_CHARACTERS);
  });
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => reject(new ChildStartError(`${name}: ${reason}`));
    const failAsSilent = (): void => fail(`no output within ${START_TIMEOUT_MS} ms: ${errors}`);
    const timer = setTimeout(failAsSilent, START_TIMEOUT_MS);
    const lines = createInterface({ input: stdout });
    lines.once('line', (line) => {
      clearTimeout(timer);
      resolve(line);
    });
    child.once('error', (error) => fail(error.message));
    child.once('exit', (code) => {
      clearTimeout(timer);
      fail(`exited with code ${code}: ${errors}`);
    });
  });
}
