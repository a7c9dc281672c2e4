/**
 * The store as a node of a large fleet sees it: some prefixes are followed through the readers of its zone,
 * or read for the others if it is a reader. Everything else goes to the store itself.
 */
import type { ResultAsync } from 'neverthrow';
import type { ReachableNode } from '../../core/ownership/owner-roster.js';
import {
  fallbackReadersOf,
  type ReadersOfNode,
  readersOf,
} from '../../core/ownership/watch-readers.js';
import type { Milliseconds } from '../../core/units.js';
import type { PeerStream, PeerTransport, WireValue } from '../../peer/contract.js';
import type {
  RangeResponse,
  RevisionCompare,
  Store,
  StoreError,
  TransactionOperation,
  TransactionResponse,
  WatchHandlers,
} from '../../platform/contract.js';
import type { ReaderCounters, SubscribeToReader, WatchRequest } from './contract.js';
import { FollowedPrefix } from './followed-prefix.js';
import { parseToldStretch } from './messages.js';
import { WatchServer } from './watch-server.js';

/** How often readers and their silence are looked at. */
const LOOK_EVERY_MS: Milliseconds = 300;
/** The same in the first moments of this node. */
const FIRST_LOOKS_EVERY_MS: Milliseconds = 30;
const FIRST_MOMENTS_MS: Milliseconds = 2000;
/** A node that has heard of no reader for so long since it began is not likely to. */
const READERS_NAMED_WITHIN_MS: Milliseconds = 1000;
/** The records of the fleet are read within this, or are not to be had soon. */
const FIRST_READ_MS: Milliseconds = 300;
/** Followers are told so often that this node is there. */
const HEARTBEAT_MS: Milliseconds = 600;

/** A prefix that may be followed through readers. */
export interface RelayedPrefix {
  readonly prefix: string;
  /** A poll of the store that is older than this has been lost. */
  readonly maxAgeMs: Milliseconds;
  /** How often a relay passes on at once that nothing has changed. */
  readonly passEveryMs: Milliseconds;
  /** The first watch waits so long to hear of readers; if absent, until the records of the fleet are read. */
  readonly firstPollMs?: Milliseconds;
  /** Followers are told each word of the store. */
  readonly isProof?: boolean;
}

export interface ReaderStoreOptions {
  readonly store: Store;
  readonly prefixes: readonly RelayedPrefix[];
  readonly node: Pick<ReachableNode, 'nodeId' | 'zone'>;
  /** What this node's link carries, as far as it is known. */
  readonly linkMbps?: number | undefined;
  /** The readers that the leader names now. */
  readonly readers: () => readonly ReachableNode[];
  /** True once the record that names them was read, or is known not to be. */
  readonly areReadersKnown: () => boolean;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

export class ReaderStore implements Store {
  readonly counters: ReaderCounters = {
    eventsFromReaders: 0,
    fallbacks: 0,
    eventsPassed: 0,
    eventsTold: 0,
  };
  readonly #prefixes: ReadonlyMap<string, FollowedPrefix>;
  readonly #server: WatchServer;
  #readersOfNode: ReadersOfNode = { type: 'others', readers: [] };
  #transport: PeerTransport | undefined;
  #readers: readonly ReachableNode[] = [];
  #timer: NodeJS.Timeout | undefined;
  #startedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #toldAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ReaderStoreOptions) {
    const { now, random, store, prefixes } = options;
    const create = ({ prefix, firstPollMs, ...bounds }: RelayedPrefix): FollowedPrefix =>
      new FollowedPrefix({
        ...{ prefix, ...bounds, now, random, counters: this.counters },
        firstPollMs: firstPollMs ?? FIRST_READ_MS,
        mayLearnReaders: () =>
          this.#mayLearnReaders() && (firstPollMs !== undefined || !options.areReadersKnown()),
        openDirect: (fromRevision, handlers) => store.watch(prefix, fromRevision, handlers),
        refreshReaders: () => this.#followReaders(),
        subscribe: (reader, request, listener) => this.#subscribe(reader, request, listener),
      });
    this.#prefixes = new Map(prefixes.map((relayed) => [relayed.prefix, create(relayed)]));
    this.#server = new WatchServer(this.#prefixes, this.counters, now, options.linkMbps ?? 0);
  }

