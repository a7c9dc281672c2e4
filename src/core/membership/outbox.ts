/**
 * Builds outgoing messages, fills them with updates up to their size limit, enforces the byte budget
 * of gossip, and collects the effects of one event.
 */
import { MILLISECONDS_PER_SECOND } from '../units.js';
import type {
  MembershipEffect,
  MembershipMessage,
  MembershipOptions,
  NodeAddress,
} from './contract.js';
import { type MemberUpdate, updateBytes } from './member.js';
import type { MembershipState } from './membership-state.js';

/** Size of a datagram without its updates: IP and UDP headers, type, sequence, MAC. */
const DATAGRAM_OVERHEAD_BYTES = 64;

interface Envelope {
  readonly sender: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
}

/** Collects the effects, including messages, of the event that is being handled. */
export class Outbox {
  readonly #state: MembershipState;
  readonly #options: MembershipOptions;
  #effects: MembershipEffect[] = [];
  /** Bytes that gossip may still send now; negative after a message that exceeded the budget. */
  #gossipTokens = 0;

  constructor(state: MembershipState, options: MembershipOptions) {
    this.#state = state;
    this.#options = options;
  }

  emit(effect: MembershipEffect): void {
    this.#effects.push(effect);
  }

  /** Effects since the last call. */
  takeEffects(): MembershipEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** `nodeId`: the receiver, if known, so that it is informed if it is wrongly considered suspect or dead. */
  sendPing(to: NodeAddress, sequence: number, nodeId: string | undefined): void {
    this.#send(to, { type: 'ping', sequence, ...this.#envelope(nodeId) });
  }

  sendAck(
    to: NodeAddress,
    sequence: number,
    subject: MemberUpdate,
    nodeId: string | undefined,
  ): void {
    this.#send(to, { type: 'ack', sequence, subject, ...this.#envelope(nodeId) });
  }

  sendPingRequest(helper: MemberUpdate, sequence: number, target: NodeAddress): void {
    const envelope = this.#envelope(helper.nodeId);
    this.#send(helper, { type: 'ping-request', sequence, target, ...envelope });
  }

  sendGossip(nodeId: string): void {
    const member = this.#state.table.get(nodeId);
    if (member === undefined) return;
    const envelope = this.#envelope(nodeId);
    this.#gossipTokens -= envelopeBytes(envelope);
    this.#send(member, { type: 'gossip', ...envelope });
  }

  /** Refills the gossip budget; called once per gossip period. */
  refillGossip(): void {
    const { gossipPeriodMs, gossipBytesPerSecond } = this.#options;
    const refill = (gossipBytesPerSecond * gossipPeriodMs) / MILLISECONDS_PER_SECOND;
    this.#gossipTokens = Math.min(gossipBytesPerSecond, this.#gossipTokens + refill);
  }

  /** True if there are updates to gossip and the budget allows a message. */
  get mayGossip(): boolean {
    return this.#gossipTokens >= 0 && !this.#state.queue.isEmpty;
  }

  #send(to: NodeAddress, message: MembershipMessage): void {
    this.emit({ type: 'send', to: { host: to.host, peerPort: to.peerPort }, message });
  }

  /** If the receiver is considered suspect or dead, that update goes first, so that the receiver can refute it. */
  #envelope(receiver: string | undefined): Envelope {
    const { self, table, queue } = this.#state;
    const known = receiver === undefined ? undefined : table.get(receiver);
    const mustRefute = known !== undefined && known.liveness !== 'alive';
    const first = mustRefute ? [known] : [];
    const availableBytes = this.#options.maxUpdateBytes - bytesOf(first);
    return {
      sender: self,
      updates: [...first, ...queue.take(availableBytes, this.#state.maxSends())],
    };
  }
}

function bytesOf(updates: readonly MemberUpdate[]): number {
  return updates.reduce((sum, update) => sum + updateBytes(update), 0);
}

function envelopeBytes({ sender, updates }: Envelope): number {
  return bytesOf([sender, ...updates]) + DATAGRAM_OVERHEAD_BYTES;
}
