/** Options of the peer transport, with their defaults. */

import type { MeadowstackError } from '../core/errors.js';
import type { NodeIdentity, PeerAddress, PeerHandlers } from './contract.js';

/** Callbacks for changes in the state of links. */
export interface PeerLinkEvents {
  onLinkUp?(peer: PeerAddress, identity: NodeIdentity): void;
  /** The link was lost, or its other side is stopping. */
  onLinkDown?(peer: PeerAddress, error: MeadowstackError): void;
  /** A node of another fleet dialled this one, or listens at the dialled address (`peer`). */
  onForeignFleet?(identity: NodeIdentity, peer: PeerAddress | undefined): void;
  /** The node at this address has another node id or incarnation than before. */
  onIdentityChanged?(peer: PeerAddress, previous: NodeIdentity, identity: NodeIdentity): void;
}

/** Limits and timing of a link. */
export interface PeerLinkLimits {
  /** Maximum number of bytes in flight or unread, per stream and direction. */
  readonly windowBytes: number;
  /** A write to a stream that has more bytes queued than this aborts the stream. */
  readonly maxQueuedBytes: number;
  /** Maximum encoded size of a header, message, call or result. */
  readonly maxMessageBytes: number;
  /** Maximum number of open streams of a peer on one link. */
  readonly maxStreamsPerLink: number;
  /** Maximum number of pending calls of a peer on one link. */
  readonly maxCallsPerLink: number;
  /** Maximum number of accepted connections that have not completed the handshake. */
  readonly maxPendingHandshakes: number;
  /** Data frames wait while the socket buffers more bytes than this (not yet passed to the kernel). */
  readonly socketBufferBytes: number;
  readonly handshakeTimeoutMs: number;
  /** Interval between pings on a link with open streams or calls. */
  readonly heartbeatPeriodMs: number;
  /** Number of heartbeat periods without any byte received after which a link counts as lost. */
  readonly maxMissedHeartbeats: number;
  /** A dialled link is closed after this time without streams and calls. */
  readonly idleTimeoutMs: number;
  readonly backoffInitialMs: number;
  readonly backoffMaxMs: number;
}

/** Default limits and timing of a link. */
export const DEFAULT_PEER_LINK_LIMITS: PeerLinkLimits = {
  windowBytes: 256 * 1024,
  maxQueuedBytes: 16 * 1024 * 1024,
  maxMessageBytes: 1024 * 1024,
  maxStreamsPerLink: 16_384,
  maxCallsPerLink: 1024,
  maxPendingHandshakes: 256,
  socketBufferBytes: 128 * 1024,
  handshakeTimeoutMs: 3000,
  heartbeatPeriodMs: 1000,
  maxMissedHeartbeats: 3,
  idleTimeoutMs: 60_000,
  backoffInitialMs: 20,
  backoffMaxMs: 2000,
};

/** Options of the peer transport. */
export interface PeerTransportOptions {
  readonly identity: NodeIdentity;
  readonly handlers: PeerHandlers;
  /** Secret shared by all nodes; without it, any process that can connect may open links. */
  readonly clusterSecret?: Buffer;
  /** Tags of this node's fleet, see `fleet-tags.ts`; without them, nodes of other fleets are not recognized. */
  readonly fleet?: readonly string[];
  readonly limits?: Partial<PeerLinkLimits>;
  readonly events?: PeerLinkEvents;
  /** Returns uniformly distributed numbers in [0, 1), as jitter for reconnects. Default: Math.random. */
  readonly random?: () => number;
}
