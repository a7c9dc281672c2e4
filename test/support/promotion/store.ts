/**
 * The platform's store in virtual time: compare-and-swap, leases, watches, and its faults: outages
 * with leases that wait or run out, slowness, answers lost, changes done late, watches gone deaf.
 */

import {
  isInEra,
  MAX_REVISION,
  revisionWithinEra,
  toStorePosition,
} from '../../../src/core/directory/store-position.js';
import type {
  PromotionRequest,
  RequestAnswer,
  StoreRequest,
} from '../../../src/core/promotion/contract.js';
import type { KeyValue, WatchEvent } from '../../../src/platform/contract.js';
import type { SimulatedNetwork } from './network.js';

export const STORE = 'store';
const FAILED: RequestAnswer = {
  type: 'store-failed',
  isLeaseGone: false,
  retryAfterMs: undefined,
};
const LEASE_OVER: RequestAnswer = { ...FAILED, isLeaseGone: true };

interface StoredEntry extends KeyValue {
  readonly leaseId: string | undefined;
}

interface SimulatedWatch {
  readonly machine: string;
  readonly prefix: string;
  readonly onEvents: (events: readonly WatchEvent[], revision: number) => void;
  readonly onEnd: () => void;
  readonly era: number;
  deafUntil: number;
  ended: boolean;
}

/** What one process knows of the store's era; undefined before its first answer. */
interface StoreClient {
  era: number | undefined;
  readonly onEra: (era: number) => void;
}

interface CopiedLease {
  readonly id: string;
  readonly ttlMs: number;
  readonly leftMs: number;
}

/** The store as it was. */
interface StoreCopy {
  readonly at: number;
  readonly revision: number;
  readonly entries: ReadonlyMap<string, StoredEntry>;
  readonly leases: readonly CopiedLease[];
}

const COPY_EVERY_MS = 100;
const OLDEST_COPY_MS = 11_000;
/** A poll that was out as the store went is given up by then. */
const LONGEST_POLL_MS = 2400;

export class SimulatedStore {
  readonly entries = new Map<string, StoredEntry>();
  downUntil = 0;
  /** During an outage leases run out; otherwise they wait. */
  leasesLapse = false;
  slowUntil = 0;
  lossUntil = 0;
  lateUntil = 0;
  requests = 0;
  /** Until when the store turns these nodes away, by name. */
  readonly #refusedUntil = new Map<string, number>();
  #revision = 1;
  #nextLease = 1;
  readonly #leases = new Map<string, { expiresAt: number; readonly ttlMs: number }>();
  #watches = new Set<SimulatedWatch>();
  /** How often it came back from a copy, and one more; 0 for a store that names no era. */
  era = 0;
  readonly #clients = new Map<string, StoreClient>();
  #copies: StoreCopy[] = [];

  constructor(private readonly network: SimulatedNetwork) {
    this.#sweep();
  }

