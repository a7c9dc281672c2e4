/** Runs a gateway as a process. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const HOST = '127.0.0.1';
const DEFAULT_MAX_OUTPUT_CHARACTERS = 20_000;
const GATEWAY_PROGRAM = fileURLToPath(new URL('../../platform/main.js', import.meta.url));

/** One gateway process. */
export interface DirectGatewayProcess {
  readonly name: string;
  readonly callersPort: number;
  readonly readinessPort: number;
  /** Port of its metrics. */
  readonly internalPort: number;
  /** Port for the snapshot links of other gateways. */
  readonly peerPort: number;
  readonly settingsPath: string;
  readonly process: ChildProcess;
  /** Its exit code, or the signal that ended it. */
  readonly ended: Promise<number | NodeJS.Signals | null>;
  /** The last `maxOutputCharacters` of its output. */
  output(): string;
}

export interface GatewayStart {
  readonly gatewayFlags?: readonly string[];
  readonly maxOutputCharacters?: number;
}

/** Starts a gateway with the settings of a file. */
export function startProcess(
  settingsPath: string,
  { gatewayFlags: flags = [], maxOutputCharacters = DEFAULT_MAX_OUTPUT_CHARACTERS }: GatewayStart,
): Pick<DirectGatewayProcess, 'process' | 'ended' | 'output'> {
  const child = spawn(process.execPath, ['--enable-source-maps', GATEWAY_PROGRAM, ...flags], {
    env: { PATH: process.env.PATH, MEADOWSTACK_SETTINGS: settingsPath },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', (chunk: Buffer) => {
      output = (output + chunk.toString()).slice(-maxOutputCharacters);
    });
  }
  const ended = once(child, 'exit').then(([code, signal]) => code ?? signal);
  return { process: child, ended, output: () => output };
}

/** True once the process has ended. */
export function hasEnded({ process: child }: Pick<DirectGatewayProcess, 'process'>): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

/** True if the gateway reports that it accepts callers. */
export async function isReady({ readinessPort }: DirectGatewayProcess): Promise<boolean> {
  try {
    const answer = await fetch(`http://${HOST}:${readinessPort}/v1/readiness`);
    await answer.arrayBuffer();
    return answer.status === 200;
  } catch {
    return false;
  }
}
