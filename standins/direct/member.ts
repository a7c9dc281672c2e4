/**
 * One member of a database group: its role, its log and its applied position. No I/O and no clock:
 * the caller passes the time, and the group carries entries between members.
 */
import type { Milliseconds } from '../../src/core/units.js';

/** A position in a group's log: the term in which the entry was written, and its number. */
export interface LogPosition {
  readonly term: number;
  readonly number: number;
}

/** One commit with at least one write. */
export interface LogEntry extends LogPosition {
  /** Number of the run that committed it. */
  readonly run: number;
  readonly writes: readonly { readonly key: string; readonly data: string }[];
}

export type MemberRole = 'primary' | 'replica';

const FIRST_TERM = 1;

export function formatPosition({ term, number }: LogPosition): string {
  return `${term}.${number}`;
}

export class Member {
  /** Newest term that it knows; its own term if it is the primary. */
  term = FIRST_TERM;
  /** Term of the PAUSE that holds it; 0 if it is not held. */
  heldTerm = 0;
  /** A fault: it receives no log entries, although it is not paused. */
  isStalled = false;
  /** Time from receiving an entry to applying it. */
  lagMs: Milliseconds;
  isRunning = true;
  /** Running but unreachable: no input or output. */
  isDark = false;
  /** Until this time it answers BUSY, after a rollback of its log. */
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

  /** The last applied position, which reads see. */
  applied(now: Milliseconds): LogPosition {
    this.#apply(now);
    return this.#positionAt(this.#applied);
  }

  /** Age of the oldest entry that was received and is not yet applied. */
  lagAt(now: Milliseconds): Milliseconds {
    this.#apply(now);
    const waitingSince = this.#receivedAt[this.#applied];
    return waitingSince === undefined ? 0 : now - waitingSince;
  }

  /** True if the applied part of the log contains this position. */
  hasApplied(position: LogPosition, now: Milliseconds): boolean {
    this.#apply(now);
    return position.number <= this.#applied && this.hasReceived(position);
  }

  /** True if the received log contains this position. */
  hasReceived({ term, number }: LogPosition): boolean {
    return number === 0 || this.#entries[number - 1]?.term === term;
  }

  read(key: string, now: Milliseconds): string | undefined {
    this.#apply(now);
    return this.#values.get(key);
  }

  /** Appends a commit to the log of the primary. */
  append(run: number, writes: LogEntry['writes'], now: Milliseconds): LogEntry {
    const entry = { term: this.term, number: this.#entries.length + 1, run, writes };
    this.#appendReceived(entry, now);
    return entry;
  }

  /** Adopts the log of a primary; returns true if that rolled back entries of its own. */
  adoptLog(entries: readonly LogEntry[], term: number, now: Milliseconds): boolean {
    this.term = term;
    this.heldTerm = 0;
    let commonLength = Math.min(entries.length, this.#entries.length);
    while (
      commonLength > 0 &&
      this.#entries[commonLength - 1]?.term !== entries[commonLength - 1]?.term
    )
      commonLength -= 1;
    // A shipment that a later one of the same primary overtook must not roll anything back.
    const isOvertaken = commonLength === entries.length && this.#entries.at(-1)?.term === term;
    const rollsBack = this.#entries.length > commonLength && !isOvertaken;
    if (rollsBack) this.#truncate(commonLength);
    for (const entry of entries.slice(this.#entries.length)) this.#appendReceived(entry, now);
    return rollsBack;
  }

  /** Becomes the primary of `term` with the log it has received. */
  becomePrimary(term: number): void {
    this.role = 'primary';
    this.term = term;
    this.heldTerm = 0;
    this.isStalled = false;
  }

  /** Starts without anything it had: the log, the term and the role are those of a new replica. */
  startEmpty(): void {
    this.#truncate(0);
    Object.assign(this, { role: 'replica', term: FIRST_TERM, heldTerm: 0, busyUntil: 0 });
  }

  #appendReceived(entry: LogEntry, now: Milliseconds): void {
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
    for (const { key, data } of this.#entries[this.#applied]?.writes ?? []) {
      this.#values.set(key, data);
    }
    this.#applied += 1;
  }

  #positionAt(length: number): LogPosition {
    const entry = this.#entries[length - 1];
    return { term: entry?.term ?? FIRST_TERM, number: entry?.number ?? 0 };
  }
}
