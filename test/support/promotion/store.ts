/**
 * Simulates the platform's store in virtual time: compare-and-swap, leases, watches. Faults: outages with leases that
 * are extended or expire, slowness, lost responses, delayed changes, watches without events, restores from a backup.
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
  hasResponded: false,
  retryAfterMs: undefined,
};
const REFUSED: RequestAnswer = { ...FAILED, hasResponded: true };
const LEASE_GONE: RequestAnswer = { ...REFUSED, isLeaseGone: true };

interface StoredEntry extends KeyValue {
  readonly leaseId: string | undefined;
}

interface SimulatedWatch {
  readonly machine: string;
  readonly prefix: string;
  readonly onEvents: (events: readonly WatchEvent[], revision: number) => void;
  readonly onEnd: () => void;
  readonly era: number;
  suppressedUntil: number;
  ended: boolean;
}

/** The store era that a process has seen; undefined before its first response. */
interface StoreClient {
  era: number | undefined;
  readonly onEra: (era: number) => void;
}

interface BackedUpLease {
  readonly id: string;
  readonly ttlMs: number;
  readonly remainingMs: number;
}

/** The store's state at an earlier time. */
interface StoreBackup {
  readonly at: number;
  readonly revision: number;
  readonly entries: ReadonlyMap<string, StoredEntry>;
  readonly leases: readonly BackedUpLease[];
}

const BACKUP_PERIOD_MS = 100;
const MAX_BACKUP_AGE_MS = 11_000;
/** A poll that is pending at a restore ends within this time. */
const MAX_POLL_MS = 2400;

export class SimulatedStore {
  readonly entries = new Map<string, StoredEntry>();
  downUntil = 0;
  /** True if leases expire during the outage; otherwise they are extended by it. */
  leasesExpire = false;
  slowUntil = 0;
  lostResponsesUntil = 0;
  lateChangesUntil = 0;
  requests = 0;
  /** Time until which the store refuses a node, by name. */
  readonly #refusedUntil = new Map<string, number>();
  #revision = 1;
  #nextLease = 1;
  readonly #leases = new Map<string, { expiresAt: number; readonly ttlMs: number }>();
  #watches = new Set<SimulatedWatch>();
  /** Number of restores from a backup plus one; 0 for a store without eras. */
  era = 0;
  readonly #clients = new Map<string, StoreClient>();
  #backups: StoreBackup[] = [];

  constructor(private readonly network: SimulatedNetwork) {
    this.#sweep();
  }

