/** One incarnation of a hollow node: real membership, configuration and ownership, no data plane. */
import type { ConfigurationSnapshot } from '../src/core/configuration/model.js';
import type { ConfigurationMember } from '../src/core/configuration/relays.js';
import type { ListedNode, MemberEvent, NodeAddress } from '../src/core/membership/contract.js';
import type { Member } from '../src/core/membership/member.js';
import type { NodeIdentity, WireValue } from '../src/peer/contract.js';
import { HollowConfiguration } from './hollow-configuration.js';
import { HollowMachineList, type HollowMachineListOptions } from './hollow-machine-list.js';
import { type HollowContext, HollowMembership } from './hollow-membership.js';
import type { HollowOwnership } from './hollow-ownership.js';
import type { NetworkNode } from './network.js';
import type { SimulatedStore } from './simulated-store.js';

/** The real service reads the members once a second, in addition to change notifications. */
const MEMBERS_POLL_PERIOD_MS = 1000;

/** Id and address of a node, which its consecutive incarnations share. */
export interface NodeLocation extends ListedNode {
  readonly zoneIndex: number;
}

/** Receives what an incarnation of a node observes and applies. */
export interface HollowNodeObserver {
  onMembersChanged(node: HollowNode, events: readonly MemberEvent[]): void;
  onApplied(node: HollowNode, snapshot: ConfigurationSnapshot): void;
  onReady(node: HollowNode): void;
}

export interface HollowNodeOptions {
  readonly context: HollowContext;
  readonly location: NodeLocation;
  readonly incarnation: number;
  readonly store: SimulatedStore;
  readonly observer: HollowNodeObserver;
  readonly machineList: Pick<
    HollowMachineListOptions,
    'service' | 'readers' | 'hash' | 'onApplied'
  >;
  /** Undefined on most nodes, since all nodes would compute the same owners. */
  readonly ownership: HollowOwnership | undefined;
}

export class HollowNode implements NetworkNode {
  readonly identity: NodeIdentity;
  readonly address: NodeAddress;
  readonly zoneIndex: number;
  readonly location: NodeLocation;
  readonly membership: HollowMembership;
  readonly configuration: HollowConfiguration;
  readonly machineList: HollowMachineList;
  readonly ownership: HollowOwnership | undefined;
  readonly #context: HollowContext;
  readonly #observer: HollowNodeObserver;
  #isRunning = true;
  #isPaused = false;
  #isLeaving = false;
  #deferredArrivals: (() => void)[] = [];
  #members: readonly ConfigurationMember[] = [];
  /** As in the real node, the view is cached until the membership reports a change. */
  #isViewStale = true;

  constructor(options: HollowNodeOptions) {
    const { context, location, incarnation, store } = options;
    const { nodeId, zone, host, peerPort, zoneIndex } = location;
    this.#context = context;
    this.#observer = options.observer;
    this.location = location;
    this.identity = { nodeId, incarnation };
    this.address = { host, peerPort };
    this.zoneIndex = zoneIndex;
    this.ownership = options.ownership;
    const self = { nodeId, incarnation, zone, host, peerPort };
    this.membership = new HollowMembership(context, this, self, {
      onMembersChanged: (events) => this.#onMembersChanged(events),
    });
    const member = { nodeId, zone, host, port: peerPort };
    this.machineList = new HollowMachineList({
      ...options.machineList,
      context,
      node: this,
      self: member,
    });
    this.configuration = new HollowConfiguration(context, this, member, store, {
      onApplied: (snapshot) => this.#onApplied(snapshot),
      onReady: () => options.observer.onReady(this),
    });
  }

  get isRunning(): boolean {
    return this.#isRunning;
  }

  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** True once the graceful shutdown has begun. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** @param nodes the nodes in the machine list */
  start(nodes: readonly ListedNode[]): void {
    this.membership.start(nodes);
    this.configuration.start();
    this.machineList.start();
    this.#context.clock.every(MEMBERS_POLL_PERIOD_MS, () => this.#poll());
  }

  /** Ends this incarnation without notice to peers. */
  crash(): void {
    this.#isRunning = false;
    this.configuration.stop();
  }

  /** Begins the graceful shutdown. */
  leave(): void {
    this.#isLeaving = true;
    this.membership.handle({ type: 'leave' });
  }

  /** Ends the graceful shutdown: releases the relay slot and notifies some members. */
  stop(): void {
    const event = { type: 'candidacy-changed', candidate: false } as const;
    this.configuration.handle({ type: 'relay', event });
    this.membership.handle({ type: 'stop' });
    this.crash();
  }

  /** As by SIGSTOP: nothing runs, and arriving messages are deferred. */
  pause(): void {
    this.#isPaused = true;
  }

  /** As in a real process, due timers run before the deferred messages are read. */
  resume(): void {
    this.#isPaused = false;
    this.membership.tick();
    this.configuration.tick();
    this.machineList.tick();
    const deferredArrivals = this.#deferredArrivals;
    this.#deferredArrivals = [];
    for (const arrival of deferredArrivals) if (this.#isRunning) arrival();
  }

  deferUntilResumed(arrival: () => void): void {
    this.#deferredArrivals.push(arrival);
  }

  receiveDatagram(datagram: Buffer): void {
    this.membership.receiveDatagram(datagram);
  }

  receiveCall(method: string, body: WireValue, from: NodeIdentity): WireValue {
    if (method.startsWith('membership.')) return this.membership.receiveCall(method, body);
    const role = method.startsWith('machine-list.') ? this.machineList : this.configuration;
    return role.receiveCall(method, body, from);
  }

  #poll(): boolean {
    if (!this.#isRunning) return false;
    if (!this.#isPaused) this.#updateMembers();
    return true;
  }

  /** As in the real node, a changed configuration revision alone doesn't refresh the view. */
  #onMembersChanged(events: readonly MemberEvent[]): void {
    if (events.every(({ change }) => change === 'revision-changed')) return;
    this.#isViewStale = true;
    this.#updateMembers();
    const { ownership } = this;
    if (ownership !== undefined) {
      this.#context.meters.measure('ownership', () => ownership.onMembersChanged(events));
    }
    this.#observer.onMembersChanged(this, events);
  }

  /** Passes the live members to the configuration and the machine list, as the real node does. */
  #updateMembers(): void {
    if (!this.#isViewStale) return;
    this.#isViewStale = false;
    const members = this.#context.meters.measure('configuration', () => this.#liveMembers());
    if (haveSameNodeIds(members, this.#members)) return;
    this.#members = members;
    this.configuration.handle({ type: 'members-changed', members });
    this.machineList.setMembers(members);
  }

  #liveMembers(): ConfigurationMember[] {
    return this.membership.machine.members().filter(isLive).map(toConfigurationMember);
  }

  #onApplied(snapshot: ConfigurationSnapshot): void {
    const configurationRevision = snapshot.revision;
    this.membership.handle({ type: 'revision-changed', configurationRevision });
    this.#observer.onApplied(this, snapshot);
  }
}

/** True if the member is neither dead nor leaving. */
export function isLive(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function toConfigurationMember({ nodeId, zone, host, peerPort }: Member): ConfigurationMember {
  return { nodeId, zone, host, port: peerPort };
}

function haveSameNodeIds(
  left: readonly ConfigurationMember[],
  right: readonly ConfigurationMember[],
): boolean {
  if (left.length !== right.length) return false;
  return left.every((member, index) => member.nodeId === right[index]?.nodeId);
}
