/**
 * Point statements over the PostgreSQL wire, each a prepared statement by primary key: a closed
 * loop for throughput, an open loop at a fixed rate for latency. The client is the project's own
 * back-end connection, which is a lean client of the wire.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { build, type Histogram } from 'hdr-histogram-js';
import { serialize } from 'pg-protocol';
import { MeadowstackError } from '../../src/core/errors.js';
import { connectBackend } from '../../src/postgres/backend/connect.js';
import type { BackendConnectOptions } from '../../src/postgres/backend/options.js';
import type { BackendBatchResult, BackendConnection } from '../../src/postgres/contract.js';

export const POINT_TABLE = 'overhead_points';
export const POINT_ROWS = 1000;

/** What one loop did. Latencies are in microseconds. */
export interface LoopResult {
  readonly statements: number;
  readonly errors: number;
  readonly seconds: number;
  readonly latency: Histogram;
}

/** A loop could not run to its end. */
export class LoadError extends MeadowstackError {
  readonly code = 'MS-BENCH-LOAD';
}

const POINT_STATEMENT = {
  backendName: 'overhead_point',
  text: `SELECT id, value FROM ${POINT_TABLE} WHERE id = $1`,
  parameterTypes: [],
};
const MICROSECONDS_PER_MILLISECOND = 1000;
const MILLISECONDS_PER_SECOND = 1000;
/** Coprime to the number of rows, so that all rows are met. */
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

/** Gives the messages of one point read after another. */
function createPoints(): () => Buffer {
  const batches = Array.from({ length: POINT_ROWS }, (_, id) =>
    Buffer.concat([
      serialize.bind({ statement: POINT_STATEMENT.backendName, values: [String(id)] }),
      serialize.execute({}),
      serialize.sync(),
    ]),
  );
  let next = 0;
  return () => {
    next = (next + KEY_STEP) % POINT_ROWS;
    return batches[next] ?? Buffer.alloc(0);
  };
}

function runPoint(
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

/** Counts ends and latencies; a lost connection ends the loop with an error. */
class LoopRecorder {
  readonly latency = build({ numberOfSignificantValueDigits: 3 });
  statements = 0;
  errors = 0;

  record(end: BackendBatchResult, startedAt: number): void {
    if (end.type === 'lost') throw new LoadError(`connection lost: ${end.error.message}`);
    const microseconds = (performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND;
    this.latency.recordValue(Math.max(1, Math.round(microseconds)));
    this.statements += 1;
    if (end.errorSqlState !== undefined) this.errors += 1;
  }

  result(startedAt: number): LoopResult {
    const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
    const { statements, errors, latency } = this;
    return { statements, errors, seconds, latency };
  }
}

/** Each connection sends its next statement as soon as the last was answered. */
export async function runClosedLoop(
  connections: readonly BackendConnection[],
  seconds: number,
): Promise<LoopResult> {
  const recorder = new LoopRecorder();
  const nextPoint = createPoints();
  const startedAt = performance.now();
  const stopAt = startedAt + seconds * MILLISECONDS_PER_SECOND;
  const loops = connections.map(
    (connection) =>
      new Promise<void>((resolve, reject) => {
        const send = (): void => {
          const sentAt = performance.now();
          if (sentAt >= stopAt) {
            resolve();
            return;
          }
          runPoint(connection, nextPoint(), (end) => {
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
  return recorder.result(startedAt);
}

/**
 * Statements at a fixed rate, whether or not earlier ones were answered: latency counts from the
 * intended time, so that waiting for a free connection is part of it.
 */
export async function runOpenLoop(
  connections: readonly BackendConnection[],
  seconds: number,
  ratePerSecond: number,
): Promise<LoopResult> {
  const recorder = new LoopRecorder();
  const nextPoint = createPoints();
  const total = Math.floor(seconds * ratePerSecond);
  const intervalMs = MILLISECONDS_PER_SECOND / ratePerSecond;
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
      runPoint(connection, nextPoint(), (end) => {
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
    await untilDue(startedAt + sent * intervalMs);
  }
  return recorder.result(startedAt);
}

/** Timers are too coarse for sub-millisecond intervals: the last stretch turns the event loop. */
async function untilDue(dueAt: number): Promise<void> {
  const waitMs = dueAt - performance.now();
  if (waitMs > 2) await delay(waitMs - 1);
  else await new Promise<void>((resolve) => setImmediate(resolve));
}
