/** A database instance: its listener, its registration in the store, crash, restart and drain. */
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

/** Missed heartbeats after which the registration expires. */
const MAX_MISSED_HEARTBEATS = 3;
/** Connections are reset if the instance was unreachable for at least this time. */
const UNREACHABLE_DROP_AFTER_MS = 3000;

export interface InstanceOptions {
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly slots: number;
  /** Maximum number of statements waiting for a slot; further ones get BUSY. */
  readonly queueLength: number;
  readonly maxConnections: number;
  readonly workMs: Milliseconds;
  /** Time for which a new connection occupies a slot. */
  readonly connectMs: Milliseconds;
  /** A commit that too few replicas receive within this time is answered with TIMEOUT. */
  readonly syncTimeoutMs: Milliseconds;
  readonly heartbeatMs: Milliseconds;
  readonly drainTimeoutMs: Milliseconds;
  /** Whether its registration tells when it started; false by default. */
  readonly reportsStartTime?: boolean;
}

/** A planned shutdown. */
export interface DrainPlan {
  /** Additional time after the drain timeout. */
  readonly extraMs: Milliseconds;
  /** Delay before a new instance starts at the same address; undefined for none. */
  readonly replaceAfterMs: Milliseconds | undefined;
  readonly replacementId: string;
}

export class Instance {
  readonly slots: Slots;
  readonly faults = noInstanceFaults();
  readonly #connections = new Set<InstanceConnection>();
  #server: Server = createServer();
  #port = 0;
  /** Unix time of its start, a whole number of milliseconds. */
  #startedAt = 0;
  #isDraining = false;
  #sequence = 0;
  /** The registration last written (`value`), and the same without its sequence (`text`). */
  #registration = { value: '', text: '' };
  #registeredAt: Milliseconds = 0;
  #unreachableSince: Milliseconds = 0;
  #onRegistered: (() => void) | undefined;

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

  /** Unix time of the start of this incarnation. */
  get startedAt(): Milliseconds {
    return this.#startedAt;
  }

  async start(): Promise<void> {
    this.#beginIncarnation();
    this.#server = this.#createServer();
    this.#port = await listen(this.#server, this.options.host, 0);
    this.register();
    setInterval(() => this.#sendHeartbeat(), this.options.heartbeatMs).unref();
  }

  #beginIncarnation(): void {
    this.#startedAt = Math.max(Date.now(), this.#startedAt + 1);
    this.#sequence = 0;
  }

  #createServer(): Server {
    return createServer((socket: Socket) => {
      const connection = new InstanceConnection(socket, this);
      this.#connections.add(connection);
      socket.on('close', () => this.#connections.delete(connection));
    });
  }

  /** True if a statement must be answered with BUSY: a fault, a rollback, or a full queue. */
  refusesAsBusy(): boolean {
    if (this.faults.isBusy || monotonicMs() < this.member.busyUntil) return true;
    return this.slots.queued >= this.options.queueLength;
  }

  applyFaults({ lagMs, isStalled, ...settings }: InstanceFaultSettings): void {
    if (lagMs !== undefined) this.member.lagMs = lagMs;
    if (isStalled !== undefined) this.member.isStalled = isStalled;
    Object.assign(this.faults, settings);
  }

  /** Writes its registration or counts a heartbeat, if the store can be reached. */
  register(): void {
    const { id, role, isRunning, isDark } = this.member;
    if (!isRunning || isDark || this.faults.isSilentToStore) return;
    const { service, zone, slots, reportsStartTime } = this.options;
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
      ...(reportsStartTime === true ? { born: this.#startedAt } : {}),
    };
    const text = JSON.stringify(entry);
    // A registration that a restore of the store has reverted is written again.
    const { value: written } = this.#registration;
    const isUnchanged = text === this.#registration.text && this.store.valueOf(key) === written;
    if (isUnchanged && this.store.isDown) return;
    if (!isUnchanged) {
      const value = JSON.stringify({ ...entry, sequence: this.#sequence });
      if (this.store.put(key, value) === undefined) return;
      this.#registration = { value, text };
    }
    this.#sequence += 1;
    this.#registeredAt = monotonicMs();
    this.#onRegistered?.();
    this.#onRegistered = undefined;
  }

  #sendHeartbeat(): void {
    this.register();
    const msSinceRegistration = monotonicMs() - this.#registeredAt;
    const mayExpire = !this.store.isDown || this.store.faults.entriesLapse;
    if (mayExpire && msSinceRegistration > MAX_MISSED_HEARTBEATS * this.options.heartbeatMs)
      this.#removeRegistration();
  }

  #removeRegistration(): void {
    this.store.remove(`servers/${this.member.id}`);
  }

  /** Stops immediately and resets all connections. */
  crash(): void {
    if (!this.member.isRunning) return;
    this.member.isRunning = false;
    this.#server.close();
    for (const connection of this.#connections) connection.reset();
  }

  /** Stops all input and output while the instance keeps running. */
  makeUnreachable(): void {
    this.member.isDark = true;
    this.#unreachableSince = monotonicMs();
    for (const connection of this.#connections) connection.makeUnreachable();
  }

  /** Restarts after a crash, or becomes reachable again. */
  async return(): Promise<void> {
    const { member } = this;
    if (member.isDark) {
      member.isDark = false;
      const isDropped = monotonicMs() - this.#unreachableSince >= UNREACHABLE_DROP_AFTER_MS;
      for (const connection of this.#connections) {
        if (isDropped) connection.reset();
        else connection.makeReachable();
      }
    } else if (!member.isRunning) {
      this.#server = this.#createServer();
      await listenAgain(this.#server, this.options.host, this.#port);
      this.group.restart(member);
    }
    this.register();
  }

  /**
   * Stops at once, and starts again after a delay under its id, without its log: a new incarnation. Its registration is
   * written when it reaches the store.
   */
  startAgain(afterMs: Milliseconds): void {
    if (!this.member.isRunning || this.#isDraining) return;
    this.crash();
    setTimeout(() => void this.#startIncarnation(), afterMs);
  }

  async #startIncarnation(): Promise<void> {
    this.#beginIncarnation();
    this.#server = this.#createServer();
    await listenAgain(this.#server, this.options.host, this.#port);
    this.group.restartEmpty(this.member);
    this.register();
  }

  /** Registers as `draining`; once the store has that, serves for the drain timeout and stops. */
  drain(plan: DrainPlan): void {
    this.#isDraining = true;
    this.#onRegistered = () => {
      setTimeout(() => this.#finishDrain(plan), this.options.drainTimeoutMs + plan.extraMs);
    };
    this.register();
  }

  #finishDrain({ replaceAfterMs, replacementId }: DrainPlan): void {
    this.crash();
    this.#removeRegistration();
    if (replaceAfterMs === undefined) return;
    setTimeout(() => {
      this.member.id = replacementId;
      this.#beginIncarnation();
      this.#isDraining = false;
      void this.return();
    }, replaceAfterMs);
  }
}
