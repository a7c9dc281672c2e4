/**
 * Grants shares of one tenant's connection limit, on the node that the tenant's voters elect. Uses
 * the same granter as the shares of an instance's connections; only the right to grant is another.
 *
 * A new allocator that its voters can't vouch for asks every node it knows of for the share that it
 * holds. If all answer, it need not wait for old leases to lapse.
 */
import { BudgetGranter } from '../ownership/budget-granter.js';
import type { ShareRequest, ShareResponse } from '../ownership/budget-lease.js';
import { divideKeepingInUse } from '../ownership/share-division.js';
import type { TenantName } from '../request.js';
import type { Milliseconds } from '../units.js';
import { Candidacy, type CandidateId, type Vote, type VoterId } from './election.js';
import {
  maxShareLifetimeMs,
  minElapsedOnOwnClock,
  type TenantLeaseOptions,
} from './lease-options.js';
import type { KnownVoters } from './voter-sets.js';

/** What an allocator wants to be sent. */
export type AllocatorEffect =
  | { readonly type: 'ask-vote'; readonly voter: VoterId; readonly sentAt: Milliseconds }
  | { readonly type: 'ask-report'; readonly nodeId: string; readonly term: string };

/** What the allocator can see of the fleet. */
export interface AllocatorView extends KnownVoters {
  /** Every node that may hold a share: of the machine list or of the members. */
  readonly knownNodes: readonly string[];
}

/** How often nodes that have not reported are asked again. */
const REPORT_PERIOD_MS: Milliseconds = 500;

interface ReportRound {
  readonly term: string;
  readonly reported: Set<string>;
  askedAt: Milliseconds;
}

/** Divides one tenant's limit among nodes. */
export class TenantAllocator {
  readonly #options: TenantLeaseOptions;
  readonly #granter: BudgetGranter;
  readonly #candidacy: Candidacy;
  #nextElectionAt = Number.NEGATIVE_INFINITY;
  #reports: ReportRound | undefined;
  #coveredSince = Number.POSITIVE_INFINITY;
  #lastElectedAt = Number.NEGATIVE_INFINITY;
  /** Of shares that this node granted up to then it has no record. */
  #forgottenBefore = Number.NEGATIVE_INFINITY;
  #lastRequestAt: Milliseconds;

  constructor(
    readonly tenant: TenantName,
    candidate: CandidateId,
    limit: number,
    options: TenantLeaseOptions,
    now: Milliseconds,
  ) {
    this.#options = options;
    this.#granter = new BudgetGranter(candidate, limit, options, divideKeepingInUse);
    this.#candidacy = new Candidacy(options.authorityMs);
    this.#lastRequestAt = now;
  }

  setLimit(limit: number, now: Milliseconds): void {
    this.#granter.handle({ type: 'limit-changed', limit }, now);
  }

  /** True once nobody has asked for so long that no share can be out. */
  isIdle(now: Milliseconds): boolean {
    return now - this.#lastRequestAt > maxShareLifetimeMs(this.#options);
  }

  /** Connections that holders may believe to have, in sum. */
  outstanding(now: Milliseconds): number {
    return this.#granter.outstandingConnections(now);
  }

  hasAuthority(now: Milliseconds): boolean {
    return this.#granter.hasAuthority(now);
  }

  /** What is to be sent now. */
  tick(view: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    return [...this.#askVotes(view, now), ...this.#askReports(view, now)];
  }

  receiveVote(voter: VoterId, sentAt: Milliseconds, vote: Vote, now: Milliseconds): void {
    const result = this.#candidacy.receive(voter, sentAt, vote, now);
    if (result.type === 'pending') return;
    if (!result.continued) {
      this.#granter.handle({ type: 'authority-lost' }, now);
      this.#reports = undefined;
      // The shares of its own earlier term are out, too, and are not known any more.
      this.#forgottenBefore = this.#lastElectedAt;
    }
    this.#lastElectedAt = now;
    const vouchedMs = minElapsedOnOwnClock(result.quietMs, this.#options.maxClockDrift);
    const knownSince = Math.max(this.#coveredSince, this.#forgottenBefore);
    const quietMs = Math.max(0, Math.min(vouchedMs, now - knownSince));
    this.#granter.handle({ type: 'authority-confirmed', sentAt: result.sentAt, quietMs }, now);
  }

  /** A node's report of what it holds, made in answer to an `ask-report`. */
  receiveReport(
    nodeId: string,
    report: ShareRequest,
    knownNodes: readonly string[],
    now: Milliseconds,
  ): void {
    const reports = this.#reports;
    if (reports === undefined || report.term !== reports.term) return;
    if (this.#granter.term(now) !== reports.term) return;
    if (this.#granter.answer(report, now).type !== 'granted') return;
    reports.reported.add(nodeId);
    const complete = knownNodes.every((known) => reports.reported.has(known));
    if (complete) this.#granter.handle({ type: 'holders-complete' }, now);
  }

  answer(request: ShareRequest, now: Milliseconds): ShareResponse {
    this.#lastRequestAt = now;
    return this.#granter.answer(request, now);
  }

  /** This node is no longer the one to be elected. */
  resign(now: Milliseconds): void {
    this.#candidacy.resign();
    this.#granter.handle({ type: 'authority-lost' }, now);
    this.#reports = undefined;
  }

  #askVotes(view: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    const { voterSets, coveredSince } = view;
    if (now < this.#nextElectionAt || voterSets.length === 0) return [];
    this.#nextElectionAt = now + this.#options.electionPeriodMs;
    const voters = this.#candidacy.startRound(voterSets, coveredSince, now);
    this.#coveredSince = coveredSince;
    return voters.map((voter) => ({ type: 'ask-vote', voter, sentAt: now }));
  }

  #askReports({ knownNodes }: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    const term = this.#granter.term(now);
    if (
      term === undefined ||
      !this.#granter.isSoleGranter(now) ||
      !this.#granter.mayHaveUnknownShares(now)
    ) {
      return [];
    }
    if (knownNodes.length > this.#options.maxReportingNodes) return [];
    const reports = this.#reportRound(term);
    if (now < reports.askedAt + REPORT_PERIOD_MS) return [];
    reports.askedAt = now;
    const missing = knownNodes.filter((nodeId) => !reports.reported.has(nodeId));
    return missing.map((nodeId) => ({ type: 'ask-report', nodeId, term }));
  }

  #reportRound(term: string): ReportRound {
    if (this.#reports?.term === term) return this.#reports;
    const round = { term, reported: new Set<string>(), askedAt: Number.NEGATIVE_INFINITY };
    this.#reports = round;
    return round;
  }
}
