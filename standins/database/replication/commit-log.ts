/** An instance's log: its position, its timeline history, and the commits retained for replicas. */
import { formatLsn } from '../../../src/core/position.js';
import type { Change, LogEntry } from '../storage/commit-record.js';
import { type EncodedCommit, encodeValue, type Snapshot, type TimelineStart } from './messages.js';

/** Start position of the log of a new group: `0/1000000`, as after initdb. */
export const FIRST_LSN = 0x100_0000;
const COMMIT_HEADER_BYTES = 48;
const MAX_RETAINED_BYTES = 32 * 1024 * 1024;
const MAX_RETAINED_ENTRIES = 200_000;
/** Maximum entries in a snapshot: encoding more would delay the primary's heartbeats. */
const MAX_SNAPSHOT_ENTRIES = 20_000;
const MAX_KEYS_PER_ENTRY = 20;

export class CommitLog {
  /** Zero until the instance first becomes primary or receives a primary's log. */
  timeline = 0;
  lsn = 0;
  history: readonly TimelineStart[] = [];
  private commits: EncodedCommit[] = [];
  private retainedBytes = 0;
  /** Commits of this log, oldest first. */
  private entries: LogEntry[] = [];
  /** Entries of divergent logs that rewinds have discarded. */
  private discardedEntries: LogEntry[] = [];

  /** Starts a new timeline at the current position. */
  startTimeline(timeline: number): void {
    if (this.timeline === 0) this.lsn = FIRST_LSN;
    this.timeline = timeline;
    this.history = [...this.history, { timeline, startLsn: this.lsn }];
  }

  /** Appends a commit of this instance as primary. */
  write(changes: readonly Change[], committedAtMs: number): EncodedCommit {
    const encoded = encodeValue(changes);
    const commit: EncodedCommit = {
      timeline: this.timeline,
      previousLsn: this.lsn,
      lsn: this.lsn + COMMIT_HEADER_BYTES + encoded.length,
      committedAtMs,
      changes: encoded,
    };
    this.append(commit);
    return commit;
  }

  /** Appends a commit that follows the current position. */
  append(commit: EncodedCommit): void {
    this.lsn = commit.lsn;
    this.commits.push(commit);
    this.retainedBytes += commit.changes.length;
    while (this.retainedBytes > MAX_RETAINED_BYTES && this.commits.length > 1) {
      this.retainedBytes -= this.commits.shift()?.changes.length ?? 0;
    }
  }

  addEntry(commit: EncodedCommit, keys: readonly string[]): void {
    this.entries.push({
      timeline: commit.timeline,
      lsn: formatLsn(BigInt(commit.lsn)),
      offset: commit.lsn,
      committedAtMs: commit.committedAtMs,
      keys: keys.slice(0, MAX_KEYS_PER_ENTRY),
      changes: keys.length,
    });
    if (this.entries.length > MAX_RETAINED_ENTRIES * 2) {
      this.entries = this.entries.slice(-MAX_RETAINED_ENTRIES);
    }
  }

  /** True if a log that ends at this position is a prefix of this one. */
  contains(timeline: number, lsn: number): boolean {
    if (timeline === this.timeline) return lsn <= this.lsn;
    if (!this.history.some((start) => start.timeline === timeline)) return false;
    const next = this.history.find((start) => start.timeline > timeline);
    return next !== undefined && lsn <= next.startLsn;
  }

  /** Commits after a position; undefined if they are no longer retained. */
  commitsAfter(lsn: number): readonly EncodedCommit[] | undefined {
    if (lsn === this.lsn) return [];
    const first = this.commits.findIndex((commit) => commit.previousLsn === lsn);
    return first < 0 ? undefined : this.commits.slice(first);
  }

  /** Position up to which a log that ends here equals this one; zero for an unknown timeline. */
  commonLsn(timeline: number, lsn: number): number {
    if (!this.history.some((start) => start.timeline === timeline)) return 0;
    const next = this.history.find((start) => start.timeline > timeline);
    return Math.min(lsn, next?.startLsn ?? this.lsn);
  }

  /** Entries after a position; only the newest `MAX_SNAPSHOT_ENTRIES` if there are more. */
  entriesAfter(lsn: number): readonly LogEntry[] {
    const first = this.entries.findIndex((entry) => entry.offset > lsn);
    return first < 0
      ? []
      : this.entries.slice(Math.max(first, this.entries.length - MAX_SNAPSHOT_ENTRIES));
  }

  /** Replaces the log after `commonLsn` by that of another instance. */
  replace(snapshot: Omit<Snapshot, 'kind' | 'from' | 'tables'>): void {
    const { timeline, lsn, history, commonLsn, entries } = snapshot;
    const lost = this.entries.filter((entry) => entry.offset > commonLsn);
    const kept = this.entries.filter((entry) => entry.offset <= commonLsn);
    this.discardedEntries = [...this.discardedEntries, ...lost].slice(-MAX_RETAINED_ENTRIES);
    this.timeline = timeline;
    this.lsn = lsn;
    this.history = history;
    this.entries = [...kept, ...entries];
    this.commits = [];
    this.retainedBytes = 0;
  }

  get allEntries(): readonly LogEntry[] {
    return this.entries;
  }

  get discarded(): readonly LogEntry[] {
    return this.discardedEntries;
  }
}
