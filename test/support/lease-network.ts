/**
 * Simulates nodes that share one tenant's connection limit. Each node votes, may consider itself the allocator, and
 * has callers. Clocks drift; messages are delayed or lost; nodes pause, restart and are cut off; a change of the
 * machine list reaches each node at a different time.
 */
import { Voter } from '../../src/core/limits/election.js';
import {
  DEFAULT_TENANT_LEASE_OPTIONS,
  maxShareLifetimeMs,
  type TenantLeaseOptions,
  voteDurationMs,
} from '../../src/core/limits/lease-options.js';
import { type AllocatorEffect, TenantAllocator } from '../../src/core/limits/tenant-allocator.js';
import { type TenantShareRequest, TenantShares } from '../../src/core/limits/tenant-shares.js';
import { VoterSets } from '../../src/core/limits/voter-sets.js';
import type { Hash64 } from '../../src/core/ownership/rendezvous.js';
import { seededRandom } from './random.js';

export const LEASE_TEST_OPTIONS: TenantLeaseOptions = {
  ...DEFAULT_TENANT_LEASE_OPTIONS,
  leaseMs: 4000,
  authorityMs: 600,
  renewMs: 500,
  electionPeriodMs: 200,
  maxMachineListLagMs: 1500,
  idleReleaseMs: 1000,
};

const TENANT = 'tenant';
const STEP_MS = 20;
const GRACE_MS = 100;

export class LeaseNode {
  paused = false;
  /** True if the node considers itself the allocator. */
  isCandidate = false;
  /** Index of the node from which it requests its share. */
  allocatorGuess = 0;
  /** Number of callers that want a connection at this node. */
  demand = 0;
  voter!: Voter;
  voterSets!: VoterSets;
  shares!: TenantShares;
  allocator: TenantAllocator | undefined;
  incarnationCount = 0;
  inbox: (() => void)[] = [];

  constructor(
    readonly index: number,
    readonly drift: number,
    readonly offset: number,
  ) {}

  get id(): string {
    return `n${this.index}`;
  }

  clock(realTime: number): number {
    return this.offset + realTime * (1 + this.drift);
  }

  held(realTime: number): number {
    return this.shares.heldConnections(TENANT, this.clock(realTime));
  }

  get open(): number {
    return this.shares.openConnections(TENANT);
  }
}

interface Message {
  readonly at: number;
  readonly to: LeaseNode;
  readonly incarnation: number;
  readonly action: () => void;
}

export class LeaseNetwork {
  readonly options = LEASE_TEST_OPTIONS;
  readonly nodes: LeaseNode[] = [];
  readonly random: () => number;
  now = 0;
  maxLatencyMs = 20;
  lossFraction = 0;
  /** Number of callers disconnected because the node's share had shrunk. */
  interruptedCallers = 0;
  messages = 0;
  readonly #hash: Hash64;
  readonly #cutOff = new Set<number>();
  #list: readonly number[];
  #listVersion = 0;
  #pending: Message[] = [];

  constructor(
    seed: number,
    count: number,
    public limit: number,
    hash: Hash64,
  ) {
    this.random = seededRandom(seed);
    this.#hash = hash;
    this.#list = Array.from({ length: count }, (_, index) => index);
    for (const index of this.#list) {
      const drift = (2 * this.random() - 1) * this.options.maxClockDrift;
      const node = new LeaseNode(index, drift, this.random() * 1e6);
      this.nodes.push(node);
      this.restart(node);
    }
  }

