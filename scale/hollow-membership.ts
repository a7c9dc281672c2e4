/** The membership of a hollow node: the real state machine and codec over the simulated network. */
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

/** Dependencies shared by the parts of a hollow node. */
export interface HollowContext {
  readonly clock: VirtualClock;
  readonly network: HollowNetwork;
  readonly meters: Meters;
  /** Uniform in [0, 1); seeded. */
  readonly random: () => number;
}

export interface HollowMembershipListener {
  /** Receives all changes caused by one event. */
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

  /** Handles due deadlines unless the node is paused or stopped. */
  tick(): void {
    if (this.#node.isRunning && !this.#node.isPaused) this.handle({ type: 'tick' });
  }

  receiveDatagram(datagram: Buffer): void {
    const message = this.#measure(() => decodeDatagram(datagram, CLUSTER_SECRET));
    this.handle({ type: 'message', message });
  }

  /** Responds to a call from a peer. */
  receiveCall(method: string, body: WireValue): WireValue {
    if (method === SYNC_PUSH_METHOD) {
      const push = this.#measure(() => syncPushFromWire(body));
      this.handle({ type: 'sync-pushed', push });
      return null;
    }
    const request = this.#measure(() => syncRequestFromWire(body));
    this.#reply = undefined;
    this.handle({ type: 'sync-requested', requestId: 0, request });
    const reply: SyncResponse | undefined = this.#reply;
    if (reply === undefined) throw new ScaleRunError('a running node did not answer a sync');
    return this.#measure(() => syncResponseToWire(reply));
  }

  handle(event: MembershipEvent): void {
    const effects = this.#measure(() => this.machine.handle(event, this.#context.clock.now));
    const changes: MemberEvent[] = [];
    for (const effect of effects) {
      if (effect.type === 'member-changed') changes.push(effect.event);
      else this.#executeEffect(effect);
    }
    this.#timer.arm();
    if (changes.length > 0) this.#listener.onMembersChanged(changes);
  }

  #measure<Result>(run: () => Result): Result {
    return this.#context.meters.measure('member', run);
  }

  #executeEffect(effect: MembershipEffect): void {
    if (effect.type === 'send') {
      const datagram = this.#measure(() => encodeDatagram(effect.message, CLUSTER_SECRET));
      this.#context.network.sendDatagram(this.#node, effect.to, datagram);
    } else if (effect.type === 'sync') this.#sync(effect);
    else if (effect.type === 'sync-reply') this.#reply = effect.answer;
    else if (effect.type === 'sync-push') {
      const body = this.#measure(() => syncPushToWire(effect.push));
      this.#call(effect.to, SYNC_PUSH_METHOD, body, () => undefined);
    }
  }

  #sync({ to, request }: Extract<MembershipEffect, { type: 'sync' }>): void {
    const body = this.#measure(() => syncRequestToWire(request));
    const { cursor } = request;
    this.#call(to, SYNC_METHOD, body, (value) => {
      const response = this.#measure(() => syncResponseFromWire(value));
      this.handle({ type: 'sync-answered', from: to, cursor, answer: response });
    });
  }

  #call(
    to: { readonly host: string; readonly peerPort: number },
    method: string,
    body: WireValue,
    onResponse: (response: WireValue) => void,
  ): void {
    this.#context.network.call(this.#node, {
      to,
      method,
      body,
      timeoutMs: SYNC_TIMEOUT_MS,
      mechanism: 'membership-sync',
      role: 'member',
      onResponse: onResponse,
      // As in the real service, a failed sync isn't retried; the next one follows on schedule.
      onFailure: () => undefined,
    });
  }
}
