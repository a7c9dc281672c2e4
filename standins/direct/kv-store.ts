/**
 * The platform's metadata store over HTTP, on the engine of the store stand-in. The operator and the
 * instances write to it within this process; everyone else calls.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '../../src/core/units.js';
import { MILLISECONDS_PER_SECOND } from '../../src/core/units.js';
import { readJsonBody, sendJson } from '../common/control-server.js';
import { TokenBucket } from '../common/token-bucket.js';
import { type StoreBackup, StoreEngine } from '../store/engine.js';
import type { Commit } from '../store/model.js';
import { type Answer, type CallKind, KV_CALLS, type KvCall, type KvRequest } from './kv-calls.js';
import { type KvFaultSettings, type KvFaults, NO_KV_FAULTS } from './kv-faults.js';
import { monotonicMs } from './monotonic.js';

const LEASE_CHECK_INTERVAL_MS = 20;
const RENEWAL_PRICE = 0.1;
/** Copies older than this are not kept. */
const OLDEST_COPY_MS: Milliseconds = 12_000;
/** A copy is taken so often. */
const COPY_EVERY_MS: Milliseconds = 50;
const ERA_HEADER = 'store-era';
const OPERATOR_PREFIX = 'op/';
const TOO_MANY: Answer = { status: 429, body: { error: 'too many calls' } };
const UNAVAILABLE: Answer = { status: 503, body: { error: 'the store is down' } };
const NOT_FOUND: Answer = { status: 404, body: { error: 'no such call' } };

/** How the store comes back from a copy. */
export interface ReturnPlan {
  /** Age of the copy when the store goes away; undefined for the one that was asked for. */
  readonly ageMs?: Milliseconds | undefined;
  /** How long it answers nothing. */
  readonly awayMs: Milliseconds;
  /** So long after its return the operator writes again what is gone. */
  readonly rewriteMs: Milliseconds;
}

/** What was called since start, by path. */
export type CallCounts = Record<string, number>;

export class KvStore {
  readonly engine = new StoreEngine();
  readonly server: Server;
  readonly counts: CallCounts = {};
  #faults: KvFaults = NO_KV_FAULTS;
  #buckets = new Map<CallKind, TokenBucket>();
  /** Connections on which an answer was lost: nothing more is said there. */
  readonly #mute = new WeakSet<Socket>();
  readonly #waiting = new Set<Socket>();
  /** Revisions by the time at which they were newest, for stale reads and for history. */
  #history: { readonly revision: number; readonly at: Milliseconds }[] = [];
  #leaseStoppedAt: Milliseconds | undefined;
  #leaseStoppedMs = 0;
  #nextLeaseId = 77_120;
  #copies: { readonly copy: StoreBackup; readonly at: Milliseconds }[] = [];
  #askedCopy: StoreBackup | undefined;
  /** What the operator wrote last, whether or not the store has it yet. */
  readonly #operatorValues = new Map<string, string>();
  /** How often the store came back from a copy. */
  #era = 0;

