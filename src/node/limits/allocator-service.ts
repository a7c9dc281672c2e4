/**
 * This node's part in allocating tenants' limits: it votes, and allocates the limits of the tenants
 * that it is the first node for and that somebody asks about.
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

/** Votes are remembered for this many times as long as any share can last. */
const REMEMBER_FACTOR = 2;

/** What the allocator service is made of. */
export interface AllocatorServiceOptions {
  readonly nodeId: string;
  /** Names this life of this node. */
  readonly life: string;
  readonly hash: Hash64;
  readonly nodes: LimitNodes;
  readonly peers: LimitsPeerClient;
  /** The tenant's limit, 0 if it has no access. */
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

/** Runs the allocators of the tenants that this node was elected for. */
export class AllocatorService {
  readonly #options: AllocatorServiceOptions;
  readonly #voter: Voter;
  readonly #voterSets: VoterSets;
  readonly #running = new Map<TenantName, RunningAllocator>();
  #candidacies = 0;

  constructor(options: AllocatorServiceOptions) {
    this.#options = options;
    const { lease, life, hash } = options;
    const rememberMs = REMEMBER_FACTOR * maxShareLifetimeMs(lease);
    const voteMs = voteDurationMs(lease);
    this.#voter = new Voter({
      incarnationId: life,
      startedAt: options.now(),
      voteMs,
      retentionMs: rememberMs,
    });
    this.#voterSets = new VoterSets(hash, {
      maxMachineListLagMs: lease.maxMachineListLagMs,
      retentionMs: rememberMs,
    });
  }

  /** Voters come from the machine list alone: it is the same for all nodes but for its lag. */
  setList(nodes: readonly OwnerCandidate[]): void {
    this.#voterSets.setNodes(nodes, this.#options.now());
  }

  /** Tenants whose limits this node allocates now. */
  get allocating(): readonly TenantName[] {
    const now = this.#options.now();
    const running = [...this.#running.values()].map(({ allocator }) => allocator);
    return running.filter((one) => one.hasAuthority(now)).map(({ tenant }) => tenant);
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

  answer({ tenant, request }: TenantShareRequest): ShareResponse {
    const now = this.#options.now();
    const isFirst = this.#options.nodes.allocatorOf(tenant) === this.#options.nodeId;
    const running = this.#running.get(tenant) ?? (isFirst ? this.#start(tenant, now) : undefined);
    if (running !== undefined) {
      // A limit raised since the last tick must not end callers that are within it.
      running.allocator.setLimit(this.#options.limitOf(tenant), now);
      return running.allocator.answer(request, now);
    }
    return { type: 'refused', number: request.number, reason: 'no-authority', term: undefined };
  }

  /** Stands for elections and looks after what is running. */
  tick(): void {
    const now = this.#options.now();
    this.#voter.removeExpired(now);
    const elections = new Map<string, Election[]>();
    for (const [tenant, running] of this.#running) {
      if (this.#stopUnwanted(tenant, running, now)) continue;
      this.#tickOne(running, elections, now);
    }
    for (const [voter, asked] of elections) void this.#askVotes(voter, asked);
  }

  /** Planned stop: others may be elected as soon as the votes have lapsed. */
  stop(): void {
    const now = this.#options.now();
    for (const { allocator } of this.#running.values()) allocator.resign(now);
    this.#running.clear();
  }

  #start(tenant: TenantName, now: Milliseconds): RunningAllocator {
    const { life, lease, limitOf } = this.#options;
    this.#candidacies += 1;
    const candidate = `${life}/${this.#candidacies}`;
    const allocator = new TenantAllocator(tenant, candidate, limitOf(tenant), lease, now);
    const running = { candidate, allocator };
    this.#running.set(tenant, running);
    return running;
  }

  #stopUnwanted(tenant: TenantName, { allocator }: RunningAllocator, now: Milliseconds): boolean {
    const isFirst = this.#options.nodes.allocatorOf(tenant) === this.#options.nodeId;
    if (isFirst && !allocator.isIdle(now)) return false;
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
        void this.#askReport(allocator, effect);
        continue;
      }
      const asked = elections.get(effect.voter) ?? [];
      asked.push({ tenant, candidate, sentAt: effect.sentAt, allocator });
      elections.set(effect.voter, asked);
    }
  }

  async #askVotes(voter: string, elections: readonly Election[]): Promise<void> {
    const asked = elections.map(({ tenant, candidate }) => ({ tenant, candidate }));
    const answer = await this.#options.peers.askVotes(voter, asked);
    if (answer.isErr()) return;
    const now = this.#options.now();
    elections.forEach(({ allocator, sentAt }, index) => {
      const vote = answer.value[index];
      if (vote !== undefined) allocator.receiveVote(voter, sentAt, vote, now);
    });
  }

  async #askReport(
    allocator: TenantAllocator,
    { nodeId, term }: Extract<AllocatorEffect, { type: 'ask-report' }>,
  ): Promise<void> {
    const { peers, nodes, now } = this.#options;
    const report = await peers.askReport(nodeId, allocator.tenant, term);
    if (report.isErr()) return;
    allocator.receiveReport(nodeId, report.value, nodes.knownIds, now());
  }
}
