/**
 * Election of a group's primary by majority vote. Decisions only: no I/O and no timers; time and
 * randomness are given. A voter refuses a candidate whose log is behind its own, and after a vote
 * accepts no primary of an older timeline.
 */
import type { PeerMessage, Vote, VoteRequest } from './messages.js';

export interface ElectionOptions {
  readonly name: string;
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

/** Time to the next round, in election timeouts. */
const RETRY_MIN = 0.1;
const RETRY_SPREAD = 0.4;

interface Candidacy {
  readonly timeline: number;
  readonly preliminary: boolean;
  readonly voters: Set<string>;
}

export class Election {
  /** Primaries of older timelines are refused. */
  promisedTimeline = 0;
  /** Latest timeline that a voter spoke of. */
  private seenTimeline = 0;
  private votedFor: string | undefined;
  private candidacy: Candidacy | undefined;
  private deadlineMs = Number.POSITIVE_INFINITY;
  private heardMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ElectionOptions) {}

  /** Starts to wait for a primary. */
  start(nowMs: number): void {
    this.resetDeadline(nowMs);
  }

  /** A primary of an accepted timeline spoke (or, for a primary: a replica followed it). */
  heard(timeline: number, nowMs: number): void {
    this.heardMs = nowMs;
    if (timeline > this.promisedTimeline) this.votedFor = undefined;
    this.promisedTimeline = Math.max(this.promisedTimeline, timeline);
    this.candidacy = undefined;
    this.resetDeadline(nowMs);
  }

  tick(nowMs: number): void {
    if (nowMs < this.deadlineMs || this.options.isPrimary()) return;
    this.retryLater(nowMs);
    this.stand(this.nextTimeline, { preliminary: true });
  }

  /** Stands at once, without the preliminary round; also for a primary whose timeline is refused. */
  standNow(timeline: number, nowMs: number): void {
    if (nowMs < this.deadlineMs && this.options.isPrimary()) return;
    this.retryLater(nowMs);
    this.stand(Math.max(timeline, this.nextTimeline), { preliminary: false });
  }

  /** Stands in place of a primary that is alive. */
  takeOver(nowMs: number): void {
    this.retryLater(nowMs);
    this.stand(this.nextTimeline, { preliminary: false, handover: true });
  }

  private get nextTimeline(): number {
    return Math.max(this.promisedTimeline, this.seenTimeline) + 1;
  }

  private stand(timeline: number, round: { preliminary: boolean; handover?: boolean }): void {
    const { name } = this.options;
    const { preliminary, handover = false } = round;
    if (!preliminary) {
      this.promisedTimeline = timeline;
      this.votedFor = name;
    }
    this.candidacy = { timeline, preliminary, voters: new Set([name]) };
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

  onVoteRequest(request: VoteRequest, nowMs: number): void {
    const granted = this.grants(request, nowMs);
    const { timeline, preliminary, from } = request;
    if (granted && !preliminary) {
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
  }

  private grants(request: VoteRequest, nowMs: number): boolean {
    const hearsPrimary = nowMs - this.heardMs < this.options.electionTimeoutMs;
    if (hearsPrimary && !request.handover) return false;
    if (request.timeline < this.promisedTimeline) return false;
    const same = request.timeline === this.promisedTimeline;
    if (same && this.votedFor !== request.from) return false;
    const own = this.options.position();
    if (request.logTimeline !== own.timeline) return request.logTimeline > own.timeline;
    return request.logLsn >= own.lsn;
  }

  onVote(vote: Vote): void {
    const { candidacy } = this;
    this.seenTimeline = Math.max(this.seenTimeline, vote.promisedTimeline);
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
    if (candidacy.preliminary) this.stand(candidacy.timeline, { preliminary: false });
    else this.options.onElected(candidacy.timeline);
  }

  /** After a round that may fail: soon, since the primary was silent for long enough before it. */
  private retryLater(nowMs: number): void {
    const { electionTimeoutMs, random } = this.options;
    this.deadlineMs = nowMs + electionTimeoutMs * (RETRY_MIN + RETRY_SPREAD * random());
  }

  /** Next try: a random time of one to two election timeouts from now. */
  private resetDeadline(nowMs: number): void {
    const { electionTimeoutMs, random } = this.options;
    this.deadlineMs = nowMs + electionTimeoutMs * (1 + random());
  }
}
