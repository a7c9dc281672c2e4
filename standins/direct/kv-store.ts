/**
 * The platform's metadata store over HTTP, built on the engine of the store stand-in. The operator
 * and the instances write to it within this process; other clients use HTTP.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../src/core/units.js';
import { MILLISECONDS_PER_SECOND } from '../../src/core/units.js';
import { readJsonBody, sendJson } from '../common/control-server.js';
import { TokenBucket } from '../common/token-bucket.js';
import { type StoreBackup, StoreEngine } from '../store/engine.js';
import type { Commit } from '../store/model.js';
import {
  type CallKind,
  KV_CALLS,
  type KvCall,
  type KvRequest,
  type KvResponse,
} from './kv-calls.js';
import { type KvFaultSettings, type KvFaults, NO_KV_FAULTS } from './kv-faults.js';
import { monotonicMs } from './monotonic.js';

const LEASE_CHECK_INTERVAL_MS = 20;
const RENEWAL_COST = 0.1;
/** Older backups are removed. */
const MAX_BACKUP_AGE_MS: Milliseconds = 12_000;
/** Interval of the periodic backups. */
const BACKUP_INTERVAL_MS: Milliseconds = 50;
const ERA_HEADER = 'store-era';
const OPERATOR_PREFIX = 'op/';
const TOO_MANY: KvResponse = { status: 429, body: { error: 'too many calls' } };
const UNAVAILABLE: KvResponse = { status: 503, body: { error: 'the store is down' } };
const NOT_FOUND: KvResponse = { status: 404, body: { error: 'no such call' } };

/** How the store is restored from a backup. */
export interface RestorePlan {
  /** Age of the backup when the outage begins; undefined for the one taken by `takeBackup`. */
  readonly ageMs?: Milliseconds | undefined;
  /** Duration of the outage, without any response. */
  readonly awayMs: Milliseconds;
  /** Delay from the end of the outage until the operator rewrites its lost values. */
  readonly rewriteMs: Milliseconds;
}

/** Number of calls since start, by path. */
export type CallCounts = Record<string, number>;

export class KvStore {
  readonly engine = new StoreEngine();
  readonly server: Server;
  readonly counts: CallCounts = {};
  #faults: KvFaults = NO_KV_FAULTS;
  #buckets = new Map<CallKind, TokenBucket>();
  /** Connections on which a response was lost: they get no further response. */
  readonly #mutedSockets = new WeakSet<Socket>();
  readonly #watchSockets = new Set<Socket>();
  /** Commit time of each revision, for stale reads and compaction. */
  #revisionTimes: { readonly revision: number; readonly at: Milliseconds }[] = [];
  #leaseClockStoppedAt: Milliseconds | undefined;
  #leaseClockStoppedMs = 0;
  #nextLeaseId = 77_120;
  #backups: { readonly backup: StoreBackup; readonly at: Milliseconds }[] = [];
  #requestedBackup: StoreBackup | undefined;
  /** Values that the operator wrote last, whether or not the store still has them. */
  readonly #operatorValues = new Map<string, string>();
  /** Store era: the number of restores from a backup. */
  #era = 0;

