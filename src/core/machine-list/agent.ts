/**
 * Keeps one node's machine list up to date. Two nodes of each zone, the readers, poll the list
 * service and push differences along the zone's push tree. All nodes compare digests with random
 * peers, which also spreads the age of the latest reader heartbeat (a reader's poll). A node that
 * has no recent heartbeat polls the service itself. No I/O.
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
  hashEntries,
  type ListDelta,
  type ListEntry,
  type ListStamp,
  MachineListReplica,
} from './replica.js';

/** Interval between comparisons with a random peer. */
const REPORT_INTERVAL_MS = 2000;
/**
 * A node polls the service itself if the latest reader heartbeat is older than this plus a random
 * extra of up to half of it. A reader polls at least every 10 s, and in a zone of 255 nodes its
 * heartbeat takes about 16 s to reach all nodes.
 */
const HEARTBEAT_TIMEOUT_MS = 30_000;
/** Larger differences are not pushed: peers get a report and fetch the differing buckets. */
const MAX_PUSHED_ENTRIES = 200;

/** Options of the agent. */
export interface ListAgentOptions {
  readonly self: ConfigurationMember;
  readonly random: RandomSource;
}

/** A poll that returned an earlier version than the one named in the request. */
interface VersionRegression<Item> {
  /** Stamp of this node's list at the time of that poll. */
  readonly held: ListStamp;
  readonly entries: readonly ListEntry<Item>[];
}

/** State machine that keeps one node's machine list. */
export class MachineListAgent<Item> {
  readonly replica = new MachineListReplica<Item>();
  readonly #self: ConfigurationMember;
  readonly #random: RandomSource;
  #view: MemberView;
  #isStarted = false;
  #isReading = false;
  /** Latest time at which a reader is known to have polled the list that this node has. */
  #heartbeatAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #heartbeatTimeoutMs: Milliseconds;
  #nextReportAt: Milliseconds = Number.POSITIVE_INFINITY;
  #versionRegression: VersionRegression<Item> | undefined;
  readonly #fetching = new Set<string>();
  /** Stamp of the latest list forwarded for each root of a push tree. */
  readonly #forwarded = new Map<string, ListStamp>();
  #mismatches = 0;

  constructor(options: ListAgentOptions) {
    this.#self = options.self;
    this.#random = options.random;
    this.#view = new MemberView(options.self, []);
    this.#heartbeatTimeoutMs = this.#randomHeartbeatTimeoutMs();
  }

  /** Time at which the next `tick` is needed. */
  nextDeadline(): Milliseconds {
    const heartbeatDeadline = this.#isReading ? Number.POSITIVE_INFINITY : this.#heartbeatExpiresAt;
    return Math.min(this.#nextReportAt, heartbeatDeadline);
  }

  /** The report that this node sends to peers. */
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
        return this.#handleReading(event.reading, now);
      case 'push-received':
        return this.#handlePush(event.nodeId, event.root, event.delta, now);
      case 'report-received':
        return this.#handleReport(event.nodeId, event.report, now);
      case 'fetched':
        return this.#handleFetched(event, now);
      case 'peer-failed':
        this.#fetching.delete(event.nodeId);
        return [];
      case 'tick':
        return now >= this.#nextReportAt ? this.#startReportRound(now) : [];
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
    return this.#isStarted && wasAlone ? this.#startReportRound(now) : [];
  }

  // ---- Selection of readers

