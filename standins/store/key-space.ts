/** The revisioned keys of the store stand-in: every version of every key since the last compaction. */
import {
  type ByteString,
  type Commit,
  type KeyRange,
  NO_LEASE,
  type PutRequest,
  type RangeRequest,
  type RangeResponse,
  type StoredEntry,
  type StoreEvent,
  StoreStandinError,
} from './model.js';

const FROM_KEY_ON = '\0';
/** etcd starts at revision 1, before any change. */
const FIRST_REVISION = 1;

/** One point of a key's history; `entry` is absent where the key was deleted. */
interface KeyVersion {
  readonly modRevision: number;
  readonly entry: StoredEntry | undefined;
}

/** True if `key` lies in the range. */
export function isInRange(key: ByteString, range: KeyRange): boolean {
  if (range.rangeEnd === '') return key === range.key;
  if (range.rangeEnd === FROM_KEY_ON) return key >= range.key;
  return key >= range.key && key < range.rangeEnd;
}

/** Keys, their versions and the log of commits. Pure state: no clock, no sockets. */
export class KeySpace {
  #revision = FIRST_REVISION;
  #compactedRevision = 0;
  /** All keys that have a history, in byte order. */
  #keys: ByteString[] = [];
  readonly #histories = new Map<ByteString, KeyVersion[]>();
  #commits: Commit[] = [];

  get revision(): number {
    return this.#revision;
  }

  /** Revision of the last compaction; history before it is gone. */
  get compactedRevision(): number {
    return this.#compactedRevision;
  }

  /** The key's version at a revision (newest if absent). */
  find(key: ByteString, revision: number = Number.POSITIVE_INFINITY): StoredEntry | undefined {
    return this.#histories.get(key)?.findLast((version) => version.modRevision <= revision)?.entry;
  }

  /** @throws StoreStandinError if the revision is compacted or in the future. */
  range(request: RangeRequest): RangeResponse {
    const revision = request.revision === 0 ? Number.POSITIVE_INFINITY : request.revision;
    if (request.revision > this.#revision) throw futureRevision();
    if (request.revision !== 0 && request.revision < this.#compactedRevision) throw compacted();
    const entries = this.#keysIn(request)
      .map((key) => this.find(key, revision))
      .filter((entry) => entry !== undefined);
    const limited = request.limit === 0 ? entries : entries.slice(0, request.limit);
    return { entries: limited, count: entries.length };
  }

  #keysIn(range: KeyRange): ByteString[] {
    if (range.rangeEnd === '') return this.#histories.has(range.key) ? [range.key] : [];
    const keys: ByteString[] = [];
    for (let index = this.#lowerBound(range.key); index < this.#keys.length; index += 1) {
      const key = this.#keys[index];
      if (key === undefined || !isInRange(key, range)) break;
      keys.push(key);
    }
    return keys;
  }

  /** Index of the first key that is not before `key`. */
  #lowerBound(key: ByteString): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] ?? '') < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Starts a change; its operations share one revision, taken only if something changes. */
  begin(): KeySpaceChange {
    const revision = this.#revision + 1;
    const events: StoreEvent[] = [];
    return {
      put: (request) => {
        const entry = this.#put(request, revision);
        events.push({ type: 'PUT', entry });
        return entry;
      },
      deleteRange: (range) => {
        const entries = this.range({ ...range, revision: 0, limit: 0 }).entries;
        for (const { key } of entries) {
          this.#append(key, { modRevision: revision, entry: undefined });
          events.push({ type: 'DELETE', key, modRevision: revision });
        }
        return entries;
      },
      commit: () => {
        if (events.length === 0) return undefined;
        this.#revision = revision;
        const commit = { revision, events };
        this.#commits.push(commit);
        return commit;
      },
    };
  }

  #put(request: PutRequest, revision: number): StoredEntry {
    const previous = this.find(request.key);
    const entry: StoredEntry = {
      key: request.key,
      value: request.value,
      createRevision: previous?.createRevision ?? revision,
      modRevision: revision,
      version: (previous?.version ?? 0) + 1,
      leaseId: request.leaseId === '' ? NO_LEASE : request.leaseId,
    };
    this.#append(request.key, { modRevision: revision, entry });
    return entry;
  }

  #append(key: ByteString, version: KeyVersion): void {
    const history = this.#histories.get(key);
    if (history !== undefined) {
      history.push(version);
      return;
    }
    this.#keys.splice(this.#lowerBound(key), 0, key);
    this.#histories.set(key, [version]);
  }

  /**
   * The commits from a revision on.
   * @throws StoreStandinError if history from there is compacted.
   */
  commitsFrom(revision: number): readonly Commit[] {
    if (revision < this.#compactedRevision) throw compacted();
    return this.#commits.filter((commit) => commit.revision >= revision);
  }

  /**
   * Drops versions that were superseded before `revision`.
   * @throws StoreStandinError if it is already compacted or in the future.
   */
  compact(revision: number): void {
    if (revision > this.#revision) throw futureRevision();
    if (revision <= this.#compactedRevision) throw compacted();
    this.#compactedRevision = revision;
    this.#commits = this.#commits.filter((commit) => commit.revision >= revision);
    for (const [key, history] of this.#histories) this.#compactKey(key, history, revision);
    this.#keys = this.#keys.filter((key) => this.#histories.has(key));
  }

  /**
   * Goes back to an earlier revision: what was written since is gone, and its revisions are given out again.
   * @throws StoreStandinError if the revision is compacted or in the future.
   */
  revertTo(revision: number): void {
    if (revision > this.#revision) throw futureRevision();
    if (revision < this.#compactedRevision) throw compacted();
    this.#revision = revision;
    this.#commits = this.#commits.filter((commit) => commit.revision <= revision);
    for (const [key, history] of this.#histories) {
      const kept = history.filter(({ modRevision }) => modRevision <= revision);
      if (kept.length === 0) this.#histories.delete(key);
      else this.#histories.set(key, kept);
    }
    this.#keys = this.#keys.filter((key) => this.#histories.has(key));
  }

  #compactKey(key: ByteString, history: readonly KeyVersion[], revision: number): void {
    const newest = history.findLastIndex((version) => version.modRevision <= revision);
    const first = history[newest];
    const keepsFirst = first === undefined || first.entry !== undefined;
    const kept = history.slice(keepsFirst ? Math.max(0, newest) : newest + 1);
    if (kept.length === 0) this.#histories.delete(key);
    else this.#histories.set(key, kept);
  }
}

/** The operations of one change, applied at once. */
export interface KeySpaceChange {
  put(request: PutRequest): StoredEntry;
  /** Returns the entries that were deleted. */
  deleteRange(range: KeyRange): readonly StoredEntry[];
  /** Ends the change; `undefined` if nothing changed. */
  commit(): Commit | undefined;
}

function compacted(): StoreStandinError {
  const message = 'etcdserver: mvcc: required revision has been compacted';
  return new StoreStandinError('OUT_OF_RANGE', message);
}

function futureRevision(): StoreStandinError {
  const message = 'etcdserver: mvcc: required revision is a future revision';
  return new StoreStandinError('OUT_OF_RANGE', message);
}
