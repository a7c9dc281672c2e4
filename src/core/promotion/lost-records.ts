/**
 * Decides which known records stay in force although the store was restored from a backup without them: a node
 * never reverts what it has acted on. Keys bound to a lease, and keys that the leader derives from these records,
 * are taken as the store has them.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import {
  decodeRecord,
  isHandoverKey,
  isMembersKey,
  isSameRecord,
  type MembersRecord,
  type PrimaryRecord,
  parseHandoverRecord,
  parseMembersRecord,
  parsePrimaryRecord,
  serviceOfPrimaryKey,
} from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

/**
 * Maximum random delay before a lost record is rewritten. Every node knows the lost records, so most nodes learn
 * during the delay that another has already rewritten them.
 */
const REWRITE_MAX_DELAY_MS: Milliseconds = 300;

/** Holds the entries of the watched prefix. */
export interface LostRecordsHost {
  /** Revision at which the store has a key now, as far as known; 0 if it does not have it. */
  storedRevisionOf(key: string): number;
  /** Sets an entry as the store has it now. */
  setEntry(entry: KeyValue): void;
}

/** Records that the store has lost, with their last known values, until they are rewritten. */
export class LostRecords {
  readonly #records = new Map<string, KeyValue>();
  #isWriteScheduled = false;

  constructor(
    private readonly runtime: PromotionRuntime,
    private readonly host: LostRecordsHost,
  ) {}

  has(key: string): boolean {
    return this.#records.has(key);
  }

  clear(): void {
    this.#records.clear();
  }

  /** Removes a record because a later change of its key is known. */
  remove(key: string): void {
    this.#records.delete(key);
  }

  /** Called for each known entry after a restore, with the entry that the store now has for its key, if any. */
  addIfLost(known: KeyValue, stored: KeyValue | undefined): void {
    if (this.runtime.isDisabled('lost-records')) return;
    const value = this.#overridingValue(this.#records.get(known.key) ?? known, stored);
    if (value === undefined) return;
    this.#records.set(known.key, { ...known, value });
    this.#scheduleWrites();
  }

  /**
   * The known entry that overrides the one in the store, with the store's revision; undefined if the store's entry
   * is in force.
   */
  findOverride(stored: KeyValue): KeyValue | undefined {
    const known = this.#records.get(stored.key);
    if (known === undefined) return undefined;
    const value = this.#overridingValue(known, stored);
    if (value === undefined) {
      this.#records.delete(stored.key);
      return undefined;
    }
    this.#records.set(stored.key, { ...known, value });
    return { ...known, value, modRevision: stored.modRevision };
  }

  /** Value that overrides the one in the store; undefined if the store's value is in force. */
  #overridingValue(known: KeyValue, stored: KeyValue | undefined): string | undefined {
    if (known.value === stored?.value) return undefined;
    if (serviceOfPrimaryKey(known.key) !== undefined) {
      const isLater = this.runtime.isDisabled('later-term') ? isLaterChange : isLaterRecord;
      const record = decodeRecord(known, parsePrimaryRecord);
      return isLater(record, decodeRecord(stored, parsePrimaryRecord)) ? known.value : undefined;
    }
    if (isMembersKey(known.key)) return mergeMembers(known, stored);
    if (!isHandoverKey(known.key)) return undefined;
    // Only leaders write handover records: one that leads before and after the restore wrote the latest one itself.
    return isSameRecord(known.value, stored?.value, parseHandoverRecord) ? undefined : known.value;
  }

  #scheduleWrites(): void {
    if (this.#records.size === 0 || this.#isWriteScheduled) return;
    this.#isWriteScheduled = true;
    this.runtime.after(this.runtime.jittered(REWRITE_MAX_DELAY_MS), () => {
      this.#isWriteScheduled = false;
      for (const record of this.#records.values()) this.#write(record);
      this.#scheduleWrites();
    });
  }

  #write({ key, value }: KeyValue): void {
    const compares = [{ key, modRevision: this.host.storedRevisionOf(key) }];
    this.runtime.transaction(compares, [{ type: 'put', key, value }], (answer) => {
      if (isStoreCallError(answer) || !this.#records.has(key)) return;
      const [stored] = answer.current;
      if (answer.succeeded) {
        this.runtime.log('warn', 'record written again after a return of the store', { key });
        this.#records.delete(key);
        this.host.setEntry({ key, value, createRevision: 0, modRevision: answer.revision });
      } else if (stored !== undefined) this.host.setEntry(this.findOverride(stored) ?? stored);
    });
  }
}

/**
 * Merges both member lists; undefined if the store's list is complete. After several restores it can't be
 * determined which list is later; a surplus member does no harm, since it only has to respond once more.
 */
function mergeMembers(known: KeyValue, stored: KeyValue | undefined): string | undefined {
  const storedRecord = decodeRecord(stored, parseMembersRecord);
  if (storedRecord === undefined) return known.value;
  const knownRecord = decodeRecord(known, parseMembersRecord);
  const members = mergeEntries(storedRecord.members, knownRecord?.members ?? []);
  const departed = mergeEntries(storedRecord.departed, knownRecord?.departed ?? []);
  const isComplete =
    members.length === storedRecord.members.length &&
    departed.length === storedRecord.departed.length;
  return isComplete ? undefined : JSON.stringify({ members, departed } satisfies MembersRecord);
}

function mergeEntries(
  listed: readonly InstanceEntry[],
  others: readonly InstanceEntry[],
): readonly InstanceEntry[] {
  const ids = new Set(listed.map(({ id }) => id));
  return [...listed, ...others.filter(({ id }) => !ids.has(id))];
}

/**
 * Compares records by term first: terms only grow, and the instances themselves keep them. Change numbers are
 * derived from the records, so a change that the backup lacks is numbered again: they order only records of one
 * term. Within a term, a change starts after that term's primary was recorded.
 */
function isLaterRecord(known: PrimaryRecord | undefined, stored: PrimaryRecord | undefined) {
  if (known === undefined || stored === undefined) return known !== undefined;
  if (known.term !== stored.term) return known.term > stored.term;
  if (known.phase !== stored.phase) return known.phase === 'changing';
  return known.change > stored.change;
}

/** Compares records by change number; within one change, the serving record follows the changing record. */
function isLaterChange(known: PrimaryRecord | undefined, stored: PrimaryRecord | undefined) {
  if (known === undefined || stored === undefined) return known !== undefined;
  if (known.change !== stored.change) return known.change > stored.change;
  return known.phase === 'serving' && stored.phase === 'changing';
}
