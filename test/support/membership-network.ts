/** Seeded simulation of membership state machines on a network with latency, loss, partitions, pauses and crashes. */
import type { ListedNode, MembershipOptions } from '../../src/core/membership/contract.js';
import {
  DEFAULT_MEMBERSHIP_OPTIONS,
  type MembershipEffect,
  type MembershipEvent,
  type NodeAddress,
} from '../../src/core/membership/contract.js';
import { MembershipStateMachine } from '../../src/core/membership/machine.js';
import type { MemberStatus } from '../../src/core/membership/member.js';
import { updateBytes } from '../../src/core/membership/member.js';
import { seededRandom } from './random.js';

const STEP_MS = 20;
const MAX_LATENCY_MS = 40;
const MAX_INBOX = 500;

export interface SimulatedNode {
  readonly nodeId: string;
  readonly zone: string;
  readonly address: NodeAddress;
  readonly machine: MembershipStateMachine;
  readonly changes: string[];
  paused: boolean;
  crashed: boolean;
  /** Events that arrived while the node was paused. */
  inbox: MembershipEvent[];
}

interface Delivery {
  readonly to: NodeAddress;
  readonly event: MembershipEvent;
}

export class MembershipNetwork {
  readonly options: MembershipOptions;
  readonly nodes = new Map<string, SimulatedNode>();
  readonly random: () => number;
  now = 1_000_000;
  lossFraction = 0;
  /** True if messages between these nodes, in this direction, are lost. */
  isCut: (from: SimulatedNode, to: SimulatedNode) => boolean = () => false;
  /** Largest encoded size of the updates of one datagram so far, in bytes. */
  largestUpdates = 0;
  datagrams = 0;
  list: ListedNode[] = [];
  readonly #deliveries = new Map<number, Delivery[]>();
  #nextPort = 1;

  constructor(seed: number, options: Partial<MembershipOptions> = {}) {
    this.random = seededRandom(seed);
    this.options = { ...DEFAULT_MEMBERSHIP_OPTIONS, ...options };
  }

  /** Adds nodes `n0`, `n1`, … spread over zones, all on the machine list, and starts them. */
  startFleet(count: number, zones: number): void {
    for (let index = 0; index < count; index += 1) this.#list(`n${index}`, `z${index % zones}`);
    for (const listed of this.list) this.start(listed);
  }

  /** Starts a node, or a new incarnation of it at the same address. */
  start(listed: ListedNode, incarnation = this.now): SimulatedNode {
    const { nodeId, zone, host, peerPort } = listed;
    const self = { nodeId, incarnation, zone, host, peerPort };
    const node: SimulatedNode = {
      nodeId,
      zone,
      address: { host, peerPort },
      machine: new MembershipStateMachine(self, this.options, this.random),
      changes: [],
      paused: false,
      crashed: false,
      inbox: [],
    };
    this.nodes.set(nodeId, node);
    this.dispatch(node, { type: 'start', nodes: this.list });
    return node;
  }

  restart(nodeId: string, incarnation?: number): SimulatedNode {
    const listed = this.list.find((node) => node.nodeId === nodeId);
    if (listed === undefined) throw new Error(`${nodeId} is not listed`);
    return this.start(listed, incarnation);
  }

  node(nodeId: string): SimulatedNode {
    const node = this.nodes.get(nodeId);
    if (node === undefined) throw new Error(`no node ${nodeId}`);
    return node;
  }

  /** As in a real process, due timers run before messages that arrived during the pause are read. */
  resume(node: SimulatedNode): void {
    node.paused = false;
    this.dispatch(node, { type: 'tick' });
    const inbox = node.inbox;
    node.inbox = [];
    for (const event of inbox) this.dispatch(node, event);
  }

  dispatch(node: SimulatedNode, event: MembershipEvent): void {
    for (const effect of node.machine.handle(event, this.now)) this.#execute(node, effect);
  }

  /** Advances the time; stops early once the condition holds. True if it held. */
  run(durationMs: number, until: () => boolean = () => false): boolean {
    const end = this.now + durationMs;
    while (this.now < end) {
      this.now += STEP_MS;
      this.#deliver();
      this.#tick();
      if (until()) return true;
    }
    return false;
  }

