/**
 * Machine-list agents of several zones around a simulated list service, with calls that take time or
 * fail, nodes that pause, die and start anew, and a service that is out of reach or loses its memory.
 */
import { Schedule } from '../../bench/simulation/schedule.js';
import type { ConfigurationMember } from '../../src/core/configuration/relays.js';
import { MachineListAgent } from '../../src/core/machine-list/agent.js';
import type { MachineListEffect, MachineListEvent } from '../../src/core/machine-list/contract.js';
import type { ListEntry, ListStamp } from '../../src/core/machine-list/replica.js';
import { seededRandom } from './random.js';

const MAX_CALL_MS = 20;
const CALL_TIMEOUT_MS = 1000;
const POLL_WAIT_MS = 10_000;
const POLL_RETRY_MS = 1000;
/** From a death or the beginning of a pause until the others' membership tells of it. */
const DETECTION_MS = 4000;

/** State of a machine, which is all that these lists say of it. */
export type MachineState = 'live' | 'leaving';
type Entries = ReadonlyMap<string, MachineState>;
/** One machine of a list. */
interface NamedState {
  readonly name: string;
  readonly state: MachineState;
}
type Event = MachineListEvent<NamedState>;
type Effect = MachineListEffect<NamedState>;

/** One life of one node. */
export interface ListNode {
  readonly member: ConfigurationMember;
  readonly agent: MachineListAgent<NamedState>;
  isAlive: boolean;
  pausedUntil: number;
  isReading: boolean;
  /** Cut off from the list service, not from the other nodes. */
  isCutFromService: boolean;
  /** Version that the next poll names. */
  askedVersion: number;
  isPolling: boolean;
  polls: number;
  /** What was in force here, in order. */
  readonly applied: { readonly stamp: ListStamp; readonly shown: Entries }[];
}

/** The whole simulation. */
export class MachineListNetwork {
  readonly nodes: ListNode[] = [];
  lossShare = 0;
  isServiceDown = false;
  version = 1;
  /** What the service said at each version of its present life. */
  readonly history = new Map<number, Entries>([[1, new Map()]]);
  readonly #schedule = new Schedule();
  readonly #random: () => number;
  #waiters: (() => void)[] = [];

  constructor(seed: number) {
    this.#random = seededRandom(seed);
  }

  get now(): number {
    return this.#schedule.now;
  }

  get live(): ListNode[] {
    return this.nodes.filter(({ isAlive }) => isAlive);
  }

  /** The list as the service gives it now. */
  get published(): Entries {
    return this.history.get(this.version) ?? new Map();
  }

  run(durationMs: number): void {
    this.#schedule.runUntil(this.now + durationMs);
  }

  /** Starts a node, or a new life of one. */
  start(nodeId: string, zone: string): void {
    this.#begin(nodeId, zone);
    this.#tellMembers(MAX_CALL_MS);
  }

  /** Starts nodes of one zone, that come to know each other at once. */
  startZone(zone: string, count: number): void {
    for (let index = 0; index < count; index += 1) this.#begin(`${zone}${index}`, zone);
    this.#tellMembers(MAX_CALL_MS);
  }

