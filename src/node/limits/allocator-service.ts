/**
 * This node's part in allocating tenants' connection limits. It votes in elections of allocators,
 * and allocates the limits of the tenants for which it is the designated node and for which it
 * receives requests.
 */
import { Voter } from '../../core/limits/election.js';
import {
  maxShareLifetimeMs,
  type TenantLeaseOptions,
  voteDurationMs,
} from '../../core/limits/lease-options.js';
import { type AllocatorEffect, TenantAllocator } from '../../core/limits/tenant-allocator.js';
import type { TenantShareRequest } from '../../core/limits/tenant-shares.js';
import { VoterSets } from '../../core/limits/voter-sets.js';
import type { ShareResponse } from '../../core/ownership/budget-lease.js';
import type { Hash64, OwnerCandidate } from '../../core/ownership/rendezvous.js';
import type { TenantName } from '../../core/request.js';
import type { Milliseconds } from '../../core/units.js';
import type { LimitNodes } from './nodes.js';
import type { LimitsPeerClient } from './peer-client.js';

/** Votes are retained for this multiple of the maximum lifetime of a share. */
const RETENTION_FACTOR = 2;

/** Options and dependencies of the allocator service. */
export interface AllocatorServiceOptions {
  readonly nodeId: string;
  /** Identifies this incarnation of this node. */
  readonly incarnationId: string;
  readonly hash: Hash64;
  readonly nodes: LimitNodes;
  readonly peers: LimitsPeerClient;
  /** Returns the tenant's limit; 0 if the tenant has no access. */
  readonly limitOf: (tenant: TenantName) => number;
  readonly now: () => Milliseconds;
  readonly lease: TenantLeaseOptions;
}

interface Election {
  readonly tenant: TenantName;
  readonly candidate: string;
  readonly sentAt: Milliseconds;
  readonly allocator: TenantAllocator;
}

interface RunningAllocator {
  readonly candidate: string;
  readonly allocator: TenantAllocator;
}

/** Votes, and runs the allocators of the tenants for which this node is a candidate or elected. */
export class AllocatorService {
  readonly #options: AllocatorServiceOptions;
  readonly #voter: Voter;
  readonly #voterSets: VoterSets;
  readonly #running = new Map<TenantName, RunningAllocator>();
  #candidacies = 0;

  constructor(options: AllocatorServiceOptions) {
    this.#options = options;
    const { lease, incarnationId, hash } = options;
    const retentionMs = RETENTION_FACTOR * maxShareLifetimeMs(lease);
    const voteMs = voteDurationMs(lease);
    this.#voter = new Voter({
      incarnationId,
      startedAt: options.now(),
      voteMs,
      retentionMs,
    });
    this.#voterSets = new VoterSets(hash, {
      maxMachineListLagMs: lease.maxMachineListLagMs,
      retentionMs,
    });
  }

  /**
   * Sets the nodes that may vote. They come from the machine list alone, since it is the same on all
   * nodes except for its lag.
   */
  setListedNodes(nodes: readonly OwnerCandidate[]): void {
    this.#voterSets.setNodes(nodes, this.#options.now());
  }

  /** Tenants whose limits this node has authority to allocate now. */
  get allocatedTenants(): readonly TenantName[] {
    const now = this.#options.now();
    const running = [...this.#running.values()].map(({ allocator }) => allocator);
    return running.filter((allocator) => allocator.hasAuthority(now)).map(({ tenant }) => tenant);
  }

  vote(
    elections: readonly { readonly tenant: TenantName; readonly candidate: string }[],
  ): ReturnType<Voter['vote']>[] {
    const now = this.#options.now();
    return elections.map(({ tenant, candidate }) => {
      const { voterSets } = this.#voterSets.votersOf(tenant, now);
      return this.#voter.vote(tenant, candidate, voterSets, now);
    });
  }

  handleShareRequest({ tenant, request }: TenantShareRequest): ShareResponse {
    const now = this.#options.now();
    const isDesignated = this.#options.nodes.allocatorOf(tenant) === this.#options.nodeId;
    const running =
      this.#running.get(tenant) ?? (isDesignated ? this.#start(tenant, now) : undefined);
    if (running !== undefined) {
      // A limit that was raised since the last tick must not disconnect callers who are within it.
      running.allocator.setLimit(this.#options.limitOf(tenant), now);
      return running.allocator.answer(request, now);
    }
    return { type: 'refused', number: request.number, reason: 'no-authority', term: undefined };
  }

  /** Runs elections, and updates or stops the running allocators. */
  tick(): void {
    const now = this.#options.now();
    this.#voter.removeExpired(now);
    const elections = new Map<string, Election[]>();
    for (const [tenant, running] of this.#running) {
      if (this.#stopIfUnneeded(tenant, running, now)) continue;
      this.#tickOne(running, elections, now);
    }
    for (const [voter, voterElections] of elections) void this.#requestVotes(voter, voterElections);
  }

  /** Resigns for a graceful shutdown: other nodes can be elected once the votes have expired. */
  stop(): void {
    const now = this.#options.now();
    for (const { allocator } of this.#running.values()) allocator.resign(now);
    this.#running.clear();
  }

  #start(tenant: TenantName, now: Milliseconds): RunningAllocator {
    const { incarnationId, lease, limitOf } = this.#options;
    this.#candidacies += 1;
    const candidate = `${incarnationId}/${this.#candidacies}`;
    const allocator = new TenantAllocator(tenant, candidate, limitOf(tenant), lease, now);
    const running = { candidate, allocator };
    this.#running.set(tenant, running);
    return running;
  }

  #stopIfUnneeded(tenant: TenantName, { allocator }: RunningAllocator, now: Milliseconds): boolean {
    const isDesignated = this.#options.nodes.allocatorOf(tenant) === this.#options.nodeId;
    if (isDesignated && !allocator.isIdle(now)) return false;
    allocator.resign(now);
    this.#running.delete(tenant);
    return true;
  }

  #tickOne(
    { allocator, candidate }: RunningAllocator,
    elections: Map<string, Election[]>,
    now: Milliseconds,
  ): void {
    const { nodes, limitOf } = this.#options;
    const { tenant } = allocator;
    allocator.setLimit(limitOf(tenant), now);
    const view = { ...this.#voterSets.votersOf(tenant, now), knownNodes: nodes.knownIds };
    for (const effect of allocator.tick(view, now)) {
      if (effect.type === 'ask-report') {
        void this.#requestReport(allocator, effect);
        continue;
      }
      const voterElections = elections.get(effect.voter) ?? [];
      voterElections.push({ tenant, candidate, sentAt: effect.sentAt, allocator });
      elections.set(effect.voter, voterElections);
    }
  }

  async #requestVotes(voter: string, elections: readonly Election[]): Promise<void> {
    const candidates = elections.map(({ tenant, candidate }) => ({ tenant, candidate }));
    const votes = await this.#options.peers.requestVotes(voter, candidates);
    if (votes.isErr()) return;
    const now = this.#options.now();
    elections.forEach(({ allocator, sentAt }, index) => {
      const vote = votes.value[index];
      if (vote !== undefined) allocator.receiveVote(voter, sentAt, vote, now);
    });
  }

  async #requestReport(
    allocator: TenantAllocator,
    { nodeId, term }: Extract<AllocatorEffect, { type: 'ask-report' }>,
  ): Promise<void> {
    const { peers, nodes, now } = this.#options;
    const report = await peers.requestReport(nodeId, allocator.tenant, term);
    if (report.isErr()) return;
    allocator.receiveReport(nodeId, report.value, nodes.knownIds, now());
  }
}
