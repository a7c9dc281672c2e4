/**
 * Elects the node that may grant shares of a tenant's limit, by majority of the tenant's voters.
 * A vote binds its voter for a fixed time on the voter's own clock. Votes are kept in memory only: a
 * vote carries the time for which the voter knows its own votes, and the granter waits for the rest.
 */
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/**
 * A voter without an earlier vote in this tenure confirms the tenure if it has not voted for another
 * candidate within this multiple of the tenure's length.
 */
const QUIET_TENURE_FACTOR = 2;

/** A tenure that the votes don't confirm within this many rounds ends, and a new one may begin. */
const MAX_DOUBTFUL_ROUNDS = 3;

/** Id of one incarnation of a node, as candidate. */
export type CandidateId = string;
/** Node id of a voter. */
export type VoterId = string;

/** A voter's response. */
export interface Vote {
  readonly granted: boolean;
  /** Changes when the voter votes for another candidate, or has dropped its previous vote. */
  readonly sequence: string;
  /** The voter has not voted for another candidate for at least this time, on its own clock. */
  readonly quietMs: Milliseconds;
  /** The tenant's voters by the machine lists that the voter knows. */
  readonly voterSets: VoterSetList;
}

/** Sets of voters; an election needs a majority of each set. */
export type VoterSetList = readonly (readonly VoterId[])[];

interface CastVote {
  readonly candidate: CandidateId;
  readonly sequence: string;
  /** When the vote was cast or last renewed. */
  readonly castAt: Milliseconds;
  /** Latest time at which this voter may have voted for another candidate. */
  readonly lastOtherVoteAt: Milliseconds;
}

/** Options of a voter. */
export interface VoterOptions {
  /** Identifies this incarnation of this node. */
  readonly incarnationId: string;
  readonly startedAt: Milliseconds;
  /** How long a vote binds on the voter's clock: the duration of authority, with clock drift. */
  readonly voteMs: Milliseconds;
  /** Votes older than this are dropped; longer than the lifetime of any share. */
  readonly retentionMs: Milliseconds;
}

/** Casts the votes of one node, for all tenants. */
export class Voter {
  readonly #options: VoterOptions;
  readonly #votes = new Map<TenantName, CastVote>();
  #sequenceCount = 0;

  constructor(options: VoterOptions) {
    this.#options = options;
  }

  /** `voterSets`: the tenant's voters by the machine lists that this node knows. */
  vote(
    tenant: TenantName,
    candidate: CandidateId,
    voterSets: VoterSetList,
    now: Milliseconds,
  ): Vote {
    const previous = this.#votes.get(tenant);
    if (
      previous !== undefined &&
      previous.candidate !== candidate &&
      this.#isBinding(previous, now)
    ) {
      return { granted: false, sequence: previous.sequence, quietMs: 0, voterSets };
    }
    const vote =
      previous?.candidate === candidate
        ? { ...previous, castAt: now }
        : this.#newVote(candidate, previous, now);
    this.#votes.set(tenant, vote);
    const { sequence, lastOtherVoteAt } = vote;
    return { granted: true, sequence, quietMs: now - lastOtherVoteAt, voterSets };
  }

  /** Number of tenants with a stored vote. */
  get size(): number {
    return this.#votes.size;
  }

  removeExpired(now: Milliseconds): void {
    for (const [tenant, { castAt }] of this.#votes) {
      if (now - castAt > this.#options.retentionMs) this.#votes.delete(tenant);
    }
  }

  #isBinding(vote: CastVote, now: Milliseconds): boolean {
    return now < vote.castAt + this.#options.voteMs;
  }

  #newVote(candidate: CandidateId, previous: CastVote | undefined, now: Milliseconds): CastVote {
    this.#sequenceCount += 1;
    return {
      candidate,
      sequence: `${this.#options.incarnationId}/${this.#sequenceCount}`,
      castAt: now,
      lastOtherVoteAt: previous?.castAt ?? this.#earliestKnownAt(now),
    };
  }

  #earliestKnownAt(now: Milliseconds): Milliseconds {
    return Math.max(this.#options.startedAt, now - this.#options.retentionMs);
  }
}

/** Result of a round, from the votes received so far. */
export type RoundResult =
  | { readonly type: 'pending' }
  | {
      readonly type: 'elected';
      readonly sentAt: Milliseconds;
      readonly quietMs: Milliseconds;
      /** False if another candidate may have been elected since this one's last election. */
      readonly isRenewal: boolean;
    };

interface Round {
  readonly sentAt: Milliseconds;
  /** The candidate needs a majority of each set. */
  voterSets: VoterSetList;
  readonly completeSince: Milliseconds;
  readonly votes: Map<VoterId, Vote>;
}

/** Consecutive elections of the candidate, without the election of another candidate in between. */
interface Tenure {
  readonly startedAt: Milliseconds;
  /** Start of the latest round that elected the candidate. */
  electedAt: Milliseconds;
  readonly sequences: Map<VoterId, string>;
}