  /** Advances the time and calls `check` after each step. */
  run(durationMs: number, check: () => void = () => undefined): void {
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      for (const node of this.nodes) if (!node.paused) this.#step(node);
      check();
    }
  }

  sumHeld(): number {
    return this.nodes.reduce((sum, node) => sum + node.held(this.now), 0);
  }

  /** Number of callers that are served; callers of a paused node are not. */
  sumOpen(): number {
    const served = this.nodes.filter((node) => !node.paused);
    return served.reduce((sum, node) => sum + node.open, 0);
  }

  /** Starts a new incarnation: votes, shares and grants are lost, and the machine list is read again. */
  restart(node: LeaseNode): void {
    const now = node.clock(this.now);
    node.incarnationCount += 1;
    const incarnationId = `${node.id}#${node.incarnationCount}`;
    const retentionMs = 2 * maxShareLifetimeMs(this.options);
    const voteMs = voteDurationMs(this.options);
    node.voter = new Voter({
      incarnationId: incarnationId,
      startedAt: now,
      voteMs,
      retentionMs: retentionMs,
    });
    node.voterSets = new VoterSets(this.#hash, {
      maxMachineListLagMs: this.options.maxMachineListLagMs,
      retentionMs: retentionMs,
    });
    node.voterSets.setNodes(this.#listed(), now);
    node.shares = new TenantShares(incarnationId, this.options);
    node.shares.setNodeCount(this.#list.length);
    node.allocator = undefined;
    node.inbox = [];
  }

  resume(node: LeaseNode): void {
    node.paused = false;
    const { inbox } = node;
    node.inbox = [];
    // As in an event loop, due timers run before the messages that have arrived.
    this.#step(node);
    for (const action of inbox) action();
  }

  /** Nodes on different sides can't reach each other. */
  setCutOff(indexes: readonly number[]): void {
    this.#cutOff.clear();
    for (const index of indexes) this.#cutOff.add(index);
  }

  /** Changes the machine list; each node receives it within `maxMachineListLagMs`. */
  changeList(indexes: readonly number[]): void {
    this.#list = indexes;
    this.#listVersion += 1;
    const listed = this.#listed();
    for (const node of this.nodes) {
      const at = this.now + this.random() * this.options.maxMachineListLagMs * 0.9;
      const version = this.#listVersion;
      const action = (): void => {
        if (version === this.#listVersion) node.voterSets.setNodes(listed, node.clock(this.now));
      };
      this.#pending.push({ at, to: node, incarnation: node.incarnationCount, action });
    }
  }

  get list(): readonly number[] {
    return this.#list;
  }

  #listed(): { nodeId: string; zone: string }[] {
    return this.#list.map((index) => ({ nodeId: `n${index}`, zone: `z${index % 3}` }));
  }

  #step(node: LeaseNode): void {
    const clock = node.clock(this.now);
    this.#serve(node, clock);
    for (const due of node.shares.dueRequests(() => this.limit, clock))
      this.#requestShare(node, due);
    this.#allocate(node, clock);
  }

  #serve(node: LeaseNode, clock: number): void {
    const { shares } = node;
    for (let left = shares.excessConnections(TENANT, GRACE_MS, clock); left > 0; left -= 1) {
      shares.release(TENANT, clock);
      this.interruptedCallers += 1;
    }
    while (node.open > node.demand) shares.release(TENANT, clock);
    while (node.open < node.demand && shares.tryAcquire(TENANT, clock));
    if (node.demand > 0 || node.open > 0) {
      shares.setWaiting(TENANT, node.demand - node.open, clock);
    }
  }

  #allocate(node: LeaseNode, clock: number): void {
    if (!node.isCandidate) {
      node.allocator?.resign(clock);
      return;
    }
    node.allocator ??= new TenantAllocator(
      TENANT,
      `${node.id}#${node.incarnationCount}`,
      this.limit,
      this.options,
      clock,
    );
    node.allocator.setLimit(this.limit, clock);
    const view = { ...node.voterSets.votersOf(TENANT, clock), knownNodes: this.#nodeIds() };
    for (const effect of node.allocator.tick(view, clock)) this.#executeEffect(node, effect);
  }

  #executeEffect(node: LeaseNode, effect: AllocatorEffect): void {
    const to = this.#nodeOf(effect.type === 'ask-vote' ? effect.voter : effect.nodeId);
    const { allocator } = node;
    if (to === undefined || allocator === undefined) return;
    if (effect.type === 'ask-vote') {
      const candidate = `${node.id}#${node.incarnationCount}`;
      this.#call(
        node,
        to,
        () => {
          const clock = to.clock(this.now);
          const { voterSets } = to.voterSets.votersOf(TENANT, clock);
          return to.voter.vote(TENANT, candidate, voterSets, clock);
        },
        (vote) => allocator.receiveVote(to.id, effect.sentAt, vote, node.clock(this.now)),
      );
      return;
    }
    this.#call(
      node,
      to,
      () => to.shares.report(TENANT, effect.term, this.limit, to.clock(this.now)),
      (report) => allocator.receiveReport(to.id, report, this.#nodeIds(), node.clock(this.now)),
    );
  }

  #requestShare(node: LeaseNode, due: TenantShareRequest): void {
    const to = this.nodes[node.allocatorGuess];
    if (to === undefined) return;
    this.#call(
      node,
      to,
      () => to.allocator?.answer(due.request, to.clock(this.now)),
      (answer) => {
        if (answer !== undefined) node.shares.receiveResponse(due, answer, node.clock(this.now));
      },
    );
  }

  /** Sends a request and its response; either may be lost. */
  #call<Answer>(
    from: LeaseNode,
    to: LeaseNode,
    work: () => Answer,
    receive: (answer: Answer) => void,
  ): void {
    this.#post(from, to, () => {
      const answer = work();
      this.#post(to, from, () => receive(answer));
    });
  }

  #post(from: LeaseNode, to: LeaseNode, action: () => void): void {
    this.messages += 1;
    if (from !== to && this.random() < this.lossFraction) return;
    if (this.#cutOff.has(from.index) !== this.#cutOff.has(to.index)) return;
    const at = this.now + (from === to ? 0 : this.random() * this.maxLatencyMs);
    this.#pending.push({ at, to, incarnation: to.incarnationCount, action });
  }

  #deliver(): void {
    const due = this.#pending.filter((message) => message.at <= this.now);
    this.#pending = this.#pending.filter((message) => message.at > this.now);
    for (const { to, incarnation, action } of due) {
      if (to.incarnationCount !== incarnation) continue;
      if (to.paused) to.inbox.push(action);
      else action();
    }
  }

  #nodeOf(id: string): LeaseNode | undefined {
    return this.nodes.find((node) => node.id === id);
  }

  #nodeIds(): string[] {
    return this.nodes.map(({ id }) => id);
  }
}
