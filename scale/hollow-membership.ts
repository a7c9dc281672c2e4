/** The membership of one hollow node: the real machine and codec over the simulated network. */
import type {
  MemberEvent,
  MembershipEffect,
  MembershipEvent,
  SyncResponse,
} from '../src/core/membership/contract.js';
import { DEFAULT_MEMBERSHIP_OPTIONS, type ListedNode } from '../src/core/membership/contract.js';
import { MembershipStateMachine, type OwnMember } from '../src/core/membership/machine.js';
import { SYNC_METHOD, SYNC_PUSH_METHOD } from '../src/node/membership/service.js';
import {
  decodeDatagram,
  encodeDatagram,
  syncPushFromWire,
  syncPushToWire,
  syncRequestFromWire,
  syncRequestToWire,
  syncResponseFromWire,
  syncResponseToWire,
} from '../src/node/membership/wire.js';
import type { WireValue } from '../src/peer/contract.js';
import { DeadlineTimer } from './deadline-timer.js';
import { ScaleRunError } from './errors.js';
import type { Meters } from './meters.js';
import type { HollowNetwork, NetworkNode } from './network.js';
import type { VirtualClock } from './virtual-clock.js';

const SYNC_TIMEOUT_MS = 2000;
const CLUSTER_SECRET = Buffer.alloc(32, 7);

/** What the parts of a hollow node stand on. */
export interface HollowContext {
  readonly clock: VirtualClock;
  readonly network: HollowNetwork;
  readonly meters: Meters;
  /** Uniform in [0, 1); seeded. */
  readonly random: () => number;
}

export interface HollowMembershipListener {
  /** The changes that one event brought. */
  onMembersChanged(events: readonly MemberEvent[]): void;
}

export class HollowMembership {
  readonly machine: MembershipStateMachine;
  readonly #context: HollowContext;
  readonly #node: NetworkNode;
  readonly #listener: HollowMembershipListener;
  readonly #timer: DeadlineTimer;
  #reply: SyncResponse | undefined;

  constructor(
    context: HollowContext,
    node: NetworkNode,
    self: OwnMember,
    listener: HollowMembershipListener,
  ) {
    this.#context = context;
    this.#node = node;
    this.#listener = listener;
    this.machine = new MembershipStateMachine(self, DEFAULT_MEMBERSHIP_OPTIONS, context.random);
    this.#timer = new DeadlineTimer(
      context.clock,
      () => this.machine.nextDeadline(),
      () => this.tick(),
    );
  }

  start(nodes: readonly ListedNode[]): void {
    this.handle({ type: 'start', nodes });
  }

  /** Runs what is due, unless the node is paused or gone. */
  tick(): void {
    if (this.#node.isRunning && !this.#node.isPaused) this.handle({ type: 'tick' });
  }

  receiveDatagram(datagram: Buffer): void {
    const message = this.#timed(() => decodeDatagram(datagram, CLUSTER_SECRET));
    this.handle({ type: 'message', message });
  }

  /** Answers a call of a peer. */
  receiveCall(method: string, body: WireValue): WireValue {
    if (method === SYNC_PUSH_METHOD) {
      const push = this.#timed(() => syncPushFromWire(body));
      this.handle({ type: 'sync-pushed', push });
      return null;
    }
    const request = this.#timed(() => syncRequestFromWire(body));
    this.#reply = undefined;
    this.handle({ type: 'sync-requested', requestId: 0, request });
    const reply: SyncResponse | undefined = this.#reply;
    if (reply === undefined) throw new ScaleRunError('a running node did not answer a sync');
    return this.#timed(() => syncResponseToWire(reply));
  }

  handle(event: MembershipEvent): void {
    const effects = this.#timed(() => this.machine.handle(event, this.#context.clock.now));
    const changes: MemberEvent[] = [];
    for (const effect of effects) {
      if (effect.type === 'member-changed') changes.push(effect.event);
      else this.#carryOut(effect);
    }
    this.#timer.arm();
    if (changes.length > 0) this.#listener.onMembersChanged(changes);
  }

  #timed<Result>(run: () => Result): Result {
    return this.#context.meters.timed('member', run);
  }

  #carryOut(effect: MembershipEffect): void {
    if (effect.type === 'send') {
      const datagram = this.#timed(() => encodeDatagram(effect.message, CLUSTER_SECRET));
      this.#context.network.sendDatagram(this.#node, effect.to, datagram);
    } else if (effect.type === 'sync') this.#sync(effect);
    else if (effect.type === 'sync-reply') this.#reply = effect.answer;
    else if (effect.type === 'sync-push') {
      const body = this.#timed(() => syncPushToWire(effect.push));
      this.#call(effect.to, SYNC_PUSH_METHOD, body, () => undefined);
    }
  }

  #sync({ to, request }: Extract<MembershipEffect, { type: 'sync' }>): void {
    const body = this.#timed(() => syncRequestToWire(request));
    const { cursor } = request;
    this.#call(to, SYNC_METHOD, body, (value) => {
      const answer = this.#timed(() => syncResponseFromWire(value));
      this.handle({ type: 'sync-answered', from: to, cursor, answer });
    });
  }

  #call(
    to: { readonly host: string; readonly peerPort: number },
    method: string,
    body: WireValue,
    onAnswer: (answer: WireValue) => void,
  ): void {
    this.#context.network.call(this.#node, {
      to,
      method,
      body,
      timeoutMs: SYNC_TIMEOUT_MS,
      mechanism: 'membership-sync',
      role: 'member',
      onAnswer,
      // As in the real service: the next sync is timed.
      onFailure: () => undefined,
    });
  }
}
