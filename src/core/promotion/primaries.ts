/**
 * Who is the primary of each service, from the records and from what the instances announce of
 * themselves. A record binds; before the first change the one that calls itself primary is it.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import { isOtherIncarnation } from './incarnations.js';
import type { PromotionTimings } from './options.js';
import {
  decodeRecord,
  type MembersRecord,
  membersKeyOf,
  type PrimaryRecord,
  parseMembersRecord,
  parsePrimaryRecord,
  primaryKeyOf,
} from './records.js';
import type { StoreView } from './store-view.js';
import { UnlistedMembers } from './unlisted-members.js';

interface DecodedRecord {
  readonly entry: KeyValue;
  readonly record: PrimaryRecord | undefined;
}

interface KnownInstance {
  readonly entry: InstanceEntry;
  /** Since when the store has no entry of it. */
  readonly missingSince: Milliseconds | undefined;
}

/** Entries that are gone are remembered so long, for calls that concern a change. */
const RETENTION_MS = 600_000;

export class Primaries {
  readonly #unlisted = new UnlistedMembers();
  readonly #instances = new Map<string, KnownInstance>();
  readonly #decoded = new Map<string, DecodedRecord>();
  /** When a peer last told the members of a service. */
  readonly #membersReportedAt = new Map<string, Milliseconds>();
  /** Who calls itself primary, by service; made anew when the instances change. */
  readonly #claimants = new Map<string, string | undefined>();

  constructor(
    private readonly records: StoreView,
    private readonly timings: PromotionTimings,
    /** Last time that the store was not well: what it lacks then says nothing. */
    private readonly lastStoreTroubleAt: () => Milliseconds,
  ) {}

  updateInstances(entries: readonly InstanceEntry[], now: Milliseconds): void {
    this.#unlisted.updateInstances(entries, now);
    this.#updateEntries(entries, now);
  }

