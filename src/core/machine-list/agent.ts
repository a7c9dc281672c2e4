/**
 * Keeps one node's machine list. Two nodes of each zone read the service and pass differences on along
 * the zone's push tree; all compare digests with random peers, which also spreads how long ago a reader
 * read. A node that has heard of no reader for a while reads the service itself. No I/O.
 */
import { jitter, type RandomSource } from '../configuration/backoff.js';
import { MemberView } from '../configuration/member-view.js';
import type { ConfigurationMember } from '../configuration/relays.js';
import type { Milliseconds } from '../units.js';
import type {
  MachineListEffect,
  MachineListEvent,
  MachineListPollResult,
  MachineListReport,
  MachineListStatus,
  PollingReason,
} from './contract.js';
import {
  compareStamps,
  hashOfEntries,
  type ListDelta,
  type ListEntry,
  type ListStamp,
  MachineListReplica,
} from './replica.js';

/** Between two comparisons with a random peer. */
const REPORT_INTERVAL_MS = 2000;
/**
 * A node reads for itself when no reader's heartbeat is younger than this, or than half as much again.
 * A reader polls at least every 10 s, and in a zone of 255 nodes its heartbeat takes some 16 s to all.
 */
const HEARTBEAT_LIMIT_MS = 30_000;
/** A push with more entries is only announced, and fetched by buckets. */
const MAX_PUSHED_ENTRIES = 200;

/** What the agent is built with. */
export interface ListAgentOptions {
  readonly self: ConfigurationMember;
  readonly random: RandomSource;
}

/** A reading that names an earlier version than the one that the service was told. */
interface StepBack<Item> {
  /** The list that was held then. */
  readonly held: ListStamp;
  readonly entries: readonly ListEntry<Item>[];
}

/** One node's machine list. */
export class MachineListAgent<Item> {
  readonly replica = new MachineListReplica<Item>();
  readonly #self: ConfigurationMember;
  readonly #random: RandomSource;
  #view: MemberView;
  #isStarted = false;
  #isReading = false;
  /** When a reader was last known to have read what is held here. */
  #heartbeatAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #heartbeatLimitMs: Milliseconds;
  #nextReportAt: Milliseconds = Number.POSITIVE_INFINITY;
  #stepBack: StepBack<Item> | undefined;
  readonly #fetching = new Set<string>();
  /** For each root of a push tree, the latest list that was passed on for it. */
  readonly #forwarded = new Map<string, ListStamp>();
  #mismatches = 0;

  constructor(options: ListAgentOptions) {
    this.#self = options.self;
    this.#random = options.random;
    this.#view = new MemberView(options.self, []);
    this.#heartbeatLimitMs = this.#drawLimit();
  }

  /** When a `tick` is next wanted. */
  nextDeadline(): Milliseconds {
    const aloneAt = this.#isReading ? Number.POSITIVE_INFINITY : this.#aloneAt;
    return Math.min(this.#nextReportAt, aloneAt);
  }

  /** What this node tells a peer. */
  report(now: Milliseconds): MachineListReport {
    return { digest: this.replica.digest(), heartbeatAgeMs: this.#heartbeatAge(now) };
  }

  status(now: Milliseconds): MachineListStatus {
    return {
      ...this.replica.stamp,
      reading: this.#readingReason(now),
      heartbeatAgeMs: this.#heartbeatAge(now),
      mismatches: this.#mismatches,
    };
  }

  handle(event: MachineListEvent<Item>, now: Milliseconds): MachineListEffect<Item>[] {
    const effects = this.#dispatch(event, now);
    return [...effects, ...this.#updateReading(now)];
  }

  #dispatch(event: MachineListEvent<Item>, now: Milliseconds): MachineListEffect<Item>[] {
    switch (event.type) {
      case 'started':
        this.#isStarted = true;
        this.#nextReportAt = now;
        return [];
      case 'members-changed':
        return this.#setMembers(event.members, now);
      case 'read':
        return this.#read(event.reading, now);
      case 'push-received':
        return this.#pushReceived(event.nodeId, event.root, event.delta, now);
      case 'report-received':
        return this.#reportReceived(event.nodeId, event.report, now);
      case 'fetched':
        return this.#fetched(event, now);
      case 'peer-failed':
        this.#fetching.delete(event.nodeId);
        return [];
      case 'tick':
        return now >= this.#nextReportAt ? this.#reportRound(now) : [];
    }
  }

  #setMembers(
    members: readonly ConfigurationMember[],
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    const wasAlone = this.#view.others.length === 0;
    this.#view = new MemberView(this.#self, members);
    for (const root of this.#forwarded.keys()) {
      if (!this.#view.includes(root)) this.#forwarded.delete(root);
    }
    return this.#isStarted && wasAlone ? this.#reportRound(now) : [];
  }

  // ---- who reads

  get #isReader(): boolean {
    return this.#isCandidate(this.#self.nodeId);
  }

  #isCandidate(nodeId: string): boolean {
    return this.#view.candidates().some((candidate) => candidate.nodeId === nodeId);
  }

