/**
 * Simulates followers, readers and the store in virtual time. Links delay messages in order and may be cut; readers
 * may stop responding; the store may be unreachable for some nodes, refuse their polls, and compact its history.
 */
import type { ReachableNode } from '../../src/core/ownership/owner-roster.js';
import type { Milliseconds } from '../../src/core/units.js';
import type { SubscribeToReader } from '../../src/direct/readers/contract.js';
import { FollowedPrefix } from '../../src/direct/readers/followed-prefix.js';
import { parseRelayedRange } from '../../src/direct/readers/messages.js';
import { WatchServer } from '../../src/direct/readers/watch-server.js';
import type { PeerStream, WireValue } from '../../src/peer/contract.js';
import type { WatchEvent, WatchHandlers } from '../../src/platform/contract.js';
import { StoreCompactedError, StoreWatchEndedError } from '../../src/platform/errors.js';

export const PREFIX = 'server';
export const POLL_WAIT_MS: Milliseconds = 2500;
const FIRST_POLL_MS: Milliseconds = 1000;
const POLL_SLACK_MS: Milliseconds = 400;
export const MAX_AGE_MS: Milliseconds = POLL_WAIT_MS + POLL_SLACK_MS + 1000;
const STORE_DELAY_MS: Milliseconds = 4;
const RECONNECT_MS: Milliseconds = 50;

/** Runs scheduled tasks in the order of their times. */
export class VirtualTime {
  now: Milliseconds = 0;
  #next = 0;
  #tasks: { readonly at: Milliseconds; readonly order: number; readonly run: () => void }[] = [];

  after(delayMs: Milliseconds, run: () => void): void {
    this.#next += 1;
    this.#tasks.push({ at: this.now + delayMs, order: this.#next, run });
  }

  /** Resolves when all tasks up to this time have run. */
  async runUntil(end: Milliseconds): Promise<void> {
    for (;;) {
      this.#tasks.sort((left, right) => left.at - right.at || left.order - right.order);
      const task = this.#tasks[0];
      if (task === undefined || task.at > end) break;
      this.#tasks.shift();
      this.now = Math.max(this.now, task.at);
      task.run();
      await Promise.resolve();
    }
    this.now = end;
  }
}

/** The store: a revision counter, events and long polls, which can be cut off or refused by node. */
export class VirtualStore {
  revision = 1;
  polls = 0;
  /** Nodes whose polls get no response. */
  readonly cutOff = new Set<string>();
  /** Nodes whose polls are refused. */
  readonly refused = new Set<string>();
  readonly events: WatchEvent[] = [];
  #compactedTo = 0;
  #waiting = new Set<() => void>();

  constructor(private readonly time: VirtualTime) {}

  /** Writes a key. Events are recorded only for the watched prefix. */
  write(key: string, value = ''): void {
    this.revision += 1;
    if (!key.startsWith(PREFIX)) return;
    const modRevision = this.revision;
    this.events.push({
      type: 'put',
      entry: { key, value, createRevision: modRevision, modRevision },
    });
    for (const wake of [...this.#waiting]) wake();
  }

  compact(): void {
    this.#compactedTo = this.revision;
  }

  watch(node: string, fromRevision: number, handlers: WatchHandlers): () => void {
    let after = fromRevision - 1;
    let isOpen = true;
    const poll = (): void => {
      this.polls += 1;
      this.#pollsBy.set(node, this.pollsOf(node) + 1);
      let isAnswered = false;
      const finish = (answer: () => void): void => {
        if (isAnswered) return;
        isAnswered = true;
        this.#waiting.delete(respondToEvents);
        this.time.after(STORE_DELAY_MS, () => {
          if (isOpen && !this.cutOff.has(node)) answer();
        });
      };
      const end = (error: StoreCompactedError | StoreWatchEndedError): void => {
        isOpen = false;
        handlers.onEnd(error, error instanceof StoreCompactedError);
      };
      const respond = (): void => {
        const events = this.#eventsAfter(after);
        const { revision } = this;
        finish(() => {
          after = revision;
          handlers.onEvents(events, revision);
          if (isOpen) poll();
        });
      };
      const respondToEvents = (): void => {
        if (this.#eventsAfter(after).length > 0) respond();
      };
      this.time.after(POLL_WAIT_MS + POLL_SLACK_MS, () => {
        if (!isOpen || after !== startedAfter || pollNumber !== this.#lastPollNumber(handlers))
          return;
        this.#waiting.delete(respondToEvents);
        end(new StoreWatchEndedError('lost'));
      });
      const startedAfter = after;
      const pollNumber = this.#countPoll(handlers);
      this.time.after(STORE_DELAY_MS, () => {
        if (!isOpen || this.cutOff.has(node)) return;
        if (this.refused.has(node)) finish(() => end(new StoreWatchEndedError('refused')));
        else if (after < this.#compactedTo) finish(() => end(new StoreCompactedError(after)));
        else {
          this.#waiting.add(respondToEvents);
          respondToEvents();
          this.time.after(POLL_WAIT_MS - 2 * STORE_DELAY_MS, respond);
        }
      });
    };
    poll();
    return () => {
      isOpen = false;
    };
  }

  readonly #pollsBy = new Map<string, number>();

  pollsOf(node: string): number {
    return this.#pollsBy.get(node) ?? 0;
  }

  readonly #polls = new WeakMap<WatchHandlers, number>();

  #countPoll(handlers: WatchHandlers): number {
    const number = this.#lastPollNumber(handlers) + 1;
    this.#polls.set(handlers, number);
    return number;
  }

  #lastPollNumber(handlers: WatchHandlers): number {
    return this.#polls.get(handlers) ?? 0;
  }

  #eventsAfter(after: number): WatchEvent[] {
    return this.events.filter((event) => event.type === 'put' && event.entry.modRevision > after);
  }
}

/** A node that watches the prefix and serves it to its followers. */
export class VirtualNode {
  readonly followed: FollowedPrefix;
  readonly server: WatchServer;
  /** Revisions of which the watcher was notified, in order. */
  readonly notified: number[] = [];
  /** Revision up to which the watcher knows all changes. */
  known = 0;
  /** Time at which the watcher provably knew all changes of the store. */
  provenCurrentAsOf: Milliseconds = Number.NEGATIVE_INFINITY;
  isAlive = true;
  readonly counters = { eventsFromReaders: 0, fallbacks: 0, eventsPassed: 0, eventsTold: 0 };

  constructor(
    private readonly network: ReaderNetwork,
    readonly address: ReachableNode,
  ) {
    const { time, store, random } = network;
    this.followed = new FollowedPrefix({
      prefix: PREFIX,
      maxAgeMs: MAX_AGE_MS,
      minRelayIntervalMs: POLL_WAIT_MS / 2,
      firstPollDelayMs: FIRST_POLL_MS,
      mayLearnReaders: () => network.mayLearnReaders,
      needsEveryConfirmation: network.needsEveryConfirmation,
      openDirect: (from, handlers) => store.watch(address.nodeId, from, handlers),
      refreshReaders: () => {},
      subscribe: (...asked) => network.subscribe(this, ...asked),
      counters: this.counters,
      now: () => time.now,
      random,
    });
    const prefixes = new Map([[PREFIX, this.followed]]);
    this.server = new WatchServer(prefixes, this.counters, () => time.now, network.linkMbps);
  }

  /** Reads the whole range and then watches from its revision. */
  follow(): void {
    const { store } = this.network;
    this.known = store.revision;
    this.notified.push(
      ...store.events.map(modRevisionOf).filter((revision) => !this.notified.includes(revision)),
    );
    this.#watch();
  }

  #watch(): void {
    this.followed.watch(this.known + 1, {
      onEvents: (events, revision, currentAt, provenAt = currentAt) => {
        this.notified.push(...events.map(modRevisionOf));
        this.provenCurrentAsOf = Math.max(
          this.provenCurrentAsOf,
          provenAt ?? this.provenCurrentAsOf,
        );
        this.known = Math.max(this.known, revision);
      },
      onEnd: (_error, compacted) => {
        this.network.time.after(this.network.reconnectMs, () => {
          if (compacted) this.follow();
          else this.#watch();
        });
      },
    });
  }
}

/** All nodes and their links. */
export class ReaderNetwork {
  readonly time = new VirtualTime();
  readonly store = new VirtualStore(this.time);
  readonly nodes: VirtualNode[] = [];
  /** Cut links: `follower-reader` ids. */
  readonly cutLinks = new Set<string>();
  /** Delay between the end of a watch and the next one. */
  reconnectMs = RECONNECT_MS;
  /** Nodes that have just started may still learn which nodes are readers. */
  mayLearnReaders = false;

