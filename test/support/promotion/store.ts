/**
 * The platform's store in virtual time: compare-and-swap, leases, watches, and its faults: outages
 * with leases that wait or run out, slowness, answers lost, changes done late, watches gone deaf.
 */
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
  leaseOver: false,
  retryAfterMs: undefined,
};
const LEASE_OVER: RequestAnswer = { ...FAILED, leaseOver: true };

interface StoredEntry extends KeyValue {
  readonly leaseId: string | undefined;
}

interface SimulatedWatch {
  readonly machine: string;
  readonly prefix: string;
  readonly onEvents: (events: readonly WatchEvent[], revision: number) => void;
  readonly onEnd: () => void;
  deafUntil: number;
  ended: boolean;
}

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
    const answerBack = (answer: RequestAnswer): void =>
      network.send(STORE, machine, () => onAnswer(answer));
    network.send(machine, STORE, () => {
      if (this.isDown || this.#refuses(machine)) {
        if (this.#clock.chance(0.5)) answerBack(FAILED);
        return;
      }
      const slowness = this.#clock.now < this.slowUntil ? this.#clock.between(100, 400) : 0;
      this.#clock.after(slowness + this.#clock.between(1, 4), () => {
        const isWrite = request.type === 'transaction' || request.type === 'grant-lease';
        if (isWrite && this.#clock.now < this.lateUntil && this.#clock.chance(0.35)) {
          this.#clock.after(this.#clock.between(1000, 6000), () => this.#carryOut(request));
          return;
        }
        const answer = this.#carryOut(request);
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
    const watch = { machine, prefix, onEvents, onEnd, deafUntil: 0, ended: false };
    this.#watches.add(watch);
    if (this.#refuses(machine)) this.#endLater(watch, 5);
    // What changed between the read and the watch is told by a whole new read.
    if (fromRevision <= this.#revision && this.#changedSince(prefix, fromRevision)) {
      this.#endLater(watch, 5);
    }
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
        const entries = [...this.entries.values()].filter(({ key }) =>
          key.startsWith(request.prefix),
        );
        return { type: 'range', range: { revision: this.#revision, entries } };
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
    const current = compares.flatMap(({ key }) => this.entries.get(key) ?? []);
    const succeeded = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    if (succeeded) this.#change(operations);
    return { type: 'transaction', transaction: { succeeded, revision: this.#revision, current } };
  }

  #change(operations: Extract<StoreRequest, { type: 'transaction' }>['operations']): void {
    this.#revision += 1;
    const modRevision = this.#revision;
    const events = operations.map((operation): WatchEvent => {
      const { key } = operation;
      this.#changes.push({ key, revision: modRevision });
      if (operation.type === 'delete') {
        this.entries.delete(key);
        return { type: 'delete', key, modRevision };
      }
      const createRevision = this.entries.get(key)?.createRevision ?? modRevision;
      const { value, leaseId } = operation;
      const entry = { key, value, createRevision, modRevision, leaseId };
      this.entries.set(key, entry);
      return { type: 'put', entry };
    });
    for (const watch of this.#watches) this.#tell(watch, events, modRevision);
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