  constructor(
    readonly limits: { readonly minTtlMs: number; readonly valueBytes: number },
    private readonly historyMs: Milliseconds,
  ) {
    this.server = createServer((request, response) => {
      this.#accept(request, response).catch(() => request.socket.destroy());
    });
    this.server.requestTimeout = 0;
    this.engine.subscribe((commit) => this.#recordCommitTime(commit));
    setInterval(() => this.#tick(), LEASE_CHECK_INTERVAL_MS).unref();
    setInterval(() => this.#takePeriodicBackup(), BACKUP_INTERVAL_MS).unref();
  }

  get faults(): KvFaults {
    return this.#faults;
  }

  get isDown(): boolean {
    return this.#faults.down !== 'no';
  }

  /** Current time of the lease clock, which may stop while the store is down. */
  get leaseNow(): Milliseconds {
    return (this.#leaseClockStoppedAt ?? monotonicMs()) - this.#leaseClockStoppedMs;
  }

  applyFaults(settings: KvFaultSettings): void {
    const now = monotonicMs();
    this.#faults = { ...this.#faults, ...settings };
    const rates = { write: settings.writesPerSecond, read: settings.readsPerSecond };
    for (const kind of ['write', 'read'] as const) {
      const rate = rates[kind];
      if (rate === null) this.#buckets.delete(kind);
      else if (rate !== undefined) this.#buckets.set(kind, new TokenBucket(rate, now));
    }
    if (this.#faults.down === 'unavailable') this.cutWatches();
    const stopsLeaseClock = this.isDown && this.#faults.leasesWait;
    if (stopsLeaseClock) this.#leaseClockStoppedAt ??= now;
    else if (this.#leaseClockStoppedAt !== undefined) {
      this.#leaseClockStoppedMs += now - this.#leaseClockStoppedAt;
      this.#leaseClockStoppedAt = undefined;
    }
  }

  /** A write by the operator or an instance; returns its revision, undefined while the store is down. */
  put(key: string, value: string): number | undefined {
    if (this.isDown) return undefined;
    this.engine.put({ key, value, leaseId: '0' });
    if (key.startsWith(OPERATOR_PREFIX)) this.#operatorValues.set(key, value);
    return this.engine.revision;
  }

  /** Deletes a key, also while the store is down. */
  remove(key: string): void {
    this.engine.deleteRange({ key, rangeEnd: '' });
  }

  /** Current value of a key; undefined if it is absent. */
  valueOf(key: string): string | undefined {
    return this.engine.range({ key, rangeEnd: '', revision: 0, limit: 1 }).entries[0]?.value;
  }

  /** All keys and their values, also while the store is down. */
  values(): Readonly<Record<string, string>> {
    const { entries } = this.engine.range({ key: '\0', rangeEnd: '\0', revision: 0, limit: 0 });
    return Object.fromEntries(entries.map(({ key, value }) => [key, value]));
  }

  /** Takes the backup for a restore without `ageMs`. */
  takeBackup(): void {
    this.#requestedBackup = this.engine.createBackup(this.leaseNow);
  }

  #backupOfAge(ageMs: Milliseconds): StoreBackup | undefined {
    const asOf = monotonicMs() - ageMs;
    return (this.#backups.findLast(({ at }) => at <= asOf) ?? this.#backups[0])?.backup;
  }

  /** Simulates an outage that ends with a restore; resolves after the operator rewrote its lost values. */
  async restoreBackup({ ageMs, awayMs, rewriteMs }: RestorePlan): Promise<void> {
    const backup = ageMs === undefined ? this.#requestedBackup : this.#backupOfAge(ageMs);
    this.applyFaults({ down: 'silent' });
    await pause(awayMs);
    if (backup !== undefined) this.engine.restore(backup, this.leaseNow);
    this.#era += 1;
    this.#backups = [];
    this.#revisionTimes = this.#revisionTimes.filter(
      ({ revision }) => revision <= this.engine.revision,
    );
    this.applyFaults({ down: 'no' });
    await pause(rewriteMs);
    for (const [key, value] of this.#operatorValues) {
      if (this.valueOf(key) !== value) this.put(key, value);
    }
  }

  #takePeriodicBackup(): void {
    const now = monotonicMs();
    if (this.isDown) return;
    this.#backups.push({ backup: this.engine.createBackup(this.leaseNow), at: now });
    if ((this.#backups[0]?.at ?? now) < now - MAX_BACKUP_AGE_MS) this.#backups.shift();
  }

  grantLease(ttlMs: Milliseconds): number {
    this.#nextLeaseId += 1;
    this.engine.grantLease(
      String(this.#nextLeaseId),
      ttlMs / MILLISECONDS_PER_SECOND,
      this.leaseNow,
    );
    return this.#nextLeaseId;
  }

  /** Resets the connections of waiting watches. */
  cutWatches(): void {
    for (const socket of this.#watchSockets) socket.resetAndDestroy();
  }

  /** The revision at which a stale read is answered. */
  staleRevision(): number {
    const asOf = monotonicMs() - this.#faults.staleMs;
    const revision = this.#revisionTimes.findLast(({ at }) => at <= asOf)?.revision ?? 1;
    return Math.max(revision, this.engine.compactedRevision, 1);
  }

  #recordCommitTime(commit: Commit): void {
    this.#revisionTimes.push({ revision: commit.revision, at: monotonicMs() });
  }

  #tick(): void {
    if (this.#leaseClockStoppedAt === undefined) this.engine.expireLeases(this.leaseNow);
    const asOf = monotonicMs() - this.historyMs;
    const last = this.#revisionTimes.findLastIndex(({ at }) => at <= asOf);
    const compactTo = this.#revisionTimes[last]?.revision ?? 0;
    if (compactTo > this.engine.compactedRevision) this.engine.compact(compactTo);
    if (last > 0) this.#revisionTimes = this.#revisionTimes.slice(last);
  }

  async #accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readJsonBody(request);
    const { socket } = request;
    if (this.#mutedSockets.has(socket)) return;
    const found = findCall(request.method ?? '', url.pathname);
    const path = found?.call.path ?? url.pathname;
    this.counts[path] = (this.counts[path] ?? 0) + 1;
    if (this.#faults.down === 'silent') {
      this.#mutedSockets.add(socket);
      return;
    }
    const delayMs = this.#faults.answerMs * this.#faults.slowFactor;
    await pause(delayMs / 2);
    if (this.#faults.down === 'unavailable') return this.#respond(socket, response, UNAVAILABLE);
    if (found === undefined) return this.#respond(socket, response, NOT_FOUND);
    const { call, parameter } = found;
    const parameters = url.searchParams;
    const isStale = parameters.get('is_stale') === '1';
    if (!isStale && !this.#tryAdmit(call)) return this.#respond(socket, response, TOO_MANY);
    const input: KvRequest = { parameters, body, parameter, isStale };
    if (call.kind !== 'read' && this.#faults.loseNext > 0)
      return this.#loseResponse(socket, call, input);
    if (call.isLongPoll === true) this.#watchSockets.add(socket);
    const answer = await call.handle(this, input, () => response.destroyed);
    this.#watchSockets.delete(socket);
    await pause(delayMs / 2);
    this.#respond(socket, response, answer);
  }

  #tryAdmit(call: KvCall): boolean {
    const bucket = this.#buckets.get(call.kind === 'write' ? 'write' : 'read');
    return bucket?.tryTake(monotonicMs(), call.kind === 'renewal' ? RENEWAL_COST : 1) ?? true;
  }

  /** Gives the call no response; it takes effect now, later or never, according to `loseMode`. */
  #loseResponse(socket: Socket, call: KvCall, input: KvRequest): void {
    const { loseMode, lateMs } = this.#faults;
    this.#faults = { ...this.#faults, loseNext: this.#faults.loseNext - 1 };
    this.#mutedSockets.add(socket);
    const run = (): void => void call.handle(this, input, () => false);
    if (loseMode === 'done') run();
    else if (loseMode === 'late') setTimeout(run, lateMs);
  }

  #respond(socket: Socket, response: ServerResponse, answer: KvResponse): void {
    if (this.#faults.down === 'silent') this.#mutedSockets.add(socket);
    if (this.#mutedSockets.has(socket) || response.destroyed) return;
    sendJson(response, answer.status, answer.body, { [ERA_HEADER]: String(this.#era) });
  }
}

function findCall(
  method: string,
  path: string,
): { readonly call: KvCall; readonly parameter: string } | undefined {
  for (const call of KV_CALLS) {
    if (call.method !== method) continue;
    if (call.path === path) return { call, parameter: '' };
    const parameter = path.startsWith(`${call.path}/`) ? path.slice(call.path.length + 1) : '';
    if (parameter !== '') return { call, parameter };
  }
  return undefined;
}

function pause(ms: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
