/**
 * In-memory implementation of the `Store` contract (src/platform/contract.ts) for tests. The test injects faults: an
 * outage, responses lost before or after the change took effect, delayed requests.
 */
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import { MeadowstackError } from '../../src/core/errors.js';
import type {
  KeyValue,
  RangeResponse,
  RevisionCompare,
  Store,
  StoreError,
  TransactionOperation,
  TransactionResponse,
  WatchEvent,
  WatchHandlers,
} from '../../src/platform/contract.js';

/** The only error of this store. */
export class MemoryStoreError extends MeadowstackError implements StoreError {
  readonly code = 'MS-TEST-STORE';
  readonly hasResponded = false;
  readonly retryAfterMs = undefined;

  constructor(readonly outcomeUnknown: boolean) {
    super(outcomeUnknown ? 'answer lost' : 'store down');
  }
}

/** Fault of a request. `lost-before`: it does not arrive; `lost-after`: it takes effect, its response is lost. */
export type StoreFault = 'none' | 'down' | 'lost-before' | 'lost-after';

interface Watcher {
  readonly prefix: string;
  readonly handlers: WatchHandlers;
}

/** Keys with revisions, watches, and leases that expire only by `expireLease`. */
export class MemoryStore implements Store {
  /** Called once for each request. */
  nextFault: () => StoreFault = () => 'none';
  /** Awaited before each request takes effect. */
  delay: () => Promise<void> = () => Promise.resolve();
  /** All successful transactions, in order. */
  readonly applied: { readonly revision: number; readonly keys: readonly string[] }[] = [];
  readonly entries = new Map<string, KeyValue & { readonly leaseId: string | undefined }>();
  revision = 1;
  watchesOpened = 0;
  #watchers = new Set<Watcher>();
  #leases = new Map<string, number>();
  #events: { readonly revision: number; readonly events: readonly WatchEvent[] }[] = [];
  #requests = 0;
  #nextLease = 1;

  range(prefix: string): ResultAsync<RangeResponse, StoreError> {
    return this.#request(() => ({
      revision: this.revision,
      entries: [...this.entries.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .sort((left, right) => (left.key < right.key ? -1 : 1)),
    }));
  }

  transaction(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): ResultAsync<TransactionResponse, StoreError> {
    return this.#request(() => this.#commit(compares, operations));
  }

  grantLease(seconds: number): ResultAsync<string, StoreError> {
    return this.#request(() => {
      const leaseId = String(this.#nextLease);
      this.#nextLease += 1;
      this.#leases.set(leaseId, seconds);
      return leaseId;
    });
  }

  keepLeaseAlive(leaseId: string): ResultAsync<number, StoreError> {
    return this.#request(() => this.#leases.get(leaseId) ?? 0);
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreError> {
    return this.#request(() => this.expireLease(leaseId));
  }

  watch(prefix: string, fromRevision: number, handlers: WatchHandlers): () => void {
    const watcher = { prefix, handlers };
    this.#watchers.add(watcher);
    this.watchesOpened += 1;
    for (const { revision, events } of this.#events) {
      if (revision >= fromRevision) notify(watcher, events, revision);
    }
    return () => this.#watchers.delete(watcher);
  }

  requestCount(): number {
    return this.#requests;
  }

  /** Expires a lease and removes its keys. */
  expireLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    for (const [key, entry] of this.entries)
      if (entry.leaseId === leaseId) this.entries.delete(key);
  }

  get watchCount(): number {
    return this.#watchers.size;
  }

  /** Ends all watches, like a compaction or a lost connection. */
  endWatches(compacted: boolean): void {
    const watchers = [...this.#watchers];
    this.#watchers.clear();
    for (const { handlers } of watchers) handlers.onEnd(new MemoryStoreError(false), compacted);
  }

  #request<Answer>(execute: () => Answer): ResultAsync<Answer, StoreError> {
    this.#requests += 1;
    return new ResultAsync(this.#answer(execute));
  }

  async #answer<Answer>(execute: () => Answer): Promise<Result<Answer, StoreError>> {
    const fault = this.nextFault();
    await this.delay();
    if (fault === 'down') return err(new MemoryStoreError(false));
    if (fault === 'lost-before') return err(new MemoryStoreError(true));
    const answer = execute();
    return fault === 'lost-after' ? err(new MemoryStoreError(true)) : ok(answer);
  }

  #commit(
    compares: readonly RevisionCompare[],
    operations: readonly TransactionOperation[],
  ): TransactionResponse {
    const holds = compares.every(
      ({ key, modRevision }) => (this.entries.get(key)?.modRevision ?? 0) === modRevision,
    );
    const current = compares.flatMap(({ key }) => this.entries.get(key) ?? []);
    if (!holds) return { succeeded: false, revision: this.revision, current };
    this.revision += 1;
    const events = operations.map((operation) => this.#apply(operation));
    this.applied.push({ revision: this.revision, keys: operations.map(({ key }) => key) });
    this.#events.push({ revision: this.revision, events });
    for (const watcher of [...this.#watchers]) notify(watcher, events, this.revision);
    return { succeeded: true, revision: this.revision, current: [] };
  }

  #apply(operation: TransactionOperation): WatchEvent {
    const { key } = operation;
    const modRevision = this.revision;
    if (operation.type === 'delete') {
      this.entries.delete(key);
      return { type: 'delete', key, modRevision };
    }
    const createRevision = this.entries.get(key)?.createRevision ?? modRevision;
    const { value, leaseId } = operation;
    const entry = { key, value, createRevision, modRevision, leaseId };
    this.entries.set(key, entry);
    return { type: 'put', entry };
  }
}

function notify(watcher: Watcher, events: readonly WatchEvent[], revision: number): void {
  const matching = events.filter((event) =>
    (event.type === 'put' ? event.entry.key : event.key).startsWith(watcher.prefix),
  );
  if (matching.length > 0) watcher.handlers.onEvents(matching, revision);
}
