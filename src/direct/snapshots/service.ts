/**
 * Exchanges the directory with other nodes over peer links: answers their questions from memory, and
 * asks them for what is newer for as long as the store does not tell it.
 */
import type { DirectoryVersions } from '../../core/directory/snapshot.js';
import type { MeadowstackError } from '../../core/errors.js';
import { fullBucket, refill, type TokenBucket, takeToken } from '../../core/limits/token-bucket.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerAddress, PeerHandlers, PeerStream, WireValue } from '../../peer/contract.js';
import { UnknownMethodError } from '../../peer/errors.js';
import { TcpPeerTransport } from '../../peer/transport.js';
import { SnapshotBusyError } from './errors.js';
import { type InstanceSnapshot, parseQuestion, parseSnapshot, SNAPSHOT_METHOD } from './form.js';
import { PeerList } from './peer-list.js';

/** The store is given so long to answer first: peers are asked only where it has not. */
const FIRST_QUESTION_MS = 60;
/** Pause between questions while this node has no directory at all. */
const EMPTY_PAUSE_MS = 150;
/** The same, once it has one. */
const REFRESH_PAUSE_MS = 600;
/**
 * Of the pauses at a node that the store keeps current, this share ends with a question to one other
 * node: one that has started anew and hears nothing of the store learns from it whom it can ask.
 */
const GREETING_SHARE = 0.35;
const QUESTION_TIMEOUT_MS = 800;
/** Addresses that are asked at once while this node has no directory at all. */
const MOST_ASKED = 8;
/**
 * The same once it has one: another answer follows soon. Eight opened links from each node that the store did not hear to
 * all others: 62 and 65 ms of processor time a second (cut off, and not) six seconds after a third of 24 gateways on one
 * machine was cut off, and 52 and 56 with two (one run each, 38 in calm).
 */
const ASKED_AGAIN = 2;
/** Answers of this node: so many at once, and so many a second. */
const ANSWER_BUCKET = { capacity: 20, tokensPerSecond: 20 } as const;
/** A configuration is at most 1 MiB at the store; entries of some hundred instances come with it. */
const MAX_MESSAGE_BYTES = 2 * 1024 * 1024;
/** Questions for permits come with the callers' operations. */
const MAX_CALLS_PER_LINK = 64;
const MAX_PENDING_HANDSHAKES = 32;
/** A machine without power answers nothing; it may be back before a longer wait is over. */
const HANDSHAKE_TIMEOUT_MS = 500;
const BACK_OFF_MAX_MS = 300;
/** A node follows a few prefixes through another. */
const MAX_STREAMS_PER_LINK = 8;
/** Who follows notices a reader's silence by itself; this finds followers that are gone. */
const LINK_HEARTBEAT_MS = 2000;

/** What the exchange needs of the node. */
export interface SnapshotNode {
  /** True while the store does not keep this node's directory current. */
  isWanted(): boolean;
  /** Where the store says that other nodes answer; none while it says nothing. */
  peers(): readonly PeerAddress[];
  known(): DirectoryVersions;
  /** What this node knows that is newer; undefined if it has no directory itself. */
  describe(known: DirectoryVersions): InstanceSnapshot | undefined;
  /** Takes an answer of a peer to what was asked at a time. */
  adopt(snapshot: InstanceSnapshot, askedAt: Milliseconds): void;
}

export interface PeerSnapshotsOptions {
  readonly nodeName: string;
  /** Where this node answers. */
  readonly own: PeerAddress;
  readonly seeds: readonly PeerAddress[];
  /** The same on all nodes of a deployment; links from elsewhere are refused. No secret. */
  readonly deployment: string;
  readonly node: SnapshotNode;
  /** A node wants to follow a prefix of the store through this one. */
  onStream(header: WireValue, stream: PeerStream): void;
  /** Answers a node's questions of other methods; undefined if it knows none of this name. */
  onCall(method: string, body: WireValue, asker: string): WireValue | undefined;
  now(): Milliseconds;
  /** A number in [0, 1). */
  random(): number;
}

/** Counted since the start, beside the links' own counters. */
export interface SnapshotCounters {
  asked: number;
  /** Questions of peers that were answered. */
  answered: number;
  /** Answers of peers that were malformed. */
  malformed: number;
  adopted: number;
}

export class PeerSnapshots {
  readonly counters: SnapshotCounters = { asked: 0, answered: 0, malformed: 0, adopted: 0 };
  readonly transport: TcpPeerTransport;
  readonly #peers: PeerList;
  #bucket: TokenBucket;
  #timer: NodeJS.Timeout | undefined;
  /** Where in the list of peers the questions begin, in [0, 1). */
  #place = 0;
  #isStopped = false;