  get #aloneAt(): Milliseconds {
    return this.#heartbeatAt + this.#heartbeatLimitMs;
  }

  #readingReason(now: Milliseconds): PollingReason {
    if (!this.#isStarted) return 'none';
    if (this.#isReader) return 'reader';
    return now >= this.#aloneAt ? 'alone' : 'none';
  }

  #updateReading(now: Milliseconds): MachineListEffect<Item>[] {
    const isReading = this.#readingReason(now) !== 'none';
    if (isReading === this.#isReading) return [];
    this.#isReading = isReading;
    return [{ type: 'set-reading', isPolling: isReading }];
  }

  #heartbeatAge(now: Milliseconds): Milliseconds | undefined {
    return Number.isFinite(this.#heartbeatAt) ? Math.max(0, now - this.#heartbeatAt) : undefined;
  }

  #noteHeartbeat(at: Milliseconds): void {
    if (at <= this.#heartbeatAt) return;
    this.#heartbeatAt = at;
    this.#heartbeatLimitMs = this.#drawLimit();
  }

  #drawLimit(): Milliseconds {
    return HEARTBEAT_LIMIT_MS + jitter(HEARTBEAT_LIMIT_MS / 2, this.#random);
  }

  // ---- what the service says

  #read(reading: MachineListPollResult<Item>, now: Milliseconds): MachineListEffect<Item>[] {
    const effects = this.#takeReading(reading);
    // Only a reader's readings count as heartbeats: it goes on reading.
    const isCurrent = reading.version === this.replica.stamp.version;
    if (isCurrent && this.#isReader) this.#noteHeartbeat(now);
    return effects;
  }

  #takeReading({
    knownVersion: asked,
    version,
    entries,
  }: MachineListPollResult<Item>): MachineListEffect<Item>[] {
    const held = this.replica.stamp;
    if (version > held.version) {
      return entries === undefined ? [] : this.#takeOver({ ...held, version }, entries);
    }
    if (version === held.version) return this.#compareContents(held, entries);
    return this.#considerStepBack(held, asked, version, entries);
  }

  /** The same version with other contents: the service began anew and has come as far as before. */
  #compareContents(
    held: ListStamp,
    entries: readonly ListEntry<Item>[] | undefined,
  ): MachineListEffect<Item>[] {
    if (entries === undefined) return [];
    if (hashOfEntries(entries) === this.replica.digest().hash) return [];
    this.#mismatches += 1;
    return this.#takeOver({ epoch: held.epoch + 1, version: held.version }, entries);
  }

  /**
   * An answer older than what pushes have brought meanwhile is no news. A service that answers with
   * less than it was told lost its memory, or one of its replicas lags: it is believed if it
   * does so twice, with nothing later heard in between.
   */
  #considerStepBack(
    held: ListStamp,
    asked: number,
    version: number,
    entries: readonly ListEntry<Item>[] | undefined,
  ): MachineListEffect<Item>[] {
    const before = this.#stepBack;
    if (before !== undefined && compareStamps(before.held, held) === 0) {
      this.#stepBack = undefined;
      return this.#takeOver({ epoch: held.epoch + 1, version }, entries ?? before.entries);
    }
    if (version < asked && entries !== undefined) this.#stepBack = { held, entries };
    return [];
  }

  #takeOver(stamp: ListStamp, entries: readonly ListEntry<Item>[]): MachineListEffect<Item>[] {
    const delta = this.replica.replace(stamp, entries);
    return [{ type: 'apply', stamp }, ...this.#forward(this.#self.nodeId, delta)];
  }

  // ---- what peers say

  #reportRound(now: Milliseconds): MachineListEffect<Item>[] {
    this.#nextReportAt = now + jitter(REPORT_INTERVAL_MS, this.#random);
    const peer = this.#view.antiEntropyPeer(this.#random);
    return peer === undefined ? [] : [{ type: 'ask-report', peer }];
  }

  #reportReceived(
    nodeId: string,
    report: MachineListReport,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    const { digest, heartbeatAgeMs } = report;
    const held = this.replica.digest();
    const order = compareStamps(digest.stamp, held.stamp);
    if (order > 0) return this.#fetch(nodeId);
    if (order < 0) return [];
    if (digest.hash !== held.hash) this.#mismatches += 1;
    else if (heartbeatAgeMs !== undefined) this.#noteHeartbeat(now - heartbeatAgeMs);
    return [];
  }

  #fetch(nodeId: string): MachineListEffect<Item>[] {
    const peer = this.#view.get(nodeId);
    if (peer === undefined || this.#fetching.has(nodeId)) return [];
    this.#fetching.add(nodeId);
    return [{ type: 'fetch', peer }];
  }

  #fetched(
    { nodeId, buckets }: Extract<MachineListEvent<Item>, { type: 'fetched' }>,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    this.#fetching.delete(nodeId);
    const outcome = this.replica.applyBuckets(buckets);
    // What was held has changed since the peer was asked; the next comparison asks again.
    if (outcome === 'gap') this.#nextReportAt = Math.min(this.#nextReportAt, now);
    return outcome === 'applied' ? [{ type: 'apply', stamp: this.replica.stamp }] : [];
  }

  #pushReceived(
    nodeId: string,
    root: string,
    delta: ListDelta<Item>,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    const outcome = this.replica.apply(delta);
    const isCurrent = compareStamps(delta.to.stamp, this.replica.stamp) === 0;
    if (isCurrent && this.#isCandidate(root)) this.#noteHeartbeat(now);
    const news: MachineListEffect<Item>[] =
      outcome === 'applied' ? [{ type: 'apply', stamp: delta.to.stamp }] : [];
    const missing = outcome === 'gap' ? this.#fetch(nodeId) : [];
    return [...news, ...missing, ...this.#forward(root, delta)];
  }

  /** Passes a change on once for each root, whether or not it is news here: the tree waits for it. */
  #forward(root: string, delta: ListDelta<Item>): MachineListEffect<Item>[] {
    const last = this.#forwarded.get(root);
    if (!this.#view.includes(root)) return [];
    if (last !== undefined && compareStamps(delta.to.stamp, last) <= 0) return [];
    this.#forwarded.set(root, delta.to.stamp);
    const isSmall = delta.changed.length + delta.removed.length <= MAX_PUSHED_ENTRIES;
    return this.#view.pushTargets(root).map((peer) => {
      return isSmall ? { type: 'push', peer, root, delta } : { type: 'ask-report', peer };
    });
  }
}
