/**
 * Starts and stops a database group of stand-in instances for benches and tests. The instances exit
 * when their standard input closes, so that none outlives this process.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { MeadowstackError } from '../../src/core/errors.js';
import type { FaultRequest } from '../../standins/database/faults.js';
import type { InstanceState } from '../../standins/database/instance.js';
import type { BoundPorts } from '../../standins/database/main.js';
import type { LogEntry } from '../../standins/database/storage/commit-record.js';

const MAIN_PATH = fileURLToPath(new URL('../../standins/database/main.js', import.meta.url));
const POLL_PERIOD_MS = 10;
const MAX_SYSTEM_IDENTIFIER = 2 ** 47;
const START_TIMEOUT_MS = 30_000;

export class DatabaseGroupError extends MeadowstackError {
  readonly code = 'MS-HARNESS-DATABASE';
}

export interface DatabaseGroupOptions {
  readonly group?: string;
  /** One instance starts in each zone; default `a`, `b`, `c`. */
  readonly zones?: readonly string[];
  /** One address per instance, or one for all; default 127.0.0.1. */
  readonly hosts?: readonly string[];
  readonly slots?: number;
  readonly maxConnections?: number;
  readonly connectionDelayMs?: number;
  readonly statementMs?: number;
  readonly electionTimeoutMs?: number;
  readonly heartbeatMs?: number;
  readonly seed?: number;
  /** Accepted roles, separated by commas; default any. */
  readonly user?: string;
  readonly password?: string;
  readonly tls?: { readonly keyFile: string; readonly certFile: string };
}

export interface DatabaseInstanceHandle {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly pgPort: number;
  readonly controlPort: number;
  readonly replicationPort: number;
  readonly pid: number;
}

export interface CommitLogResponse {
  readonly entries: readonly LogEntry[];
  /** Entries that the instance discarded in a rewind. */
  readonly discarded: readonly LogEntry[];
}

interface RunningInstance {
  handle: DatabaseInstanceHandle;
  child: ChildProcess;
  readonly args: readonly string[];
}

export class DatabaseGroup {
  private readonly resumers = new Map<string, ChildProcess>();

  constructor(private readonly running: readonly RunningInstance[]) {}

  get instances(): readonly DatabaseInstanceHandle[] {
    return this.running.map(({ handle }) => handle);
  }

  instance(name: string): DatabaseInstanceHandle {
    return this.find(name).handle;
  }

  /** Sends SIGKILL to an instance; resolves when it has exited. */
  async kill(name: string): Promise<void> {
    await killAndWait(this.find(name).child);
  }

  /** Restarts a killed instance as an empty replica on the same ports. */
  async restart(name: string): Promise<void> {
    const instance = this.find(name);
    const { zone, pgPort, controlPort, replicationPort } = instance.handle;
    const peers = this.instances.map((peer) => `${peer.name}=${peer.host}:${peer.replicationPort}`);
    const args = [
      ...instance.args.filter((flag) => !flag.startsWith('--initial-primary=')),
      `--port=${pgPort}`,
      `--control-port=${controlPort}`,
      `--replication-port=${replicationPort}`,
      `--peers=${peers.join(',')}`,
    ];
    const { handle, child } = await startInstance(args, zone);
    Object.assign(instance, { handle, child });
  }

  /** Sends SIGSTOP: the process keeps its sockets open and doesn't respond. */
  pause(name: string): void {
    const { child } = this.find(name);
    if (child.pid === undefined || this.resumers.has(name)) return;
    this.resumers.set(name, spawnResumer(child.pid));
    child.kill('SIGSTOP');
  }

  resume(name: string): void {
    this.find(name).child.kill('SIGCONT');
    this.resumers.get(name)?.stdin?.end();
    this.resumers.delete(name);
  }

  async stop(): Promise<void> {
    for (const name of [...this.resumers.keys()]) this.resume(name);
    await Promise.all(this.running.map(({ child }) => killAndWait(child)));
  }

  state(name: string): Promise<InstanceState> {
    return this.request(name, 'GET', '/state');
  }

  setFaults(name: string, faults: FaultRequest): Promise<unknown> {
    return this.request(name, 'POST', '/faults', faults);
  }

  promote(name: string): Promise<unknown> {
    return this.request(name, 'POST', '/promote', {});
  }

  /** Committed transactions after the position `from` (in `pg_lsn` format). */
  commitLog(name: string, from = '0/0'): Promise<CommitLogResponse> {
    return this.request(name, 'GET', `/log?from=${encodeURIComponent(from)}`);
  }

  /** Cuts or restores all replication traffic between an instance and the other instances. */
  async isolate(name: string, cut: boolean): Promise<void> {
    const others = this.running.map(({ handle }) => handle.name).filter((other) => other !== name);
    await this.setFaults(name, { cutPeers: cut ? others : [] });
  }

  /** Resolves with the instance's state when it satisfies `condition`. */
  async waitForState(
    name: string,
    condition: (state: InstanceState) => boolean,
  ): Promise<InstanceState> {
    for (;;) {
      const state = await this.state(name);
      if (condition(state)) return state;
      await delay(POLL_PERIOD_MS);
    }
  }

