/**
 * Queries the status of instances over the connections of this node's pools. Separate connections for these queries
 * count towards an instance's limit: when a fleet restarted after a power loss, while instances still counted its
 * earlier connections, some nodes got no connection for statements at all.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceControl, InstanceEntry, InstanceStatus } from './contract.js';
import { InstanceConnectError, InstanceControlError } from './errors.js';
import { SocketConnection } from './instance-connection.js';
import { type StatusRowParser, toStatus } from './instance-control.js';
import { type InstancePool, type OwnQueryPath, ownRequest } from './instance-pool.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

export interface PooledStatusOptions {
  /** The pool of an instance; undefined if this node doesn't use the instance. */
  readonly poolOf: (instance: InstanceEntry) => InstancePool | undefined;
  /** Sends the query on a separate connection, for when all connections of the pool are in use. */
  readonly separate: Pick<InstanceControl, 'status'>;
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

/** Queries the status of instances, as {@link InstanceControl} does. */
export class PooledStatus implements Pick<InstanceControl, 'status'> {
  readonly #queryByPath: Readonly<Record<OwnQueryPath, StatusQuery>> = {
    pooled: (instance, timeoutMs, pool) =>
      ResultAsync.fromSafePromise(this.#queryThroughPool(instance, timeoutMs, pool)).andThen(
        (outcome) =>
          outcome instanceof InstanceControlError ? errAsync(outcome) : okAsync(outcome),
      ),
    full: ({ id }) =>
      errAsync(new InstanceControlError(`${id}: accepts no more connections`, 'connection-limit')),
    separate: (instance, timeoutMs) => this.options.separate.status(instance, timeoutMs),
  };

  constructor(private readonly options: PooledStatusOptions) {}

  status(instance: InstanceEntry, timeoutMs: Milliseconds): StatusResult {
    const pool = this.options.poolOf(instance);
    if (pool === undefined) return this.options.separate.status(instance, timeoutMs);
    return this.#queryByPath[pool.ownQueryPath](instance, timeoutMs, pool);
  }

  async #queryThroughPool(
    { id }: InstanceEntry,
    timeoutMs: Milliseconds,
    pool: InstancePool,
  ): Promise<InstanceStatus | InstanceControlError> {
    const { wire, parseStatusRow, now } = this.options;
    const deadline = now() + timeoutMs;
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
    const exchange = connection.exchangeRows(wire.encodeControl({ type: 'status' }));
    const settled = await firstWithin([exchange], deadline - now());
    if (settled === undefined || settled.answer.isErr()) {
      connection.close();
      pool.release(connection);
      return new InstanceControlError(`${id}: no answer to status`, undefined);
    }
    pool.release(connection);
    return toStatus(id, 'status', settled.answer.value, parseStatusRow(settled.rows[0] ?? ''));
  }
}
