/**
 * Simulates machine-list agents of several zones and the list service. Calls are delayed or fail, nodes pause, crash
 * and restart, and the service is unreachable or restarts with an earlier version.
 */
import { Schedule } from '../../bench/simulation/schedule.js';
import type { ConfigurationMember } from '../../src/core/configuration/relays.js';
import { MachineListAgent } from '../../src/core/machine-list/agent.js';
import type { MachineListEffect, MachineListEvent } from '../../src/core/machine-list/contract.js';
import type { ListEntry, ListStamp } from '../../src/core/machine-list/replica.js';
import { seededRandom } from './random.js';

const MAX_DELAY_MS = 20;
const CALL_TIMEOUT_MS = 1000;
const POLL_WAIT_MS = 10_000;
const POLL_RETRY_MS = 1000;
/** Time from a crash or the start of a pause until membership reports it to the other nodes. */
const DETECTION_MS = 4000;

/** State of a machine, the only property in these lists. */
export type MachineState = 'live' | 'leaving';
type Entries = ReadonlyMap<string, MachineState>;
interface NamedState {
  readonly name: string;
  readonly state: MachineState;
}
type Event = MachineListEvent<NamedState>;
type Effect = MachineListEffect<NamedState>;

/** One incarnation of a node. */
export interface ListNode {
  readonly member: ConfigurationMember;
  readonly agent: MachineListAgent<NamedState>;
  isAlive: boolean;
  pausedUntil: number;
  isReader: boolean;
  /** Cut off from the list service, not from the other nodes. */
  isCutFromService: boolean;
  /** Version that the next poll sends. */
  knownVersion: number;
  isPolling: boolean;
  polls: number;
  /** The lists that the node has applied, in order. */
  readonly applied: { readonly stamp: ListStamp; readonly entries: Entries }[];
}

export class MachineListNetwork {
  readonly nodes: ListNode[] = [];
  lossFraction = 0;
  isServiceDown = false;
  version = 1;
  /** The list at each version since the service last started. */
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

  /** The service's current list. */
  get published(): Entries {
    return this.history.get(this.version) ?? new Map();
  }

  run(durationMs: number): void {
    this.#schedule.runUntil(this.now + durationMs);
  }

  /** Starts a node, or a new incarnation of it. */
  start(nodeId: string, zone: string): void {
    this.#addNode(nodeId, zone);
    this.#notifyMembers(MAX_DELAY_MS);
  }

  /** Starts nodes of one zone, which learn of each other at once. */
  startZone(zone: string, count: number): void {
    for (let index = 0; index < count; index += 1) this.#addNode(`${zone}${index}`, zone);
    this.#notifyMembers(MAX_DELAY_MS);
  }