  get #clock() {
    return this.network.clock;
  }

  get isDown(): boolean {
    return this.#clock.now < this.downUntil;
  }

  /** Begins an outage; leases wait for it to end, or run out meanwhile. */
  goDown(forMs: number, leasesLapse: boolean): void {
    this.downUntil = this.#clock.now + forMs;
    this.leasesLapse = leasesLapse;
    if (!leasesLapse) for (const lease of this.#leases.values()) lease.expiresAt += forMs;
    for (const watch of this.#watches) this.#endLater(watch, 20);
  }

  /** From now on the store names its era and keeps copies of itself. */
  keepCopies(): void {
    if (this.era === 0) this.era = 1;
    const { now } = this.#clock;
    if (!this.isDown) {
      this.#copies.push({
        at: now,
        revision: this.#revision,
        entries: new Map(this.entries),
        leases: [...this.#leases].map(([id, { ttlMs, expiresAt }]) => {
          return { id, ttlMs, leftMs: expiresAt - now };
        }),
      });
    }
    this.#copies = this.#copies.filter(({ at }) => at >= now - OLDEST_COPY_MS);
    this.#clock.after(COPY_EVERY_MS, () => this.keepCopies());
  }

  /** Goes away for a while, and comes back as it was. */
  returnFromCopy(ageMs: number, awayMs: number): void {
    const copy = this.#copies.findLast(({ at }) => at <= this.#clock.now - ageMs);
    this.goDown(awayMs, false);
    this.#clock.after(awayMs, () => this.#restore(copy ?? this.#copies[0]));
  }

  #restore(copy: StoreCopy | undefined): void {
    if (copy === undefined) return;
    this.era += 1;
    this.#copies = this.#copies.filter(({ at }) => at <= copy.at);
    this.#revision = copy.revision;
    this.#changes = this.#changes.filter(({ revision }) => revision <= copy.revision);
    this.entries.clear();
    for (const [key, entry] of copy.entries) this.entries.set(key, entry);
    this.#leases.clear();
    for (const { id, ttlMs, leftMs } of copy.leases) {
      this.#leases.set(id, { ttlMs, expiresAt: this.#clock.now + leftMs });
    }
    for (const watch of this.#watches) {
      watch.deafUntil = Number.POSITIVE_INFINITY;
      this.#endLater(watch, this.#clock.between(5, LONGEST_POLL_MS));
    }
  }

  /** A process begins; it is told when it hears of an era for the first time, and of each rise. */
  connect(machine: string, onEra: (era: number) => void): void {
    this.#clients.set(machine, { era: undefined, onEra });
  }

  /** An answer of this era has come; false if it says nothing of the present. */
  #noteEra(machine: string, era: number): boolean {
    const client = this.#clients.get(machine);
    if (client === undefined || era === 0 || client.era === era) return true;
    if (client.era !== undefined && era < client.era) return false;
    client.era = era;
    for (const watch of [...this.#watches]) {
      if (watch.machine === machine && watch.era !== era) this.#endLater(watch, 0);
    }
    client.onEra(era);
    return true;
  }

  #eraKnownTo(machine: string): number {
    return this.#clients.get(machine)?.era ?? this.era;
  }

  /** As the client sends it: positions become revisions, and those of another era never hold. */
  #asked(request: StoreRequest, era: number): StoreRequest {
    if (request.type !== 'transaction') return request;
    const compares = request.compares.map(({ key, modRevision }) => {
      const isKnown = modRevision === 0 || isInEra(modRevision, era);
      return { key, modRevision: isKnown ? revisionWithinEra(modRevision) : MAX_REVISION };
    });
    return { ...request, compares };
  }

  /** Turns some nodes away and serves the others; their watches end, and open no more meanwhile. */
  refuse(machines: readonly string[], forMs: number): void {
    for (const machine of machines) this.#refusedUntil.set(machine, this.#clock.now + forMs);
    for (const watch of this.#watches)
      if (machines.includes(watch.machine)) this.#endLater(watch, 20);
  }

  #refuses(machine: string): boolean {
    return this.#clock.now < (this.#refusedUntil.get(machine) ?? 0);
  }

  /** Watches hear nothing for a while, and are then cut. */
  goDeaf(forMs: number): void {
    for (const watch of this.#watches) {
      watch.deafUntil = this.#clock.now + forMs;
      this.#endLater(watch, forMs);
    }
  }

  request(machine: string, request: StoreRequest, onAnswer: (answer: RequestAnswer) => void): void {
    this.requests += 1;
    const { network } = this;
    const client = this.#clients.get(machine);
    const eraAsked = this.#eraKnownTo(machine);
    const asked = this.#asked(request, eraAsked);
    const hasConditions =
      request.type === 'transaction' && request.compares.some(({ modRevision }) => modRevision > 0);
    const answerBack = (answer: RequestAnswer): void => {
      const { era } = this;
      network.send(STORE, machine, () => {
        if (client !== this.#clients.get(machine)) return;
        const isDone = answer.type === 'transaction' && answer.transaction.succeeded;
        const isMeant = !(isDone && hasConditions && era !== eraAsked);
        onAnswer(this.#noteEra(machine, era) && isMeant ? answer : FAILED);
      });
    };
    network.send(machine, STORE, () => {
      if (this.isDown || this.#refuses(machine)) {
        if (this.#clock.chance(0.5)) answerBack(FAILED);
        return;
      }
      const slowness = this.#clock.now < this.slowUntil ? this.#clock.between(100, 400) : 0;
      this.#clock.after(slowness + this.#clock.between(1, 4), () => {
        const isWrite = request.type === 'transaction' || request.type === 'grant-lease';
        if (isWrite && this.#clock.now < this.lateUntil && this.#clock.chance(0.35)) {
          this.#clock.after(this.#clock.between(1000, 6000), () => this.#carryOut(asked));
          return;
        }
        const answer = this.#carryOut(asked);
        const isLost = isWrite && this.#clock.now < this.lossUntil && this.#clock.chance(0.35);
        if (!isLost) answerBack(answer);
      });
    });
  }

  watch(
    machine: string,
    prefix: string,
    onEvents: SimulatedWatch['onEvents'],
    onEnd: () => void,
    fromRevision: number,
  ): () => void {
    this.requests += 1;
    const { era } = this;
    const watch = { machine, prefix, onEvents, onEnd, era, deafUntil: 0, ended: false };
    this.#watches.add(watch);
    if (this.#refuses(machine)) this.#endLater(watch, 5);
    if (!isInEra(fromRevision, era)) this.#endLater(watch, 5);
    // What changed between the read and the watch is told by a whole new read.
    const from = revisionWithinEra(fromRevision);
    if (from > this.#revision + 1 || this.#changedSince(prefix, from)) this.#endLater(watch, 5);
    return () => {
      watch.ended = true;
      this.#watches.delete(watch);
    };
  }

  #changes: { readonly key: string; readonly revision: number }[] = [];

  #changedSince(prefix: string, fromRevision: number): boolean {
    for (let index = this.#changes.length - 1; index >= 0; index -= 1) {
      const change = this.#changes[index];
      if (change === undefined || change.revision < fromRevision) return false;
      if (change.key.startsWith(prefix)) return true;
    }
    return false;
  }

  #endLater(watch: SimulatedWatch, afterMs: number): void {
    this.#clock.after(afterMs, () => {
      if (watch.ended) return;
      watch.ended = true;
      this.#watches.delete(watch);
      watch.onEnd();
    });
  }

  #carryOut(request: PromotionRequest): RequestAnswer {
    this.#expire();
    switch (request.type) {
      case 'range': {
        const entries = [...this.entries.values()]
          .filter(({ key }) => key.startsWith(request.prefix))
          .map((entry) => this.#placed(entry));
        return { type: 'range', range: { revision: this.#position(this.#revision), entries } };
      }
      case 'grant-lease': {
        const leaseId = String(this.#nextLease);
        this.#nextLease += 1;
        const ttlMs = request.seconds * 1000;
        this.#leases.set(leaseId, { expiresAt: this.#clock.now + ttlMs, ttlMs });
        return { type: 'lease', leaseId };
      }
      case 'keep-lease': {
        const lease = this.#leases.get(request.leaseId);
        if (lease === undefined) return LEASE_OVER;
        lease.expiresAt = this.#clock.now + lease.ttlMs;
        return { type: 'done' };
      }
      case 'revoke-lease':
        this.#end(request.leaseId);
        return { type: 'done' };
      case 'transaction':
        return this.#transact(request);
      default:
        throw new Error(`not for the store: ${request.type}`);
    }
  }

  #transact(request: Extract<StoreRequest, { type: 'transaction' }>): RequestAnswer {
    const { compares, operations } = request;
    const puts = operations.filter((operation) => operation.type === 'put');
    const lacksLease = puts.some(
      ({ leaseId }) => leaseId !== undefined && !this.#leases.has(leaseId),
    );
    if (lacksLease) return LEASE_OVER;
    const found = compares.flatMap(({ key }) => this.entries.get(key) ?? []);
    const current = found.map((entry) => this.#placed(entry));
    const succeeded = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (succeeded) this.#change(operations);
    const revision = this.#position(this.#revision);
    return { type: 'transaction', transaction: { succeeded, revision, current } };
  }

  #change(operations: Extract<StoreRequest, { type: 'transaction' }>['operations']): void {
    this.#revision += 1;
    const modRevision = this.#revision;
    const events = operations.map((operation): WatchEvent => {
      const { key } = operation;
      this.#changes.push({ key, revision: modRevision });
      if (operation.type === 'delete') {
        this.entries.delete(key);
        return { type: 'delete', key, modRevision: this.#position(modRevision) };
      }
      const createRevision = this.entries.get(key)?.createRevision ?? modRevision;
      const { value, leaseId } = operation;
      const entry = { key, value, createRevision, modRevision, leaseId };
      this.entries.set(key, entry);
      return { type: 'put', entry: this.#placed(entry) };
    });
    const position = this.#position(modRevision);
    for (const watch of this.#watches) this.#tell(watch, events, position);
  }

  #position(revision: number): number {
    return toStorePosition(this.era, revision);
  }

  #placed(entry: StoredEntry): StoredEntry {
    if (this.era === 0) return entry;
    const { createRevision, modRevision } = entry;
    return {
      ...entry,
      createRevision: this.#position(createRevision),
      modRevision: this.#position(modRevision),
    };
  }

  #tell(watch: SimulatedWatch, events: readonly WatchEvent[], revision: number): void {
    const seen = events.filter((event) =>
      (event.type === 'put' ? event.entry.key : event.key).startsWith(watch.prefix),
    );
    if (seen.length === 0 || this.#clock.now < watch.deafUntil) return;
    if (!this.network.reaches(STORE, watch.machine)) {
      watch.deafUntil = Number.POSITIVE_INFINITY;
      this.#endLater(watch, 1000);
      return;
    }
    const slowness = this.#clock.now < this.slowUntil ? 300 : 0;
    // In order: later events take no less time.
    this.#clock.after(slowness + 3, () => {
      if (!watch.ended) watch.onEvents(seen, revision);
    });
  }

  #sweep(): void {
    this.#clock.after(10, () => {
      this.#expire();
      this.#sweep();
    });
  }

  #expire(): void {
    if (this.isDown && !this.leasesLapse) return;
    for (const [leaseId, { expiresAt }] of this.#leases) {
      if (expiresAt <= this.#clock.now) this.#end(leaseId);
    }
  }

  #end(leaseId: string): void {
    this.#leases.delete(leaseId);
    const keys = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    if (keys.length === 0) return;
    this.#change(keys.map(({ key }) => ({ type: 'delete', key })));
  }
}
