/**
 * Links between proxies: one multiplexed TCP connection per peer pair and direction of dialling,
 * cbor-x frames, streams with credit-based flow control. What arrives for no open stream is
 * counted and dropped.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';

/** Identifies one life of one node: a restarted node at the same address has a higher incarnation. */
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

/** A value that cbor-x carries; each method's schema is checked by zod where it is received. */
export type WireValue = unknown;

/** One two-way byte stream inside a link, opened by a gateway towards an owner. */
export interface PeerStream {
  /** Globally unique among live streams of this link: link number and stream number. */
  readonly id: string;
  /**
   * Queues bytes for the other side. False when the credit is used up: stop until `onDrain`.
   * Writing past that is allowed for one message but counts against the stream's bound.
   */
  write(data: Buffer): boolean;
  /** A typed message in order with the data (not subject to credit; small). */
  send(message: WireValue): void;
  /** Stops reading: no credit is returned until `resume`. */
  pause(): void;
  resume(): void;
  /** Closes both directions after what was written; idempotent. */
  end(): void;
  /** Closes at once and tells the other side why; idempotent. */
  abort(reason: string): void;
  onData: ((data: Buffer) => void) | undefined;
  onMessage: ((message: WireValue) => void) | undefined;
  onDrain: (() => void) | undefined;
  /** Called exactly once: undefined after an orderly end, an error if aborted or the link was lost. */
  onClose: ((error: MeadowstackError | undefined) => void) | undefined;
}

/** Handles what peers ask of this node. */
export interface PeerHandlers {
  /** A peer opened a stream with this header. */
  onStream(header: WireValue, stream: PeerStream, from: NodeIdentity): void;
  /** A peer called a method; the result goes back. */
  onCall(method: string, body: WireValue, from: NodeIdentity): Promise<WireValue>;
}

/** All links of this node. */
export interface PeerTransport {
  /** Listens; resolves to the bound address. */
  listen(address: PeerAddress): ResultAsync<PeerAddress, MeadowstackError>;
  /**
   * Opens a stream, dialling if there is no link yet. The stream may be written to at once; if
   * the link can't be had, `onClose` tells, and `linkWritten` says whether any byte left.
   */
  openStream(peer: PeerAddress, header: WireValue): PeerStream;
  /** One question and its answer; fails with a typed error on timeout or loss of the link. */
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

/** What the links of a node have done. */
export interface PeerCounters {
  readonly linksOpened: number;
  readonly linksLost: number;
  readonly framesDropped: number;
  readonly framesMalformed: number;
  readonly bytesSent: number;
  readonly bytesReceived: number;
}
