/**
 * Log positions of owned instances for all nodes that ask: whoever asks while a question is planned
 * shares its answer, so that the instance hears few questions however many nodes there are.
 */
import type { Position } from '../../core/position.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstancePool } from '../instance-pool.js';
import { queryPosition } from '../position-query.js';
import type { StatementWire } from '../wire.js';
import { pause } from '../within.js';

/** Questions of other nodes are collected for so long; their own positions grow old by that. */
const COLLECT_MS: Milliseconds = 40;
const ANSWER_TIMEOUT_MS: Milliseconds = 300;

export interface PositionReaderOptions {
  readonly wire: StatementWire;
  readonly now: () => Milliseconds;
}

export class PositionReader {
  readonly #planned = new Map<InstancePool, Promise<Position | undefined>>();

  constructor(private readonly options: PositionReaderOptions) {}

  /** The instance's position, asked for after this call. */
  read(pool: InstancePool): Promise<Position | undefined> {
    const planned = this.#planned.get(pool);
    if (planned !== undefined) return planned;
    const reading = this.#readSoon(pool);
    this.#planned.set(pool, reading);
    return reading;
  }

  async #readSoon(pool: InstancePool): Promise<Position | undefined> {
    await pause(COLLECT_MS);
    // Whoever comes from now on must not be given what was asked before.
    this.#planned.delete(pool);
    const { wire, now } = this.options;
    return queryPosition({ pool, wire, now, deadline: now() + ANSWER_TIMEOUT_MS });
  }
}
