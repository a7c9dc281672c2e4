/**
 * Services that the platform provides: a small key-value store (with the API of etcd v3's JSON
 * gateway) and a list of live and leaving machines, which lags behind reality. Both may be slow,
 * inconsistent or down at any time.
 */
import type { ResultAsync } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { GroupName, InstanceName, ZoneName } from '../core/request.js';

/**
 * A key with its value and revisions, named as in etcd. If the store may be restored from a backup,
 * all revisions in this contract are store positions, which keep rising across a restore.
 */
export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
}

/** A consistent read of a range of keys. */
export interface RangeResponse {
  /** Revision of the store at which the range was read. */
  readonly revision: number;
  readonly entries: readonly KeyValue[];
}

/** Condition of a transaction: the key's mod revision equals this (0: the key does not exist). */
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

/** Whether all conditions held; if not, `current` has the compared keys as they are now. */
export interface TransactionResponse {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly current: readonly KeyValue[];
}

/** One change reported by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: KeyValue }
  | { readonly type: 'delete'; readonly key: string; readonly modRevision: number };

/** Callbacks of a watch. `onEnd` is called once; `compacted`: the store has discarded the requested history. */
export interface WatchHandlers {
  /**
   * Reports events in order, or none. `currentAsOf`: time on the monotonic clock at which the store had
   * no changes beyond these; passed by watches that may receive changes through other nodes, and
   * otherwise the time at which the poll was sent. `provenCurrentAsOf`: a lower bound of that time which
   * holds however long the report of another node was in transit; equals `currentAsOf` if absent.
   */
  onEvents(
    events: readonly WatchEvent[],
    revision: number,
    currentAsOf?: number,
    provenCurrentAsOf?: number,
  ): void;
  onEnd(error: MeadowstackError, compacted: boolean): void;
}

/** Client of the store. A request that fails with an `outcomeUnknown` error may have taken effect. */
export interface Store {
  range(prefix: string): ResultAsync<RangeResponse, StoreError>;
  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreError>;
  grantLease(seconds: number): ResultAsync<string, StoreError>;
  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreError>;
  revokeLease(leaseId: string): ResultAsync<void, StoreError>;
  /** Watches a prefix from a revision on; the returned function ends the watch. */
  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void;
  /** Number of requests sent since the start, to check the limit on requests per minute. */
  requestCount(): number;
}

/** A failure of the store. */
export interface StoreError extends MeadowstackError {
  /** True if the request may have taken effect (its response was lost or late). */
  readonly outcomeUnknown: boolean;
  /** True if the store responded, so that it runs, though it may refuse this node's requests. */
  readonly hasResponded: boolean;
  readonly retryAfterMs: number | undefined;
}

/** One machine of the list: a proxy or a database instance. */
export type Machine = ProxyMachine | DatabaseMachine;

/** State of a machine on the list. `leaving`: it is being decommissioned and gets no new work. */
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
  /** Statements that the instance can run concurrently. */
  readonly slots: number;
  readonly maxConnections: number;
  readonly state: MachineState;
}

/** Polls the machine list and reports changes. */
export interface MachineListWatcher {
  /** Called with the complete list after each change. */
  onChange: ((machines: readonly Machine[]) => void) | undefined;
  start(): void;
  stop(): void;
  current(): readonly Machine[];
}
