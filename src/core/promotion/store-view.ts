/**
 * The keys under a prefix of the store, as this node knows them: read once, then kept current by a watch. Known
 * values never go back: an older change of a key is skipped.
 */
import type { KeyValue, WatchEvent } from '../../platform/contract.js';
import { isInSameEra } from '../directory/store-position.js';
import { keyOf } from '../directory/watch-history.js';
import { LostRecords } from './lost-records.js';
import { RetryPause } from './retry-pause.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

const MAX_BACKOFF_MS = 1000;

export class StoreView {
  /** Called with the changed keys after a change, and after each full read even if no key changed. */
  onChange: (keys: ReadonlySet<string>) => void = () => {};
  readonly #entries = new Map<string, KeyValue>();
  /** Records that the store has lost; `#entries` has them with the revision of the key in the store. */
  readonly #lost: LostRecords;
  /** Revision up to which all changes are known; 0 before the first read. */
  #revision = 0;
  /** Revision of the last full read: watch events up to it are outdated. */
  #readRevision = 0;
  #watchId: number | undefined;
  #isReading = false;
  /** Number of reads sent, to identify the latest. */
  #readCount = 0;
  /** A read was requested while another, which may be too old, was in flight. */
  #shouldReadAgain = false;
  #isRunning = false;
  /** Delay before a failed read or watch is retried. */
  readonly #pause: RetryPause;
  #failures = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly prefix: string,
  ) {
    this.#pause = new RetryPause(runtime);
    this.#lost = new LostRecords(runtime, {
      storedRevisionOf: (key) => this.#storedRevisionOf(key),
      setEntry: (entry) => this.#setStored(entry),
    });
  }

  /** True after the first full read. */
  get isReady(): boolean {
    return this.#revision > 0;
  }

  get isRunning(): boolean {
    return this.#isRunning;
  }

  get revision(): number {
    return this.#revision;
  }

  get(key: string): KeyValue | undefined {
    return this.#entries.get(key);
  }

  *entriesUnder(prefix: string): Iterable<KeyValue> {
    for (const entry of this.#entries.values()) if (entry.key.startsWith(prefix)) yield entry;
  }

  start(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.read();
  }

  /** Retries what failed immediately, because the store responds again. */
  retryNow(): void {
    this.#pause.runNow();
  }

  /** Ends the watch and discards all entries. */
  stop(): void {
    this.#isRunning = false;
    this.#closeWatch();
    this.#entries.clear();
    this.#lost.clear();
    this.#revision = 0;
    this.#readRevision = 0;
  }

  /** Reads everything again, for when the watch may be behind; waits for a read in flight. */
  read(): void {
    if (!this.#isRunning) return;
    this.#shouldReadAgain = this.#isReading;
    if (!this.#isReading) this.#sendRead();
  }

  /** Like `read`, but waits for nothing: the store is known to respond, and a read in flight may have been lost. */
  readNow(): void {
    if (this.#isRunning) this.#sendRead();
  }

  #sendRead(): void {
    this.#isReading = true;
    this.#readCount += 1;
    const read = this.#readCount;
    this.runtime.range(this.prefix, (answer) => {
      const isLatest = read === this.#readCount;
      if (isLatest) this.#isReading = false;
      if (!this.#isRunning) return;
      if (isStoreCallError(answer)) {
        if (isLatest) this.#retryLater(() => this.read(), answer.retryAfterMs);
        return;
      }
      this.#failures = 0;
      this.#replace(answer.entries, answer.revision);
      if (this.#watchId === undefined) this.#openWatch();
      if (isLatest && this.#shouldReadAgain) this.read();
    });
  }

  handleWatchEvents(watch: number, events: readonly WatchEvent[], revision: number): void {
    if (watch !== this.#watchId) return;
    const changed = new Set<string>();
    for (const event of events) if (this.#apply(event)) changed.add(keyOf(event));
    this.#failures = 0;
    this.#revision = Math.max(this.#revision, revision);
    if (changed.size > 0) this.onChange(changed);
  }

  handleWatchEnded(watch: number): void {
    if (watch !== this.#watchId) return;
    this.#watchId = undefined;
    this.#retryLater(() => this.read(), 0);
  }

  /** Records a change made by this node once the store has acknowledged it; the watch reports it as well. */
  recordOwnPut(key: string, value: string, modRevision: number): void {
    if (!this.#isRunning || modRevision <= this.#revision) return;
    const known = this.#entries.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return;
    this.#lost.remove(key);
    const createRevision = known?.createRevision ?? modRevision;
    this.#entries.set(key, { key, value, createRevision, modRevision });
    this.onChange(new Set([key]));
  }

  #replace(entries: readonly KeyValue[], revision: number): void {
    if (revision < this.#revision) return;
    const changed = new Set<string>();
    const present = new Map(entries.map((entry) => [entry.key, entry]));
    const wasRestored = this.#revision > 0 && !isInSameEra(this.#revision, revision);
    if (wasRestored) {
      for (const [key, known] of this.#entries) this.#lost.addIfLost(known, present.get(key));
    }
    for (const [key, { modRevision }] of this.#entries) {
      if (present.has(key) || modRevision > revision || this.#lost.has(key)) continue;
      this.#entries.delete(key);
      changed.add(key);
    }
    for (const entry of entries) {
      const override = this.#lost.findOverride(entry);
      if (override !== undefined) {
        this.#entries.set(entry.key, override);
        continue;
      }
      const known = this.#entries.get(entry.key);
      if (known !== undefined && known.modRevision >= entry.modRevision) continue;
      this.#entries.set(entry.key, entry);
      changed.add(entry.key);
    }
    this.#revision = revision;
    this.#readRevision = revision;
    // Called even if nothing changed: the entries are now known to be newer.
    this.onChange(changed);
  }

  #apply(event: WatchEvent): boolean {
    const key = keyOf(event);
    const modRevision = event.type === 'put' ? event.entry.modRevision : event.modRevision;
    if (modRevision <= this.#readRevision) return false;
    const known = this.#entries.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return false;
    if (event.type === 'delete') return this.#entries.delete(key);
    const override = this.#lost.findOverride(event.entry);
    this.#entries.set(key, override ?? event.entry);
    return override === undefined;
  }

  /** Revision of a key in the store: 0 for an entry of an earlier store era, which the store no longer has. */
  #storedRevisionOf(key: string): number {
    const modRevision = this.#entries.get(key)?.modRevision ?? 0;
    return isInSameEra(modRevision, this.#revision) ? modRevision : 0;
  }

  #setStored(entry: KeyValue): void {
    if (!this.#isRunning) return;
    this.#entries.set(entry.key, entry);
    this.onChange(new Set([entry.key]));
  }

  #openWatch(): void {
    const id = this.runtime.nextId();
    this.#watchId = id;
    const fromRevision = this.#revision + 1;
    this.runtime.emit({ type: 'open-watch', id, prefix: this.prefix, fromRevision });
  }

  #closeWatch(): void {
    if (this.#watchId === undefined) return;
    this.runtime.emit({ type: 'close-watch', id: this.#watchId });
    this.#watchId = undefined;
  }

  #retryLater(action: () => void, minDelayMs: number): void {
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      this.runtime.timings.storeRetryDelayMs * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.#pause.schedule(Math.max(minDelayMs, this.runtime.jittered(maxDelayMs)), action);
  }
}
