/**
 * An instance as a member of its group: it is the primary or follows it, receives and replays
 * commits, and resynchronizes after a gap or a divergence.
 */
import { performance } from 'node:perf_hooks';
import type { Catalog } from '../storage/catalog.js';
import type { Change } from '../storage/commit-record.js';
import { CommitLog } from './commit-log.js';
import { Election, INITIAL_TIMELINE } from './election.js';
import {
  type Append,
  type CatchUp,
  decodeValue,
  type EncodedCommit,
  type Heartbeat,
  type PeerMessage,
  type Snapshot,
  type StalePrimary,
  type SyncRequest,
  type VoteRequest,
} from './messages.js';

export type Role = 'primary' | 'replica';

export interface ElectionEvent {
  readonly event: 'elected' | 'following' | 'demoted' | 'rewound';
  readonly timeline: number;
  readonly primary: string | undefined;
  readonly atMs: number;
}

export interface MemberOptions {
  readonly name: string;
  /** One member of the group is the first primary without a vote. */
  readonly hasInitialPrimary: boolean;
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  readonly random: () => number;
  readonly catalog: Catalog;
  readonly send: (peer: string, message: PeerMessage) => void;
  readonly broadcast: (message: PeerMessage) => void;
  readonly groupSize: () => number;
  readonly replayLagMs: () => number;
  readonly isReceiveStalled: () => boolean;
  /** Ends all sessions, before the data is replaced or this instance stops being primary. */
  readonly terminateSessions: (reason: string) => void;
}

const TICK_INTERVAL_MS = 10;
/** Delay until an unanswered sync request is repeated. */
const SYNC_RETRY_DELAY_MS = 200;
const MAX_HISTORY_EVENTS = 1_000;

