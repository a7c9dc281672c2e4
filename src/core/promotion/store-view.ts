/**
 * The keys under a prefix of the store, as this node knows them: read once, then followed by a watch.
 * What is known never goes back: older news of a key is passed over.
 */
import type { KeyValue, WatchEvent } from '../../platform/contract.js';
import { isOfSameEra } from '../directory/store-position.js';
import { keyOf } from '../directory/watch-history.js';
import type { Milliseconds } from '../units.js';
import { isLostRecord } from './lost-records.js';
import { RetryPause } from './retry-pause.js';
import { isTrouble, type PromotionRuntime } from './runtime.js';

const BACKOFF_MAXIMUM_MS = 1000;
/** All nodes know what is lost: most of them hear that another has written it again. */
const WRITE_AGAIN_SPREAD_MS: Milliseconds = 300;

export class StoreView {
  /** Called after a change or a whole read, with the keys that changed. */
  onChange: (keys: ReadonlySet<string>) => void = () => {};
  readonly #entries = new Map<string, KeyValue>();
  /** Records that the store has lost, as they were known; in the entries they stand with the revision that the store has. */
  readonly #lost = new Map<string, KeyValue>();
  #isWritingAgain = false;
  /** Everything up to this revision is known. */
  #revision = 0;
  /** Revision of the last whole read: events up to it are old. */
  #readRevision = 0;
  #watch: number | undefined;
  #reading = false;
  /** Reads that were asked for, to tell the latest. */
  #reads = 0;
  /** Asked for while another read was on its way, which may be older than what is wanted. */
  #readAgain = false;
  #running = false;
  /** Until what failed is tried again. */
  readonly #pause: RetryPause;
  #failures = 0;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly prefix: string,
  ) {
    this.#pause = new RetryPause(runtime);
  }

  /** True once everything was read. */
  get isReady(): boolean {
    return this.#revision > 0;
  }

  get isRunning(): boolean {
    return this.#running;
  }

  get revision(): number {
    return this.#revision;
  }

  get(key: string): KeyValue | undefined {
    return this.#entries.get(key);
  }

  *under(prefix: string): Iterable<KeyValue> {
    for (const entry of this.#entries.values()) if (entry.key.startsWith(prefix)) yield entry;
  }

  start(): void {
    if (this.#running) return;
    this.#running = true;
    this.read();
  }

  /** The store answers again: what waits to be tried once more is tried now. */
  retryNow(): void {
    this.#pause.end();
  }

  /** Ends the watch and forgets everything. */
  stop(): void {
    this.#running = false;
    this.#closeWatch();
    this.#entries.clear();
    this.#lost.clear();
    this.#revision = 0;
    this.#readRevision = 0;
  }

  /** Reads everything anew, for when the watch may be behind. */
  read(): void {
    if (!this.#running) return;
    this.#readAgain = this.#reading;
    if (!this.#reading) this.#ask();
  }

  /** The same, when the store is known to answer: a read that is on its way may have been lost. */
  readAnew(): void {
    if (this.#running) this.#ask();
  }

  #ask(): void {
    this.#reading = true;
    this.#reads += 1;
    const read = this.#reads;
    this.runtime.range(this.prefix, (answer) => {
      const isLatest = read === this.#reads;
      if (isLatest) this.#reading = false;
      if (!this.#running) return;
      if (isTrouble(answer)) {
        if (isLatest) this.#later(() => this.read(), answer.retryAfterMs);
        return;
      }
      this.#failures = 0;
      this.#replace(answer.entries, answer.revision);
      if (this.#watch === undefined) this.#openWatch();
      if (isLatest && this.#readAgain) this.read();
    });
  }

  watchEvents(watch: number, events: readonly WatchEvent[], revision: number): void {
    if (watch !== this.#watch) return;
    const changed = new Set<string>();
    for (const event of events) if (this.#apply(event)) changed.add(keyOf(event));
    this.#failures = 0;
    this.#revision = Math.max(this.#revision, revision);
    if (changed.size > 0) this.onChange(changed);
  }

  watchEnded(watch: number): void {
    if (watch !== this.#watch) return;
    this.#watch = undefined;
    this.#later(() => this.read(), 0);
  }

  /** A change of this node's own that the store has acknowledged; the watch will tell it too. */
  noteOwnPut(key: string, value: string, modRevision: number): void {
    if (!this.#running || modRevision <= this.#revision) return;
    const known = this.#entries.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return;
    this.#lost.delete(key);
    const createRevision = known?.createRevision ?? modRevision;
    this.#entries.set(key, { key, value, createRevision, modRevision });
    this.onChange(new Set([key]));
  }

  #replace(entries: readonly KeyValue[], revision: number): void {
    if (revision < this.#revision) return;
    const changed = new Set<string>();
    const present = new Map(entries.map((entry) => [entry.key, entry]));
    const isReturn = this.#revision > 0 && !isOfSameEra(this.#revision, revision);
    if (isReturn)
      for (const [key, known] of this.#entries) this.#noteIfLost(known, present.get(key));
    for (const [key, { modRevision }] of this.#entries) {
      if (present.has(key) || modRevision > revision || this.#lost.has(key)) continue;
      this.#entries.delete(key);
      changed.add(key);
    }
    for (const entry of entries) {
      if (this.#keepsLost(entry, isReturn)) continue;
      const known = this.#entries.get(entry.key);
      if (known !== undefined && known.modRevision >= entry.modRevision) continue;
      this.#entries.set(entry.key, entry);
      changed.add(entry.key);
    }
    this.#revision = revision;
    this.#readRevision = revision;
    // Also without a change: what is known is known to be newer.
    this.onChange(changed);
    this.#writeAgain();
  }

  #apply(event: WatchEvent): boolean {
    const key = keyOf(event);
    const modRevision = event.type === 'put' ? event.entry.modRevision : event.modRevision;
    if (modRevision <= this.#readRevision) return false;
    const known = this.#entries.get(key);
    if (known !== undefined && known.modRevision >= modRevision) return false;
    if (event.type === 'put' && this.#keepsLost(event.entry, false)) return false;
    if (event.type === 'put') this.#entries.set(key, event.entry);
    else return this.#entries.delete(key);
    return true;
  }

  #noteIfLost(known: KeyValue, stored: KeyValue | undefined): void {
    if (this.runtime.isDisabled('lost-records') || !isLostRecord(known, stored, true)) return;
    this.#lost.set(known.key, this.#lost.get(known.key) ?? known);
  }

  /** True if what is known of a key holds, though the store has this entry: only its revision is taken. */
  #keepsLost(stored: KeyValue, isRead: boolean): boolean {
    const known = this.#lost.get(stored.key);
    if (known === undefined) return false;
    if (!isLostRecord(known, stored, isRead)) {
      this.#lost.delete(stored.key);
      return false;
    }
    this.#entries.set(stored.key, { ...known, modRevision: stored.modRevision });
    this.#writeAgain();
    return true;
  }

  /** Writes what the store has lost, unless another node has done so meanwhile. */
  #writeAgain(): void {
    if (this.#lost.size === 0 || this.#isWritingAgain) return;
    this.#isWritingAgain = true;
    this.runtime.after(this.runtime.jittered(WRITE_AGAIN_SPREAD_MS), () => {
      this.#isWritingAgain = false;
      if (!this.#running) return;
      for (const known of this.#lost.values()) this.#writeLost(known);
      this.#writeAgain();
    });
  }

  #writeLost({ key, value }: KeyValue): void {
    const entry = this.#entries.get(key);
    // Of the era before: the store has none.
    const modRevision = isKnownAt(entry, this.#revision) ? entry.modRevision : 0;
    this.runtime.transaction([{ key, modRevision }], [{ type: 'put', key, value }], (answer) => {
      if (isTrouble(answer) || !this.#running || !this.#lost.has(key)) return;
      const [stored] = answer.current;
      if (answer.succeeded) {
        this.runtime.log('warn', 'record written again after a return of the store', { key });
        this.#lost.delete(key);
        this.#entries.set(key, { key, value, createRevision: 0, modRevision: answer.revision });
        this.onChange(new Set([key]));
      } else if (stored !== undefined && !this.#keepsLost(stored, false)) {
        this.#entries.set(key, stored);
        this.onChange(new Set([key]));
      }
    });
  }

  #openWatch(): void {
    const id = this.runtime.nextId();
    this.#watch = id;
    const fromRevision = this.#revision + 1;
    this.runtime.emit({ type: 'open-watch', id, prefix: this.prefix, fromRevision });
  }

  #closeWatch(): void {
    if (this.#watch === undefined) return;
    this.runtime.emit({ type: 'close-watch', id: this.#watch });
    this.#watch = undefined;
  }

  #later(action: () => void, atLeastMs: number): void {
    const bound = Math.min(
      BACKOFF_MAXIMUM_MS,
      this.runtime.timings.storeRetryMs * 2 ** this.#failures,
    );
    this.#failures += 1;
    this.#pause.begin(Math.max(atLeastMs, this.runtime.jittered(bound)), action);
  }
}

/** Whether an entry stands with a revision of the same era. */
function isKnownAt(entry: KeyValue | undefined, revision: number): entry is KeyValue {
  return entry !== undefined && isOfSameEra(entry.modRevision, revision);
}