  constructor(private readonly options: PeerSnapshotsOptions) {
    this.#peers = new PeerList(options.own, options.seeds);
    this.#bucket = fullBucket(ANSWER_BUCKET, options.now());
    this.#place = options.random();
    this.transport = new TcpPeerTransport({
      identity: { nodeId: options.nodeName, incarnation: Date.now() },
      handlers: this.#handlers(),
      clusterSecret: Buffer.from(options.deployment),
      limits: {
        maxMessageBytes: MAX_MESSAGE_BYTES,
        maxCallsPerLink: MAX_CALLS_PER_LINK,
        maxPendingHandshakes: MAX_PENDING_HANDSHAKES,
        handshakeTimeoutMs: HANDSHAKE_TIMEOUT_MS,
        backoffMaxMs: BACK_OFF_MAX_MS,
        maxStreamsPerLink: MAX_STREAMS_PER_LINK,
        heartbeatPeriodMs: LINK_HEARTBEAT_MS,
      },
      random: () => options.random(),
    });
  }

  /** Other nodes that may be asked. */
  get peersKnown(): number {
    return this.#peers.size;
  }

  /** Begins to answer, and to ask if the store keeps silent. */
  async start(): Promise<void> {
    this.#askAfter(FIRST_QUESTION_MS);
    const listening = await this.transport.listen(this.options.own);
    if (listening.isErr()) throw listening.error;
  }

  stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    return this.transport.close();
  }

  #askAfter(delayMs: Milliseconds): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => void this.#askOthers(), delayMs);
    this.#timer.unref();
  }

  async #askOthers(): Promise<void> {
    const { node, random } = this.options;
    for (const peer of node.peers()) this.#peers.noteKnown(peer);
    const isGreeting = !node.isWanted() && random() < GREETING_SHARE;
    const isEmpty = node.known().instancesRevision === 0;
    const wanted = isEmpty ? MOST_ASKED : ASKED_AGAIN;
    const atMost = node.isWanted() ? wanted : Number(isGreeting);
    if (isEmpty || isGreeting) this.#place = random();
    const answers = await Promise.all(
      this.#peers.toAsk(atMost, this.#place).map((peer) => this.#ask(peer)),
    );
    // Who answered is asked again, over the link that is there.
    if (!answers.includes(true)) this.#place = random();
    const pauseMs = isEmpty ? EMPTY_PAUSE_MS : REFRESH_PAUSE_MS;
    this.#askAfter(pauseMs * (0.5 + random()));
  }

  /** Each answer is taken as it comes: the first one lets this node serve. True if there was one with a directory. */
  async #ask(peer: PeerAddress): Promise<boolean> {
    const { node, own } = this.options;
    this.counters.asked += 1;
    const askedAt = this.options.now();
    const question = { known: node.known(), from: own };
    const answer = await this.transport.call(peer, SNAPSHOT_METHOD, question, QUESTION_TIMEOUT_MS);
    if (this.#isStopped || answer.isErr() || answer.value === null) return false;
    if (!node.isWanted()) return true;
    parseSnapshot(answer.value).match(
      (snapshot) => {
        this.counters.adopted += 1;
        node.adopt(snapshot, askedAt);
      },
      () => {
        this.counters.malformed += 1;
      },
    );
    return true;
  }

  #handlers(): PeerHandlers {
    return {
      onStream: (header, stream) => this.options.onStream(header, stream),
      onCall: async (method, body, { nodeId }) =>
        this.options.onCall(method, body, nodeId) ?? this.#answer(method, body),
    };
  }

  /** Null if this node has no directory. Throws typed errors, which go back as the call's failure. */
  #answer(method: string, body: WireValue): InstanceSnapshot | null {
    if (method !== SNAPSHOT_METHOD) throw new UnknownMethodError(method);
    const question = parseQuestion(body);
    if (question.isErr()) throw question.error satisfies MeadowstackError;
    this.#spendAnswer();
    const { known, from } = question.value;
    this.#peers.noteKnown(from);
    this.counters.answered += 1;
    this.#askIfAhead(from, known);
    return this.options.node.describe(known) ?? null;
  }

  /** Who asks may know more, where none of the seeds does: it is asked back. */
  #askIfAhead(peer: PeerAddress, its: DirectoryVersions): void {
    const { node } = this.options;
    const own = node.known();
    const isAhead = its.version > own.version || its.instancesRevision > own.instancesRevision;
    if (isAhead && node.isWanted()) void this.#ask(peer);
  }

  #spendAnswer(): void {
    const left = takeToken(refill(this.#bucket, ANSWER_BUCKET, this.options.now()));
    if (left === undefined) throw new SnapshotBusyError('too many questions for a snapshot');
    this.#bucket = left;
  }
}
