/** Settings of the peer transport, with their defaults and units. */

import type { MeadowstackError } from '../core/errors.js';
import type { NodeIdentity, PeerAddress, PeerHandlers } from './contract.js';

/** Told of every change of a link's state. */
export interface PeerLinkEvents {
  onLinkUp?(peer: PeerAddress, identity: NodeIdentity): void;
  /** The link was lost, or its other side is stopping. */
  onLinkDown?(peer: PeerAddress, error: MeadowstackError): void;
  /** The address answers with another node id or incarnation than it did before. */
  onIdentityChanged?(peer: PeerAddress, previous: NodeIdentity, identity: NodeIdentity): void;
}

/** Bounds and times of a link. */
export interface PeerLinkLimits {
  /** Bytes of one stream and direction that may be under way or unread. */
  readonly windowBytes: number;
  /** Bytes queued by one stream's writer before a further write aborts the stream. */
  readonly maxQueuedBytes: number;
  /** Greatest encoded size of a header, message, call or result. */
  readonly maxMessageBytes: number;
  /** Streams that a peer may hold open on one link. */
  readonly maxStreamsPerLink: number;
  /** Calls of a peer that may be unanswered on one link. */
  readonly maxCallsPerLink: number;
  /** Accepted connections that have not finished the handshake. */
  readonly maxPendingHandshakes: number;
  /** Bytes handed to the socket and not yet taken by the kernel, above which data frames wait. */
  readonly socketBufferBytes: number;
  readonly handshakeTimeoutMs: number;
  /** How often a silent link in use is asked for a sign of life. */
  readonly heartbeatMs: number;
  /** Heartbeat intervals without any byte received after which a link is lost. */
  readonly missedHeartbeats: number;
  /** A dialled link without streams and calls is closed after this time. */
  readonly idleCloseMs: number;
  readonly backOffInitialMs: number;
  readonly backOffMaxMs: number;
}

/** Limits unless a test asks otherwise. */
export const DEFAULT_LIMITS: PeerLinkLimits = {
  windowBytes: 256 * 1024,
  maxQueuedBytes: 16 * 1024 * 1024,
  maxMessageBytes: 1024 * 1024,
  maxStreamsPerLink: 16_384,
  maxCallsPerLink: 1024,
  maxPendingHandshakes: 256,
  socketBufferBytes: 128 * 1024,
  handshakeTimeoutMs: 3000,
  heartbeatMs: 1000,
  missedHeartbeats: 3,
  idleCloseMs: 60_000,
  backOffInitialMs: 20,
  backOffMaxMs: 2000,
};

/** What the transport is made of. */
export interface PeerTransportOptions {
  readonly identity: NodeIdentity;
  readonly handlers: PeerHandlers;
  /** Shared by all nodes; without it any process that can connect may open links. */
  readonly clusterSecret?: Buffer;
  readonly limits?: Partial<PeerLinkLimits>;
  readonly events?: PeerLinkEvents;
  /** Uniform in [0, 1); spreads reconnects. Math.random unless a test gives its own. */
  readonly random?: () => number;
}
