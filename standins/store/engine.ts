/**
 * The store stand-in without its network: etcd v3's semantics of range, put, delete, transaction,
 * lease, watch and compaction. Deterministic: the caller passes the time.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { isInRange, KeySpace, type KeySpaceChange } from './key-space.js';
import { type LeaseBackup, Leases } from './leases.js';
import {
  type ByteString,
  type Commit,
  type Compare,
  type KeyRange,
  type Operation,
  type OperationResponse,
  type PutRequest,
  type RangeRequest,
  type RangeResponse,
  type StoredEntry,
  StoreStandinError,
  type TransactionRequest,
  type TransactionResponse,
} from './model.js';

/** A backup of the store: the revision of its keys, and its leases. */
export interface StoreBackup {
  readonly revision: number;
  readonly leases: readonly LeaseBackup[];
}

/** Called with each commit, in order. */
export type CommitListener = (commit: Commit) => void;

export class StoreEngine {
  readonly #keys = new KeySpace();
  readonly #leases = new Leases();
  readonly #listeners = new Set<CommitListener>();

  get revision(): number {
    return this.#keys.revision;
  }

  get compactedRevision(): number {
    return this.#keys.compactedRevision;
  }

  range(request: RangeRequest): RangeResponse {
    return this.#keys.range(request);
  }

  /** @throws StoreStandinError if the lease does not exist. */
  put(request: PutRequest): void {
    this.#leases.require(request.leaseId);
    this.#commitChange((change) => this.#applyPut(change, request));
  }

  /** Returns the number of deleted keys. */
  deleteRange(range: KeyRange): number {
    return this.#commitChange((change) => this.#applyDelete(change, range));
  }

  /** @throws StoreStandinError, without any change, if puts overlap or a lease does not exist. */
  transaction(request: TransactionRequest): TransactionResponse {
    for (const operations of [request.success, request.failure]) checkOverlaps(operations);
    const succeeded = request.compares.every((compare) => this.#isSatisfied(compare));
    const operations = succeeded ? request.success : request.failure;
    this.#checkExecutable(operations);
    const responses = this.#commitChange((change) =>
      operations.map((operation) => this.#applyOperation(change, operation)),
    );
    return { succeeded, responses };
  }

  /** Rejects operations that would fail midway, so that a transaction applies entirely or not at all. */
  #checkExecutable(operations: readonly Operation[]): void {
    for (const operation of operations) {
      if (operation.type === 'put') this.#leases.require(operation.request.leaseId);
      if (operation.type === 'range') this.range({ ...operation.request, limit: 1 });
    }
  }

  #isSatisfied(compare: Compare): boolean {
    const entries = this.range({ ...compare, revision: 0, limit: 0 }).entries;
    if (entries.length > 0) return entries.every((entry) => compareEntry(compare, entry));
    return compare.target === 'VALUE' ? false : compareEntry(compare, undefined);
  }

  #applyOperation(change: KeySpaceChange, operation: Operation): OperationResponse {
    if (operation.type === 'range') {
      return { type: 'range', response: this.range(operation.request) };
    }
    if (operation.type === 'put') {
      this.#applyPut(change, operation.request);
      return { type: 'put' };
    }
    return { type: 'delete-range', deleted: this.#applyDelete(change, operation.request) };
  }

  #applyPut(change: KeySpaceChange, request: PutRequest): void {
    const previous = this.#keys.find(request.key);
    if (previous !== undefined) this.#leases.detach(previous.key, previous.leaseId);
    const entry = change.put(request);
    this.#leases.attach(entry.key, entry.leaseId);
  }

  #applyDelete(change: KeySpaceChange, range: KeyRange): number {
    const deleted = change.deleteRange(range);
    for (const entry of deleted) this.#leases.detach(entry.key, entry.leaseId);
    return deleted.length;
  }

  #commitChange<Value>(apply: (change: KeySpaceChange) => Value): Value {
    const change = this.#keys.beginChange();
    const value = apply(change);
    const commit = change.commit();
    if (commit !== undefined) {
      for (const listener of [...this.#listeners]) listener(commit);
    }
    return value;
  }

  /** Grants a lease; with id `0` the store chooses the id. */
  grantLease(id: string, ttlSeconds: number, now: Milliseconds): string {
    return this.#leases.grant(id, ttlSeconds, now);
  }

  /** Renews a lease; returns its time to live in seconds, 0 if it does not exist. */
  keepLeaseAlive(id: string, now: Milliseconds): number {
    return this.#leases.keepAlive(id, now);
  }

  /** Ends a lease and deletes its keys in one revision. */
  revokeLease(id: string): void {
    const keys = this.#leases.remove(id);
    this.#commitChange((change) => {
      for (const key of keys) change.deleteRange({ key, rangeEnd: '' });
    });
  }

  /** Revokes the leases that have expired at `now`; returns their ids. */
  expireLeases(now: Milliseconds): readonly string[] {
    const expiredIds = this.#leases.expired(now);
    for (const id of expiredIds) this.revokeLease(id);
    return expiredIds;
  }

  /** Ids of the leases that are neither expired nor revoked. */
  leaseIds(): readonly string[] {
    return this.#leases.ids();
  }

  /** @throws StoreStandinError if the revision is already compacted or in the future. */
  compact(revision: number): void {
    this.#keys.compact(revision);
  }

  /** The commits at and after a revision. @throws StoreStandinError if that history is compacted. */
  commitsFrom(revision: number): readonly Commit[] {
    return this.#keys.commitsFrom(revision);
  }

  createBackup(now: Milliseconds): StoreBackup {
    return { revision: this.revision, leases: this.#leases.createBackup(now) };
  }

  /** Restores a backup, or the oldest uncompacted revision if it is newer. Listeners are not called. */
  restore({ revision, leases }: StoreBackup, now: Milliseconds): void {
    this.#keys.revertTo(Math.max(revision, this.#keys.compactedRevision));
    this.#leases.restore(leases, now);
  }

  /** Calls `listener` after each commit until the returned function is called. */
  subscribe(listener: CommitListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

function compareEntry(compare: Compare, entry: StoredEntry | undefined): boolean {
  const actual = actualValueOf(compare, entry);
  if (compare.result === 'EQUAL') return actual === compare.operand;
  if (compare.result === 'NOT_EQUAL') return actual !== compare.operand;
  return compare.result === 'GREATER' ? actual > compare.operand : actual < compare.operand;
}

function actualValueOf(compare: Compare, entry: StoredEntry | undefined): number | ByteString {
  if (compare.target === 'VERSION') return entry?.version ?? 0;
  if (compare.target === 'CREATE') return entry?.createRevision ?? 0;
  if (compare.target === 'MOD') return entry?.modRevision ?? 0;
  return entry?.value ?? '';
}

/** etcd rejects a transaction that puts a key twice, or puts a key that it also deletes. */
function checkOverlaps(operations: readonly Operation[]): void {
  const put = new Set<ByteString>();
  for (const operation of operations) {
    if (operation.type !== 'put') continue;
    if (put.has(operation.request.key)) throw duplicateKeyError();
    put.add(operation.request.key);
  }
  for (const operation of operations) {
    if (operation.type !== 'delete-range') continue;
    for (const key of put) if (isInRange(key, operation.request)) throw duplicateKeyError();
  }
}

function duplicateKeyError(): StoreStandinError {
  return new StoreStandinError(
    'INVALID_ARGUMENT',
    'etcdserver: duplicate key given in txn request',
  );
}
