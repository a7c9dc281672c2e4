/**
 * Control calls to instances over the connections of this node's pools.
 *
 * - Separate connections for status queries count towards an instance's limit: when a fleet restarted after a power loss,
 *   while instances still counted its earlier connections, some nodes got no connection for statements at all.
 * - A connection that has been open for long leads to the process that the instance's registration has outlived, so that
 *   a replica that is held over it need not be proven by its registration first.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from './contract.js';
import { InstanceConnectError, InstanceControlError } from './errors.js';
import { SocketConnection } from './instance-connection.js';
import { type StatusRowParser, toStatus } from './instance-control.js';
import { type InstancePool, type OwnQueryPath, ownRequest } from './instance-pool.js';
import type { ControlCommand, StatementWire } from './wire.js';
import { firstWithin } from './within.js';

/** Fraction of a call's timeout after which a pooled connection without an answer is given up for a separate one. */
const POOLED_TIMEOUT_FRACTION = 0.5;

/** The calls that go over the pools' connections where these are idle. */
export type PooledCalls = Pick<InstanceControl, 'status' | 'pause'>;

export interface PooledControlOptions {
  /** The pool of an instance; undefined if this node doesn't use the instance. */
  readonly poolOf: (instance: InstanceEntry) => InstancePool | undefined;
  /** Sends calls on separate connections, for when all connections of the pool are in use. */
  readonly separate: PooledCalls;
  readonly wire: StatementWire;
  readonly parseStatusRow: StatusRowParser;
  readonly now: () => Milliseconds;
}

type StatusResult = ResultAsync<InstanceStatus, MeadowstackError>;
type StatusQuery = (
  instance: InstanceEntry,
  timeoutMs: Milliseconds,
  pool: InstancePool,
) => StatusResult;

/** Queries the status of instances and pauses them, as {@link InstanceControl} does. */
export class PooledControl implements PooledCalls {
  readonly #queryByPath: Readonly<Record<OwnQueryPath, StatusQuery>> = {
    pooled: (instance, timeoutMs, pool) =>
      toResult(this.#queryThroughPool(instance, timeoutMs, pool)),
    full: ({ id }) =>
      errAsync(new InstanceControlError(`${id}: accepts no more connections`, 'connection-limit')),
    separate: (instance, timeoutMs) => this.options.separate.status(instance, timeoutMs),
  };

  constructor(private readonly options: PooledControlOptions) {}

  status(instance: InstanceEntry, timeoutMs: Milliseconds): StatusResult {
    const pool = this.options.poolOf(instance);
    if (pool === undefined) return this.options.separate.status(instance, timeoutMs);
    return this.#queryByPath[pool.ownQueryPath](instance, timeoutMs, pool);
  }

  pause(instance: InstanceEntry, term: number, timeoutMs: Milliseconds): StatusResult {
    const { separate } = this.options;
    const pool = this.options.poolOf(instance);
    const connection = pool?.takeOldest();
    if (pool === undefined || connection === undefined)
      return separate.pause(instance, term, timeoutMs);
    const pooledMs = timeoutMs * POOLED_TIMEOUT_FRACTION;
    const call = this.#callOver(connection, pool, { type: 'pause', term }, pooledMs);
    return toResult(call).orElse((error) =>
      error.answer === undefined
        ? separate.pause(instance, term, timeoutMs - pooledMs)
        : errAsync(error),
    );
  }

  async #queryThroughPool(
    { id }: InstanceEntry,
    timeoutMs: Milliseconds,
    pool: InstancePool,
  ): Promise<InstanceStatus | InstanceControlError> {
    const deadline = this.options.now() + timeoutMs;
    const acquired = await pool.acquire(ownRequest(deadline));
    if (acquired.isErr()) {
      const { error } = acquired;
      const answer = error instanceof InstanceConnectError ? error.answer : undefined;
      return new InstanceControlError(error.message, answer, { cause: error });
    }
    const connection = acquired.value;
    if (!(connection instanceof SocketConnection)) {
      pool.release(connection);
      return new InstanceControlError(
        `${id}: its connections are leased from other nodes`,
        undefined,
      );
    }
    return this.#callOver(connection, pool, { type: 'status' }, deadline - this.options.now());
  }

  async #callOver(
    connection: SocketConnection,
    pool: InstancePool,
    command: ControlCommand,
    timeoutMs: Milliseconds,
  ): Promise<InstanceStatus | InstanceControlError> {
    const { wire, parseStatusRow } = this.options;
    const { id } = pool.instance;
    const exchange = connection.exchangeRows(wire.encodeControl(command));
    const settled = await firstWithin([exchange], timeoutMs);
    if (settled === undefined || settled.answer.isErr()) {
      connection.close();
      pool.release(connection);
      return new InstanceControlError(`${id}: no answer to ${command.type}`, undefined);
    }
    pool.release(connection);
    const { answer, rows } = settled;
    const status = toStatus(id, command.type, answer.value, parseStatusRow(rows[0] ?? ''));
    if (status instanceof InstanceControlError) return status;
    return { ...status, connectedSince: connection.openedAt };
  }
}

function toResult(
  call: Promise<InstanceStatus | InstanceControlError>,
): ResultAsync<InstanceStatus, InstanceControlError> {
  return ResultAsync.fromSafePromise(call).andThen((outcome) =>
    outcome instanceof InstanceControlError ? errAsync(outcome) : okAsync(outcome),
  );
}
