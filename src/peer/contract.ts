/**
 * Links between proxies: one multiplexed TCP connection per pair of peers and dialling direction,
 * with cbor-x frames and streams with credit-based flow control. Frames for a stream that isn't open
 * are counted and dropped.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';

/** Identifies one incarnation of a node; a restarted node at the same address has a higher incarnation. */
export interface NodeIdentity {
  readonly nodeId: string;
  /** Milliseconds since the Unix epoch at process start. */
  readonly incarnation: number;
}

/** Where a peer listens for links. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** A value that cbor-x can encode; the receiver validates it with the method's zod schema. */
export type WireValue = unknown;

/** A bidirectional byte stream within a link, opened by a gateway to an owner. */
export interface PeerStream {
  /** Link number and stream number; unique among the open streams of this node. */
  readonly id: string;
  /**
   * Queues bytes for the other side. False when the credit is used up: stop writing until `onDrain`.
   * One more message may be written after that, but counts against the stream's queue limit.
   */
  write(data: Buffer): boolean;
  /** Sends a small typed message, in order with the data and not subject to credit. */
  send(message: WireValue): void;
  /** Stops reading: no credit is returned until `resume`. */
  pause(): void;
  resume(): void;
  /** Closes both directions once the queued data is sent; idempotent. */
  end(): void;
  /** Closes at once and sends the reason to the other side; idempotent. */
  abort(reason: string): void;
  onData: ((data: Buffer) => void) | undefined;
  onMessage: ((message: WireValue) => void) | undefined;
  onDrain: (() => void) | undefined;
  /** Called exactly once: with undefined after `end`, with an error if aborted or the link was lost. */
  onClose: ((error: MeadowstackError | undefined) => void) | undefined;
}

/** Handles streams and calls from peers. */
export interface PeerHandlers {
  /** A peer opened a stream with this header. */
  onStream(header: WireValue, stream: PeerStream, from: NodeIdentity): void;
  /** A peer called a method; the returned value is sent as the response. */
  onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue>;
}

/** All links of this node. */
export interface PeerTransport {
  /** Listens; resolves to the bound address. */
  listen(address: PeerAddress): ResultAsync<PeerAddress, MeadowstackError>;
  /**
   * Opens a stream and dials if there is no link yet. The stream may be written to at once. If no
   * link can be established, `onClose` gets a `PeerError`, whose `anyBytesWritten` tells whether any byte was sent.
   */
  openStream(peer: PeerAddress, header: WireValue): PeerStream;
  /** Calls a method and resolves to its response; fails with a typed error on timeout or loss of the link. */
  call(
    peer: PeerAddress,
    method: string,
    body: WireValue,
    timeoutMs: number,
  ): ResultAsync<WireValue, MeadowstackError>;
  close(): Promise<void>;
  /** Counters for metrics: frames dropped, malformed, links opened and lost, bytes each way. */
  counters(): PeerCounters;
}

/** Counters of all links of a node since its start. */
export interface PeerCounters {
  readonly linksOpened: number;
  readonly linksLost: number;
  /** Handshakes with nodes of another fleet. */
  readonly foreignFleets: number;
  readonly framesDropped: number;
  readonly framesMalformed: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}
