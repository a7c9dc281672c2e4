/** An instance's log: its position, the timelines behind it, and the commits kept for replicas. */
import { formatLsn } from '../../../src/core/position.js';
import type { Change, LogEntry } from '../storage/commit-record.js';
import { type EncodedCommit, encodeValue, type Snapshot, type TimelineStart } from './messages.js';

/** Where the log of a new group starts: `0/1000000`, as after initdb. */
export const FIRST_LSN = 0x100_0000;
const COMMIT_HEADER_BYTES = 48;
const RETAINED_BYTES = 32 * 1024 * 1024;
const RETAINED_ENTRIES = 200_000;
/** Entries in a snapshot: encoding more would hold up the primary's heartbeats. */
const SENT_ENTRIES = 20_000;
const LOG_KEYS_PER_ENTRY = 20;

export class CommitLog {
  /** Zero until the instance leads or follows for the first time. */
  timeline = 0;
  lsn = 0;
  history: readonly TimelineStart[] = [];
  private commits: EncodedCommit[] = [];
  private retainedBytes = 0;
  /** Commits of this log, oldest first. */
  private entries: LogEntry[] = [];
  /** Entries of divergent logs that were thrown away by a rewind. */
  private discardedEntries: LogEntry[] = [];

  /** Starts the next timeline at the present position. */
  startTimeline(timeline: number): void {
    if (this.timeline === 0) this.lsn = FIRST_LSN;
    this.timeline = timeline;
    this.history = [...this.history, { timeline, startLsn: this.lsn }];
  }

  /** Adds a commit of this instance as primary. */
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

  /** Adds a commit that follows the present position. */
  append(commit: EncodedCommit): void {
    this.lsn = commit.lsn;
    this.commits.push(commit);
    this.retainedBytes += commit.changes.length;
    while (this.retainedBytes > RETAINED_BYTES && this.commits.length > 1) {
      this.retainedBytes -= this.commits.shift()?.changes.length ?? 0;
    }
  }

  addEntry(commit: EncodedCommit, keys: readonly string[]): void {
    this.entries.push({
      timeline: commit.timeline,
      lsn: formatLsn(BigInt(commit.lsn)),
      offset: commit.lsn,
      committedAtMs: commit.committedAtMs,
      keys: keys.slice(0, LOG_KEYS_PER_ENTRY),
      changes: keys.length,
    });
    if (this.entries.length > RETAINED_ENTRIES * 2) {
      this.entries = this.entries.slice(-RETAINED_ENTRIES);
    }
  }

  /** True if a log that ends at this position is the beginning of this one. */
  contains(timeline: number, lsn: number): boolean {
    if (timeline === this.timeline) return lsn <= this.lsn;
    if (!this.history.some((start) => start.timeline === timeline)) return false;
    const next = this.history.find((start) => start.timeline > timeline);
    return next !== undefined && lsn <= next.startLsn;
  }

  /** Commits after a position; undefined if they are no longer kept. */
  commitsAfter(lsn: number): readonly EncodedCommit[] | undefined {
    if (lsn === this.lsn) return [];
    const first = this.commits.findIndex((commit) => commit.previousLsn === lsn);
    return first < 0 ? undefined : this.commits.slice(first);
  }

  /** Where a log that ends at this position parts from this one; zero for an unknown timeline. */
  commonLsn(timeline: number, lsn: number): number {
    if (!this.history.some((start) => start.timeline === timeline)) return 0;
    const next = this.history.find((start) => start.timeline > timeline);
    return Math.min(lsn, next?.startLsn ?? this.lsn);
  }

  /** Entries after a position, the newest of them if there are many. */
  entriesAfter(lsn: number): readonly LogEntry[] {
    const first = this.entries.findIndex((entry) => entry.offset > lsn);
    return first < 0 ? [] : this.entries.slice(Math.max(first, this.entries.length - SENT_ENTRIES));
  }

  /** Replaces everything after `commonLsn` by another log's. */
  replace(snapshot: Omit<Snapshot, 'kind' | 'from' | 'tables'>): void {
    const { timeline, lsn, history, commonLsn, entries } = snapshot;
    const lost = this.entries.filter((entry) => entry.offset > commonLsn);
    const kept = this.entries.filter((entry) => entry.offset <= commonLsn);
    this.discardedEntries = [...this.discardedEntries, ...lost].slice(-RETAINED_ENTRIES);
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
