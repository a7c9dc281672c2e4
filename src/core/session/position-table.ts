/**
 * The table in which a home node stores session positions by session id. Entries expire after the
 * session idle timeout; if the table exceeds its size limit, the least recently recorded entries
 * are evicted first. A state machine: `handle(event, now) -> answer`.
 *
 * An answer is `complete` only if the node can't have lost records of an active session: it has
 * run for at least the session idle timeout, and every entry evicted early would have expired.
 */
import { laterPosition, type Position } from '../position.js';
import type { GroupName } from '../request.js';
import type { Milliseconds } from '../units.js';
import {
  type GroupPosition,
  type HomeNodeAnswer,
  homeKey,
  type SessionIdentity,
} from './home-nodes.js';

/** A session is considered ended this long after its last record. */
export const SESSION_IDLE_TIMEOUT_MS: Milliseconds = 15 * 60_000;
/** Maximum estimated memory that the table uses. */
export const MAX_TABLE_BYTES = 64 * 1024 * 1024;
/** Longest session id that is stored. */
export const MAX_SESSION_ID_BYTES = 128;

/** Estimated memory of an entry and of each group in it, in addition to their names. */
const ENTRY_OVERHEAD_BYTES = 160;
const GROUP_OVERHEAD_BYTES = 64;
const BYTES_PER_CHARACTER = 2;

/** Limits of the table. */
export interface PositionTableOptions {
  /** When this node started, on the clock that is passed to `handle`. */
  readonly startedAt: Milliseconds;
  readonly sessionIdleTimeoutMs?: Milliseconds;
  readonly maxBytes?: number;
}

/** Input of the table. */
export type PositionTableEvent =
  | {
      readonly type: 'record';
      readonly session: SessionIdentity;
      readonly positions: readonly GroupPosition[];
    }
  | { readonly type: 'look-up'; readonly session: SessionIdentity };

/** Output of the table. */
export type PositionTableAnswer =
  | { readonly type: 'recorded' }
  | { readonly type: 'found'; readonly answer: HomeNodeAnswer };

interface TableEntry {
  readonly positions: ReadonlyMap<GroupName, Position>;
  readonly recordedAt: Milliseconds;
  readonly sizeBytes: number;
}

/** Positions of the sessions of which this node is a home node. */
export class SessionPositionTable {
  /** Ordered by last record, oldest first. */
  readonly #entries = new Map<string, TableEntry>();
  readonly #sessionIdleTimeoutMs: Milliseconds;
  readonly #maxBytes: number;
  #sizeBytes = 0;
  /** Records made before this time may have been lost. */
  #completeSince: Milliseconds;

  constructor(options: PositionTableOptions) {
    this.#sessionIdleTimeoutMs = options.sessionIdleTimeoutMs ?? SESSION_IDLE_TIMEOUT_MS;
    this.#maxBytes = options.maxBytes ?? MAX_TABLE_BYTES;
    this.#completeSince = options.startedAt;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  get sessionCount(): number {
    return this.#entries.size;
  }

  handle(event: PositionTableEvent, now: Milliseconds): PositionTableAnswer {
    this.#expire(now);
    if (event.type === 'look-up')
      return { type: 'found', answer: this.#lookUp(event.session, now) };
    this.#record(event.session, event.positions, now);
    return { type: 'recorded' };
  }

  #lookUp(session: SessionIdentity, now: Milliseconds): HomeNodeAnswer {
    const positions = this.#entries.get(homeKey(session))?.positions ?? new Map();
    const complete = now - this.#completeSince >= this.#sessionIdleTimeoutMs;
    return { positions, complete };
  }

  #record(session: SessionIdentity, positions: readonly GroupPosition[], now: Milliseconds): void {
    const key = homeKey(session);
    const merged = mergePositions(this.#entries.get(key)?.positions ?? new Map(), positions);
    this.#remove(key);
    const entry = { positions: merged, recordedAt: now, sizeBytes: sizeOf(key, merged) };
    this.#entries.set(key, entry);
    this.#sizeBytes += entry.sizeBytes;
    this.#evict();
  }

  #expire(now: Milliseconds): void {
    for (const [key, entry] of this.#entries) {
      if (now - entry.recordedAt < this.#sessionIdleTimeoutMs) return;
      this.#remove(key);
    }
  }

  #evict(): void {
    for (const [key, entry] of this.#entries) {
      if (this.#sizeBytes <= this.#maxBytes) return;
      this.#remove(key);
      this.#completeSince = Math.max(this.#completeSince, entry.recordedAt);
    }
  }

  #remove(key: string): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    this.#entries.delete(key);
    this.#sizeBytes -= entry.sizeBytes;
  }
}

function mergePositions(
  earlier: ReadonlyMap<GroupName, Position>,
  recorded: readonly GroupPosition[],
): ReadonlyMap<GroupName, Position> {
  const merged = new Map(earlier);
  for (const { group, position } of recorded) {
    const known = merged.get(group);
    merged.set(group, known === undefined ? position : laterPosition(known, position));
  }
  return merged;
}

function sizeOf(key: string, positions: ReadonlyMap<GroupName, Position>): number {
  let bytes = ENTRY_OVERHEAD_BYTES + key.length * BYTES_PER_CHARACTER;
  for (const group of positions.keys()) {
    bytes += GROUP_OVERHEAD_BYTES + group.length * BYTES_PER_CHARACTER;
  }
  return bytes;
}