  /** Prefixes that may be followed through readers and are watched at the store. */
  get directWatches(): number {
    return [...this.#prefixes.values()].filter(({ isDirect }) => isDirect).length;
  }

  /** Through whom this node follows the store. */
  get readersOfNode(): ReadersOfNode {
    return this.#readersOfNode;
  }

  /** Begins to follow readers over these links. */
  start(transport: PeerTransport): void {
    this.#transport = transport;
    this.#startedAt = this.options.now();
    this.#lookLater();
  }

  stop(): void {
    clearTimeout(this.#timer);
    for (const followed of this.#prefixes.values()) followed.close();
  }

  /** The store came back from a copy: every prefix is read anew. */
  noteReturn(): void {
    for (const followed of this.#prefixes.values()) followed.noteReturn();
  }

  /** A node wants to follow a prefix through this one. */
  onStream(header: WireValue, stream: PeerStream): void {
    this.#server.onStream(header, stream);
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    const followed = this.#prefixes.get(prefix);
    if (followed === undefined) return this.options.store.watch(prefix, fromRevision, handlers);
    this.#followReaders();
    return followed.watch(fromRevision, handlers);
  }

  range(prefix: string): ResultAsync<RangeResponse, StoreError> {
    return this.options.store.range(prefix);
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreError> {
    return this.options.store.transaction(compares, operations);
  }

  grantLease(seconds: number): ResultAsync<string, StoreError> {
    return this.options.store.grantLease(seconds);
  }

  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreError> {
    return this.options.store.keepLeaseAlive(leaseId);
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreError> {
    return this.options.store.revokeLease(leaseId);
  }

  requestCount(): number {
    return this.options.store.requestCount();
  }

  #followReaders(): void {
    const readers = this.options.readers();
    if (readers === this.#readers) return;
    this.#readers = readers;
    this.#readersOfNode = readersOf(this.options.node, readers);
    const further = fallbackReadersOf(this.options.node, readers);
    for (const followed of this.#prefixes.values()) {
      followed.setReaders(this.#readersOfNode, further);
    }
  }

  /** True in the first moments of this node, while nobody is named to read the store. */
  #mayLearnReaders(): boolean {
    const isEarly = this.options.now() - this.#startedAt < READERS_NAMED_WITHIN_MS;
    return isEarly && this.options.readers().length === 0;
  }

  #lookLater(): void {
    const isEarly = this.options.now() - this.#startedAt < FIRST_MOMENTS_MS;
    const everyMs = isEarly ? FIRST_LOOKS_EVERY_MS : LOOK_EVERY_MS;
    this.#timer = setTimeout(() => {
      this.#look();
      this.#lookLater();
    }, everyMs);
    this.#timer.unref();
  }

  #look(): void {
    this.#followReaders();
    for (const followed of this.#prefixes.values()) followed.look();
    const now = this.options.now();
    if (now - this.#toldAt < HEARTBEAT_MS - LOOK_EVERY_MS / 2) return;
    this.#toldAt = now;
    this.#server.tellAll();
  }

  #subscribe(...[reader, request, listener]: Parameters<SubscribeToReader>): () => void {
    const transport = this.#transport;
    if (transport === undefined) return () => {};
    const header: WatchRequest = { type: 'watch', ...request };
    const stream = transport.openStream({ host: reader.host, port: reader.port }, header);
    let isOver = false;
    const end = (): void => {
      if (isOver) return;
      isOver = true;
      stream.end();
      listener.onLost();
    };
    stream.onMessage = (message) => {
      const told = parseToldStretch(message);
      if (isOver) return;
      if (told === undefined) end();
      else listener.onRelayed(told);
    };
    stream.onClose = () => end();
    return () => {
      isOver = true;
      stream.end();
    };
  }
}
