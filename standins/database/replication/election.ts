/**
 * Election of a group's primary by majority vote. Decisions only: no I/O and no timers; time and
 * randomness are given. A voter refuses a candidate whose log is behind its own, and after a vote
 * accepts no primary of an older timeline.
 */
import type { PeerMessage, Vote, VoteRequest } from './messages.js';

export interface ElectionOptions {
  readonly name: string;
  /**
   * One member leads the first timeline without a vote: whoever is elected leads a later one, so that the other gives
   * way. Where all were started anew without their data nobody does.
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

/** The first one of a group. */
export const INITIAL_TIMELINE = 1;
/** Time to the next round, in election timeouts. */
const RETRY_MIN = 0.1;
const RETRY_SPREAD = 0.4;
/** A handover that found no majority asks again after this: a commit was on its way to a voter. */
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
  /** Primaries of older timelines are refused. */
  promisedTimeline = 0;
  /** Latest timeline that a voter spoke of. */
  private seenTimeline = 0;
  private votedFor: string | undefined;
  private candidacy: Candidacy | undefined;
  private deadlineMs = Number.POSITIVE_INFINITY;
  private heardMs = Number.NEGATIVE_INFINITY;
  private heardFrom: string | undefined;
  /** When a handover asks next; undefined if none is wanted. */
  private handoverDueMs: number | undefined;
  /** When a refused primary stands; undefined if it leads nobody or was not refused. */
  private refusedDueMs: number | undefined;

  constructor(private readonly options: ElectionOptions) {}

  /** Starts to wait for a primary. */
  start(nowMs: number): void {
    this.resetDeadline(nowMs);
  }

  /** A primary of an accepted timeline spoke. */
  heard(primary: string, timeline: number, nowMs: number): void {
    if (timeline > this.promisedTimeline) this.votedFor = undefined;
    this.promisedTimeline = Math.max(this.promisedTimeline, timeline);
    // The primary that a handover is to replace speaks on while the votes are on their way.
    const { candidacy } = this;
    if (candidacy?.handover !== true || candidacy.timeline <= timeline) this.candidacy = undefined;
    if (primary !== this.heardFrom) this.handoverDueMs = undefined;
    this.heardFrom = primary;
    this.heardMs = nowMs;
    this.resetDeadline(nowMs);
  }

  /**
   * A replica follows this primary. A candidacy goes on: it is one for a later timeline, which
   * this replica may not have heard of yet.
   */
  followed(nowMs: number): void {
    this.heardFrom = this.options.name;
    this.heardMs = nowMs;
    this.resetDeadline(nowMs);
  }

  tick(nowMs: number): void {
    if (this.options.isPrimary()) return;
    // Votes of a binding round are waited for: to stand again would throw them away.
    const isBinding = this.candidacy?.preliminary === false;
    const dueMs = this.handoverDueMs;
    if (dueMs !== undefined && nowMs >= dueMs && !isBinding) this.takeOver(nowMs);
    if (nowMs < this.deadlineMs) return;
    this.retryLater(nowMs);
    this.stand(this.nextTimeline, { preliminary: true, handover: false });
  }

  /**
   * A voter refuses this primary's timeline. Whoever was voted for may lead in a moment, so this
   * primary stands for a later timeline only if it's still refused after the time of a round. It
   * does so also while other replicas follow it: the voter can't take back what it promised.
   */
  refused(timeline: number, nowMs: number): void {
    const dueMs = this.refusedDueMs;
    const { electionTimeoutMs } = this.options;
    if (dueMs === undefined) this.refusedDueMs = nowMs + electionTimeoutMs * RETRY_MIN;
    if (dueMs === undefined || nowMs < dueMs) return;
    // To stand again sooner would throw away the votes that are on their way.
    this.refusedDueMs = nowMs + electionTimeoutMs;
    this.stand(Math.max(timeline + 1, this.nextTimeline), { preliminary: false, handover: false });
  }

  /** This primary gave way to one of a later timeline. */
  demoted(timeline: number, nowMs: number): void {
    this.refusedDueMs = undefined;
    this.candidacy = undefined;
    if (timeline > this.promisedTimeline) this.votedFor = undefined;
    this.promisedTimeline = Math.max(this.promisedTimeline, timeline);
    this.heardFrom = undefined;
    this.heardMs = nowMs;
    this.resetDeadline(nowMs);
  }

  /**
   * Stands in place of a primary that is alive, until elected or until another primary is heard.
   * The preliminary round binds nobody: a candidate that lacks a commit refuses no primary.
   */
  takeOver(nowMs: number): void {
    this.handoverDueMs = nowMs + HANDOVER_RETRY_MS;
    this.stand(this.nextTimeline, { preliminary: true, handover: true });
  }

  private get nextTimeline(): number {
    const taken = this.options.hasInitialPrimary === true ? INITIAL_TIMELINE : 0;
    return Math.max(taken, this.promisedTimeline, this.seenTimeline) + 1;
  }

  private stand(timeline: number, round: Round): void {
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
    const replacesPrimary = request.from !== this.heardFrom;
    if (hearsPrimary && replacesPrimary && !request.handover) return false;
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
    const { timeline, preliminary, handover } = candidacy;
    if (preliminary) {
      this.stand(timeline, { preliminary: false, handover });
      return;
    }
    this.handoverDueMs = undefined;
    this.refusedDueMs = undefined;
    this.options.onElected(timeline);
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