  #updateEntries(entries: readonly InstanceEntry[], now: Milliseconds): void {
    this.#claimants.clear();
    const present = new Set(entries.map(({ id }) => id));
    for (const entry of entries) this.#instances.set(entry.id, { entry, missingSince: undefined });
    for (const [id, { entry, missingSince }] of this.#instances) {
      if (present.has(id)) continue;
      if (missingSince === undefined) this.#instances.set(id, { entry, missingSince: now });
      else if (now - missingSince > RETENTION_MS) this.#instances.delete(id);
    }
  }

  /** An instance by its id, also if its entry is gone. */
  instance(id: string): InstanceEntry | undefined {
    return this.#instances.get(id)?.entry;
  }

  /** Whether the store has an entry of another life of this instance: the one that is meant is over, with its log. */
  hasNewIncarnation(instance: InstanceEntry): boolean {
    if (instance.lifeOf === undefined || this.isPresent(instance.id)) return false;
    return this.present(instance.service).some((other) => isOtherIncarnation(instance, other));
  }

  /** Entries of a service that the store has now. */
  present(service: string): InstanceEntry[] {
    return [...this.#instances.values()]
      .filter(({ entry, missingSince }) => entry.service === service && missingSince === undefined)
      .map(({ entry }) => entry);
  }

  /** Entries of a service that the store has, or had within memory. */
  remembered(service: string): InstanceEntry[] {
    return [...this.#instances.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.service === service);
  }

  /**
   * All that may have counted towards an acknowledged commit: those that this node has seen, and those that were gone
   * before it began, by the leader's word.
   */
  countedMembers(service: string): InstanceEntry[] {
    const observed = this.remembered(service);
    const ids = new Set(observed.map(({ id }) => id));
    const recorded = this.#membersRecordOf(service)?.members ?? [];
    return [...observed, ...recorded.filter(({ id }) => !ids.has(id))];
  }

  /**
   * Ids of members that the records tell of and whose address is not known; undefined while neither the records nor a
   * peer has told who else there may be.
   */
  membersWithoutAddress(service: string): string[] | undefined {
    const areReported = this.#membersReportedAt.has(service);
    if (!areReported && this.#membersRecordOf(service) === undefined) return undefined;
    const candidates = this.countedMembers(service);
    const record = this.recordOf(service);
    const named = record?.phase === 'changing' ? record.from : record?.instance;
    return named === undefined || candidates.some(({ id }) => id === named) ? [] : [named];
  }

  /** A peer that knows the records told these members, those too that were gone before this node began. */
  setReportedMembers(entries: readonly InstanceEntry[], now: Milliseconds): void {
    this.#updateEntries(entries, now);
    for (const { service } of entries) this.#membersReportedAt.set(service, now);
  }

  /** When a peer that has read the records last told the members. */
  membersReportedAt(service: string): Milliseconds {
    return this.#membersReportedAt.get(service) ?? Number.NEGATIVE_INFINITY;
  }

  /** The leader's word on the members of a service has changed. */
  applyMembersRecord(service: string, now: Milliseconds): void {
    const record = this.#membersRecordOf(service);
    if (record === undefined) return;
    this.#unlisted.applyRecord(service, record);
    for (const entry of record.departed) this.addDeparted(entry, now);
  }

  /** Counts one that has no entry for as long as if this node had seen it go. */
  addDeparted(entry: InstanceEntry, now: Milliseconds): void {
    if (!this.#instances.has(entry.id)) this.#instances.set(entry.id, { entry, missingSince: now });
  }

  /** Members that this node has seen, that have no entry now, and that no record has named. */
  unlisted(service: string): InstanceEntry[] {
    return this.#unlisted.of(service);
  }

  #membersRecordOf(service: string): MembersRecord | undefined {
    return decodeRecord(this.records.get(membersKeyOf(service)), parseMembersRecord);
  }

  isPresent(id: string): boolean {
    const known = this.#instances.get(id);
    return known !== undefined && known.missingSince === undefined;
  }

  /** How long the entry has been gone while the store was well; undefined while it is there. */
  missingForMs(id: string, now: Milliseconds): Milliseconds | undefined {
    const known = this.#instances.get(id);
    if (known === undefined) return Number.POSITIVE_INFINITY;
    if (known.missingSince === undefined) return undefined;
    return now - Math.max(known.missingSince, this.lastStoreTroubleAt());
  }

  /** Asked for with every request: each entry is decoded once. */
  recordOf(service: string): PrimaryRecord | undefined {
    const entry = this.records.get(primaryKeyOf(service));
    if (entry === undefined) return undefined;
    const known = this.#decoded.get(service);
    if (known?.entry === entry) return known.record;
    const record = decodeRecord(entry, parsePrimaryRecord);
    this.#decoded.set(service, { entry, record });
    return record;
  }

  /** Mod revision of the service's record; 0 if it has none. */
  recordRevisionOf(service: string): number {
    return this.records.get(primaryKeyOf(service))?.modRevision ?? 0;
  }

  /** Id of the primary, whether or not the store has an entry of it; undefined while it changes. */
  primaryIdOf(service: string): string | undefined {
    const record = this.recordOf(service);
    if (record !== undefined) return record.phase === 'serving' ? record.instance : undefined;
    if (!this.records.isReady) return undefined;
    return this.#selfDeclared(service);
  }

  /** The primary, while its entry counts. */
  primaryOf(service: string, now: Milliseconds): InstanceEntry | undefined {
    const id = this.primaryIdOf(service);
    if (id === undefined) return undefined;
    const missingMs = this.missingForMs(id, now);
    if (missingMs !== undefined && missingMs >= this.timings.missingEntryUsableMs) return undefined;
    return this.instance(id);
  }

  #selfDeclared(service: string): string | undefined {
    if (!this.#claimants.has(service)) this.#claimants.set(service, this.#findClaimant(service));
    return this.#claimants.get(service);
  }

  #findClaimant(service: string): string | undefined {
    const claimants = [...this.#instances.values()].filter(
      ({ entry }) => entry.service === service && entry.role === 'primary',
    );
    const present = claimants.filter(({ missingSince }) => missingSince === undefined);
    const counted = present.length > 0 ? present : claimants;
    return counted.length === 1 ? counted[0]?.entry.id : undefined;
  }
}