  constructor(
    readonly limits: { readonly minTtlMs: number; readonly valueBytes: number },
    private readonly historyMs: Milliseconds,
  ) {
    this.server = createServer((request, response) => {
      this.#accept(request, response).catch(() => request.socket.destroy());
    });
    this.server.requestTimeout = 0;
    this.engine.subscribe((commit) => this.#remember(commit));
    setInterval(() => this.#tick(), LEASE_CHECK_INTERVAL_MS).unref();
    setInterval(() => this.#copy(), COPY_EVERY_MS).unref();
  }

  get faults(): KvFaults {
    return this.#faults;
  }

  get isDown(): boolean {
    return this.#faults.down !== 'no';
  }

  /** Time as leases see it: it may stand while the store is down. */
  get leaseNow(): Milliseconds {
    return (this.#leaseStoppedAt ?? monotonicMs()) - this.#leaseStoppedMs;
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
    const stops = this.isDown && this.#faults.leasesWait;
    if (stops) this.#leaseStoppedAt ??= now;
    else if (this.#leaseStoppedAt !== undefined) {
      this.#leaseStoppedMs += now - this.#leaseStoppedAt;
      this.#leaseStoppedAt = undefined;
    }
  }

  /** A write of the operator or of an instance; gives its revision, or undefined if not taken. */
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

  /** What a key holds now; undefined if it is absent. */
  valueOf(key: string): string | undefined {
    return this.engine.range({ key, rangeEnd: '', revision: 0, limit: 1 }).entries[0]?.value;
  }

  /** Takes the copy for a return that names no age. */
  takeCopy(): void {
    this.#askedCopy = this.engine.createBackup(this.leaseNow);
  }

  #copyOfAge(ageMs: Milliseconds): StoreBackup | undefined {
    const asOf = monotonicMs() - ageMs;
    return (this.#copies.findLast(({ at }) => at <= asOf) ?? this.#copies[0])?.copy;
  }

  /** Goes away for a while and comes back as it was; settles when the operator has written again what was gone. */
  async returnFromCopy({ ageMs, awayMs, rewriteMs }: ReturnPlan): Promise<void> {
    const copy = ageMs === undefined ? this.#askedCopy : this.#copyOfAge(ageMs);
    this.applyFaults({ down: 'silent' });
    await pause(awayMs);
    if (copy !== undefined) this.engine.restore(copy, this.leaseNow);
    this.#era += 1;
    this.#copies = [];
    this.#history = this.#history.filter(({ revision }) => revision <= this.engine.revision);
    this.applyFaults({ down: 'no' });
    await pause(rewriteMs);
    for (const [key, value] of this.#operatorValues) {
      if (this.valueOf(key) !== value) this.put(key, value);
    }
  }

  #copy(): void {
    const now = monotonicMs();
    if (this.isDown) return;
    this.#copies.push({ copy: this.engine.createBackup(this.leaseNow), at: now });
    if ((this.#copies[0]?.at ?? now) < now - OLDEST_COPY_MS) this.#copies.shift();
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

  /** Cuts the connections on which a watch waits. */
  cutWatches(): void {
    for (const socket of this.#waiting) socket.resetAndDestroy();
  }

  /** The revision that a stale read sees. */
  staleRevision(): number {
    const asOf = monotonicMs() - this.#faults.staleMs;
    const seen = this.#history.findLast(({ at }) => at <= asOf)?.revision ?? 1;
    return Math.max(seen, this.engine.compactedRevision, 1);
  }

  #remember(commit: Commit): void {
    this.#history.push({ revision: commit.revision, at: monotonicMs() });
  }

  #tick(): void {
    if (this.#leaseStoppedAt === undefined) this.engine.expireLeases(this.leaseNow);
    const asOf = monotonicMs() - this.historyMs;
    const last = this.#history.findLastIndex(({ at }) => at <= asOf);
    const forgotten = this.#history[last]?.revision ?? 0;
    if (forgotten > this.engine.compactedRevision) this.engine.compact(forgotten);
    if (last > 0) this.#history = this.#history.slice(last);
  }

  async #accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readJsonBody(request);
    const { socket } = request;
    if (this.#mute.has(socket)) return;
    const found = findCall(request.method ?? '', url.pathname);
    const path = found?.call.path ?? url.pathname;
    this.counts[path] = (this.counts[path] ?? 0) + 1;
    if (this.#faults.down === 'silent') {
      this.#mute.add(socket);
      return;
    }
    const delayMs = this.#faults.answerMs * this.#faults.slowFactor;
    await pause(delayMs / 2);
    if (this.#faults.down === 'unavailable') return this.#answer(socket, response, UNAVAILABLE);
    if (found === undefined) return this.#answer(socket, response, NOT_FOUND);
    const { call, parameter } = found;
    const parameters = url.searchParams;
    const isStale = parameters.get('is_stale') === '1';
    if (!isStale && !this.#admits(call)) return this.#answer(socket, response, TOO_MANY);
    const input: KvRequest = { parameters, body, parameter, isStale };
    if (call.kind !== 'read' && this.#faults.loseNext > 0) return this.#lose(socket, call, input);
    if (call.waits === true) this.#waiting.add(socket);
    const answer = await call.handle(this, input, () => response.destroyed);
    this.#waiting.delete(socket);
    await pause(delayMs / 2);
    this.#answer(socket, response, answer);
  }

  #admits(call: KvCall): boolean {
    const bucket = this.#buckets.get(call.kind === 'write' ? 'write' : 'read');
    return bucket?.tryTake(monotonicMs(), call.kind === 'renewal' ? RENEWAL_PRICE : 1) ?? true;
  }

  /** The call gets no answer; it may be done now, later or never. */
  #lose(socket: Socket, call: KvCall, input: KvRequest): void {
    const { loseMode, lateMs } = this.#faults;
    this.#faults = { ...this.#faults, loseNext: this.#faults.loseNext - 1 };
    this.#mute.add(socket);
    const run = (): void => void call.handle(this, input, () => false);
    if (loseMode === 'done') run();
    else if (loseMode === 'late') setTimeout(run, lateMs);
  }

  #answer(socket: Socket, response: ServerResponse, answer: Answer): void {
    if (this.#faults.down === 'silent') this.#mute.add(socket);
    if (this.#mute.has(socket) || response.destroyed) return;
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
