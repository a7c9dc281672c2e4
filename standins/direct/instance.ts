/** A database instance: its listener, its entry in the store, and how it ends and returns. */
import { createServer, type Server, type Socket } from 'node:net';
import type { Milliseconds } from '../../src/core/units.js';
import { listen, listenAgain } from '../common/process.js';
import { Slots } from '../database/slots.js';
import { InstanceConnection } from './connection.js';
import type { DatabaseGroup } from './group.js';
import { type InstanceFaultSettings, noInstanceFaults } from './instance-faults.js';
import type { KvStore } from './kv-store.js';
import type { Member } from './member.js';
import { monotonicMs } from './monotonic.js';
import type { RunLog } from './run-log.js';

/** Heartbeats that may be missed before the entry goes. */
const MISSED_HEARTBEATS = 3;
/** Connections whose far end is dark for so long are dropped. */
const DARK_DROP_AFTER_MS = 3000;

export interface InstanceOptions {
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly slots: number;
  /** Statements that may wait for a slot; beyond them BUSY. */
  readonly queueLength: number;
  readonly maxConnections: number;
  readonly workMs: Milliseconds;
  /** How long a new connection keeps a slot. */
  readonly connectMs: Milliseconds;
  /** A commit that no replica receives for so long is answered with TIMEOUT. */
  readonly syncTimeoutMs: Milliseconds;
  readonly heartbeatMs: Milliseconds;
  readonly drainTimeoutMs: Milliseconds;
}

/** A planned end. */
export interface DrainPlan {
  /** Time beyond the drain timeout. */
  readonly extraMs: Milliseconds;
  /** When a new instance follows at the address; undefined for never. */
  readonly replaceAfterMs: Milliseconds | undefined;
  readonly replacementId: string;
}

export class Instance {
  readonly slots: Slots;
  readonly faults = noInstanceFaults();
  readonly #connections = new Set<InstanceConnection>();
  #server: Server = createServer();
  #port = 0;
  #isDraining = false;
  #sequence = 0;
  /** The entry as it was written last, and what it says but for the sequence. */
  #announced = { value: '', text: '' };
  #announcedAt: Milliseconds = 0;
  #darkSince: Milliseconds = 0;
  #onAnnounced: (() => void) | undefined;

  constructor(
    readonly options: InstanceOptions,
    readonly member: Member,
    readonly group: DatabaseGroup,
    private readonly store: KvStore,
    readonly runLog: RunLog,
  ) {
    this.slots = new Slots(options.slots);
  }

  get address(): string {
    return `${this.options.host}:${this.#port}`;
  }

  get connectionCount(): number {
    return this.#connections.size;
  }

  async start(): Promise<void> {
    this.#server = this.#createServer();
    this.#port = await listen(this.#server, this.options.host, 0);
    this.announce();
    setInterval(() => this.#beat(), this.options.heartbeatMs).unref();
  }

  #createServer(): Server {
    return createServer((socket: Socket) => {
      const connection = new InstanceConnection(socket, this);
      this.#connections.add(connection);
      socket.on('close', () => this.#connections.delete(connection));
    });
  }

  /** True if a statement is turned away for want of a slot. */
  refusesAsBusy(): boolean {
    if (this.faults.isBusy || monotonicMs() < this.member.busyUntil) return true;
    return this.slots.queued >= this.options.queueLength;
  }

  applyFaults({ lagMs, isStalled, ...settings }: InstanceFaultSettings): void {
    if (lagMs !== undefined) this.member.lagMs = lagMs;
    if (isStalled !== undefined) this.member.isStalled = isStalled;
    Object.assign(this.faults, settings);
  }

  /** Writes its entry, if the store can be reached. */
  announce(): void {
    const { id, role, isRunning, isDark } = this.member;
    if (!isRunning || isDark || this.faults.isSilentToStore) return;
    const { service, zone, slots } = this.options;
    const key = `servers/${id}`;
    const entry = {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state: this.#isDraining ? 'draining' : 'ready',
      cold_remaining_ms: 0,
      database_role: role,
    };
    const text = JSON.stringify(entry);
    // Also what a return of the store from a copy has taken back is written again.
    const { value: written } = this.#announced;
    const isSame = text === this.#announced.text && this.store.valueOf(key) === written;
    if (isSame && this.store.isDown) return;
    if (!isSame) {
      const value = JSON.stringify({ ...entry, sequence: this.#sequence });
      if (this.store.put(key, value) === undefined) return;
      this.#announced = { value, text };
    }
    this.#sequence += 1;
    this.#announcedAt = monotonicMs();
    this.#onAnnounced?.();
    this.#onAnnounced = undefined;
  }

  #beat(): void {
    this.announce();
    const silentMs = monotonicMs() - this.#announcedAt;
    const mayLapse = !this.store.isDown || this.store.faults.entriesLapse;
    if (mayLapse && silentMs > MISSED_HEARTBEATS * this.options.heartbeatMs) this.#removeEntry();
  }

  #removeEntry(): void {
    this.store.remove(`servers/${this.member.id}`);
  }

  /** Ends at once and says nothing. */
  crash(): void {
    if (!this.member.isRunning) return;
    this.member.isRunning = false;
    this.#server.close();
    for (const connection of this.#connections) connection.reset();
  }

  /** Nothing gets in or out, while it goes on. */
  darken(): void {
    this.member.isDark = true;
    this.#darkSince = monotonicMs();
    for (const connection of this.#connections) connection.darken();
  }

  /** Comes back after a crash, or out of the dark. */
  async return(): Promise<void> {
    const { member } = this;
    if (member.isDark) {
      member.isDark = false;
      const isDropped = monotonicMs() - this.#darkSince >= DARK_DROP_AFTER_MS;
      for (const connection of this.#connections) {
        if (isDropped) connection.reset();
        else connection.lighten();
      }
    } else if (!member.isRunning) {
      this.#server = this.#createServer();
      await listenAgain(this.#server, this.options.host, this.#port);
      this.group.restart(member);
    }
    this.announce();
  }

  /** Says `draining`; once the store has taken that, serves on for the drain timeout and ends. */
  drain(plan: DrainPlan): void {
    this.#isDraining = true;
    this.#onAnnounced = () => {
      setTimeout(() => this.#leave(plan), this.options.drainTimeoutMs + plan.extraMs);
    };
    this.announce();
  }

  #leave({ replaceAfterMs, replacementId }: DrainPlan): void {
    this.crash();
    this.#removeEntry();
    if (replaceAfterMs === undefined) return;
    setTimeout(() => {
      this.member.id = replacementId;
      this.#isDraining = false;
      void this.return();
    }, replaceAfterMs);
  }
}