  /** Resolves with the first instance found to be primary on a timeline of at least `minTimeline`. */
  async waitForPrimary(minTimeline = 1): Promise<DatabaseInstanceHandle> {
    for (;;) {
      for (const { handle, child } of this.running) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        const state = await this.state(handle.name);
        if (state.role === 'primary' && state.timeline >= minTimeline) return handle;
      }
      await delay(POLL_PERIOD_MS);
    }
  }

  private find(name: string): RunningInstance {
    const found = this.running.find(({ handle }) => handle.name === name);
    if (found === undefined) throw new DatabaseGroupError(`no instance ${name}`);
    return found;
  }

  private request<T>(name: string, method: string, path: string, body?: unknown): Promise<T> {
    return callControl(this.find(name).handle, method, path, body);
  }
}

async function callControl<T>(
  { host, controlPort }: Pick<DatabaseInstanceHandle, 'host' | 'controlPort'>,
  method: string,
  path: string,
  body?: unknown,
): Promise<T> {
  const response = await fetch(`http://${host}:${controlPort}${path}`, {
    method,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const answer: unknown = await response.json();
  if (!response.ok) throw new DatabaseGroupError(`${method} ${path}: ${JSON.stringify(answer)}`);
  return answer as T;
}

/**
 * A process paused by SIGSTOP doesn't notice that its standard input closed. This helper process
 * waits for its own standard input to close, when the harness exits or resumes the paused process,
 * and then sends SIGCONT, so that the paused process continues and can exit.
 */
function spawnResumer(pid: number): ChildProcess {
  const script = 'read -r line; kill -CONT "$1"';
  return spawn('sh', ['-c', script, 'sh', String(pid)], { stdio: ['pipe', 'ignore', 'ignore'] });
}

async function killAndWait(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const gone = once(child, 'exit');
  child.kill('SIGKILL');
  await gone;
}

/** Identifiers differ between groups and between processes, like those of real database systems. */
function createSystemIdentifier(): number {
  return randomInt(1, MAX_SYSTEM_IDENTIFIER);
}

function buildArguments(
  options: DatabaseGroupOptions,
  systemIdentifier: number,
  group: string,
  names: readonly string[],
  position: number,
): string[] {
  const values: Readonly<Record<string, string | number | undefined>> = {
    name: names[position],
    group,
    zone: zonesOf(options)[position],
    host: hostOf(options, position),
    slots: options.slots,
    'max-connections': options.maxConnections,
    'connection-delay-ms': options.connectionDelayMs,
    'statement-ms': options.statementMs,
    'election-timeout-ms': options.electionTimeoutMs,
    'heartbeat-ms': options.heartbeatMs,
    'initial-primary': names[0],
    seed: (options.seed ?? 1) + position,
    'system-identifier': systemIdentifier,
    user: options.user,
    password: options.password,
    'tls-key': options.tls?.keyFile,
    'tls-cert': options.tls?.certFile,
  };
  const given = Object.entries(values).filter(([, value]) => value !== undefined);
  return ['--exit-with-stdin', ...given.map(([name, value]) => `--${name}=${value}`)];
}

function zonesOf(options: DatabaseGroupOptions): readonly string[] {
  return options.zones ?? ['a', 'b', 'c'];
}

function hostOf(options: DatabaseGroupOptions, position: number): string {
  return options.hosts?.[position] ?? options.hosts?.[0] ?? '127.0.0.1';
}

async function startInstance(args: readonly string[], zone: string): Promise<RunningInstance> {
  const child = spawn(process.execPath, ['--enable-source-maps', MAIN_PATH, ...args], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const lines = createInterface({ input: child.stdout });
  const [line] = await Promise.race([
    once(lines, 'line') as Promise<[string]>,
    once(child, 'exit').then(() => {
      throw new DatabaseGroupError(`the stand-in exited during its start: ${args.join(' ')}`);
    }),
  ]);
  const ports = JSON.parse(line) as BoundPorts;
  return { handle: { ...ports, zone }, child, args };
}

/** Starts one instance per zone, the first as primary. Resolves when the others replicate from it. */
export async function startDatabaseGroup(
  options: DatabaseGroupOptions = {},
): Promise<DatabaseGroup> {
  const group = options.group ?? 'group';
  const zones = zonesOf(options);
  const names = zones.map((zone) => `${group}-${zone}`);
  const systemIdentifier = createSystemIdentifier();
  const started = await Promise.allSettled(
    zones.map((zone, position) =>
      startInstance(buildArguments(options, systemIdentifier, group, names, position), zone),
    ),
  );
  const running = started.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []));
  const database = new DatabaseGroup(running);
  try {
    for (const one of started) if (one.status === 'rejected') throw one.reason;
    await connectPeers(database);
  } catch (error) {
    await database.stop();
    throw error;
  }
  return database;
}

async function connectPeers(database: DatabaseGroup): Promise<void> {
  const peers = database.instances.map(({ name, host, replicationPort }) => ({
    name,
    host,
    port: replicationPort,
  }));
  const joined = Promise.all(
    database.instances.map(async (instance) => {
      await callControl(instance, 'POST', '/peers', { peers });
      await database.waitForState(instance.name, (state) => state.timeline >= 1);
    }),
  );
  const timer = new AbortController();
  const timeout = delay(START_TIMEOUT_MS, undefined, { signal: timer.signal }).then(() => {
    throw new DatabaseGroupError('the group did not start in time');
  });
  try {
    await Promise.race([joined, timeout]);
  } finally {
    timer.abort();
    timeout.catch(() => {});
  }
}
