/**
 * The store stand-in without its network: etcd v3's semantics of range, put, delete, transaction,
 * lease, watch and compaction. Deterministic: the caller supplies the clock.
 */
import type { Milliseconds } from '../../src/core/units.js';
import { isInRange, KeySpace, type KeySpaceChange } from './key-space.js';
import { type CopiedLease, Leases } from './leases.js';
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

/** A copy of the store: the keys as of a revision, and the leases. */
export interface StoreCopy {
  readonly revision: number;
  readonly leases: readonly CopiedLease[];
}

/** Told of each commit, in order. */
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
    this.#change((change) => this.#applyPut(change, request));
  }

  /** Returns how many keys were deleted. */
  deleteRange(range: KeyRange): number {
    return this.#change((change) => this.#applyDelete(change, range));
  }

  /** @throws StoreStandinError if puts overlap or a lease does not exist; nothing changes then. */
  transaction(request: TransactionRequest): TransactionResponse {
    for (const operations of [request.success, request.failure]) checkOverlaps(operations);
    const succeeded = request.compares.every((compare) => this.#holds(compare));
    const operations = succeeded ? request.success : request.failure;
    this.#checkExecutable(operations);
    const responses = this.#change((change) =>
      operations.map((operation) => this.#applyOperation(change, operation)),
    );
    return { succeeded, responses };
  }

  /** Refuses what would fail half way, so that a transaction applies whole or not at all. */
  #checkExecutable(operations: readonly Operation[]): void {
    for (const operation of operations) {
      if (operation.type === 'put') this.#leases.require(operation.request.leaseId);
      if (operation.type === 'range') this.range({ ...operation.request, limit: 1 });
    }
  }

  #holds(compare: Compare): boolean {
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

  #change<Value>(apply: (change: KeySpaceChange) => Value): Value {
    const change = this.#keys.begin();
    const value = apply(change);
    const commit = change.commit();
    if (commit !== undefined) {
      for (const listener of [...this.#listeners]) listener(commit);
    }
    return value;
  }

  /** Grants a lease; id `0` lets the store choose. */
  grantLease(id: string, ttlSeconds: number, now: Milliseconds): string {
    return this.#leases.grant(id, ttlSeconds, now);
  }

  /** Renews a lease; 0 if it is gone. */
  keepLeaseAlive(id: string, now: Milliseconds): number {
    return this.#leases.keepAlive(id, now);
  }

  /** Ends a lease and deletes its keys in one revision. */
  revokeLease(id: string): void {
    const keys = this.#leases.end(id);
    this.#change((change) => {
      for (const key of keys) change.deleteRange({ key, rangeEnd: '' });
    });
  }

  /** Ends the leases that have lapsed at `now`; gives their ids. */
  expireLeases(now: Milliseconds): readonly string[] {
    const lapsed = this.#leases.lapsed(now);
    for (const id of lapsed) this.revokeLease(id);
    return lapsed;
  }

  /** Ids of the leases that live. */
  leaseIds(): readonly string[] {
    return this.#leases.ids();
  }

  /** @throws StoreStandinError if the revision is compacted already or in the future. */
  compact(revision: number): void {
    this.#keys.compact(revision);
  }

  /** The commits from a revision on. @throws StoreStandinError if that history is compacted. */
  commitsFrom(revision: number): readonly Commit[] {
    return this.#keys.commitsFrom(revision);
  }

  copy(now: Milliseconds): StoreCopy {
    return { revision: this.revision, leases: this.#leases.copy(now) };
  }

  /** Goes back to a copy, as far as the history is kept; nobody is told. */
  restore({ revision, leases }: StoreCopy, now: Milliseconds): void {
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
  const actual = targetOf(compare, entry);
  if (compare.result === 'EQUAL') return actual === compare.operand;
  if (compare.result === 'NOT_EQUAL') return actual !== compare.operand;
  return compare.result === 'GREATER' ? actual > compare.operand : actual < compare.operand;
}

function targetOf(compare: Compare, entry: StoredEntry | undefined): number | ByteString {
  if (compare.target === 'VERSION') return entry?.version ?? 0;
  if (compare.target === 'CREATE') return entry?.createRevision ?? 0;
  if (compare.target === 'MOD') return entry?.modRevision ?? 0;
  return entry?.value ?? '';
}

/** etcd refuses a transaction that puts a key twice, or puts one that it also deletes. */
function checkOverlaps(operations: readonly Operation[]): void {
  const put = new Set<ByteString>();
  for (const operation of operations) {
    if (operation.type !== 'put') continue;
    if (put.has(operation.request.key)) throw duplicateKey();
    put.add(operation.request.key);
  }
  for (const operation of operations) {
    if (operation.type !== 'delete-range') continue;
    for (const key of put) if (isInRange(key, operation.request)) throw duplicateKey();
  }
}

function duplicateKey(): StoreStandinError {
  return new StoreStandinError(
    'INVALID_ARGUMENT',
    'etcdserver: duplicate key given in txn request',
  );
}
