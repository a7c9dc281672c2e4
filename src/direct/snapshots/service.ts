/**
 * Exchanges the directory with other nodes over peer links: responds to their requests from memory, and
 * requests newer parts from them while the store does not provide them.
 */
import type { DirectoryVersions } from '../../core/directory/snapshot.js';
import type { MeadowstackError } from '../../core/errors.js';
import { fullBucket, refill, type TokenBucket, takeToken } from '../../core/limits/token-bucket.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerAddress, PeerHandlers, PeerStream, WireValue } from '../../peer/contract.js';
import { UnknownMethodError } from '../../peer/errors.js';
import { TcpPeerTransport } from '../../peer/transport.js';
import { SnapshotBusyError } from './errors.js';
import {
  type InstanceSnapshot,
  parseSnapshot,
  parseSnapshotRequest,
  SNAPSHOT_METHOD,
} from './messages.js';
import { PeerList } from './peer-list.js';

/** The store has this time to respond first; peers get requests only if it has not. */
const FIRST_REQUEST_DELAY_MS = 60;
/** Pause between requests while this node has no directory at all. */
const EMPTY_PAUSE_MS = 150;
/** Pause between requests once this node has a directory. */
const REFRESH_PAUSE_MS = 600;
/**
 * Probability that a node kept current by the store sends a request to one other node after a pause. A node
 * that has restarted and is cut off from the store learns from it an address for its own requests.
 */
const GREETING_PROBABILITY = 0.35;
const REQUEST_TIMEOUT_MS = 800;
/** Maximum concurrent requests while this node has no directory at all. */
const MAX_PEERS_WHILE_EMPTY = 8;
/**
 * Maximum concurrent requests once this node has a directory; the next ones follow soon. With eight, each node that is cut
 * off from the store opens links to all others. Six seconds after a third of 24 gateways on one machine was cut off, that
 * took 62 (nodes cut off) and 65 (other nodes) ms of processor time per second, against 52 and 56 with two; 38 is normal.
 */
const MAX_PEERS_ON_REFRESH = 2;
/** While no peer that responded has the store: only recent reports of all nodes prove that it is unavailable to all. */
const MAX_PEERS_WITHOUT_STORE = 4;
const PAUSE_WITHOUT_STORE_MS = 300;
/** Limit of this node's responses: burst and rate. */
const RESPONSE_BUCKET = { capacity: 20, tokensPerSecond: 20 } as const;
/** The store limits a configuration to 1 MiB; the entries of some hundred instances are added to it. */
const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;
/** Requests for permits are as frequent as the callers' operations. */
const MAX_CALLS_PER_LINK = 64;
const MAX_PENDING_HANDSHAKES = 32;
/** A machine without power does not respond; it may be back before a longer timeout ends. */
const HANDSHAKE_TIMEOUT_MS = 500;
const MAX_BACKOFF_MS = 300;
/** A node watches a few prefixes through another node. */
const MAX_STREAMS_PER_LINK = 8;
/** A follower detects an unresponsive reader by itself; this detects followers that are gone. */
const LINK_HEARTBEAT_PERIOD_MS = 2000;

/** The node's own directory, as the exchange uses it. */
export interface SnapshotNode {
  /** True while the store does not keep this node's directory current, so that peers' snapshots are needed. */
  needsSnapshot(): boolean;
  /** Addresses of other nodes according to the store; empty while it does not respond. */
  peers(): readonly PeerAddress[];
  knownVersions(): DirectoryVersions;
  /** The parts of this node's directory that are newer; undefined if it has no directory itself. */
  describe(known: DirectoryVersions): InstanceSnapshot | undefined;
  /** Applies a peer's response to a request sent at `requestedAt`. */
  adopt(snapshot: InstanceSnapshot, requestedAt: Milliseconds): void;
  /** Records how current the peer's list of members is, after its instances have been adopted. */
  recordMemberList(snapshot: InstanceSnapshot, requestedAt: Milliseconds): void;
}

