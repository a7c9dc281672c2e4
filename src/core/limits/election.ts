/**
 * Who may grant shares of a tenant's limit: the node that a majority of the tenant's voters vote for.
 * A vote is a promise that lapses on the voter's own clock. Votes live in memory only; a voter that
 * was restarted says how long it can vouch for, and the granter waits for the rest.
 */
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';

/** A voter that is new to a candidate vouches for its tenure by this many times its length. */
const VOUCH_FACTOR = 2;

/** A tenure that can't be shown to go on within so many rounds ends, and a new one may begin. */
const MAX_ROUNDS_IN_DOUBT = 3;

/** One life of one node, as candidate. */
export type CandidateId = string;
/** Node id of a voter. */
export type VoterId = string;

/** A voter's answer. */
export interface Vote {
  readonly granted: boolean;
  /** Changes whenever the voter votes for another candidate, or forgets. */
  readonly sequence: string;
  /** Surely no vote for another candidate was given within this time, on the voter's clock. */
  readonly quietMs: Milliseconds;
  /** The tenant's voters by the lists that the voter knows: each of them needs a majority. */
  readonly voterSets: VoterSetList;
}

/** Sets of voters; an election needs a majority of each. */
export type VoterSetList = readonly (readonly VoterId[])[];

interface GivenVote {
  readonly candidate: CandidateId;
  readonly sequence: string;
  /** Latest time at which the vote was asked for and given. */
  readonly givenAt: Milliseconds;
  /** Latest time at which a vote for another candidate may have been given. */
  readonly lastOtherAt: Milliseconds;
}

/** What a voter is made of. */
export interface VoterOptions {
  /** Names this life of this node. */
  readonly life: string;
  readonly startedAt: Milliseconds;
  /** A vote binds for so long on the voter's clock: the authority's time with drift. */
  readonly voteMs: Milliseconds;
  /** Votes older than this are forgotten: longer than any share. */
  readonly rememberMs: Milliseconds;
}

/** Gives one node's votes, for all tenants. */
export class Voter {
  readonly #options: VoterOptions;
  readonly #given = new Map<TenantName, GivenVote>();
  #sequences = 0;

  constructor(options: VoterOptions) {
    this.#options = options;
  }

  /** `voterSets`: the tenant's voters by the lists that this node knows. */
  vote(
    tenant: TenantName,
    candidate: CandidateId,
    voterSets: VoterSetList,
    now: Milliseconds,
  ): Vote {
    const given = this.#given.get(tenant);
    if (given !== undefined && given.candidate !== candidate && this.#isBinding(given, now)) {
      return { granted: false, sequence: given.sequence, quietMs: 0, voterSets };
    }
    const vote =
      given?.candidate === candidate
        ? { ...given, givenAt: now }
        : this.#newVote(candidate, given, now);
    this.#given.set(tenant, vote);
    const { sequence, lastOtherAt } = vote;
    return { granted: true, sequence, quietMs: now - lastOtherAt, voterSets };
  }

  /** Tenants with a vote that is remembered. */
  get size(): number {
    return this.#given.size;
  }

  forgetOld(now: Milliseconds): void {
    for (const [tenant, { givenAt }] of this.#given) {
      if (now - givenAt > this.#options.rememberMs) this.#given.delete(tenant);
    }
  }

  #isBinding(vote: GivenVote, now: Milliseconds): boolean {
    return now < vote.givenAt + this.#options.voteMs;
  }

  #newVote(candidate: CandidateId, previous: GivenVote | undefined, now: Milliseconds): GivenVote {
    this.#sequences += 1;
    return {
      candidate,
      sequence: `${this.#options.life}/${this.#sequences}`,
      givenAt: now,
      lastOtherAt: previous?.givenAt ?? this.#unknownBefore(now),
    };
  }

  #unknownBefore(now: Milliseconds): Milliseconds {
    return Math.max(this.#options.startedAt, now - this.#options.rememberMs);
  }
}

/** What the votes of a round add up to so far. */
export type RoundResult =
  | { readonly type: 'pending' }
  | {
      readonly type: 'elected';
      readonly sentAt: Milliseconds;
      readonly quietMs: Milliseconds;
      /** False if another candidate may have been elected since this one last was. */
      readonly continued: boolean;
    };

interface Round {
  readonly sentAt: Milliseconds;
  /** A majority of each is needed. */
  voterSets: VoterSetList;
  readonly coveredSince: Milliseconds;
  readonly votes: Map<VoterId, Vote>;
}

interface Tenure {
  readonly since: Milliseconds;
  /** When the latest round that elected the candidate began. */
  lastAt: Milliseconds;
  readonly sequences: Map<VoterId, string>;
}

