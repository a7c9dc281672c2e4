/**
 * Election of a group's primary by majority vote. No I/O and no timers; the caller passes time and
 * randomness. A voter rejects a candidate whose log is behind its own, and after a vote accepts no
 * primary of an older timeline, itself included.
 */
import type { PeerMessage, Vote, VoteRequest } from './messages.js';

export interface ElectionOptions {
  readonly name: string;
  /**
   * One member is the primary of the first timeline without a vote. An elected primary then takes a
   * later timeline, so that the initial one gives way to it. False if no member may do so, because
   * all were restarted without their data.
   */
  readonly hasInitialPrimary?: boolean;
  readonly electionTimeoutMs: number;
  /** Next number in [0, 1). */
  readonly random: () => number;
  readonly send: (peer: string, message: PeerMessage) => void;
  readonly broadcast: (message: PeerMessage) => void;
  /** Instances in the group, this one included. */
  readonly groupSize: () => number;
  readonly position: () => { readonly timeline: number; readonly lsn: number };
  readonly isPrimary: () => boolean;
  readonly onElected: (timeline: number) => void;
}

/** First timeline of a group. */
export const INITIAL_TIMELINE = 1;
/** Delay to the next round, as a fraction of the election timeout. */
const RETRY_MIN_FRACTION = 0.1;
const RETRY_JITTER_FRACTION = 0.4;
/** Delay to the next round of a handover without a majority: a commit may be in transit. */
const HANDOVER_RETRY_MS = 50;

interface Round {
  readonly preliminary: boolean;
  readonly handover: boolean;
}

interface Candidacy extends Round {
  readonly timeline: number;
  readonly voters: Set<string>;
}

export class Election {
  /** Primaries of older timelines are rejected. */
  promisedTimeline = 0;
  /** Latest timeline that a voter has reported. */
  private highestReportedTimeline = 0;
  private votedFor: string | undefined;
  private candidacy: Candidacy | undefined;
  private deadlineMs = Number.POSITIVE_INFINITY;
  private lastHeartbeatMs = Number.NEGATIVE_INFINITY;
  private followedPrimary: string | undefined;
  /** Time of the next round of a handover; undefined without a handover. */
  private nextHandoverMs: number | undefined;
  /** Earliest time of a refused primary's next round; undefined if it was not refused. */
  private nextRefusedRoundMs: number | undefined;

  constructor(private readonly options: ElectionOptions) {}

  /** Starts waiting for a primary. */
  start(nowMs: number): void {
    this.resetDeadline(nowMs);
  }

  /** Records a heartbeat of a primary whose timeline is accepted. */
  recordHeartbeat(primary: string, timeline: number, nowMs: number): void {
    if (timeline > this.promisedTimeline) this.votedFor = undefined;
    this.promisedTimeline = Math.max(this.promisedTimeline, timeline);
    // The primary that a handover replaces still sends heartbeats while votes are in transit.
    const { candidacy } = this;
    if (candidacy?.handover !== true || candidacy.timeline <= timeline) this.candidacy = undefined;
    if (primary !== this.followedPrimary) this.nextHandoverMs = undefined;
    this.followedPrimary = primary;
    this.lastHeartbeatMs = nowMs;
    this.resetDeadline(nowMs);
  }

  /**
   * Records that a replica follows this primary. A candidacy continues: it is for a later timeline,
   * which this replica may not know yet.
   */
  recordFollower(nowMs: number): void {
    this.followedPrimary = this.options.name;
    this.lastHeartbeatMs = nowMs;
    this.resetDeadline(nowMs);
  }

  tick(nowMs: number): void {
    if (this.options.isPrimary()) return;
    // A binding round waits for its votes: a new round would discard them.
    const isBinding = this.candidacy?.preliminary === false;
    const dueMs = this.nextHandoverMs;
    if (dueMs !== undefined && nowMs >= dueMs && !isBinding) this.startHandover(nowMs);
    if (nowMs < this.deadlineMs) return;
    this.scheduleRetry(nowMs);
    this.startRound(this.nextTimeline, { preliminary: true, handover: false });
  }

  /**
   * A voter rejects this primary's timeline. The candidate that got its vote may be about to become
   * primary, so this primary starts a round for a later timeline only if it is still rejected after
   * the duration of a round. It does so even while other replicas follow it: the voter can't
   * withdraw its promise.
   */
  recordRefusal(timeline: number, nowMs: number): void {
    const dueMs = this.nextRefusedRoundMs;
    const { electionTimeoutMs } = this.options;
    if (dueMs === undefined)
      this.nextRefusedRoundMs = nowMs + electionTimeoutMs * RETRY_MIN_FRACTION;
    if (dueMs === undefined || nowMs < dueMs) return;
    // An earlier round would discard the votes that are in transit.
    this.nextRefusedRoundMs = nowMs + electionTimeoutMs;
    this.startRound(Math.max(timeline + 1, this.nextTimeline), {
      preliminary: false,
      handover: false,
    });
  }

