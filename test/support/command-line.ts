/** Runs the command line in a child process. */
import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('../../../bin/run.js', import.meta.url));

export interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
  /** Output of `--json`; undefined if there is none. */
  readonly json: unknown;
}

/** Runs `meadowstack <args>` until it exits. */
export function runCommand(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<CommandResult> {
  return new Promise((resolve) => {
    const options = { env: { ...process.env, ...env } };
    const child = execFile(process.execPath, [PROGRAM, ...args], options, (_, stdout, stderr) => {
      resolve({ exitCode: child.exitCode ?? -1, stdout, stderr, json: parseJson(stdout) });
    });
    child.stdin?.end();
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
