/** Queries an instance's log position by a reset message, which takes no slot there. */
import type { Position } from '../core/position.js';
import type { Milliseconds } from '../core/units.js';
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
  const { pool, wire, deadline, now } = query;
  if (pool.lender !== undefined) return pool.lender.position(deadline - now());
  const acquired = await pool.acquire(ownRequest(deadline));
  if (acquired.isErr()) return undefined;
  const connection = acquired.value;
  connection.values.clear();
  connection.preparedNames.clear();
  const exchange = connection.exchange(wire.encodeReset());
  const answer = await firstWithin([exchange], deadline - now());
  const isValid = answer?.isOk() === true && answer.value.state === 'idle';
  if (!isValid) connection.close();
  pool.release(connection);
  return isValid ? answer.value.position : undefined;
}