/** Counts the votes for one candidate of one tenant, round by round. */
export class Candidacy {
  readonly #authorityMs: Milliseconds;
  #round: Round | undefined;
  #tenure: Tenure | undefined;
  /** What the voters of the round before knew and this candidate may not know. */
  #reportedSets: VoterSetList = [];
  /** Rounds since the last election. */
  #roundsInDoubt = 0;

  /** `authorityMs`: an election lasts for so long from the start of its round. */
  constructor(authorityMs: Milliseconds) {
    this.#authorityMs = authorityMs;
  }

  /**
   * Begins a round; answers to earlier ones don't count any more. Gives the voters to ask.
   * Every election since `coveredSince` needed a majority of one of `ownSets`.
   */
  startRound(
    ownSets: VoterSetList,
    coveredSince: Milliseconds,
    now: Milliseconds,
  ): readonly VoterId[] {
    const voterSets = uniteSets(ownSets, this.#reportedSets);
    this.#reportedSets = [];
    this.#roundsInDoubt += 1;
    this.#round = { sentAt: now, voterSets, coveredSince, votes: new Map() };
    return [...new Set(voterSets.flat())];
  }

  /** `sentAt`: the start of the round in which the vote was asked for. */
  receive(voter: VoterId, sentAt: Milliseconds, vote: Vote, now: Milliseconds): RoundResult {
    const round = this.#round;
    if (round === undefined || round.sentAt !== sentAt || !vote.granted) return { type: 'pending' };
    round.votes.set(voter, vote);
    round.voterSets = uniteSets(round.voterSets, vote.voterSets);
    this.#reportedSets = uniteSets(this.#reportedSets, vote.voterSets);
    if (!round.voterSets.every((voters) => isMajority(round.votes, voters))) {
      return { type: 'pending' };
    }
    const continued = this.#isContinued(round, now);
    if (!continued && this.#mayStillContinue(round)) return { type: 'pending' };
    if (!continued) this.#tenure = { since: sentAt, lastAt: sentAt, sequences: new Map() };
    this.#roundsInDoubt = 0;
    this.#remember(round);
    const quiet = round.voterSets.map((voters) => vouchedQuietMs(round.votes, voters));
    return { type: 'elected', sentAt, quietMs: Math.min(...quiet), continued };
  }

  /** Votes that are still on their way may show that no other candidate was elected in between. */
  #mayStillContinue(round: Round): boolean {
    if (this.#tenure === undefined || this.#roundsInDoubt >= MAX_ROUNDS_IN_DOUBT) return false;
    return round.voterSets.some((voters) => voters.some((voter) => !round.votes.has(voter)));
  }

  /** The candidate gives up. */
  resign(): void {
    this.#round = undefined;
    this.#tenure = undefined;
  }

  #isContinued(round: Round, now: Milliseconds): boolean {
    const tenure = this.#tenure;
    if (tenure === undefined) return false;
    // Later on, others may have been elected by voters that don't count any more.
    if (round.coveredSince > tenure.lastAt + this.#authorityMs) return false;
    const mayVouch = tenure.since >= round.coveredSince;
    const vouchMs = VOUCH_FACTOR * (now - tenure.since);
    const loyal = new Map(
      [...round.votes].filter(([voter, vote]) => {
        const isSame = tenure.sequences.get(voter) === vote.sequence;
        return isSame || (mayVouch && vote.quietMs >= vouchMs);
      }),
    );
    return round.voterSets.every((voters) => isMajority(loyal, voters));
  }

  #remember(round: Round): void {
    if (this.#tenure === undefined) return;
    const { sequences } = this.#tenure;
    this.#tenure.lastAt = round.sentAt;
    for (const [voter, { sequence }] of round.votes) sequences.set(voter, sequence);
    const current = new Set(round.voterSets.flat());
    for (const voter of sequences.keys()) if (!current.has(voter)) sequences.delete(voter);
  }
}

function uniteSets(left: VoterSetList, right: VoterSetList): VoterSetList {
  return [...new Map([...left, ...right].map((voters) => [voters.join('\0'), voters])).values()];
}

function majorityOf(voters: readonly VoterId[]): number {
  return Math.floor(voters.length / 2) + 1;
}

function isMajority(votes: ReadonlyMap<VoterId, Vote>, voters: readonly VoterId[]): boolean {
  return voters.filter((voter) => votes.has(voter)).length >= majorityOf(voters);
}

/** The longest time that a majority of the voters vouches for. */
function vouchedQuietMs(votes: ReadonlyMap<VoterId, Vote>, voters: readonly VoterId[]): number {
  const quiet = voters.flatMap((voter) => votes.get(voter)?.quietMs ?? []);
  return quiet.sort((left, right) => right - left)[majorityOf(voters) - 1] ?? 0;
}