  get #clock() {
    return this.network.clock;
  }

  get isDown(): boolean {
    return this.#clock.now < this.downUntil;
  }

  /** Starts an outage; leases are extended by it or may expire during it. */
  startOutage(forMs: number, leasesExpire: boolean): void {
    this.downUntil = this.#clock.now + forMs;
    this.leasesExpire = leasesExpire;
    if (!leasesExpire) for (const lease of this.#leases.values()) lease.expiresAt += forMs;
    for (const watch of this.#watches) this.#endLater(watch, 20);
  }

  /** Starts to report a store era and to take backups. */
  takeBackups(): void {
    if (this.era === 0) this.era = 1;
    const { now } = this.#clock;
    if (!this.isDown) {
      this.#backups.push({
        at: now,
        revision: this.#revision,
        entries: new Map(this.entries),
        leases: [...this.#leases].map(([id, { ttlMs, expiresAt }]) => {
          return { id, ttlMs, remainingMs: expiresAt - now };
        }),
      });
    }
    this.#backups = this.#backups.filter(({ at }) => at >= now - MAX_BACKUP_AGE_MS);
    this.#clock.after(BACKUP_PERIOD_MS, () => this.takeBackups());
  }

  /** Starts an outage that ends with a restore from a backup of this age. */
  restoreFromBackup(ageMs: number, outageMs: number): void {
    const backup = this.#backups.findLast(({ at }) => at <= this.#clock.now - ageMs);
    this.startOutage(outageMs, false);
    this.#clock.after(outageMs, () => this.#restore(backup ?? this.#backups[0]));
  }

  #restore(backup: StoreBackup | undefined): void {
    if (backup === undefined) return;
    this.era += 1;
    this.#backups = this.#backups.filter(({ at }) => at <= backup.at);
    this.#revision = backup.revision;
    this.#changes = this.#changes.filter(({ revision }) => revision <= backup.revision);
    this.entries.clear();
    for (const [key, entry] of backup.entries) this.entries.set(key, entry);
    this.#leases.clear();
    for (const { id, ttlMs, remainingMs } of backup.leases) {
      this.#leases.set(id, { ttlMs, expiresAt: this.#clock.now + remainingMs });
    }
    for (const watch of this.#watches) {
      watch.suppressedUntil = Number.POSITIVE_INFINITY;
      this.#endLater(watch, this.#clock.between(5, MAX_POLL_MS));
    }
  }

  /** Registers a process, whose `onEra` is called with the first era that it sees and at each rise. */
  connect(machine: string, onEra: (era: number) => void): void {
    this.#clients.set(machine, { era: undefined, onEra });
  }

  /** Handles the era of a response; false if the response is from an earlier era than one already seen. */
  #observeEra(machine: string, era: number): boolean {
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

  #eraOf(machine: string): number {
    return this.#clients.get(machine)?.era ?? this.era;
  }

  /** Converts positions to revisions like the store client; compares with positions of another era never hold. */
  #toSentRequest(request: StoreRequest, era: number): StoreRequest {
    if (request.type !== 'transaction') return request;
    const compares = request.compares.map(({ key, modRevision }) => {
      const isKnown = modRevision === 0 || isInEra(modRevision, era);
      return { key, modRevision: isKnown ? revisionWithinEra(modRevision) : MAX_REVISION };
    });
    return { ...request, compares };
  }

  /** Refuses these nodes for a time: their requests fail, their watches end, and new ones do too. */
  refuseNodes(machines: readonly string[], forMs: number): void {
    for (const machine of machines) this.#refusedUntil.set(machine, this.#clock.now + forMs);
    for (const watch of this.#watches)
      if (machines.includes(watch.machine)) this.#endLater(watch, 20);
  }

  isRefused(machine: string): boolean {
    return this.#clock.now < (this.#refusedUntil.get(machine) ?? 0);
  }

  /** Suppresses all watch events for a time, then ends the watches. */
  suppressWatchEvents(forMs: number): void {
    for (const watch of this.#watches) {
      watch.suppressedUntil = this.#clock.now + forMs;
      this.#endLater(watch, forMs);
    }
  }

  request(machine: string, request: StoreRequest, onAnswer: (answer: RequestAnswer) => void): void {
    this.requests += 1;
    const { network } = this;
    const client = this.#clients.get(machine);
    const eraAtSend = this.#eraOf(machine);
    const sent = this.#toSentRequest(request, eraAtSend);
    const hasConditions =
      request.type === 'transaction' && request.compares.some(({ modRevision }) => modRevision > 0);
    const sendResponse = (answer: RequestAnswer): void => {
      const { era } = this;
      network.send(STORE, machine, () => {
        if (client !== this.#clients.get(machine)) return;
        const isDone = answer.type === 'transaction' && answer.transaction.succeeded;
        const isSameStore = !(isDone && hasConditions && era !== eraAtSend);
        onAnswer(this.#observeEra(machine, era) && isSameStore ? answer : FAILED);
      });
    };
    network.send(machine, STORE, () => {
      if (this.isDown || this.isRefused(machine)) {
        if (this.#clock.chance(0.5)) sendResponse(this.isDown ? FAILED : REFUSED);
        return;
      }
      const slowness = this.#clock.now < this.slowUntil ? this.#clock.between(100, 400) : 0;
      this.#clock.after(slowness + this.#clock.between(1, 4), () => {
        const isWrite = request.type === 'transaction' || request.type === 'grant-lease';
        if (isWrite && this.#clock.now < this.lateChangesUntil && this.#clock.chance(0.35)) {
          this.#clock.after(this.#clock.between(1000, 6000), () => this.#execute(sent));
          return;
        }
        const answer = this.#execute(sent);
        const isLost =
          isWrite && this.#clock.now < this.lostResponsesUntil && this.#clock.chance(0.35);
        if (!isLost) sendResponse(answer);
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
    const watch = { machine, prefix, onEvents, onEnd, era, suppressedUntil: 0, ended: false };
    this.#watches.add(watch);
    if (this.isRefused(machine)) this.#endLater(watch, 5);
    if (!isInEra(fromRevision, era)) this.#endLater(watch, 5);
    // Changes between the read and the watch need a new read of the whole prefix.
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

  #execute(request: PromotionRequest): RequestAnswer {
    this.#expire();
    switch (request.type) {
      case 'range': {
        const entries = [...this.entries.values()]
          .filter(({ key }) => key.startsWith(request.prefix))
          .map((entry) => this.#withStorePositions(entry));
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
        if (lease === undefined) return LEASE_GONE;
        lease.expiresAt = this.#clock.now + lease.ttlMs;
        return { type: 'done' };
      }
      case 'revoke-lease':
        this.#expireLease(request.leaseId);
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
    if (lacksLease) return LEASE_GONE;
    const found = compares.flatMap(({ key }) => this.entries.get(key) ?? []);
    const current = found.map((entry) => this.#withStorePositions(entry));
    const succeeded = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (succeeded) this.#applyOperations(operations);
    const revision = this.#position(this.#revision);
    return { type: 'transaction', transaction: { succeeded, revision, current } };
  }

  #applyOperations(operations: Extract<StoreRequest, { type: 'transaction' }>['operations']): void {
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
      return { type: 'put', entry: this.#withStorePositions(entry) };
    });
    const position = this.#position(modRevision);
    for (const watch of this.#watches) this.#notify(watch, events, position);
  }

  #position(revision: number): number {
    return toStorePosition(this.era, revision);
  }

  #withStorePositions(entry: StoredEntry): StoredEntry {
    if (this.era === 0) return entry;
    const { createRevision, modRevision } = entry;
    return {
      ...entry,
      createRevision: this.#position(createRevision),
      modRevision: this.#position(modRevision),
    };
  }

  #notify(watch: SimulatedWatch, events: readonly WatchEvent[], revision: number): void {
    const matching = events.filter((event) =>
      (event.type === 'put' ? event.entry.key : event.key).startsWith(watch.prefix),
    );
    if (matching.length === 0 || this.#clock.now < watch.suppressedUntil) return;
    if (!this.network.reaches(STORE, watch.machine)) {
      watch.suppressedUntil = Number.POSITIVE_INFINITY;
      this.#endLater(watch, 1000);
      return;
    }
    const slowness = this.#clock.now < this.slowUntil ? 300 : 0;
    // The delay is constant, so that events keep their order.
    this.#clock.after(slowness + 3, () => {
      if (!watch.ended) watch.onEvents(matching, revision);
    });
  }

  #sweep(): void {
    this.#clock.after(10, () => {
      this.#expire();
      this.#sweep();
    });
  }

  #expire(): void {
    if (this.isDown && !this.leasesExpire) return;
    for (const [leaseId, { expiresAt }] of this.#leases) {
      if (expiresAt <= this.#clock.now) this.#expireLease(leaseId);
    }
  }

  #expireLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    const keys = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    if (keys.length === 0) return;
    this.#applyOperations(keys.map(({ key }) => ({ type: 'delete', key })));
  }
}
