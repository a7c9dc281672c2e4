/**
 * Which records that a node knows hold though the store came back from a copy without them: what was acted on is never taken
 * back. Keys that hang on leases, and what the leader makes anew from these, are the store's alone.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import {
  decodeRecord,
  isHandoverKey,
  isMembersKey,
  type MembersRecord,
  type PrimaryRecord,
  parseMembersRecord,
  parsePrimaryRecord,
  serviceOfPrimaryKey,
} from './records.js';
import { isStoreCallError, type PromotionRuntime } from './runtime.js';

/** All nodes know what is lost: most of them hear that another has written it again. */
const REWRITE_MAX_DELAY_MS: Milliseconds = 300;

/** Whoever holds the entries. */
export interface LostRecordsHost {
  /** Revision at which the store has a key now, as far as is known; 0 for none. */
  storedRevisionOf(key: string): number;
  /** Takes an entry that the store has now. */
  setEntry(entry: KeyValue): void;
}

/** Records that the store has lost, as they were known, until they are written again. */
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

  /** A later change of the key is known. */
  remove(key: string): void {
    this.#records.delete(key);
  }

  /** The store came back with this entry of a key, or with none. */
  addIfLost(known: KeyValue, stored: KeyValue | undefined): void {
    if (this.runtime.isDisabled('lost-records')) return;
    const value = this.#overridingValue(this.#records.get(known.key) ?? known, stored);
    if (value === undefined) return;
    this.#records.set(known.key, { ...known, value });
    this.#scheduleWrites();
  }

  /**
   * What holds of a key though the store has this entry, with the store's revision. Undefined if the entry itself holds.
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

  /** The value that holds of a key where it is not the store's own; undefined if it is. */
  #overridingValue(known: KeyValue, stored: KeyValue | undefined): string | undefined {
    if (known.value === stored?.value) return undefined;
    if (serviceOfPrimaryKey(known.key) !== undefined) {
      const isLater = this.runtime.isDisabled('later-term') ? isLaterChange : isLaterRecord;
      const record = decodeRecord(known, parsePrimaryRecord);
      return isLater(record, decodeRecord(stored, parsePrimaryRecord)) ? known.value : undefined;
    }
    if (isMembersKey(known.key)) return mergeMembers(known, stored);
    // The leader that lives on has written its notes alone.
    return isHandoverKey(known.key) ? known.value : undefined;
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

/** Which of two lists is later can't be told over several returns: a member too many only has to answer once more. */
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
 * Terms only grow, and are the instances' own. Changes are counted by the records, so that one that a copy lacks is counted
 * once more: they tell only of records of one term. A change that begins comes after the primary of its term.
 */
function isLaterRecord(known: PrimaryRecord | undefined, stored: PrimaryRecord | undefined) {
  if (known === undefined || stored === undefined) return known !== undefined;
  if (known.term !== stored.term) return known.term > stored.term;
  if (known.phase !== stored.phase) return known.phase === 'changing';
  return known.change > stored.change;
}

/** Changes are counted; each begins with one record and ends with the other. */
function isLaterChange(known: PrimaryRecord | undefined, stored: PrimaryRecord | undefined) {
  if (known === undefined || stored === undefined) return known !== undefined;
  if (known.change !== stored.change) return known.change > stored.change;
  return known.phase === 'serving' && stored.phase === 'changing';
}