  /** This primary was demoted in favor of one with a later timeline. */
  handleDemotion(timeline: number, nowMs: number): void {
    this.nextRefusedRoundMs = undefined;
    this.candidacy = undefined;
    if (timeline > this.promisedTimeline) this.votedFor = undefined;
    this.promisedTimeline = Math.max(this.promisedTimeline, timeline);
    this.followedPrimary = undefined;
    this.lastHeartbeatMs = nowMs;
    this.resetDeadline(nowMs);
  }

  /**
   * Starts rounds to replace a live primary, until this member is elected or another primary sends a
   * heartbeat. The preliminary round is not binding, so that a candidate that lacks a commit still
   * accepts the current primary.
   */
  startHandover(nowMs: number): void {
    this.nextHandoverMs = nowMs + HANDOVER_RETRY_MS;
    this.startRound(this.nextTimeline, { preliminary: true, handover: true });
  }

  private get nextTimeline(): number {
    const taken = this.options.hasInitialPrimary === true ? INITIAL_TIMELINE : 0;
    return Math.max(taken, this.promisedTimeline, this.highestReportedTimeline) + 1;
  }

  private startRound(timeline: number, round: Round): void {
    const { name } = this.options;
    const { preliminary, handover } = round;
    if (!preliminary) {
      this.promisedTimeline = timeline;
      this.votedFor = name;
    }
    this.candidacy = { timeline, preliminary, handover, voters: new Set([name]) };
    const { timeline: logTimeline, lsn: logLsn } = this.options.position();
    this.options.broadcast({
      kind: 'vote-request',
      from: name,
      timeline,
      preliminary,
      handover,
      logTimeline,
      logLsn,
    });
    this.countVotes();
  }

  /** Answers a request; true if this member gave its binding vote. */
  onVoteRequest(request: VoteRequest, nowMs: number): boolean {
    const granted = this.shouldGrant(request, nowMs);
    const { timeline, preliminary, from } = request;
    const isBinding = granted && !preliminary;
    if (isBinding) {
      this.promisedTimeline = timeline;
      this.votedFor = from;
      this.candidacy = undefined;
      this.resetDeadline(nowMs);
    }
    const { promisedTimeline } = this;
    const voter = this.options.name;
    const vote: Vote = {
      kind: 'vote',
      from: voter,
      timeline,
      preliminary,
      granted,
      promisedTimeline,
    };
    this.options.send(from, vote);
    return isBinding;
  }

  private shouldGrant(request: VoteRequest, nowMs: number): boolean {
    const hasRecentHeartbeat = nowMs - this.lastHeartbeatMs < this.options.electionTimeoutMs;
    const wouldReplacePrimary = request.from !== this.followedPrimary;
    if (hasRecentHeartbeat && wouldReplacePrimary && !request.handover) return false;
    if (request.timeline < this.promisedTimeline) return false;
    const isPromisedTimeline = request.timeline === this.promisedTimeline;
    if (isPromisedTimeline && this.votedFor !== request.from) return false;
    const own = this.options.position();
    if (request.logTimeline !== own.timeline) return request.logTimeline > own.timeline;
    return request.logLsn >= own.lsn;
  }

  onVote(vote: Vote): void {
    const { candidacy } = this;
    this.highestReportedTimeline = Math.max(this.highestReportedTimeline, vote.promisedTimeline);
    if (candidacy === undefined || !vote.granted) return;
    if (vote.timeline !== candidacy.timeline || vote.preliminary !== candidacy.preliminary) return;
    candidacy.voters.add(vote.from);
    this.countVotes();
  }

  private countVotes(): void {
    const { candidacy } = this;
    if (candidacy === undefined) return;
    if (candidacy.voters.size * 2 <= this.options.groupSize()) return;
    this.candidacy = undefined;
    const { timeline, preliminary, handover } = candidacy;
    if (preliminary) {
      this.startRound(timeline, { preliminary: false, handover });
      return;
    }
    this.nextHandoverMs = undefined;
    this.nextRefusedRoundMs = undefined;
    this.options.onElected(timeline);
  }

  /** Schedules the round after one that may fail: soon, since the primary has already timed out. */
  private scheduleRetry(nowMs: number): void {
    const { electionTimeoutMs, random } = this.options;
    this.deadlineMs =
      nowMs + electionTimeoutMs * (RETRY_MIN_FRACTION + RETRY_JITTER_FRACTION * random());
  }

  /** Schedules the next round at a random time of one to two election timeouts from now. */
  private resetDeadline(nowMs: number): void {
    const { electionTimeoutMs, random } = this.options;
    this.deadlineMs = nowMs + electionTimeoutMs * (1 + random());
  }
}
