/**
 * Reads the log positions of owned instances for other nodes. Requests that arrive while a read is planned
 * share its result, so that an instance receives few queries however many nodes there are.
 */
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstancePool } from '../instance-pool.js';
import { queryPosition } from '../position-query.js';
import type { StatementWire } from '../wire.js';
import { pause } from '../within.js';

/** Time for which requests are collected before one read; the requesters' positions age by as much. */
const COLLECTION_PERIOD_MS: Milliseconds = 40;
const RESPONSE_TIMEOUT_MS: Milliseconds = 300;

export interface PositionReaderOptions {
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
}

export class PositionReader {
  readonly #plannedReads = new Map<InstancePool, Promise<Position | undefined>>();

  constructor(private readonly options: PositionReaderOptions) {}

  /** The instance's position, queried after this call. */
  read(pool: InstancePool): Promise<Position | undefined> {
    const planned = this.#plannedReads.get(pool);
    if (planned !== undefined) return planned;
    const reading = this.#readAfterCollection(pool);
    this.#plannedReads.set(pool, reading);
    return reading;
  }

  async #readAfterCollection(pool: InstancePool): Promise<Position | undefined> {
    await pause(COLLECTION_PERIOD_MS);
    // Later calls must not get a position that was queried before them.
    this.#plannedReads.delete(pool);
    const { wire, now } = this.options;
    return queryPosition({ pool, wire, now, deadline: now() + RESPONSE_TIMEOUT_MS });
  }
}
