/**
 * Simulates nodes that lease shares of an instance's connections. The granter is the node that holds the instance's
 * lock. Any node may try to become it; clocks drift, messages are delayed or lost, nodes pause, sessions break.
 */
import { BudgetGranter } from '../../src/core/ownership/budget-granter.js';
import { BudgetHolder } from '../../src/core/ownership/budget-holder.js';
import {
  type BudgetLeaseOptions,
  DEFAULT_BUDGET_LEASE_OPTIONS,
  type ShareRequest,
  type ShareResponse,
} from '../../src/core/ownership/budget-lease.js';
import { seededRandom } from './random.js';

const STEP_MS = 20;
const PROBE_PERIOD_MS = 200;

export class BudgetNode {
  readonly granter: BudgetGranter;
  readonly holder: BudgetHolder;
  paused = false;
  /** Considers itself the first owner, so it tries to hold the lock. */
  wantsAuthority = false;
  /** Index of the node that it considers the granter; undefined: sends requests to any node that wants authority. */
  granterGuess: number | undefined = 0;
  /** Its messages to and from the instance are lost. */
  isCutFromInstance = false;
  session: number | undefined;
  nextProbeAt = 0;
  inbox: (() => void)[] = [];

  constructor(
    readonly index: number,
    readonly drift: number,
    readonly offset: number,
    limit: number,
    options: BudgetLeaseOptions,
  ) {
    this.granter = new BudgetGranter(`n${index}`, limit, options);
    this.holder = new BudgetHolder(`n${index}`, options);
  }

  clock(realTime: number): number {
    return this.offset + realTime * (1 + this.drift);
  }
}

export class BudgetNetwork {
  readonly options = DEFAULT_BUDGET_LEASE_OPTIONS;
  readonly nodes: BudgetNode[] = [];
  readonly random: () => number;
  now = 0;
  maxLatencyMs = 40;
  lossFraction = 0;
  /** Session that holds the instance's lock. */
  lockedBy: number | undefined;
  readonly #sessions = new Set<number>();
  #lastSession = 0;
  #pending: { at: number; to: BudgetNode | undefined; action: () => void }[] = [];

  constructor(seed: number, count: number, limit: number) {
    this.random = seededRandom(seed);
    for (let index = 0; index < count; index += 1) {
      const drift = (2 * this.random() - 1) * this.options.maxClockDrift;
      this.nodes.push(new BudgetNode(index, drift, this.random() * 1e6, limit, this.options));
    }
  }

  /** Advances the time and calls `check` after each step. */
  run(durationMs: number, check: () => void): void {
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      for (const node of this.nodes) if (!node.paused) this.#step(node);
      check();
    }
  }

  /** Connections that all nodes may hold now, each by its own clock. */
  held(): number[] {
    return this.nodes.map((node) => node.holder.connections(node.clock(this.now)));
  }

  sumHeld(): number {
    return this.held().reduce((sum, connections) => sum + connections, 0);
  }

  resume(node: BudgetNode): void {
    node.paused = false;
    const inbox = node.inbox;
    node.inbox = [];
    for (const action of inbox) action();
  }

  /** The server ends a session: its lock is free at once, but the client does not know yet. */
  breakSession(node: BudgetNode): void {
    if (node.session === undefined) return;
    this.#sessions.delete(node.session);
    if (this.lockedBy === node.session) this.lockedBy = undefined;
  }

  #step(node: BudgetNode): void {
    const clock = node.clock(this.now);
    if (clock >= node.nextProbeAt) this.#useInstance(node, clock);
    if (clock < node.holder.nextRequestAt()) return;
    const request = node.holder.request(clock);
    const granter = this.#granterOf(node);
    if (granter !== undefined) this.#post(granter, () => this.#answer(granter, node, request));
  }

  #granterOf(node: BudgetNode): BudgetNode | undefined {
    if (node.granterGuess !== undefined) return this.nodes[node.granterGuess];
    const granters = this.nodes.filter((other) => other.wantsAuthority);
    return granters[Math.floor(this.random() * granters.length)];
  }

  #answer(granter: BudgetNode, to: BudgetNode, request: ShareRequest): void {
    const answer: ShareResponse = granter.granter.answer(request, granter.clock(this.now));
    this.#post(to, () => to.holder.receiveResponse(answer, to.clock(this.now)));
  }

  #useInstance(node: BudgetNode, sentAt: number): void {
    node.nextProbeAt = sentAt + PROBE_PERIOD_MS;
    if (node.isCutFromInstance) return;
    if (node.session !== undefined) this.#probe(node, node.session, sentAt);
    else if (node.wantsAuthority) this.#post(undefined, () => this.#tryLock(node));
  }

  #tryLock(node: BudgetNode): void {
    if (this.lockedBy !== undefined) return;
    this.#lastSession += 1;
    const session = this.#lastSession;
    this.#sessions.add(session);
    this.lockedBy = session;
    const sent = this.#post(node, () => this.#onLocked(node, session));
    if (!sent) this.#endSession(session);
  }

  #onLocked(node: BudgetNode, session: number): void {
    if (node.session !== undefined) {
      this.#endSession(session);
      return;
    }
    node.session = session;
    const clock = node.clock(this.now);
    node.granter.handle({ type: 'authority-confirmed', sentAt: clock }, clock);
  }

  #probe(node: BudgetNode, session: number, sentAt: number): void {
    this.#post(undefined, () => {
      const isOpen = this.#sessions.has(session);
      this.#post(node, () => this.#onProbed(node, session, isOpen, sentAt));
    });
  }

  #onProbed(node: BudgetNode, session: number, isOpen: boolean, sentAt: number): void {
    if (node.session !== session) return;
    if (isOpen && node.wantsAuthority) {
      const clock = node.clock(this.now);
      node.granter.handle({ type: 'authority-confirmed', sentAt }, clock);
      return;
    }
    node.session = undefined;
    node.granter.handle({ type: 'authority-lost' }, node.clock(this.now));
    this.#endSession(session);
  }

  #endSession(session: number): void {
    this.#sessions.delete(session);
    if (this.lockedBy === session) this.lockedBy = undefined;
  }

  /** Sends a message; false if it is lost. `to` is undefined for the instance. */
  #post(to: BudgetNode | undefined, action: () => void): boolean {
    if (this.random() < this.lossFraction) return false;
    this.#pending.push({ at: this.now + this.random() * this.maxLatencyMs, to, action });
    return true;
  }

  #deliver(): void {
    const due = this.#pending.filter((message) => message.at <= this.now);
    this.#pending = this.#pending.filter((message) => message.at > this.now);
    for (const { to, action } of due) {
      if (to?.paused === true) to.inbox.push(action);
      else action();
    }
  }
}