  #begin(nodeId: string, zone: string): void {
    const member = { nodeId, zone, host: nodeId, port: 1 };
    const node: ListNode = {
      member,
      agent: new MachineListAgent({ self: member, random: this.#random }),
      isAlive: true,
      pausedUntil: 0,
      isReading: false,
      isCutFromService: false,
      askedVersion: 0,
      isPolling: false,
      polls: 0,
      applied: [],
    };
    this.nodes.push(node);
    this.#deliver(node, { type: 'started' });
  }

  kill(node: ListNode): void {
    node.isAlive = false;
    this.#tellMembers(DETECTION_MS);
  }

  /** As by SIGSTOP: what arrives meanwhile waits. */
  pause(node: ListNode, durationMs: number): void {
    node.pausedUntil = Math.max(node.pausedUntil, this.now + durationMs);
    this.#tellMembers(DETECTION_MS);
    this.#schedule.after(node.pausedUntil - this.now, () => this.#tellMembers(MAX_CALL_MS));
  }

  /** The service publishes a change of one machine. */
  publish(name: string, state: MachineState | 'absent'): void {
    const next = new Map(this.published);
    if (state === 'absent') next.delete(name);
    else next.set(name, state);
    this.#setPublished(this.version + 1, next);
  }

  /** The service restarts with an earlier version and these machines. */
  loseMemory(version: number, entries: Entries): void {
    this.history.clear();
    this.#setPublished(version, entries);
  }

  #setPublished(version: number, entries: Entries): void {
    this.version = version;
    this.history.set(version, entries);
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  #tellMembers(delayMs: number): void {
    this.#schedule.after(delayMs, () => {
      const members = this.live
        .filter(({ pausedUntil }) => pausedUntil <= this.now)
        .map(({ member }) => member);
      for (const node of this.live) this.#deliver(node, { type: 'members-changed', members });
    });
  }

  #deliver(node: ListNode, event: Event): void {
    if (!node.isAlive) return;
    if (node.pausedUntil > this.now) {
      this.#schedule.after(node.pausedUntil - this.now, () => this.#deliver(node, event));
      return;
    }
    for (const effect of node.agent.handle(event, this.now)) this.#carryOut(node, effect);
    this.#schedule.after(Math.max(0, node.agent.nextDeadline() - this.now), () => {
      // Superseded timers do no harm: the agent looks at its own deadlines.
      if (node.agent.nextDeadline() <= this.now) this.#deliver(node, { type: 'tick' });
    });
  }

  #carryOut(node: ListNode, effect: Effect): void {
    switch (effect.type) {
      case 'set-reading':
        node.isReading = effect.isPolling;
        this.#poll(node);
        return;
      case 'apply':
        node.askedVersion = effect.stamp.version;
        node.applied.push({ stamp: effect.stamp, shown: shownBy(node) });
        return;
      case 'ask-report': {
        const report = node.agent.report(this.now);
        this.#call(node, effect.peer, (peer) => {
          const answer = peer.agent.report(this.now);
          const { nodeId } = node.member;
          this.#deliver(peer, { type: 'report-received', nodeId, report });
          return { type: 'report-received', nodeId: peer.member.nodeId, report: answer };
        });
        return;
      }
      case 'fetch': {
        const hashes = node.agent.replica.bucketHashes();
        this.#call(node, effect.peer, (peer) => {
          const buckets = peer.agent.replica.differingBuckets(hashes);
          return { type: 'fetched', nodeId: peer.member.nodeId, buckets };
        });
        return;
      }
      case 'push': {
        const { root, delta } = effect;
        const { nodeId } = node.member;
        this.#call(node, effect.peer, (peer) => {
          this.#deliver(peer, { type: 'push-received', nodeId, root, delta });
          return undefined;
        });
      }
    }
  }

  #call(
    node: ListNode,
    member: ConfigurationMember,
    ask: (peer: ListNode) => Event | undefined,
  ): void {
    this.#schedule.after(this.#random() * MAX_CALL_MS, () => {
      const peer = this.live.find((other) => other.member.nodeId === member.nodeId);
      const isSilent = peer === undefined || peer.pausedUntil > this.now;
      if (isSilent || this.#random() < this.lossShare) {
        const failed: Event = { type: 'peer-failed', nodeId: member.nodeId };
        this.#schedule.after(CALL_TIMEOUT_MS, () => this.#deliver(node, failed));
        return;
      }
      const answer = ask(peer);
      if (answer === undefined) return;
      this.#schedule.after(this.#random() * MAX_CALL_MS, () => this.#deliver(node, answer));
    });
  }

  // ---- the list service, with a client for each node

  #poll(node: ListNode): void {
    if (!node.isReading || node.isPolling || !node.isAlive) return;
    node.isPolling = true;
    node.polls += 1;
    const asked = node.askedVersion;
    this.#schedule.after(this.#random() * MAX_CALL_MS, () => {
      if (this.isServiceDown || node.isCutFromService) this.#retry(node);
      else if (asked !== this.version) this.#answer(node, asked);
      else this.#wait(node, asked);
    });
  }

  #wait(node: ListNode, asked: number): void {
    let isAnswered = false;
    const answer = (): void => {
      if (!isAnswered) this.#answer(node, asked);
      isAnswered = true;
    };
    this.#waiters.push(answer);
    this.#schedule.after(POLL_WAIT_MS, answer);
  }

  #answer(node: ListNode, asked: number): void {
    const { version, published } = this;
    if (this.isServiceDown || node.isCutFromService) {
      this.#retry(node);
      return;
    }
    this.#schedule.after(this.#random() * MAX_CALL_MS, () =>
      this.#onAnswer(node, asked, version, published),
    );
  }

  #onAnswer(node: ListNode, asked: number, version: number, published: Entries): void {
    if (node.pausedUntil > this.now) {
      const rest = node.pausedUntil - this.now;
      this.#schedule.after(rest, () => this.#onAnswer(node, asked, version, published));
      return;
    }
    node.isPolling = false;
    // As the client does: a node that has stopped reading drops the answer.
    if (!node.isReading) return;
    const entries = version === node.askedVersion ? undefined : entriesOf(published);
    node.askedVersion = version;
    this.#deliver(node, { type: 'read', reading: { knownVersion: asked, version, entries } });
    this.#schedule.after(1, () => this.#poll(node));
  }

  #retry(node: ListNode): void {
    this.#schedule.after(POLL_RETRY_MS, () => {
      node.isPolling = false;
      this.#poll(node);
    });
  }
}

/** What a node's list says, by machine. */
export function shownBy({ agent }: ListNode): Entries {
  return new Map(agent.replica.items().map(({ name, state }) => [name, state]));
}

function entriesOf(published: Entries): ListEntry<NamedState>[] {
  return [...published].map(([name, state]) => ({
    id: name,
    hash: hashOf(`${name}:${state}`),
    item: { name, state },
  }));
}

const FNV_OFFSET = 0xcbf29ce484222325n;
const FNV_PRIME = 0x100000001b3n;

/** FNV-1a. */
export function hashOf(text: string): bigint {
  let hash = FNV_OFFSET;
  for (const byte of Buffer.from(text))
    hash = BigInt.asUintN(64, (hash ^ BigInt(byte)) * FNV_PRIME);
  return hash;
}

/** True if a node has what the service published last. */
export function isCurrent(node: ListNode, network: MachineListNetwork): boolean {
  const shown = shownBy(node);
  const { published } = network;
  return (
    node.agent.replica.stamp.version === network.version &&
    shown.size === published.size &&
    [...published].every(([name, state]) => shown.get(name) === state)
  );
}
