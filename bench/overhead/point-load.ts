/**
 * Point reads by primary key with a prepared statement: a closed loop measures throughput, an open loop
 * at a fixed rate measures latency. The client is the project's own back-end connection, because it
 * adds little overhead of its own.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { serialize } from 'pg-protocol';
import { MeadowstackError } from '../../src/core/errors.js';
import { connectBackend } from '../../src/postgres/backend/connect.js';
import type { BackendConnectOptions } from '../../src/postgres/backend/options.js';
import type { BackendBatchResult, BackendConnection } from '../../src/postgres/contract.js';

export const POINT_TABLE = 'overhead_points';
export const POINT_ROW_COUNT = 1000;

/** Result of one loop. Latencies are in microseconds. */
export interface LoopResult {
  readonly statements: number;
  readonly errors: number;
  readonly seconds: number;
  readonly latency: Histogram;
}

/** The load could not be run to its end. */
export class LoadError extends MeadowstackError {
  readonly code = 'MS-BENCH-LOAD';
}

const POINT_STATEMENT = {
  backendName: 'overhead_point',
  text: `SELECT id, value FROM ${POINT_TABLE} WHERE id = $1`,
  parameterTypes: [],
};
const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;
/** Coprime to the number of rows, so that all rows are read. */
const KEY_STEP = 617;

export async function openConnections(
  options: BackendConnectOptions,
  count: number,
): Promise<readonly BackendConnection[]> {
  const connections: BackendConnection[] = [];
  for (let index = 0; index < count; index += 1) {
    const connection = await connectBackend(options);
    if (connection.isErr()) throw new LoadError(connection.error.message);
    connections.push(connection.value);
  }
  return connections;
}

/** Creates a function that returns the messages of the next point read. */
function createPointReads(): () => Buffer {
  const batches = Array.from({ length: POINT_ROW_COUNT }, (_, id) =>
    Buffer.concat([
      serialize.bind({ statement: POINT_STATEMENT.backendName, values: [String(id)] }),
      serialize.execute({}),
      serialize.sync(),
    ]),
  );
  let next = 0;
  return () => {
    next = (next + KEY_STEP) % POINT_ROW_COUNT;
    return batches[next] ?? Buffer.alloc(0);
  };
}

function runPointRead(
  connection: BackendConnection,
  messages: Buffer,
  onFinished: (end: BackendBatchResult) => void,
): void {
  connection.run({
    requires: [POINT_STATEMENT],
    messages,
    appendedQuery: undefined,
    onMessages: () => undefined,
    onFinished,
  });
}

/** Records results and latencies; a lost connection ends the loop with an error. */
class LoopRecorder {
  readonly latency = build({ numberOfSignificantValueDigits: 3 });
  statements = 0;
  errors = 0;

  record(end: BackendBatchResult, startedAt: number): void {
    if (end.type === 'lost') throw new LoadError(`connection lost: ${end.error.message}`);
    const microseconds = (performance.now() - startedAt) * MICROSECONDS_PER_MS;
    this.latency.recordValue(Math.max(1, Math.round(microseconds)));
    this.statements += 1;
    if (end.errorSqlState !== undefined) this.errors += 1;
  }

  toResult(startedAt: number): LoopResult {
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const { statements, errors, latency } = this;
    return { statements, errors, seconds, latency };
  }
}

/** Each connection sends its next statement as soon as the previous one has ended. */
export async function runClosedLoop(
  connections: readonly BackendConnection[],
  seconds: number,
): Promise<LoopResult> {
  const recorder = new LoopRecorder();
  const nextPointRead = createPointReads();
  const startedAt = performance.now();
  const stopAt = startedAt + seconds * MS_PER_SECOND;
  const loops = connections.map(
    (connection) =>
      new Promise<void>((resolve, reject) => {
        const send = (): void => {
          const sentAt = performance.now();
          if (sentAt >= stopAt) {
            resolve();
            return;
          }
          runPointRead(connection, nextPointRead(), (end) => {
            try {
              recorder.record(end, sentAt);
              send();
            } catch (error) {
              reject(error);
            }
          });
        };
        send();
      }),
  );
  await Promise.all(loops);
  return recorder.toResult(startedAt);
}

/**
 * Sends statements at a fixed rate, whether or not earlier ones have ended. Latency counts from the
 * intended time, so it includes the wait for a free connection.
 */
export async function runOpenLoop(
  connections: readonly BackendConnection[],
  seconds: number,
  ratePerSecond: number,
): Promise<LoopResult> {
  const recorder = new LoopRecorder();
  const nextPointRead = createPointReads();
  const total = Math.floor(seconds * ratePerSecond);
  const intervalMs = MS_PER_SECOND / ratePerSecond;
  const idle = [...connections];
  const startedAt = performance.now();
  let sent = 0;
  let failure: unknown;
  const sendDue = (): void => {
    while (sent < total && idle.length > 0) {
      const intendedAt = startedAt + sent * intervalMs;
      if (performance.now() < intendedAt) return;
      const connection = idle.pop();
      if (connection === undefined) return;
      sent += 1;
      runPointRead(connection, nextPointRead(), (end) => {
        try {
          recorder.record(end, intendedAt);
          idle.push(connection);
          sendDue();
        } catch (error) {
          failure = error;
        }
      });
    }
  };
  while (recorder.statements < total) {
    if (failure !== undefined) throw failure;
    sendDue();
    await waitUntilDue(startedAt + sent * intervalMs);
  }
  return recorder.toResult(startedAt);
}

/** Timers are too coarse for sub-millisecond intervals, so the last 2 ms are spent in turns of the event loop. */
async function waitUntilDue(dueAt: number): Promise<void> {
  const waitMs = dueAt - performance.now();
  if (waitMs > 2) await delay(waitMs - 1);
  else await new Promise<void>((resolve) => setImmediate(resolve));
}
