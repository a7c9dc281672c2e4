/**
 * The network between hollow nodes: datagrams and calls, encoded by the real codecs, delayed by
 * place, lost at cuts and at dead nodes, and counted as they would be on the wire.
 */
import type { Random } from '../bench/load/random.js';
import type { NodeAddress } from '../src/core/membership/contract.js';
import type { Milliseconds } from '../src/core/units.js';
import { decodeValue, encodeValue } from '../src/peer/codec.js';
import type { NodeIdentity, WireValue } from '../src/peer/contract.js';
import { HEADER_BYTES } from '../src/peer/frame.js';
import { handshakeBytes, LinkTable } from './links.js';
import type { ControlRole, Mechanism, Meters } from './meters.js';
import { latencyBetween } from './places.js';
import type { VirtualClock } from './virtual-clock.js';

/** IPv4 and UDP headers. */
const DATAGRAM_HEADER_BYTES = 28;
/** IPv4 and TCP headers with timestamps; each segment is answered by one such header. */
const SEGMENT_HEADER_BYTES = 52;
const SEGMENT_PAYLOAD_BYTES = 1448;
/** Datagrams lost without a fault. */
const LOSS_SHARE = 0.0005;

/** What the network knows of a node. */
export interface NetworkNode {
  readonly identity: NodeIdentity;
  readonly address: NodeAddress;
  readonly zoneIndex: number;
  readonly isRunning: boolean;
  readonly isPaused: boolean;
  /** Keeps an arrival until the node goes on. */
  keepForLater(arrival: () => void): void;
  receiveDatagram(datagram: Buffer): void;
  receiveCall(method: string, body: WireValue, from: NodeIdentity): WireValue;
}

/** One call between nodes. */
export interface NetworkCall {
  readonly to: NodeAddress;
  readonly method: string;
  readonly body: WireValue;
  readonly timeoutMs: Milliseconds;
  readonly mechanism: Mechanism;
  readonly role: ControlRole;
  onAnswer(answer: WireValue): void;
  onFailure(): void;
}

export interface NetworkOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly meters: Meters;
}

export class HollowNetwork {
  /** True if nothing passes between two zones. */
  isCut: (fromZone: number, toZone: number) => boolean = () => false;
  readonly #clock: VirtualClock;
  readonly #random: Random;
  readonly #meters: Meters;
  readonly #links: LinkTable;
  readonly #nodes = new Map<string, NetworkNode>();

  constructor({ clock, random, meters }: NetworkOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#meters = meters;
    this.#links = new LinkTable(() => clock.now);
  }

  /** Puts a node, or a new life of one, at its address. */
  attach(node: NetworkNode): void {
    this.#nodes.set(keyOf(node.address), node);
  }

  sendDatagram(from: NetworkNode, to: NodeAddress, datagram: Buffer): void {
    this.#meters.sent('probes-and-gossip', datagram.length + DATAGRAM_HEADER_BYTES);
    const target = this.#nodes.get(keyOf(to));
    if (target === undefined || this.#random.fraction() < LOSS_SHARE) return;
    this.#clock.after(this.#latency(from, target), () => {
      if (this.#passes(from, target)) arrive(target, () => target.receiveDatagram(datagram));
    });
  }

  call(from: NetworkNode, call: NetworkCall): void {
    const { mechanism, role } = call;
    const request = this.#meters.timed(role, () => encodeCall(call));
    const target = this.#nodes.get(keyOf(call.to));
    const fail = (): void => this.#fail(from, call);
    if (target === undefined) {
      fail();
      return;
    }
    const dialMs = this.#dial(from, target);
    this.#meters.sent(mechanism, segmentBytes(request.length + HEADER_BYTES));
    this.#clock.after(dialMs + this.#latency(from, target), () => {
      if (!this.#passes(from, target)) fail();
      else this.#deliver(from, target, call, request);
    });
  }

  #deliver(from: NetworkNode, target: NetworkNode, call: NetworkCall, request: Buffer): void {
    let settled = false;
    if (target.isPaused) {
      this.#clock.after(call.timeoutMs, () => {
        if (!settled && from.isRunning) call.onFailure();
        settled = true;
      });
    }
    arrive(target, () => {
      const answer = this.#answer(from, target, call, request);
      this.#clock.after(this.#latency(target, from), () => {
        if (settled || !this.#passes(target, from)) return;
        settled = true;
        const value = this.#meters.timed(call.role, () => decodeValue(answer));
        arrive(from, () => call.onAnswer(value));
      });
    });
  }

  #answer(from: NetworkNode, target: NetworkNode, call: NetworkCall, request: Buffer): Buffer {
    const { role, mechanism } = call;
    const body = this.#meters.timed(role, () => decodeCallBody(request));
    const answer = target.receiveCall(call.method, body, from.identity);
    const encoded = this.#meters.timed(role, () => encodeValue(answer, Number.POSITIVE_INFINITY));
    this.#meters.sent(mechanism, segmentBytes(encoded.length + HEADER_BYTES));
    return encoded;
  }

  #fail(from: NetworkNode, call: NetworkCall): void {
    this.#clock.after(call.timeoutMs, () => {
      if (from.isRunning) arrive(from, () => call.onFailure());
    });
  }

  /** Opens a link if there is none; gives the time that it takes. */
  #dial(from: NetworkNode, target: NetworkNode): Milliseconds {
    if (!this.#links.use(from.identity.nodeId, target.identity.nodeId)) return 0;
    const bytes = this.#meters.timed('links', () => handshakeBytes(from.identity, target.identity));
    this.#meters.sent('links', bytes);
    // Two round trips: one for the connection, one for the handshake.
    return 2 * (this.#latency(from, target) + this.#latency(target, from));
  }

  #latency(from: NetworkNode, to: NetworkNode): Milliseconds {
    return latencyBetween(from.zoneIndex, to.zoneIndex, this.#random);
  }

  #passes(from: NetworkNode, to: NetworkNode): boolean {
    return to.isRunning && !this.isCut(from.zoneIndex, to.zoneIndex);
  }
}

function arrive(node: NetworkNode, arrival: () => void): void {
  if (!node.isRunning) return;
  if (node.isPaused) node.keepForLater(arrival);
  else arrival();
}

function encodeCall({ method, body }: NetworkCall): Buffer {
  return encodeValue([method, body], Number.POSITIVE_INFINITY);
}

function decodeCallBody(request: Buffer): WireValue {
  const decoded = decodeValue(request) as readonly [string, WireValue];
  return decoded[1];
}

/** Bytes of a message over TCP with the headers of its segments and of their acknowledgement. */
function segmentBytes(payloadBytes: number): number {
  const segments = Math.ceil(payloadBytes / SEGMENT_PAYLOAD_BYTES);
  return payloadBytes + (segments + 1) * SEGMENT_HEADER_BYTES;
}

function keyOf({ host, peerPort }: NodeAddress): string {
  return `${host}:${peerPort}`;
}