export class Member {
  readonly log = new CommitLog();
  role: Role = 'replica';
  primaryName: string | undefined;
  replayedLsn = 0;
  /** True once the instance has been a replica, which gives it a replay position. */
  wasReplica = false;
  readonly events: ElectionEvent[] = [];
  private readonly election: Election;
  private readonly replayQueue: { commit: EncodedCommit; dueMs: number }[] = [];
  private replayTimer: NodeJS.Timeout | undefined;
  private primaryTimeline = 0;
  private syncRequestedMs = Number.NEGATIVE_INFINITY;
  private heartbeatDueMs = 0;
  private tickTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: MemberOptions) {
    this.election = new Election({
      ...options,
      position: () => this.log,
      isPrimary: () => this.role === 'primary',
      onElected: (timeline) => this.becomePrimary(timeline),
    });
  }

  get promisedTimeline(): number {
    return this.election.promisedTimeline;
  }

  start(initialPrimary: boolean): void {
    this.election.start(performance.now());
    // If it starts late, another member may have been elected, or this one may have voted.
    if (initialPrimary && this.election.promisedTimeline === 0)
      this.becomePrimary(INITIAL_TIMELINE);
    this.tickTimer = setInterval(() => this.tick(performance.now()), TICK_INTERVAL_MS);
  }

  /** Stops its timers. */
  stop(): void {
    clearInterval(this.tickTimer);
    clearTimeout(this.replayTimer);
  }

  private tick(nowMs: number): void {
    this.election.tick(nowMs);
    if (this.role !== 'primary' || nowMs < this.heartbeatDueMs) return;
    this.heartbeatDueMs = nowMs + this.options.heartbeatMs;
    this.sendHeartbeat();
  }

  private sendHeartbeat(): void {
    const { timeline, lsn } = this.log;
    this.options.broadcast({ kind: 'heartbeat', from: this.options.name, timeline, lsn });
  }

  private becomePrimary(timeline: number): void {
    this.replayAll();
    this.role = 'primary';
    this.primaryName = this.options.name;
    this.primaryTimeline = timeline;
    this.log.startTimeline(timeline);
    this.election.promisedTimeline = Math.max(this.election.promisedTimeline, timeline);
    this.recordEvent('elected');
    this.sendHeartbeat();
  }

  /** Starts an election although the primary may be alive; does nothing on the primary itself. */
  promote(): void {
    if (this.role === 'replica') this.election.startHandover(performance.now());
  }

  /** Appends a commit of this primary to the log and sends it to the replicas. */
  commit(changes: readonly Change[], keys: readonly string[]): EncodedCommit {
    const commit = this.log.write(changes, Date.now());
    this.log.addEntry(commit, keys);
    const { timeline } = this.log;
    this.options.broadcast({ kind: 'append', from: this.options.name, timeline, commit });
    return commit;
  }

  receive(message: PeerMessage): void {
    const nowMs = performance.now();
    switch (message.kind) {
      case 'heartbeat':
        this.onHeartbeat(message, nowMs);
        break;
      case 'heartbeat-reply':
        if (this.role === 'primary' && message.timeline === this.log.timeline) {
          this.election.recordFollower(nowMs);
        }
        break;
      case 'append':
        this.onAppend(message);
        break;
      case 'sync-request':
        this.onSyncRequest(message);
        break;
      case 'catch-up':
        this.onCatchUp(message);
        break;
      case 'snapshot':
        this.onSnapshot(message);
        break;
      case 'vote-request':
        this.onVoteRequest(message, nowMs);
        break;
      case 'vote':
        this.election.onVote(message);
        break;
      case 'stale-primary':
        this.onStalePrimary(message, nowMs);
        break;
    }
  }

  private onVoteRequest(request: VoteRequest, nowMs: number): void {
    const isBinding = this.election.onVoteRequest(request, nowMs);
    // The candidate may be elected without a member that still accepts this primary's commits.
    if (isBinding && this.role === 'primary') this.demote(request.timeline);
  }

  private onHeartbeat(heartbeat: Heartbeat, nowMs: number): void {
    const { from, timeline, lsn } = heartbeat;
    if (timeline < this.election.promisedTimeline || this.leadsSameOrLaterTimeline(timeline)) {
      this.sendStalePrimary(from);
      return;
    }
    this.follow(from, timeline);
    this.election.recordHeartbeat(from, timeline, nowMs);
    const receivedLsn = this.log.lsn;
    const kind = 'heartbeat-reply';
    this.options.send(from, { kind, from: this.options.name, timeline, receivedLsn });
    if (this.options.isReceiveStalled()) return;
    if (this.log.timeline !== timeline || this.log.lsn !== lsn) this.requestSync(from, nowMs);
  }

  private leadsSameOrLaterTimeline(timeline: number): boolean {
    return this.role === 'primary' && timeline <= this.log.timeline;
  }

  private sendStalePrimary(primary: string): void {
    this.options.send(primary, {
      kind: 'stale-primary',
      from: this.options.name,
      timeline: this.election.promisedTimeline,
      primaryTimeline: this.primaryTimeline,
    });
  }

  private onStalePrimary(message: StalePrimary, nowMs: number): void {
    if (this.role !== 'primary' || message.timeline <= this.log.timeline) return;
    if (message.primaryTimeline > this.log.timeline) this.demote(message.primaryTimeline);
    else this.election.recordRefusal(message.timeline, nowMs);
  }

  private follow(primary: string, timeline: number): void {
    if (this.role === 'primary') this.demote(timeline);
    if (timeline === this.primaryTimeline && primary === this.primaryName) return;
    this.primaryName = primary;
    this.primaryTimeline = timeline;
    this.wasReplica = true;
    this.syncRequestedMs = Number.NEGATIVE_INFINITY;
    this.recordEvent('following');
  }

  private demote(timeline: number): void {
    this.options.terminateSessions('a later timeline was seen');
    this.role = 'replica';
    this.primaryName = undefined;
    this.wasReplica = true;
    this.replayedLsn = this.log.lsn;
    this.election.handleDemotion(timeline, performance.now());
    this.recordEvent('demoted');
  }

  private requestSync(primary: string, nowMs: number): void {
    if (nowMs - this.syncRequestedMs < SYNC_RETRY_DELAY_MS) return;
    this.syncRequestedMs = nowMs;
    const { timeline, lsn } = this.log;
    this.options.send(primary, { kind: 'sync-request', from: this.options.name, timeline, lsn });
  }

  private onSyncRequest(request: SyncRequest): void {
    if (this.role !== 'primary') return;
    const { timeline, lsn, history } = this.log;
    const { name: from } = this.options;
    const commits = this.log.contains(request.timeline, request.lsn)
      ? this.log.commitsAfter(request.lsn)
      : undefined;
    if (commits !== undefined) {
      const { timeline: fromTimeline, lsn: fromLsn } = request;
      const kind = 'catch-up';
      this.options.send(request.from, {
        kind,
        from,
        timeline,
        history,
        fromTimeline,
        fromLsn,
        commits,
      });
      return;
    }
    const commonLsn = this.log.commonLsn(request.timeline, request.lsn);
    this.options.send(request.from, {
      kind: 'snapshot',
      from,
      timeline,
      history,
      lsn,
      tables: this.options.catalog.snapshot(),
      commonLsn,
      entries: this.log.entriesAfter(commonLsn),
    });
  }

  private shouldAccept(message: Append | CatchUp | Snapshot): boolean {
    if (this.role === 'primary' || this.options.isReceiveStalled()) return false;
    return message.timeline >= this.election.promisedTimeline && message.from === this.primaryName;
  }

  private onAppend(message: Append): void {
    const { commit } = message;
    if (!this.shouldAccept(message) || message.timeline !== this.log.timeline) return;
    if (commit.previousLsn === this.log.lsn) this.receiveCommit(commit);
  }

  private onCatchUp(message: CatchUp): void {
    const { log } = this;
    if (!this.shouldAccept(message)) return;
    if (message.fromTimeline !== log.timeline || message.fromLsn !== log.lsn) return;
    log.timeline = message.timeline;
    log.history = message.history;
    this.syncRequestedMs = Number.NEGATIVE_INFINITY;
    for (const commit of message.commits) this.receiveCommit(commit);
  }

  private onSnapshot(message: Snapshot): void {
    if (!this.shouldAccept(message)) return;
    this.options.terminateSessions('the data directory is rewound');
    this.replayQueue.length = 0;
    this.options.catalog.restore(message.tables);
    const isDivergent = this.log.timeline !== 0;
    this.log.replace(message);
    this.replayedLsn = message.lsn;
    this.syncRequestedMs = Number.NEGATIVE_INFINITY;
    if (isDivergent) this.recordEvent('rewound');
  }

  private receiveCommit(commit: EncodedCommit): void {
    this.log.append(commit);
    this.replayQueue.push({ commit, dueMs: performance.now() + this.options.replayLagMs() });
    this.replayDue();
  }

  private replayDue(): void {
    const nowMs = performance.now();
    let next = this.replayQueue[0];
    while (next !== undefined && next.dueMs <= nowMs) {
      this.replayQueue.shift();
      this.replay(next.commit);
      next = this.replayQueue[0];
    }
    if (next === undefined || this.replayTimer !== undefined) return;
    this.replayTimer = setTimeout(() => {
      this.replayTimer = undefined;
      this.replayDue();
    }, next.dueMs - nowMs);
  }

  private replayAll(): void {
    for (const { commit } of this.replayQueue.splice(0)) this.replay(commit);
  }

  private replay(commit: EncodedCommit): void {
    // Encoded by the primary, which runs this same program.
    const changes = decodeValue(commit.changes) as Change[];
    const keys = this.options.catalog.describeChanges(changes);
    this.options.catalog.applyChanges(changes);
    this.log.addEntry(commit, keys);
    this.replayedLsn = commit.lsn;
  }

  private recordEvent(event: ElectionEvent['event']): void {
    const timeline = this.primaryTimeline;
    this.events.push({ event, timeline, primary: this.primaryName, atMs: Date.now() });
    if (this.events.length > MAX_HISTORY_EVENTS) this.events.shift();
  }
}