  /** Nodes that have not crashed, including paused ones. */
  running(): SimulatedNode[] {
    return [...this.nodes.values()].filter((node) => !node.crashed);
  }

  /** Statuses of `nodeId` at all other running nodes; `unknown` where it is not a known member. */
  statusesOf(nodeId: string): Set<MemberStatus | 'unknown'> {
    const others = this.running().filter((node) => node.nodeId !== nodeId);
    return new Set(others.map((node) => node.machine.member(nodeId)?.status ?? 'unknown'));
  }

  /** True if all running nodes see each other alive in the current incarnation, and no crashed node as live. */
  isConverged(): boolean {
    const running = this.running();
    return running.every((node) =>
      [...this.nodes.values()].every(
        (other) => other === node || this.#hasCorrectView(node, other),
      ),
    );
  }

  #hasCorrectView(node: SimulatedNode, other: SimulatedNode): boolean {
    const seen = node.machine.member(other.nodeId);
    if (other.crashed) return seen === undefined || seen.status === 'dead';
    return seen?.status === 'alive' && seen.incarnation === other.machine.self().incarnation;
  }

  #list(nodeId: string, zone: string): void {
    const peerPort = this.#nextPort;
    this.#nextPort += 1;
    this.list.push({ nodeId, zone, host: '10.0.0.1', peerPort, leaving: false });
  }

  #deliver(): void {
    const due = this.#deliveries.get(this.now) ?? [];
    this.#deliveries.delete(this.now);
    for (const { to, event } of due) {
      const node = this.#at(to);
      if (node === undefined || node.crashed) continue;
      if (!node.paused) this.dispatch(node, event);
      else if (node.inbox.length < MAX_INBOX) node.inbox.push(event);
    }
  }

  #tick(): void {
    for (const node of this.running()) {
      const deadline = node.machine.nextDeadline();
      if (node.paused || deadline === undefined || deadline > this.now) continue;
      this.dispatch(node, { type: 'tick' });
    }
  }

  #at(address: NodeAddress): SimulatedNode | undefined {
    return [...this.nodes.values()].find((node) => node.address.peerPort === address.peerPort);
  }

  #execute(from: SimulatedNode, effect: MembershipEffect): void {
    if (effect.type === 'send') {
      const bytes = effect.message.updates.reduce((sum, update) => sum + updateBytes(update), 0);
      this.largestUpdates = Math.max(this.largestUpdates, bytes);
      this.datagrams += 1;
      if (this.random() >= this.lossFraction) {
        this.#post(from, effect.to, { type: 'message', message: effect.message });
      }
    } else if (effect.type === 'sync') {
      this.#sync(from, effect);
    } else if (effect.type === 'sync-push') {
      this.#post(from, effect.to, { type: 'sync-pushed', push: effect.push });
    } else if (effect.type === 'member-changed') {
      from.changes.push(`${effect.event.change} ${effect.event.member.nodeId}`);
    } else if (effect.type === 'told-to-leave') {
      from.changes.push('told-to-leave');
    }
  }

  /** The peer handles the call at once; only its response is delayed by the network. */
  #sync(from: SimulatedNode, effect: Extract<MembershipEffect, { type: 'sync' }>): void {
    const to = this.#at(effect.to);
    if (to === undefined || to.crashed || to.paused || this.isCut(from, to)) return;
    const request = { type: 'sync-requested', requestId: 1, request: effect.request } as const;
    for (const reply of to.machine.handle(request, this.now)) {
      if (reply.type !== 'sync-reply') this.#execute(to, reply);
      else {
        const { cursor } = effect.request;
        const answered = { from: effect.to, cursor, answer: reply.answer };
        this.#post(to, from.address, { type: 'sync-answered', ...answered });
      }
    }
  }

  #post(from: SimulatedNode, to: NodeAddress, event: MembershipEvent): void {
    const node = this.#at(to);
    if (node === undefined || this.isCut(from, node)) return;
    const steps = 1 + Math.floor((this.random() * MAX_LATENCY_MS) / STEP_MS);
    const time = this.now + steps * STEP_MS;
    const deliveries = this.#deliveries.get(time) ?? [];
    deliveries.push({ to, event });
    this.#deliveries.set(time, deliveries);
  }
}