  get #isReader(): boolean {
    return this.#isReaderNode(this.#self.nodeId);
  }

  #isReaderNode(nodeId: string): boolean {
    return this.#view.relayCandidates().some((candidate) => candidate.nodeId === nodeId);
  }

  get #heartbeatExpiresAt(): Milliseconds {
    return this.#heartbeatAt + this.#heartbeatTimeoutMs;
  }

  #readingReason(now: Milliseconds): PollingReason {
    if (!this.#isStarted) return 'none';
    if (this.#isReader) return 'reader';
    return now >= this.#heartbeatExpiresAt ? 'alone' : 'none';
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

  #recordHeartbeat(at: Milliseconds): void {
    if (at <= this.#heartbeatAt) return;
    this.#heartbeatAt = at;
    this.#heartbeatTimeoutMs = this.#randomHeartbeatTimeoutMs();
  }

  #randomHeartbeatTimeoutMs(): Milliseconds {
    return HEARTBEAT_TIMEOUT_MS + jitter(HEARTBEAT_TIMEOUT_MS / 2, this.#random);
  }

  // ---- Results of polls

  #handleReading(
    reading: MachineListPollResult<Item>,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    const effects = this.#applyReading(reading);
    // Only a reader's polls count as heartbeats, because only a reader continues to poll.
    const isCurrent = reading.version === this.replica.stamp.version;
    if (isCurrent && this.#isReader) this.#recordHeartbeat(now);
    return effects;
  }

  #applyReading({
    knownVersion: asked,
    version,
    entries,
  }: MachineListPollResult<Item>): MachineListEffect<Item>[] {
    const held = this.replica.stamp;
    if (version > held.version) {
      return entries === undefined ? [] : this.#replaceList({ ...held, version }, entries);
    }
    if (version === held.version) return this.#compareContents(held, entries);
    return this.#handleVersionRegression(held, asked, version, entries);
  }

  /** Detects a service that was reset and has reached the same version with other contents. */
  #compareContents(
    held: ListStamp,
    entries: readonly ListEntry<Item>[] | undefined,
  ): MachineListEffect<Item>[] {
    if (entries === undefined) return [];
    if (hashEntries(entries) === this.replica.digest().hash) return [];
    this.#mismatches += 1;
    return this.#replaceList({ epoch: held.epoch + 1, version: held.version }, entries);
  }

  /**
   * Handles an answer older than this node's list. It is ignored if it is outdated only because
   * pushes arrived after the request. If it is older than the version named in the request, the
   * service has lost its state or one of its replicas lags: it is accepted if this happens twice
   * and no later list arrives in between.
   */
  #handleVersionRegression(
    held: ListStamp,
    asked: number,
    version: number,
    entries: readonly ListEntry<Item>[] | undefined,
  ): MachineListEffect<Item>[] {
    const previous = this.#versionRegression;
    if (previous !== undefined && compareStamps(previous.held, held) === 0) {
      this.#versionRegression = undefined;
      return this.#replaceList({ epoch: held.epoch + 1, version }, entries ?? previous.entries);
    }
    if (version < asked && entries !== undefined) this.#versionRegression = { held, entries };
    return [];
  }

  #replaceList(stamp: ListStamp, entries: readonly ListEntry<Item>[]): MachineListEffect<Item>[] {
    const delta = this.replica.replace(stamp, entries);
    return [{ type: 'apply', stamp }, ...this.#forward(this.#self.nodeId, delta)];
  }

  // ---- Exchange with peers

  #startReportRound(now: Milliseconds): MachineListEffect<Item>[] {
    this.#nextReportAt = now + jitter(REPORT_INTERVAL_MS, this.#random);
    const peer = this.#view.selectAntiEntropyPeer(this.#random);
    return peer === undefined ? [] : [{ type: 'ask-report', peer }];
  }

  #handleReport(
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
    else if (heartbeatAgeMs !== undefined) this.#recordHeartbeat(now - heartbeatAgeMs);
    return [];
  }

  #fetch(nodeId: string): MachineListEffect<Item>[] {
    const peer = this.#view.get(nodeId);
    if (peer === undefined || this.#fetching.has(nodeId)) return [];
    this.#fetching.add(nodeId);
    return [{ type: 'fetch', peer }];
  }

  #handleFetched(
    { nodeId, buckets }: Extract<MachineListEvent<Item>, { type: 'fetched' }>,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    this.#fetching.delete(nodeId);
    const outcome = this.replica.applyBuckets(buckets);
    // This node's list has changed since the fetch was sent; the next comparison fetches again.
    if (outcome === 'gap') this.#nextReportAt = Math.min(this.#nextReportAt, now);
    return outcome === 'applied' ? [{ type: 'apply', stamp: this.replica.stamp }] : [];
  }

  #handlePush(
    nodeId: string,
    root: string,
    delta: ListDelta<Item>,
    now: Milliseconds,
  ): MachineListEffect<Item>[] {
    const outcome = this.replica.apply(delta);
    const isCurrent = compareStamps(delta.to.stamp, this.replica.stamp) === 0;
    if (isCurrent && this.#isReaderNode(root)) this.#recordHeartbeat(now);
    const applyEffects: MachineListEffect<Item>[] =
      outcome === 'applied' ? [{ type: 'apply', stamp: delta.to.stamp }] : [];
    const fetchEffects = outcome === 'gap' ? this.#fetch(nodeId) : [];
    return [...applyEffects, ...fetchEffects, ...this.#forward(root, delta)];
  }

  /** Forwards a change once per root, even if already known here: nodes down the tree need it. */
  #forward(root: string, delta: ListDelta<Item>): MachineListEffect<Item>[] {
    const lastForwarded = this.#forwarded.get(root);
    if (!this.#view.includes(root)) return [];
    if (lastForwarded !== undefined && compareStamps(delta.to.stamp, lastForwarded) <= 0) return [];
    this.#forwarded.set(root, delta.to.stamp);
    const isSmall = delta.changed.length + delta.removed.length <= MAX_PUSHED_ENTRIES;
    return this.#view.selectPushTargets(root).map((peer) => {
      return isSmall ? { type: 'push', peer, root, delta } : { type: 'ask-report', peer };
    });
  }
}
