/**
 * The table in which a home node keeps positions of sessions by id. Bounded in bytes (least
 * recently recorded first out) and in time. A state machine: `handle(event, now) -> answer`.
 *
 * An answer is `complete` only while the node can't have lost anything of a live session: it runs
 * for longer than a session's life, and evicted nothing early within that time.
 */
import { laterPosition, type Position } from '../position.js';
import type { GroupName } from '../request.js';
import type { Milliseconds } from '../units.js';
import { type GroupPosition, type HomeAnswer, homeKey, type SessionKeyName } from './home-nodes.js';

/** Time after its last record at which a session is taken to have ended. */
export const SESSION_LIFE_MS: Milliseconds = 15 * 60_000;
/** Most memory that the positions take. */
export const MAX_TABLE_BYTES = 64 * 1024 * 1024;
/** Longest session id that is kept. */
export const MAX_SESSION_ID_BYTES = 128;

/** Bytes that one entry and one group in it are reckoned at, beyond their names. */
const ENTRY_OVERHEAD_BYTES = 160;
const GROUP_OVERHEAD_BYTES = 64;
const BYTES_PER_CHARACTER = 2;

/** Bounds of the table. */
export interface PositionTableOptions {
  /** Start of this node's life on the clock that `handle` is given. */
  readonly startedAt: Milliseconds;
  readonly sessionLifeMs?: Milliseconds;
  readonly maxBytes?: number;
}

/** What goes into the table. */
export type PositionTableEvent =
  | {
      readonly type: 'record';
      readonly session: SessionKeyName;
      readonly positions: readonly GroupPosition[];
    }
  | { readonly type: 'look-up'; readonly session: SessionKeyName };

/** What the table answers. */
export type PositionTableAnswer =
  | { readonly type: 'recorded' }
  | { readonly type: 'found'; readonly answer: HomeAnswer };

interface TableEntry {
  readonly positions: ReadonlyMap<GroupName, Position>;
  readonly recordedAt: Milliseconds;
  readonly sizeBytes: number;
}

/** Positions of sessions whose home this node is. */
export class SessionPositionTable {
  /** In order of the last record, the oldest first. */
  readonly #entries = new Map<string, TableEntry>();
  readonly #sessionLifeMs: Milliseconds;
  readonly #maxBytes: number;
  #sizeBytes = 0;
  /** Records made before this time may be missing. */
  #completeSince: Milliseconds;

  constructor(options: PositionTableOptions) {
    this.#sessionLifeMs = options.sessionLifeMs ?? SESSION_LIFE_MS;
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

  #lookUp(session: SessionKeyName, now: Milliseconds): HomeAnswer {
    const positions = this.#entries.get(homeKey(session))?.positions ?? new Map();
    const complete = now - this.#completeSince >= this.#sessionLifeMs;
    return { positions, complete };
  }

  #record(session: SessionKeyName, positions: readonly GroupPosition[], now: Milliseconds): void {
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
      if (now - entry.recordedAt < this.#sessionLifeMs) return;
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