  constructor(
    readonly random: () => number,
    /** Readers relay every confirmation of the store. */
    readonly needsEveryConfirmation = false,
    readonly linkMbps = 0,
  ) {}

  add(zone: string): VirtualNode {
    const nodeId = `n${this.nodes.length}`;
    const place = { nodeId, zone, host: '127.0.0.1', port: 7000 + this.nodes.length };
    const node = new VirtualNode(this, place);
    this.nodes.push(node);
    const look = (): void => {
      if (node.isAlive) node.followed.refresh();
      this.time.after(300, look);
    };
    const tell = (): void => {
      if (node.isAlive) node.server.sendHeartbeats();
      this.time.after(600, tell);
    };
    this.time.after(300 * this.random(), look);
    this.time.after(600 * this.random(), tell);
    return node;
  }

  subscribe(
    follower: VirtualNode,
    ...[reader, request, listener]: Parameters<SubscribeToReader>
  ): () => void {
    const to = this.nodes.find(({ address }) => address.nodeId === reader.nodeId);
    let isClosed = false;
    const link = `${follower.address.nodeId}-${reader.nodeId}`;
    const transmit = (deliver: () => void): void => {
      this.time.after(this.#delayOf(link), () => {
        if (!this.cutLinks.has(link) && to?.isAlive === true) deliver();
      });
    };
    const readerStream = scriptedStream((message) => {
      if (to?.isAlive !== true) return;
      transmit(() => {
        const told = parseRelayedRange(message);
        if (!isClosed && told !== undefined) listener.onRelayed(told);
      });
    });
    readerStream.end = () => {
      transmit(() => {
        if (isClosed) return;
        isClosed = true;
        listener.onLost();
      });
    };
    transmit(() => {
      if (!isClosed) to?.server.onStream({ type: 'watch', ...request }, readerStream);
    });
    return () => {
      isClosed = true;
      readerStream.onClose?.(undefined);
    };
  }

  /** Time of the last delivery by link, which keeps messages in order. */
  readonly #busyUntil = new Map<string, Milliseconds>();

  #delayOf(link: string): Milliseconds {
    const at = Math.max(this.time.now + 1 + 20 * this.random(), this.#busyUntil.get(link) ?? 0);
    this.#busyUntil.set(link, at);
    return at - this.time.now;
  }
}

function scriptedStream(send: (message: WireValue) => void): PeerStream {
  return {
    id: 'scripted',
    ...{ write: () => true, send, pause: () => {}, resume: () => {}, end: () => {} },
    abort: () => {},
    ...{ onData: undefined, onMessage: undefined, onDrain: undefined, onClose: undefined },
  };
}

function modRevisionOf(event: WatchEvent): number {
  return event.type === 'put' ? event.entry.modRevision : event.modRevision;
}
