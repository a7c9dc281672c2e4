/** Queries an instance's log position by a reset message, which takes no slot there. */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { Position } from '../core/position.js';
import type { Milliseconds } from '../core/units.js';
import { InstanceConnectionLostError, InstanceOwnersUnreachableError } from './errors.js';
import { type InstancePool, ownRequest } from './instance-pool.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

export interface PositionQuery {
  readonly pool: InstancePool;
  readonly wire: StatementWire;
  readonly deadline: Milliseconds;
  readonly now: () => Milliseconds;
}

/** The instance's position at some time after this call; undefined if there is none by the deadline. */
export async function queryPosition(query: PositionQuery): Promise<Position | undefined> {
  return (await requestPosition(query)).unwrapOr(undefined);
}

/** Like {@link queryPosition}, with the reason why there is none. */
export function requestPosition(query: PositionQuery): ResultAsync<Position, MeadowstackError> {
  const response = ResultAsync.fromSafePromise(exchangePosition(query));
  return response.andThen((outcome) =>
    outcome instanceof Error ? errAsync(outcome) : okAsync(outcome),
  );
}

async function exchangePosition(query: PositionQuery): Promise<Position | MeadowstackError> {
  const { pool, wire, deadline, now } = query;
  const { id } = pool.instance;
  if (pool.lender !== undefined) {
    const position = await pool.lender.position(deadline - now());
    return position ?? new InstanceOwnersUnreachableError(`${id}: no owner reports a position`);
  }
  const acquired = await pool.acquire(ownRequest(deadline));
  if (acquired.isErr()) return acquired.error;
  const connection = acquired.value;
  connection.values.clear();
  connection.preparedNames.clear();
  const exchange = connection.exchange(wire.encodeReset());
  const answer = await firstWithin([exchange], deadline - now());
  const isValid = answer?.isOk() === true && answer.value.state === 'idle';
  if (!isValid) connection.close();
  pool.release(connection);
  const position = isValid ? answer.value.position : undefined;
  return position ?? new InstanceConnectionLostError(`${id}: no position in time`);
}