  #addNode(nodeId: string, zone: string): void {
    const member = { nodeId, zone, host: nodeId, port: 1 };
    const node: ListNode = {
      member,
      agent: new MachineListAgent({ self: member, random: this.#random }),
      isAlive: true,
      pausedUntil: 0,
      isReader: false,
      isCutFromService: false,
      knownVersion: 0,
      isPolling: false,
      polls: 0,
      applied: [],
    };
    this.nodes.push(node);
    this.#deliver(node, { type: 'started' });
  }

  kill(node: ListNode): void {
    node.isAlive = false;
    this.#notifyMembers(DETECTION_MS);
  }

  /** As by SIGSTOP: events that arrive meanwhile are delivered afterwards. */
  pause(node: ListNode, durationMs: number): void {
    node.pausedUntil = Math.max(node.pausedUntil, this.now + durationMs);
    this.#notifyMembers(DETECTION_MS);
    this.#schedule.after(node.pausedUntil - this.now, () => this.#notifyMembers(MAX_DELAY_MS));
  }

  /** The service publishes a change of one machine. */
  publish(name: string, state: MachineState | 'absent'): void {
    const next = new Map(this.published);
    if (state === 'absent') next.delete(name);
    else next.set(name, state);
    this.#setPublished(this.version + 1, next);
  }

  /** The service restarts with an earlier version and these machines. */
  resetVersion(version: number, entries: Entries): void {
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

  #notifyMembers(delayMs: number): void {
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
    for (const effect of node.agent.handle(event, this.now)) this.#executeEffect(node, effect);
    this.#schedule.after(Math.max(0, node.agent.nextDeadline() - this.now), () => {
      // Superseded timers are harmless, since the agent checks its own deadlines.
      if (node.agent.nextDeadline() <= this.now) this.#deliver(node, { type: 'tick' });
    });
  }

  #executeEffect(node: ListNode, effect: Effect): void {
    switch (effect.type) {
      case 'set-reading':
        node.isReader = effect.isPolling;
        this.#poll(node);
        return;
      case 'apply':
        node.knownVersion = effect.stamp.version;
        node.applied.push({ stamp: effect.stamp, entries: listedEntriesOf(node) });
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
    request: (peer: ListNode) => Event | undefined,
  ): void {
    this.#schedule.after(this.#random() * MAX_DELAY_MS, () => {
      const peer = this.live.find((other) => other.member.nodeId === member.nodeId);
      const isSilent = peer === undefined || peer.pausedUntil > this.now;
      if (isSilent || this.#random() < this.lossFraction) {
        const failed: Event = { type: 'peer-failed', nodeId: member.nodeId };
        this.#schedule.after(CALL_TIMEOUT_MS, () => this.#deliver(node, failed));
        return;
      }
      const answer = request(peer);
      if (answer === undefined) return;
      this.#schedule.after(this.#random() * MAX_DELAY_MS, () => this.#deliver(node, answer));
    });
  }

  // ---- the list service, with a client for each node

  #poll(node: ListNode): void {
    if (!node.isReader || node.isPolling || !node.isAlive) return;
    node.isPolling = true;
    node.polls += 1;
    const knownVersion = node.knownVersion;
    this.#schedule.after(this.#random() * MAX_DELAY_MS, () => {
      if (this.isServiceDown || node.isCutFromService) this.#retry(node);
      else if (knownVersion !== this.version) this.#answer(node, knownVersion);
      else this.#wait(node, knownVersion);
    });
  }

  #wait(node: ListNode, knownVersion: number): void {
    let isAnswered = false;
    const answer = (): void => {
      if (!isAnswered) this.#answer(node, knownVersion);
      isAnswered = true;
    };
    this.#waiters.push(answer);
    this.#schedule.after(POLL_WAIT_MS, answer);
  }

  #answer(node: ListNode, knownVersion: number): void {
    const { version, published } = this;
    if (this.isServiceDown || node.isCutFromService) {
      this.#retry(node);
      return;
    }
    this.#schedule.after(this.#random() * MAX_DELAY_MS, () =>
      this.#onAnswer(node, knownVersion, version, published),
    );
  }

  #onAnswer(node: ListNode, knownVersion: number, version: number, published: Entries): void {
    if (node.pausedUntil > this.now) {
      const remainingMs = node.pausedUntil - this.now;
      this.#schedule.after(remainingMs, () =>
        this.#onAnswer(node, knownVersion, version, published),
      );
      return;
    }
    node.isPolling = false;
    // Like the real client, a node that is no longer a reader drops the response.
    if (!node.isReader) return;
    const entries = version === node.knownVersion ? undefined : toListEntries(published);
    node.knownVersion = version;
    this.#deliver(node, {
      type: 'read',
      reading: { knownVersion: knownVersion, version, entries },
    });
    this.#schedule.after(1, () => this.#poll(node));
  }

  #retry(node: ListNode): void {
    this.#schedule.after(POLL_RETRY_MS, () => {
      node.isPolling = false;
      this.#poll(node);
    });
  }
}

/** The states in a node's list, by machine. */
export function listedEntriesOf({ agent }: ListNode): Entries {
  return new Map(agent.replica.items().map(({ name, state }) => [name, state]));
}

function toListEntries(published: Entries): ListEntry<NamedState>[] {
  return [...published].map(([name, state]) => ({
    id: name,
    hash: hashOf(`${name}:${state}`),
    item: { name, state },
  }));
}

const FNV_OFFSET = 0xcbf29ce484222325n;
const FNV_PRIME = 0x100000001b3n;

/** 64-bit FNV-1a. */
export function hashOf(text: string): bigint {
  let hash = FNV_OFFSET;
  for (const byte of Buffer.from(text))
    hash = BigInt.asUintN(64, (hash ^ BigInt(byte)) * FNV_PRIME);
  return hash;
}

/** True if a node has the list that the service published last. */
export function isCurrent(node: ListNode, network: MachineListNetwork): boolean {
  const entries = listedEntriesOf(node);
  const { published } = network;
  return (
    node.agent.replica.stamp.version === network.version &&
    entries.size === published.size &&
    [...published].every(([name, state]) => entries.get(name) === state)
  );
}
