/**
 * What the platform gives: a small key-value store (etcd v3's JSON gateway form) and a list of live
 * and leaving machines that lags behind reality. Both may be slow, wrong-footed or down at any time.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { GroupName, InstanceName, ZoneName } from '../core/request.js';

/**
 * One key with its value and revisions, as etcd names them. Of a store that may come back from a copy, these and all other
 * revisions of this contract are positions, which rise over that, too.
 */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** A consistent read of a range of keys. */
export interface RangeAnswer {
  /** The store's revision at which the range was read. */
  readonly revision: number;
  readonly entries: readonly KeyValue[];
}

/** Condition of a transaction: the key's mod revision is exactly this (0: the key is absent). */
export interface RevisionCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** One change of a transaction. */
export type TransactionOperation =
  | {
      readonly type: 'put';
      readonly key: string;
      readonly value: string;
      readonly leaseId?: string;
    }
  | { readonly type: 'delete'; readonly key: string };

/** Whether the compare held, and what the compared keys hold now if it did not. */
export interface TransactionAnswer {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly current: readonly KeyValue[];
}

/** One change that a watch tells of. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: KeyValue }
  | { readonly type: 'delete'; readonly key: string; readonly modRevision: number };

/** Receives a watch's events in order; `onEnd` is called once, with `compacted` if history is gone. */
export interface WatchHandlers {
  /**
   * `currentAt`: time of the steady clock at which the store surely had nothing more than this, for a watch
   * that may hear it by way of others. Without it, that is when the poll was sent. `provenAt`: the same, and never
   * later than the truth, however long the word of others was on its way; `currentAt` if it is absent.
   */
  onEvents(
    events: readonly WatchEvent[],
    revision: number,
    currentAt?: number,
    provenAt?: number,
  ): void;
  onEnd(error: MeadowstackError, compacted: boolean): void;
}

/** The store. Every failure is typed; `outcomeUnknown` errors may have taken effect. */
export interface Store {
  range(prefix: string): ResultAsync<RangeAnswer, StoreError>;
  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionAnswer, StoreError>;
  grantLease(seconds: number): ResultAsync<string, StoreError>;
  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreError>;
  revokeLease(leaseId: string): ResultAsync<void, StoreError>;
  /** Watches a prefix from a revision on; the returned function ends it. */
  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void;
  /** Requests sent since start, for the bound on requests a minute. */
  requestCount(): number;
}

/** A failure of the store. */
export interface StoreError extends MeadowstackError {
  /** True if the request may have taken effect (a lost or late answer). */
  readonly outcomeUnknown: boolean;
  readonly retryAfterMs: number | undefined;
}

/** One machine of the list: a proxy or a database instance. */
export type Machine = ProxyMachine | DatabaseMachine;

/** A machine's state on the list; `leaving`: it is to get no new work. */
export type MachineState = 'live' | 'leaving';

/** A proxy on the list. */
export interface ProxyMachine {
  readonly role: 'proxy';
  readonly name: string;
  readonly zone: ZoneName;
  readonly host: string;
  /** Port for links between proxies (TCP and UDP). */
  readonly peerPort: number;
  readonly state: MachineState;
}

/** A database instance on the list. */
export interface DatabaseMachine {
  readonly role: 'database';
  readonly name: InstanceName;
  readonly group: GroupName;
  readonly zone: ZoneName;
  readonly host: string;
  /** PostgreSQL port. */
  readonly port: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly state: MachineState;
}

/** Polls the machine list and tells of changes. */
export interface MachineListWatcher {
  /** Called with the whole list whenever it changed. */
  onChange: ((machines: readonly Machine[]) => void) | undefined;
  start(): void;
  stop(): void;
  current(): readonly Machine[];
}
