/**
 * An instance as member of its group: leads or follows, receives and replays commits, and
 * re-synchronizes after a gap or a divergence.
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
  /** One member of the group leads at first without a vote. */
  readonly hasInitialPrimary: boolean;
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  readonly random: () => number;
  readonly catalog: Catalog;
  readonly send: (peer: string, message: PeerMessage) => void;
  readonly broadcast: (message: PeerMessage) => void;
  readonly groupSize: () => number;
  readonly replayLagMs: () => number;
  readonly receiveStall: () => boolean;
  /** Sessions must end before the data is replaced or the role is lost. */
  readonly terminateSessions: (reason: string) => void;
}

const TICK_MS = 10;
/** A sync that was asked for and not answered is asked for again after this. */
const SYNC_RETRY_MS = 200;
const HISTORY_EVENTS = 1_000;

export class Member {
  readonly log = new CommitLog();
  role: Role = 'replica';
  primaryName: string | undefined;
  replayedLsn = 0;
  /** True once the instance has been a replica: its replay position is then known. */
  wasReplica = false;
  readonly events: ElectionEvent[] = [];
  private readonly election: Election;
  private readonly replayQueue: { commit: EncodedCommit; dueMs: number }[] = [];
  private replayTimer: NodeJS.Timeout | undefined;
  private primaryTimeline = 0;
  private syncAskedMs = Number.NEGATIVE_INFINITY;
  private heartbeatDueMs = 0;
  private ticks: NodeJS.Timeout | undefined;

  constructor(private readonly options: MemberOptions) {
    this.election = new Election({
      ...options,
      position: () => this.log,
      isPrimary: () => this.role === 'primary',
      onElected: (timeline) => this.lead(timeline),
    });
  }

  get promisedTimeline(): number {
    return this.election.promisedTimeline;
  }

  start(initialPrimary: boolean): void {
    this.election.start(performance.now());
    // If it starts late, another may have been elected, or its vote been given.
    if (initialPrimary && this.election.promisedTimeline === 0) this.lead(INITIAL_TIMELINE);
    this.ticks = setInterval(() => this.tick(performance.now()), TICK_MS);
  }

  /** Ends what it does by itself. */
  stop(): void {
    clearInterval(this.ticks);
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

  private lead(timeline: number): void {
    this.replayAll();
    this.role = 'primary';
    this.primaryName = this.options.name;
    this.primaryTimeline = timeline;
    this.log.startTimeline(timeline);
    this.election.promisedTimeline = Math.max(this.election.promisedTimeline, timeline);
    this.note('elected');
    this.sendHeartbeat();
  }

  /** Stands for the next timeline although a primary may be alive; nothing to do for a primary. */
  promote(): void {
    if (this.role === 'replica') this.election.takeOver(performance.now());
  }

  /** Logs and sends a commit of this primary. */
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
          this.election.followed(nowMs);
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
        this.election.onVoteRequest(message, nowMs);
        break;
      case 'vote':
        this.election.onVote(message);
        break;
      case 'stale-primary':
        this.onStalePrimary(message, nowMs);
        break;
    }
  }

  private onHeartbeat(heartbeat: Heartbeat, nowMs: number): void {
    const { from, timeline, lsn } = heartbeat;
    if (timeline < this.election.promisedTimeline || this.leadsAlready(timeline)) {
      this.refuse(from);
      return;
    }
    this.follow(from, timeline);
    this.election.heard(from, timeline, nowMs);
    const receivedLsn = this.log.lsn;
    const kind = 'heartbeat-reply';
    this.options.send(from, { kind, from: this.options.name, timeline, receivedLsn });
    if (this.options.receiveStall()) return;
    if (this.log.timeline !== timeline || this.log.lsn !== lsn) this.askForSync(from, nowMs);
  }

  private leadsAlready(timeline: number): boolean {
    return this.role === 'primary' && timeline <= this.log.timeline;
  }

  private refuse(primary: string): void {
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
    else this.election.refused(message.timeline, nowMs);
  }

  private follow(primary: string, timeline: number): void {
    if (this.role === 'primary') this.demote(timeline);
    if (timeline === this.primaryTimeline && primary === this.primaryName) return;
    this.primaryName = primary;
    this.primaryTimeline = timeline;
    this.wasReplica = true;
    this.syncAskedMs = Number.NEGATIVE_INFINITY;
    this.note('following');
  }

  private demote(timeline: number): void {
    this.options.terminateSessions('a later timeline was seen');
    this.role = 'replica';
    this.primaryName = undefined;
    this.wasReplica = true;
    this.replayedLsn = this.log.lsn;
    this.election.demoted(timeline, performance.now());
    this.note('demoted');
  }

  private askForSync(primary: string, nowMs: number): void {
    if (nowMs - this.syncAskedMs < SYNC_RETRY_MS) return;
    this.syncAskedMs = nowMs;
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

  private accepts(message: Append | CatchUp | Snapshot): boolean {
    if (this.role === 'primary' || this.options.receiveStall()) return false;
    return message.timeline >= this.election.promisedTimeline && message.from === this.primaryName;
  }

  private onAppend(message: Append): void {
    const { commit } = message;
    if (!this.accepts(message) || message.timeline !== this.log.timeline) return;
    if (commit.previousLsn === this.log.lsn) this.receiveCommit(commit);
  }

  private onCatchUp(message: CatchUp): void {
    const { log } = this;
    if (!this.accepts(message)) return;
    if (message.fromTimeline !== log.timeline || message.fromLsn !== log.lsn) return;
    log.timeline = message.timeline;
    log.history = message.history;
    this.syncAskedMs = Number.NEGATIVE_INFINITY;
    for (const commit of message.commits) this.receiveCommit(commit);
  }

  private onSnapshot(message: Snapshot): void {
    if (!this.accepts(message)) return;
    this.options.terminateSessions('the data directory is rewound');
    this.replayQueue.length = 0;
    this.options.catalog.restore(message.tables);
    const diverged = this.log.timeline !== 0;
    this.log.replace(message);
    this.replayedLsn = message.lsn;
    this.syncAskedMs = Number.NEGATIVE_INFINITY;
    if (diverged) this.note('rewound');
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
    // Encoded by the primary, which is this same program.
    const changes = decodeValue(commit.changes) as Change[];
    const keys = this.options.catalog.describe(changes);
    this.options.catalog.apply(changes);
    this.log.addEntry(commit, keys);
    this.replayedLsn = commit.lsn;
  }

  private note(event: ElectionEvent['event']): void {
    const timeline = this.primaryTimeline;
    this.events.push({ event, timeline, primary: this.primaryName, atMs: Date.now() });
    if (this.events.length > HISTORY_EVENTS) this.events.shift();
  }
}
