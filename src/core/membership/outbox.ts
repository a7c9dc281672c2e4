/**
 * What the machine sends: builds the messages, fills them with updates within their bounds, keeps
 * the budget of gossip, and collects the effects of one event.
 */
import { MILLISECONDS_PER_SECOND } from '../units.js';
import type {
  MembershipEffect,
  MembershipMessage,
  MembershipOptions,
  NodeAddress,
} from './contract.js';
import type { MembershipKnowledge } from './knowledge.js';
import { type MemberUpdate, updateBytes } from './member.js';

/** Bytes of a datagram besides its updates: IP and UDP headers, type, sequence, MAC. */
const DATAGRAM_OVERHEAD_BYTES = 64;

interface Envelope {
  readonly sender: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
}

/** Effects and messages of the event that is being handled. */
export class Outbox {
  readonly #knowledge: MembershipKnowledge;
  readonly #options: MembershipOptions;
  #effects: MembershipEffect[] = [];
  /** Bytes that gossip may still send now; below zero after a message larger than that. */
  #gossipTokens = 0;

  constructor(knowledge: MembershipKnowledge, options: MembershipOptions) {
    this.#knowledge = knowledge;
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

  /** `nodeId`: whom the ping is for, if known, so that it hears what is wrongly said of it. */
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
    const member = this.#knowledge.table.get(nodeId);
    if (member === undefined) return;
    const envelope = this.#envelope(nodeId);
    this.#gossipTokens -= envelopeBytes(envelope);
    this.#send(member, { type: 'gossip', ...envelope });
  }

  /** Once a gossip period. */
  refillGossip(): void {
    const { gossipPeriodMs, gossipBytesPerSecond } = this.#options;
    const refill = (gossipBytesPerSecond * gossipPeriodMs) / MILLISECONDS_PER_SECOND;
    this.#gossipTokens = Math.min(gossipBytesPerSecond, this.#gossipTokens + refill);
  }

  /** True if there is something to gossip and budget for it. */
  get mayGossip(): boolean {
    return this.#gossipTokens >= 0 && !this.#knowledge.queue.isEmpty;
  }

  #send(to: NodeAddress, message: MembershipMessage): void {
    this.emit({ type: 'send', to: { host: to.host, peerPort: to.peerPort }, message });
  }

  /** A receiver that is wrongly held for silent or dead is told so first. */
  #envelope(receiver: string | undefined): Envelope {
    const { self, table, queue } = this.#knowledge;
    const known = receiver === undefined ? undefined : table.get(receiver);
    const isWronged = known !== undefined && known.liveness !== 'alive';
    const first = isWronged ? [known] : [];
    const room = this.#options.maxUpdateBytes - bytesOf(first);
    return { sender: self, updates: [...first, ...queue.take(room, this.#knowledge.maxSends())] };
  }
}

function bytesOf(updates: readonly MemberUpdate[]): number {
  return updates.reduce((sum, update) => sum + updateBytes(update), 0);
}

function envelopeBytes({ sender, updates }: Envelope): number {
  return bytesOf([sender, ...updates]) + DATAGRAM_OVERHEAD_BYTES;
}
