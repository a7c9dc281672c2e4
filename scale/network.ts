/**
 * The network between hollow nodes: datagrams and calls, encoded by the real codecs, delayed by the
 * latency between zones, lost at partitions and stopped nodes, and counted as they would be on the wire.
 */
import type { Random } from '../bench/load/random.js';
import type { NodeAddress } from '../src/core/membership/contract.js';
import type { Milliseconds } from '../src/core/units.js';
import { decodeValue, encodeValue } from '../src/peer/codec.js';
import type { NodeIdentity, WireValue } from '../src/peer/contract.js';
import { HEADER_BYTES } from '../src/peer/frame.js';
import { countHandshakeBytes, LinkTable } from './links.js';
import type { ControlRole, Mechanism, Meters } from './meters.js';
import type { VirtualClock } from './virtual-clock.js';
import { latencyBetween } from './zones.js';

/** IPv4 and UDP headers. */
const DATAGRAM_HEADER_BYTES = 28;
/** IPv4 and TCP headers with timestamps; each message is acknowledged by one such header. */
const SEGMENT_HEADER_BYTES = 52;
const SEGMENT_PAYLOAD_BYTES = 1448;
/** Fraction of datagrams lost without a fault. */
const DATAGRAM_LOSS_FRACTION = 0.0005;

/** A node as the network sees it. */
export interface NetworkNode {
  readonly identity: NodeIdentity;
  readonly address: NodeAddress;
  readonly zoneIndex: number;
  readonly isRunning: boolean;
  readonly isPaused: boolean;
  /** Defers an arrival until the paused node resumes. */
  deferUntilResumed(arrival: () => void): void;
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
  onResponse(response: WireValue): void;
  onFailure(): void;
}

export interface NetworkOptions {
  readonly clock: VirtualClock;
  readonly random: Random;
  readonly meters: Meters;
}

export class HollowNetwork {
  /** True if all traffic between two zones is lost. */
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

  /** Attaches a node, or a new incarnation of one, to its address. */
  attach(node: NetworkNode): void {
    this.#nodes.set(formatAddress(node.address), node);
  }

  sendDatagram(from: NetworkNode, to: NodeAddress, datagram: Buffer): void {
    this.#meters.recordSent('probes-and-gossip', datagram.length + DATAGRAM_HEADER_BYTES);
    const target = this.#nodes.get(formatAddress(to));
    if (target === undefined || this.#random.fraction() < DATAGRAM_LOSS_FRACTION) return;
    this.#clock.after(this.#latency(from, target), () => {
      if (this.#isReachable(from, target))
        deliverOrDefer(target, () => target.receiveDatagram(datagram));
    });
  }

  call(from: NetworkNode, call: NetworkCall): void {
    const { mechanism, role } = call;
    const request = this.#meters.measure(role, () => encodeCall(call));
    const target = this.#nodes.get(formatAddress(call.to));
    const fail = (): void => this.#fail(from, call);
    if (target === undefined) {
      fail();
      return;
    }
    const dialMs = this.#dial(from, target);
    this.#meters.recordSent(mechanism, countSegmentBytes(request.length + HEADER_BYTES));
    this.#clock.after(dialMs + this.#latency(from, target), () => {
      if (!this.#isReachable(from, target)) fail();
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
    deliverOrDefer(target, () => {
      const response = this.#handleCall(from, target, call, request);
      this.#clock.after(this.#latency(target, from), () => {
        if (settled || !this.#isReachable(target, from)) return;
        settled = true;
        const value = this.#meters.measure(call.role, () => decodeValue(response));
        deliverOrDefer(from, () => call.onResponse(value));
      });
    });
  }

  #handleCall(from: NetworkNode, target: NetworkNode, call: NetworkCall, request: Buffer): Buffer {
    const { role, mechanism } = call;
    const body = this.#meters.measure(role, () => decodeCallBody(request));
    const response = target.receiveCall(call.method, body, from.identity);
    const encoded = this.#meters.measure(role, () =>
      encodeValue(response, Number.POSITIVE_INFINITY),
    );
    this.#meters.recordSent(mechanism, countSegmentBytes(encoded.length + HEADER_BYTES));
    return encoded;
  }

  #fail(from: NetworkNode, call: NetworkCall): void {
    this.#clock.after(call.timeoutMs, () => {
      if (from.isRunning) deliverOrDefer(from, () => call.onFailure());
    });
  }

  /** Opens a link if there is none; returns the time that this takes. */
  #dial(from: NetworkNode, target: NetworkNode): Milliseconds {
    if (!this.#links.recordUse(from.identity.nodeId, target.identity.nodeId)) return 0;
    const bytes = this.#meters.measure('links', () =>
      countHandshakeBytes(from.identity, target.identity),
    );
    this.#meters.recordSent('links', bytes);
    // Two round trips: one for the connection, one for the handshake.
    return 2 * (this.#latency(from, target) + this.#latency(target, from));
  }

  #latency(from: NetworkNode, to: NetworkNode): Milliseconds {
    return latencyBetween(from.zoneIndex, to.zoneIndex, this.#random);
  }

  #isReachable(from: NetworkNode, to: NetworkNode): boolean {
    return to.isRunning && !this.isCut(from.zoneIndex, to.zoneIndex);
  }
}

function deliverOrDefer(node: NetworkNode, arrival: () => void): void {
  if (!node.isRunning) return;
  if (node.isPaused) node.deferUntilResumed(arrival);
  else arrival();
}

function encodeCall({ method, body }: NetworkCall): Buffer {
  return encodeValue([method, body], Number.POSITIVE_INFINITY);
}

function decodeCallBody(request: Buffer): WireValue {
  const decoded = decodeValue(request) as readonly [string, WireValue];
  return decoded[1];
}

/** Bytes of a message over TCP, with the headers of its segments and of one acknowledgement. */
function countSegmentBytes(payloadBytes: number): number {
  const segments = Math.ceil(payloadBytes / SEGMENT_PAYLOAD_BYTES);
  return payloadBytes + (segments + 1) * SEGMENT_HEADER_BYTES;
}

function formatAddress({ host, peerPort }: NodeAddress): string {
  return `${host}:${peerPort}`;
}
