/**
 * Grants leased shares of one tenant's connection limit, on the node that the tenant's voters elect.
 * Uses the same granter as the shares of an instance's connection limit; here, the authority to grant
 * comes from an election.
 *
 * If the votes don't show that all earlier leases have expired, a new allocator asks every known node
 * for the share that it holds. If all respond, the allocator need not wait for old leases to expire.
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

/** A message that the allocator's caller has to send. */
export type AllocatorEffect =
  | { readonly type: 'ask-vote'; readonly voter: VoterId; readonly sentAt: Milliseconds }
  | { readonly type: 'ask-report'; readonly nodeId: string; readonly term: string };

/** The allocator's view of the fleet. */
export interface AllocatorView extends KnownVoters {
  /** Every node that may hold a share: on the machine list or among the members. */
  readonly knownNodes: readonly string[];
}

/** Interval between report requests to nodes that have not reported yet. */
const REPORT_RETRY_PERIOD_MS: Milliseconds = 500;

interface ReportRound {
  readonly term: string;
  readonly reportedNodes: Set<string>;
  requestedAt: Milliseconds;
}

/** Divides one tenant's connection limit among nodes. */
export class TenantAllocator {
  readonly #options: TenantLeaseOptions;
  readonly #granter: BudgetGranter;
  readonly #candidacy: Candidacy;
  #nextElectionAt = Number.NEGATIVE_INFINITY;
  #currentReports: ReportRound | undefined;
  #completeSince = Number.POSITIVE_INFINITY;
  #lastElectedAt = Number.NEGATIVE_INFINITY;
  /** This node has no record of the shares that it granted before this time. */
  #grantsUnknownUntil = Number.NEGATIVE_INFINITY;
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

  /** True if the last request is so long ago that every share has expired. */
  isIdle(now: Milliseconds): boolean {
    return now - this.#lastRequestAt > maxShareLifetimeMs(this.#options);
  }

  /** Total connections that holders may still use under shares granted here. */
  outstandingConnections(now: Milliseconds): number {
    return this.#granter.outstandingConnections(now);
  }

  hasAuthority(now: Milliseconds): boolean {
    return this.#granter.hasAuthority(now);
  }

  /** Messages to send now. */
  tick(view: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    return [...this.#requestVotes(view, now), ...this.#requestReports(view, now)];
  }

  receiveVote(voter: VoterId, sentAt: Milliseconds, vote: Vote, now: Milliseconds): void {
    const result = this.#candidacy.receiveVote(voter, sentAt, vote, now);
    if (result.type === 'pending') return;
    if (!result.isRenewal) {
      this.#granter.handle({ type: 'authority-lost' }, now);
      this.#currentReports = undefined;
      // Shares from this node's own previous term may still be held, and their record is lost.
      this.#grantsUnknownUntil = this.#lastElectedAt;
    }
    this.#lastElectedAt = now;
    const ownClockQuietMs = minElapsedOnOwnClock(result.quietMs, this.#options.maxClockDrift);
    const completeSince = Math.max(this.#completeSince, this.#grantsUnknownUntil);
    const quietMs = Math.max(0, Math.min(ownClockQuietMs, now - completeSince));
    this.#granter.handle({ type: 'authority-confirmed', sentAt: result.sentAt, quietMs }, now);
  }

  /** Processes a node's response to `ask-report`: the share that it holds. */
  receiveReport(
    nodeId: string,
    report: ShareRequest,
    knownNodes: readonly string[],
    now: Milliseconds,
  ): void {
    const reports = this.#currentReports;
    if (reports === undefined || report.term !== reports.term) return;
    if (this.#granter.term(now) !== reports.term) return;
    if (this.#granter.answer(report, now).type !== 'granted') return;
    reports.reportedNodes.add(nodeId);
    const isComplete = knownNodes.every((known) => reports.reportedNodes.has(known));
    if (isComplete) this.#granter.handle({ type: 'holders-complete' }, now);
  }

  answer(request: ShareRequest, now: Milliseconds): ShareResponse {
    this.#lastRequestAt = now;
    return this.#granter.answer(request, now);
  }

  /** Stops this node's candidacy and gives up its authority. */
  resign(now: Milliseconds): void {
    this.#candidacy.resign();
    this.#granter.handle({ type: 'authority-lost' }, now);
    this.#currentReports = undefined;
  }

  #requestVotes(view: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    const { voterSets, completeSince } = view;
    if (now < this.#nextElectionAt || voterSets.length === 0) return [];
    this.#nextElectionAt = now + this.#options.electionPeriodMs;
    const voters = this.#candidacy.startRound(voterSets, completeSince, now);
    this.#completeSince = completeSince;
    return voters.map((voter) => ({ type: 'ask-vote', voter, sentAt: now }));
  }

  #requestReports({ knownNodes }: AllocatorView, now: Milliseconds): AllocatorEffect[] {
    const term = this.#granter.term(now);
    if (
      term === undefined ||
      !this.#granter.isSoleGranter(now) ||
      !this.#granter.mayHaveUnknownShares(now)
    ) {
      return [];
    }
    if (knownNodes.length > this.#options.maxReportingNodes) return [];
    const reports = this.#reportRoundFor(term);
    if (now < reports.requestedAt + REPORT_RETRY_PERIOD_MS) return [];
    reports.requestedAt = now;
    const missing = knownNodes.filter((nodeId) => !reports.reportedNodes.has(nodeId));
    return missing.map((nodeId) => ({ type: 'ask-report', nodeId, term }));
  }

  #reportRoundFor(term: string): ReportRound {
    if (this.#currentReports?.term === term) return this.#currentReports;
    const round = {
      term,
      reportedNodes: new Set<string>(),
      requestedAt: Number.NEGATIVE_INFINITY,
    };
    this.#currentReports = round;
    return round;
  }
}
