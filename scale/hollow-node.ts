/** One life of one hollow node: real membership, configuration and ownership, no data plane. */
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

/** The real service looks at the members once a second, besides being told of changes. */
const MEMBERS_POLL_MS = 1000;

/** A place in the fleet that lives one after the other take. */
export interface NodePlace extends ListedNode {
  readonly zoneIndex: number;
}

/** Told of what a life of a node sees and applies. */
export interface HollowNodeObserver {
  onMembersChanged(node: HollowNode, events: readonly MemberEvent[]): void;
  onApplied(node: HollowNode, snapshot: ConfigurationSnapshot): void;
  onReady(node: HollowNode): void;
}

export interface HollowNodeOptions {
  readonly context: HollowContext;
  readonly place: NodePlace;
  readonly incarnation: number;
  readonly store: SimulatedStore;
  readonly observer: HollowNodeObserver;
  readonly machineList: Pick<
    HollowMachineListOptions,
    'service' | 'readers' | 'hash' | 'onApplied'
  >;
  /** Undefined on most nodes: the owners that one node works out are those of all. */
  readonly ownership: HollowOwnership | undefined;
}

export class HollowNode implements NetworkNode {
  readonly identity: NodeIdentity;
  readonly address: NodeAddress;
  readonly zoneIndex: number;
  readonly place: NodePlace;
  readonly membership: HollowMembership;
  readonly configuration: HollowConfiguration;
  readonly machineList: HollowMachineList;
  readonly ownership: HollowOwnership | undefined;
  readonly #context: HollowContext;
  readonly #observer: HollowNodeObserver;
  #isRunning = true;
  #isPaused = false;
  #isLeaving = false;
  #kept: (() => void)[] = [];
  #members: readonly ConfigurationMember[] = [];
  /** As in the real node, the view is kept until the membership tells of a change. */
  #isViewStale = true;

  constructor(options: HollowNodeOptions) {
    const { context, place, incarnation, store } = options;
    const { nodeId, zone, host, peerPort, zoneIndex } = place;
    this.#context = context;
    this.#observer = options.observer;
    this.place = place;
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

  /** True from the beginning of the planned stop on. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** @param nodes what the machine list tells */
  start(nodes: readonly ListedNode[]): void {
    this.membership.start(nodes);
    this.configuration.start();
    this.machineList.start();
    this.#context.clock.every(MEMBERS_POLL_MS, () => this.#poll());
  }

  /** Ends this life without a word. */
  crash(): void {
    this.#isRunning = false;
    this.configuration.stop();
  }

  /** The planned stop begins. */
  leave(): void {
    this.#isLeaving = true;
    this.membership.handle({ type: 'leave' });
  }

  /** The planned stop ends: gives the relay slot back and tells some members. */
  stop(): void {
    const event = { type: 'candidacy-changed', candidate: false } as const;
    this.configuration.handle({ type: 'relay', event });
    this.membership.handle({ type: 'stop' });
    this.crash();
  }

  /** As by SIGSTOP: nothing runs, what arrives waits. */
  pause(): void {
    this.#isPaused = true;
  }

  /** As in a real process, due timers run before what has arrived meanwhile is read. */
  resume(): void {
    this.#isPaused = false;
    this.membership.tick();
    this.configuration.tick();
    this.machineList.tick();
    const kept = this.#kept;
    this.#kept = [];
    for (const arrival of kept) if (this.#isRunning) arrival();
  }

  keepForLater(arrival: () => void): void {
    this.#kept.push(arrival);
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

  /** As the real node, which looks at nothing anew for a revision alone. */
  #onMembersChanged(events: readonly MemberEvent[]): void {
    if (events.every(({ change }) => change === 'revision-changed')) return;
    this.#isViewStale = true;
    this.#updateMembers();
    const { ownership } = this;
    if (ownership !== undefined) {
      this.#context.meters.timed('ownership', () => ownership.onMembersChanged(events));
    }
    this.#observer.onMembersChanged(this, events);
  }

  /** What the node's composition tells the configuration: the live members. */
  #updateMembers(): void {
    if (!this.#isViewStale) return;
    this.#isViewStale = false;
    const members = this.#context.meters.timed('configuration', () => this.#liveMembers());
    if (isSame(members, this.#members)) return;
    this.#members = members;
    this.configuration.handle({ type: 'members-changed', members });
    this.machineList.setMembers(members);
  }

  #liveMembers(): ConfigurationMember[] {
    return this.membership.machine.members().filter(isLive).map(memberOf);
  }

  #onApplied(snapshot: ConfigurationSnapshot): void {
    const configurationRevision = snapshot.revision;
    this.membership.handle({ type: 'revision-changed', configurationRevision });
    this.#observer.onApplied(this, snapshot);
  }
}

/** Neither dead nor on its planned stop. */
export function isLive(member: Member): boolean {
  return member.status === 'alive' || member.status === 'suspect';
}

function memberOf({ nodeId, zone, host, peerPort }: Member): ConfigurationMember {
  return { nodeId, zone, host, port: peerPort };
}

function isSame(
  left: readonly ConfigurationMember[],
  right: readonly ConfigurationMember[],
): boolean {
  if (left.length !== right.length) return false;
  return left.every((member, index) => member.nodeId === right[index]?.nodeId);
}
