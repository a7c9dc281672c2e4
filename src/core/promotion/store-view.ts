/**
 * The keys under a prefix of the store, as this node knows them: read once, then followed by a watch.
 * What is known never goes back: older news of a key is passed over.
 */
import type { KeyValue, WatchEvent } from '../../platform/contract.js';
import { isInSameEra } from '../directory/store-position.js';
import { keyOf } from '../directory/watch-history.js';
import { LostRecords } from './lost-records.js';
import { RetryPause } from './retry-pause.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

const MAX_BACKOFF_MS = 1000;

export class StoreView {
  /** Called after a change or a whole read, with the keys that changed. */
  onChange: (keys: ReadonlySet<string>) => void = () => {};
  readonly #entries = new Map<string, KeyValue>();
  /** In the entries these stand with the revision that the store has. */
  readonly #lost: LostRecords;
  /** Everything up to this revision is known. */
  #revision = 0;
  /** Revision of the last whole read: events up to it are old. */
  #readRevision = 0;
  #watchId: number | undefined;
  #isReading = false;
  /** Reads that were asked for, to tell the latest. */
  #readCount = 0;
  /** Asked for while another read was on its way, which may be older than what is wanted. */
  #shouldReadAgain = false;
  #isRunning = false;
  /** Until what failed is tried again. */
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

  /** True once everything was read. */
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

  /** The store answers again: what waits to be tried once more is tried now. */
  retryNow(): void {
    this.#pause.runNow();
  }

  /** Ends the watch and forgets everything. */
  stop(): void {
    this.#isRunning = false;
    this.#closeWatch();
    this.#entries.clear();
    this.#lost.clear();
    this.#revision = 0;
    this.#readRevision = 0;
  }

  /** Reads everything anew, for when the watch may be behind. */
  read(): void {
    if (!this.#isRunning) return;
    this.#shouldReadAgain = this.#isReading;
    if (!this.#isReading) this.#sendRead();
  }

  /** The same, when the store is known to answer: a read that is on its way may have been lost. */
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

  /** A change of this node's own that the store has acknowledged; the watch will tell it too. */
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
      const held = this.#lost.findOverride(entry);
      if (held !== undefined) {
        this.#entries.set(entry.key, held);
        continue;
      }
      const known = this.#entries.get(entry.key);
      if (known !== undefined && known.modRevision >= entry.modRevision) continue;
      this.#entries.set(entry.key, entry);
      changed.add(entry.key);
    }
    this.#revision = revision;
    this.#readRevision = revision;
    // Also without a change: what is known is known to be newer.
    this.onChange(changed);
  }

  #apply(event: WatchEvent): boolean {
    const key = keyOf(event);
    const modRevision = event.type === 'put' ? event.entry.modRevision : event.modRevision;
    if (modRevision <= this.#readRevision) return false;
    const known = this.#entries.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return false;
    if (event.type === 'delete') return this.#entries.delete(key);
    const held = this.#lost.findOverride(event.entry);
    this.#entries.set(key, held ?? event.entry);
    return held === undefined;
  }

  /** What is known from an era before the store has not. */
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
