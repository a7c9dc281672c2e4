/** Multi-version key space of the store stand-in: every key version since the last compaction. */
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

/** `rangeEnd` of a range without an upper bound. */
const OPEN_RANGE_END = '\0';
/** etcd starts at revision 1, before any change. */
const FIRST_REVISION = 1;

/** One version in a key's history; `entry` is undefined where the key was deleted. */
interface KeyVersion {
  readonly modRevision: number;
  readonly entry: StoredEntry | undefined;
}

/** True if `key` lies in the range. */
export function isInRange(key: ByteString, range: KeyRange): boolean {
  if (range.rangeEnd === '') return key === range.key;
  if (range.rangeEnd === OPEN_RANGE_END) return key >= range.key;
  return key >= range.key && key < range.rangeEnd;
}

/** Keys, their versions and the log of commits. No I/O and no clock. */
export class KeySpace {
  #revision = FIRST_REVISION;
  #compactedRevision = 0;
  /** All keys with at least one version, in byte order. */
  #keys: ByteString[] = [];
  readonly #histories = new Map<ByteString, KeyVersion[]>();
  #commits: Commit[] = [];

  get revision(): number {
    return this.#revision;
  }

  /** Revision of the last compaction; earlier history is removed. */
  get compactedRevision(): number {
    return this.#compactedRevision;
  }

  /** The key's version at a revision, by default the newest. */
  find(key: ByteString, revision: number = Number.POSITIVE_INFINITY): StoredEntry | undefined {
    return this.#histories.get(key)?.findLast((version) => version.modRevision <= revision)?.entry;
  }

  /** @throws StoreStandinError if the revision is compacted or in the future. */
  range(request: RangeRequest): RangeResponse {
    const revision = request.revision === 0 ? Number.POSITIVE_INFINITY : request.revision;
    if (request.revision > this.#revision) throw futureRevisionError();
    if (request.revision !== 0 && request.revision < this.#compactedRevision)
      throw compactedError();
    const entries = this.#keysInRange(request)
      .map((key) => this.find(key, revision))
      .filter((entry) => entry !== undefined);
    const limited = request.limit === 0 ? entries : entries.slice(0, request.limit);
    return { entries: limited, count: entries.length };
  }

  #keysInRange(range: KeyRange): ByteString[] {
    if (range.rangeEnd === '') return this.#histories.has(range.key) ? [range.key] : [];
    const keys: ByteString[] = [];
    for (let index = this.#lowerBound(range.key); index < this.#keys.length; index += 1) {
      const key = this.#keys[index];
      if (key === undefined || !isInRange(key, range)) break;
      keys.push(key);
    }
    return keys;
  }

  /** Index of the first key greater than or equal to `key`. */
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

  /** Starts a change; its operations share one new revision, used only if something changes. */
  beginChange(): KeySpaceChange {
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
   * The commits at and after a revision.
   * @throws StoreStandinError if that history is compacted.
   */
  commitsFrom(revision: number): readonly Commit[] {
    if (revision < this.#compactedRevision) throw compactedError();
    return this.#commits.filter((commit) => commit.revision >= revision);
  }

  /**
   * Removes versions that were superseded before `revision`.
   * @throws StoreStandinError if the revision is already compacted or in the future.
   */
  compact(revision: number): void {
    if (revision > this.#revision) throw futureRevisionError();
    if (revision <= this.#compactedRevision) throw compactedError();
    this.#compactedRevision = revision;
    this.#commits = this.#commits.filter((commit) => commit.revision >= revision);
    for (const [key, history] of this.#histories) this.#compactKey(key, history, revision);
    this.#keys = this.#keys.filter((key) => this.#histories.has(key));
  }

  /**
   * Reverts to an earlier revision: later writes are lost, and their revisions are assigned again.
   * @throws StoreStandinError if the revision is compacted or in the future.
   */
  revertTo(revision: number): void {
    if (revision > this.#revision) throw futureRevisionError();
    if (revision < this.#compactedRevision) throw compactedError();
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

/** The operations of one change, each applied immediately. */
export interface KeySpaceChange {
  put(request: PutRequest): StoredEntry;
  /** Returns the entries that were deleted. */
  deleteRange(range: KeyRange): readonly StoredEntry[];
  /** Ends the change; returns `undefined` if nothing changed. */
  commit(): Commit | undefined;
}

function compactedError(): StoreStandinError {
  const message = 'etcdserver: mvcc: required revision has been compacted';
  return new StoreStandinError('OUT_OF_RANGE', message);
}

function futureRevisionError(): StoreStandinError {
  const message = 'etcdserver: mvcc: required revision is a future revision';
  return new StoreStandinError('OUT_OF_RANGE', message);
}
