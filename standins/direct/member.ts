/**
 * One member of a database group: its role, its log and what of it is applied. Pure state: the
 * caller supplies the clock, and the group carries entries between members.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** A point of a group's log: the term in which the entry was written, and its number. */
export interface LogPosition {
  readonly term: number;
  readonly number: number;
}

/** One commit that writes. */
export interface LogEntry extends LogPosition {
  /** Number of the run that committed it. */
  readonly run: number;
  readonly writes: readonly { readonly thing: string; readonly data: string }[];
}

export type MemberRole = 'primary' | 'replica';

const FIRST_TERM = 1;

export function formatPosition({ term, number }: LogPosition): string {
  return `${term}.${number}`;
}

export class Member {
  /** Newest term that it has heard of; the one it leads if it is the primary. */
  term = FIRST_TERM;
  /** Term that a pause holds it at; 0 if none. */
  heldTerm = 0;
  /** Receives nothing, without being told to: a fault. */
  isStalled = false;
  /** Time from receiving an entry to applying it. */
  lagMs: Milliseconds;
  isRunning = true;
  /** Running, but nothing gets in or out. */
  isDark = false;
  /** It was rolled back and refuses until then. */
  busyUntil: Milliseconds = 0;
  #entries: LogEntry[] = [];
  #receivedAt: Milliseconds[] = [];
  #applied = 0;
  #values = new Map<string, string>();

  constructor(
    public id: string,
    public role: MemberRole,
    lagMs: Milliseconds,
  ) {
    this.lagMs = lagMs;
  }

  get entries(): readonly LogEntry[] {
    return this.#entries;
  }

  get received(): LogPosition {
    return this.#positionAt(this.#entries.length);
  }

  /** The last position that reads see. */
  applied(now: Milliseconds): LogPosition {
    this.#apply(now);
    return this.#positionAt(this.#applied);
  }

  /** How old the oldest entry is that was received and not yet applied. */
  lagAt(now: Milliseconds): Milliseconds {
    this.#apply(now);
    const waitingSince = this.#receivedAt[this.#applied];
    return waitingSince === undefined ? 0 : now - waitingSince;
  }

  /** True if the log as far as applied contains this position. */
  hasApplied(position: LogPosition, now: Milliseconds): boolean {
    this.#apply(now);
    return position.number <= this.#applied && this.has(position);
  }

  /** True if the log as far as received contains this position. */
  has({ term, number }: LogPosition): boolean {
    return number === 0 || this.#entries[number - 1]?.term === term;
  }

  read(thing: string, now: Milliseconds): string | undefined {
    this.#apply(now);
    return this.#values.get(thing);
  }

  /** Appends a commit to the log of the primary. */
  append(run: number, writes: LogEntry['writes'], now: Milliseconds): LogEntry {
    const entry = { term: this.term, number: this.#entries.length + 1, run, writes };
    this.#push(entry, now);
    return entry;
  }

  /** Takes over a leader's log; gives true if that rolled back entries of its own. */
  follow(entries: readonly LogEntry[], term: number, now: Milliseconds): boolean {
    this.term = term;
    this.heldTerm = 0;
    let common = Math.min(entries.length, this.#entries.length);
    while (common > 0 && this.#entries[common - 1]?.term !== entries[common - 1]?.term) common -= 1;
    // A shipment overtaken by a later one of the same leader takes nothing back.
    const leaderHasLess = common === entries.length && this.#entries.at(-1)?.term === term;
    const rollsBack = this.#entries.length > common && !leaderHasLess;
    if (rollsBack) this.#truncate(common);
    for (const entry of entries.slice(this.#entries.length)) this.#push(entry, now);
    return rollsBack;
  }

  /** Leads a term with what it has received. */
  lead(term: number): void {
    this.role = 'primary';
    this.term = term;
    this.heldTerm = 0;
    this.isStalled = false;
  }

  #push(entry: LogEntry, now: Milliseconds): void {
    this.#entries.push(entry);
    this.#receivedAt.push(now);
  }

  #truncate(length: number): void {
    this.#entries.length = length;
    this.#receivedAt.length = length;
    if (this.#applied <= length) return;
    this.#applied = 0;
    this.#values.clear();
    while (this.#applied < length) this.#applyNext();
  }

  #apply(now: Milliseconds): void {
    for (;;) {
      const receivedAt = this.#receivedAt[this.#applied];
      if (receivedAt === undefined) return;
      if (this.role === 'replica' && receivedAt > now - this.lagMs) return;
      this.#applyNext();
    }
  }

  #applyNext(): void {
    for (const { thing, data } of this.#entries[this.#applied]?.writes ?? []) {
      this.#values.set(thing, data);
    }
    this.#applied += 1;
  }

  #positionAt(length: number): LogPosition {
    const entry = this.#entries[length - 1];
    return { term: entry?.term ?? FIRST_TERM, number: entry?.number ?? 0 };
  }
}
