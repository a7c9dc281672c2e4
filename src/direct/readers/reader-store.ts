/**
 * The store for a node of a large cluster. Some prefixes are watched through the readers of the node's zone or, if the
 * node is a reader, watched at the store and relayed to others. Every other call goes to the store itself.
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
import { parseRelayedRange } from './messages.js';
import { WatchServer } from './watch-server.js';

/** How often readers are checked and lost ones retried. */
const REFRESH_PERIOD_MS: Milliseconds = 300;
/** `REFRESH_PERIOD_MS` during `STARTUP_PERIOD_MS`. */
const STARTUP_REFRESH_PERIOD_MS: Milliseconds = 30;
const STARTUP_PERIOD_MS: Milliseconds = 2000;
/** After this time since the start, a node that knows no reader is unlikely to learn of one. */
const READERS_NAMED_TIMEOUT_MS: Milliseconds = 1000;
/** If the records that name the readers are not read within this time, they won't be available soon. */
const FIRST_READ_TIMEOUT_MS: Milliseconds = 300;
/** How often followers are told that this node is alive. */
const HEARTBEAT_PERIOD_MS: Milliseconds = 600;

/** A prefix that may be watched through readers. */
export interface RelayedPrefix {
  readonly prefix: string;
  /** A poll of the store without a response for this long counts as lost. */
  readonly maxAgeMs: Milliseconds;
  /** Minimum interval at which a relay forwards, ahead of the heartbeat, that nothing has changed. */
  readonly minRelayIntervalMs: Milliseconds;
  /** How long the first watch waits to learn of readers; if absent, until the records that name them are read. */
  readonly firstPollDelayMs?: Milliseconds;
  /** Each confirmation of the store is relayed to followers, even without changes. */
  readonly needsEveryConfirmation?: boolean;
}

export interface ReaderStoreOptions {
  readonly store: Store;
  readonly prefixes: readonly RelayedPrefix[];
  readonly node: Pick<ReachableNode, 'nodeId' | 'zone'>;
  /** Bandwidth of this node's network link, if known. */
  readonly linkMbps?: number | undefined;
  /** The readers that the leader names now. */
  readonly readers: () => readonly ReachableNode[];
  /** True once the record that names the readers has been read, or is known not to be coming. */
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
  #heartbeatAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: ReaderStoreOptions) {
    const { now, random, store, prefixes } = options;
    const create = ({ prefix, firstPollDelayMs, ...bounds }: RelayedPrefix): FollowedPrefix =>
      new FollowedPrefix({
        ...{ prefix, ...bounds, now, random, counters: this.counters },
        firstPollDelayMs: firstPollDelayMs ?? FIRST_READ_TIMEOUT_MS,
        mayLearnReaders: () =>
          this.#mayLearnReaders() && (firstPollDelayMs !== undefined || !options.areReadersKnown()),
        openDirect: (fromRevision, handlers) => store.watch(prefix, fromRevision, handlers),
        refreshReaders: () => this.#refreshReaders(),
        subscribe: (reader, request, listener) => this.#subscribe(reader, request, listener),
      });
    this.#prefixes = new Map(prefixes.map((relayed) => [relayed.prefix, create(relayed)]));
    this.#server = new WatchServer(this.#prefixes, this.counters, now, options.linkMbps ?? 0);
  }

  /** Number of the prefixes that may be watched through readers but are watched at the store. */
  get directWatches(): number {
    return [...this.#prefixes.values()].filter(({ isDirect }) => isDirect).length;
  }

  /** Number of the prefixes that readers serve now. */
  get servedPrefixes(): number {
    return [...this.#prefixes.values()].filter(({ isServedByReaders }) => isServedByReaders).length;
  }

  /** The readers through which this node watches the store. */
  get readersOfNode(): ReadersOfNode {
    return this.#readersOfNode;
  }

  /** Starts to subscribe to readers over these links. */
  start(transport: PeerTransport): void {
    this.#transport = transport;
    this.#startedAt = this.options.now();
    this.#scheduleRefresh();
  }

  stop(): void {
    clearTimeout(this.#timer);
    for (const followed of this.#prefixes.values()) followed.close();
  }

  /** The store was restored from a backup: every prefix is read again. */
  handleStoreRestore(): void {
    for (const followed of this.#prefixes.values()) followed.handleStoreRestore();
  }

  /** Another node subscribes to a prefix through this one. */
  onStream(header: WireValue, stream: PeerStream): void {
    this.#server.onStream(header, stream);
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    const followed = this.#prefixes.get(prefix);
    if (followed === undefined) return this.options.store.watch(prefix, fromRevision, handlers);
    this.#refreshReaders();
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

  #refreshReaders(): void {
    const readers = this.options.readers();
    if (readers === this.#readers) return;
    this.#readers = readers;
    this.#readersOfNode = readersOf(this.options.node, readers);
    const further = fallbackReadersOf(this.options.node, readers);
    for (const followed of this.#prefixes.values()) {
      followed.setReaders(this.#readersOfNode, further);
    }
  }

  /** True shortly after the start, while no readers are named. */
  #mayLearnReaders(): boolean {
    const isEarly = this.options.now() - this.#startedAt < READERS_NAMED_TIMEOUT_MS;
    return isEarly && this.options.readers().length === 0;
  }

  #scheduleRefresh(): void {
    const isEarly = this.options.now() - this.#startedAt < STARTUP_PERIOD_MS;
    const periodMs = isEarly ? STARTUP_REFRESH_PERIOD_MS : REFRESH_PERIOD_MS;
    this.#timer = setTimeout(() => {
      this.#refresh();
      this.#scheduleRefresh();
    }, periodMs);
    this.#timer.unref();
  }

  #refresh(): void {
    this.#refreshReaders();
    for (const followed of this.#prefixes.values()) followed.refresh();
    const now = this.options.now();
    if (now - this.#heartbeatAt < HEARTBEAT_PERIOD_MS - REFRESH_PERIOD_MS / 2) return;
    this.#heartbeatAt = now;
    this.#server.sendHeartbeats();
  }

  #subscribe(...[reader, request, listener]: Parameters<SubscribeToReader>): () => void {
    const transport = this.#transport;
    if (transport === undefined) return () => {};
    const header: WatchRequest = { type: 'watch', ...request };
    const stream = transport.openStream({ host: reader.host, port: reader.port }, header);
    let hasEnded = false;
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      stream.end();
      listener.onLost();
    };
    stream.onMessage = (message) => {
      const range = parseRelayedRange(message);
      if (hasEnded) return;
      if (range === undefined) end();
      else listener.onRelayed(range);
    };
    stream.onClose = () => end();
    return () => {
      hasEnded = true;
      stream.end();
    };
  }
}