/** What a peer responded to a request: whether it has a directory, and whether it follows the store. */
interface PeerResponse {
  readonly hasDirectory: boolean;
  readonly hasStore: boolean;
}

const NO_RESPONSE: PeerResponse = { hasDirectory: false, hasStore: false };

export interface PeerSnapshotsOptions {
  readonly nodeName: string;
  /** Address on which this node accepts links. */
  readonly own: PeerAddress;
  readonly seeds: readonly PeerAddress[];
  /** Identifier common to all nodes of a deployment; links from other deployments are refused. Not a secret. */
  readonly deployment: string;
  readonly node: SnapshotNode;
  /** Another node subscribes to a prefix of the store through this one. */
  onStream(header: WireValue, stream: PeerStream): void;
  /** Responds to another node's call of another method; undefined if the method is unknown. */
  onCall(method: string, body: WireValue, requesterId: string): WireValue | undefined;
  now(): Milliseconds;
  /** A number in [0, 1). */
  random(): number;
}

/** Counters since the process started, besides the links' own counters. */
export interface SnapshotCounters {
  asked: number;
  /** Requests of peers that were answered. */
  answered: number;
  /** Malformed responses of peers. */
  malformed: number;
  adopted: number;
}

export class PeerSnapshots {
  readonly counters: SnapshotCounters = { asked: 0, answered: 0, malformed: 0, adopted: 0 };
  readonly transport: TcpPeerTransport;
  readonly #peers: PeerList;
  #bucket: TokenBucket;
  #timer: NodeJS.Timeout | undefined;
  /** Fraction of the peer list at which the selection for requests starts, in [0, 1). */
  #startFraction = 0;
  /** None of the peers that were asked last has the store. */
  #areAllWithoutStore = false;
  #isStopped = false;

  constructor(private readonly options: PeerSnapshotsOptions) {
    this.#peers = new PeerList(options.own, options.seeds);
    this.#bucket = fullBucket(RESPONSE_BUCKET, options.now());
    this.#startFraction = options.random();
    this.transport = new TcpPeerTransport({
      identity: { nodeId: options.nodeName, incarnation: Date.now() },
      handlers: this.#handlers(),
      clusterSecret: Buffer.from(options.deployment),
      limits: {
        maxMessageBytes: MAX_MESSAGE_BYTES,
        maxCallsPerLink: MAX_CALLS_PER_LINK,
        maxPendingHandshakes: MAX_PENDING_HANDSHAKES,
        handshakeTimeoutMs: HANDSHAKE_TIMEOUT_MS,
        backoffMaxMs: MAX_BACKOFF_MS,
        maxStreamsPerLink: MAX_STREAMS_PER_LINK,
        heartbeatPeriodMs: LINK_HEARTBEAT_PERIOD_MS,
      },
      random: () => options.random(),
    });
  }

  /** Number of other nodes that may get requests. */
  get peersKnown(): number {
    return this.#peers.size;
  }

  /** Starts to respond to requests, and to send them if the store does not respond. */
  async start(): Promise<void> {
    this.#scheduleRequest(FIRST_REQUEST_DELAY_MS);
    const listening = await this.transport.listen(this.options.own);
    if (listening.isErr()) throw listening.error;
  }

  stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    return this.transport.close();
  }

  #scheduleRequest(delayMs: Milliseconds): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => void this.#requestFromPeers(), delayMs);
    this.#timer.unref();
  }

  async #requestFromPeers(): Promise<void> {
    const { node, random } = this.options;
    for (const peer of node.peers()) this.#peers.add(peer);
    const isGreeting = !node.needsSnapshot() && random() < GREETING_PROBABILITY;
    const isEmpty = node.knownVersions().instancesRevision === 0;
    const count = node.needsSnapshot() ? this.#maxPeers(isEmpty) : Number(isGreeting);
    if (isEmpty || isGreeting) this.#startFraction = random();
    const responses = await Promise.all(
      this.#peers.select(count, this.#startFraction).map((peer) => this.#requestFrom(peer)),
    );
    // Peers that responded get the next requests too, over the open links. Without the store they can't report new
    // members, so that others are asked, which may follow it.
    const isUseful = node.needsSnapshot()
      ? responses.some(({ hasStore }) => hasStore)
      : responses.some(({ hasDirectory }) => hasDirectory);
    if (!isUseful) this.#startFraction = random();
    this.#areAllWithoutStore = node.needsSnapshot() && !isUseful;
    this.#scheduleRequest(this.#pauseMs(isEmpty) * (0.5 + random()));
  }

  #maxPeers(isEmpty: boolean): number {
    if (isEmpty) return MAX_PEERS_WHILE_EMPTY;
    return this.#areAllWithoutStore ? MAX_PEERS_WITHOUT_STORE : MAX_PEERS_ON_REFRESH;
  }

  #pauseMs(isEmpty: boolean): Milliseconds {
    if (isEmpty) return EMPTY_PAUSE_MS;
    return this.#areAllWithoutStore ? PAUSE_WITHOUT_STORE_MS : REFRESH_PAUSE_MS;
  }

  /** Adopts each response as it arrives, since the first one lets this node serve. */
  async #requestFrom(peer: PeerAddress): Promise<PeerResponse> {
    const { node, own } = this.options;
    this.counters.asked += 1;
    const requestedAt = this.options.now();
    const request = { known: node.knownVersions(), from: own };
    const response = await this.transport.call(peer, SNAPSHOT_METHOD, request, REQUEST_TIMEOUT_MS);
    if (this.#isStopped || response.isErr() || response.value === null) return NO_RESPONSE;
    if (!node.needsSnapshot()) return { hasDirectory: true, hasStore: false };
    return parseSnapshot(response.value).match(
      (snapshot) => {
        this.counters.adopted += 1;
        node.adopt(snapshot, requestedAt);
        node.recordMemberList(snapshot, requestedAt);
        return { hasDirectory: true, hasStore: snapshot.members?.hasStore === true };
      },
      () => {
        this.counters.malformed += 1;
        return { hasDirectory: true, hasStore: false };
      },
    );
  }

  #handlers(): PeerHandlers {
    return {
      onStream: (header, stream) => this.options.onStream(header, stream),
      onCall: async (method, body, { nodeId }) =>
        this.options.onCall(method, body, nodeId) ?? this.#respond(method, body),
    };
  }

  /** Null if this node has no directory. Throws typed errors, which are returned as the call's failure. */
  #respond(method: string, body: WireValue): InstanceSnapshot | null {
    if (method !== SNAPSHOT_METHOD) throw new UnknownMethodError(method);
    const request = parseSnapshotRequest(body);
    if (request.isErr()) throw request.error satisfies MeadowstackError;
    this.#takeResponseToken();
    const { known, from } = request.value;
    this.#peers.add(from);
    this.counters.answered += 1;
    this.#requestIfAhead(from, known);
    return this.options.node.describe(known) ?? null;
  }

  /** The requester may have a newer directory when none of the seeds has: it gets a request in return. */
  #requestIfAhead(peer: PeerAddress, theirs: DirectoryVersions): void {
    const { node } = this.options;
    const own = node.knownVersions();
    const isAhead =
      theirs.version > own.version || theirs.instancesRevision > own.instancesRevision;
    if (isAhead && node.needsSnapshot()) void this.#requestFrom(peer);
  }

  #takeResponseToken(): void {
    const remaining = takeToken(refill(this.#bucket, RESPONSE_BUCKET, this.options.now()));
    if (remaining === undefined) throw new SnapshotBusyError('too many questions for a snapshot');
    this.#bucket = remaining;
  }
}