/** Counts the votes for one candidate of one tenant, in rounds. */
export class Candidacy {
  readonly #authorityMs: Milliseconds;
  #round: Round | undefined;
  #tenure: Tenure | undefined;
  /** Voter sets reported by voters of the previous round; this candidate may not know them itself. */
  #reportedSets: VoterSetList = [];
  /** Rounds since the last election. */
  #doubtfulRounds = 0;

  /** `authorityMs`: how long an election is valid, counted from the start of its round. */
  constructor(authorityMs: Milliseconds) {
    this.#authorityMs = authorityMs;
  }

  /**
   * Starts a round, and returns the voters to ask; responses to earlier rounds no longer count.
   * Every election since `completeSince` needed a majority of one of `ownSets`.
   */
  startRound(
    ownSets: VoterSetList,
    completeSince: Milliseconds,
    now: Milliseconds,
  ): readonly VoterId[] {
    const voterSets = mergeVoterSets(ownSets, this.#reportedSets);
    this.#reportedSets = [];
    this.#doubtfulRounds += 1;
    this.#round = { sentAt: now, voterSets, completeSince, votes: new Map() };
    return [...new Set(voterSets.flat())];
  }

  /** `sentAt`: the start of the round in which the vote was requested. */
  receiveVote(voter: VoterId, sentAt: Milliseconds, vote: Vote, now: Milliseconds): RoundResult {
    const round = this.#round;
    if (round === undefined || round.sentAt !== sentAt || !vote.granted) return { type: 'pending' };
    round.votes.set(voter, vote);
    round.voterSets = mergeVoterSets(round.voterSets, vote.voterSets);
    this.#reportedSets = mergeVoterSets(this.#reportedSets, vote.voterSets);
    if (!round.voterSets.every((voters) => hasMajority(round.votes, voters))) {
      return { type: 'pending' };
    }
    const isRenewal = this.#isTenureRenewed(round, now);
    if (!isRenewal && this.#mayStillBeRenewed(round)) return { type: 'pending' };
    if (!isRenewal) this.#tenure = { startedAt: sentAt, electedAt: sentAt, sequences: new Map() };
    this.#doubtfulRounds = 0;
    this.#recordElection(round);
    const quietTimes = round.voterSets.map((voters) => majorityQuietMs(round.votes, voters));
    return {
      type: 'elected',
      sentAt,
      quietMs: Math.min(...quietTimes),
      isRenewal,
    };
  }

  /** Votes not yet received may still confirm that no other candidate was elected in between. */
  #mayStillBeRenewed(round: Round): boolean {
    if (this.#tenure === undefined || this.#doubtfulRounds >= MAX_DOUBTFUL_ROUNDS) return false;
    return round.voterSets.some((voters) => voters.some((voter) => !round.votes.has(voter)));
  }

  /** Ends the candidacy; votes of the current round no longer count. */
  resign(): void {
    this.#round = undefined;
    this.#tenure = undefined;
  }

  #isTenureRenewed(round: Round, now: Milliseconds): boolean {
    const tenure = this.#tenure;
    if (tenure === undefined) return false;
    // Otherwise voters that are no longer in the sets may have elected another candidate in between.
    if (round.completeSince > tenure.electedAt + this.#authorityMs) return false;
    const isTenureCovered = tenure.startedAt >= round.completeSince;
    const requiredQuietMs = QUIET_TENURE_FACTOR * (now - tenure.startedAt);
    const confirming = new Map(
      [...round.votes].filter(([voter, vote]) => {
        const isSame = tenure.sequences.get(voter) === vote.sequence;
        return isSame || (isTenureCovered && vote.quietMs >= requiredQuietMs);
      }),
    );
    return round.voterSets.every((voters) => hasMajority(confirming, voters));
  }

  #recordElection(round: Round): void {
    if (this.#tenure === undefined) return;
    const { sequences } = this.#tenure;
    this.#tenure.electedAt = round.sentAt;
    for (const [voter, { sequence }] of round.votes) sequences.set(voter, sequence);
    const current = new Set(round.voterSets.flat());
    for (const voter of sequences.keys()) if (!current.has(voter)) sequences.delete(voter);
  }
}

function mergeVoterSets(left: VoterSetList, right: VoterSetList): VoterSetList {
  return [...new Map([...left, ...right].map((voters) => [voters.join('\0'), voters])).values()];
}

function majoritySize(voters: readonly VoterId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

function hasMajority(votes: ReadonlyMap<VoterId, Vote>, voters: readonly VoterId[]): boolean {
  return voters.filter((voter) => votes.has(voter)).length >= majoritySize(voters);
}

/** Longest time within which a majority of the voters has not voted for another candidate. */
function majorityQuietMs(votes: ReadonlyMap<VoterId, Vote>, voters: readonly VoterId[]): number {
  const quietTimes = voters.flatMap((voter) => votes.get(voter)?.quietMs ?? []);
  return quietTimes.sort((left, right) => right - left)[majoritySize(voters) - 1] ?? 0;
}
