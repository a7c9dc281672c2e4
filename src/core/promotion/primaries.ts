/**
 * Determines the primary of each service, from the records and from the instances' registrations. A record is
 * binding; before the first primary change, the instance that declares itself primary is the primary.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { KeyValue } from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import { isOtherIncarnation, isSameInstance } from './incarnations.js';
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
  /** Time since which the store has had no registration of it. */
  readonly missingSince: Milliseconds | undefined;
}

/** An instance that is not the primary, and that a late promotion call may make primary. */
export interface UnsettledInstance {
  readonly id: string;
  readonly isRegistered: boolean;
}

const NO_INSTANCES: readonly UnsettledInstance[] = [];

/** Time for which missing instances are remembered, for calls that concern a primary change. */
const RETENTION_MS = 600_000;

export class Primaries {
  readonly #unlisted = new UnlistedMembers();
  readonly #instances = new Map<string, KnownInstance>();
  readonly #decoded = new Map<string, DecodedRecord>();
  /** Revision of each service's record, and when this node first saw it. */
  readonly #recordsSeen = new Map<
    string,
    { readonly revision: number; readonly at: Milliseconds }
  >();
  /** Services whose members a peer that has read the records reported. */
  readonly #reportedServices = new Set<string>();
  /** Instance that declares itself primary, by service; cleared when the instances change. */
  readonly #claimants = new Map<string, string | undefined>();

  constructor(
    private readonly records: StoreView,
    private readonly timings: PromotionTimings,
    /** Last time at which the store was unavailable: an entry missing then proves nothing. */
    private readonly lastStoreFailureAt: () => Milliseconds,
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

  /** An instance by its id, registered or not. */
  instance(id: string): InstanceEntry | undefined {
    return this.#instances.get(id)?.entry;
  }

  /** Whether another incarnation of this instance is registered: the given one has then ended, with its log. */
  hasNewIncarnation(instance: InstanceEntry): boolean {
    if (instance.lifeOf === undefined || this.isRegistered(instance.id)) return false;
    return this.registeredInstances(instance.service).some((other) =>
      isOtherIncarnation(instance, other),
    );
  }

  /**
   * Whether a process that has responded for an instance since then is of this incarnation: the registration would have
   * expired, or would name another one.
   */
  isIncarnationConfirmed(
    { id, lifeOf }: InstanceEntry,
    respondingSince: Milliseconds,
    now: Milliseconds,
  ): boolean {
    if (lifeOf === undefined) return true;
    const observedMs = now - Math.max(respondingSince, this.lastStoreFailureAt());
    return this.isRegistered(id) && observedMs >= this.timings.registrationExpiryMs;
  }

  /** Instances of a service that are registered now. */
  registeredInstances(service: string): InstanceEntry[] {
    return [...this.#instances.values()]
      .filter(({ entry, missingSince }) => entry.service === service && missingSince === undefined)
      .map(({ entry }) => entry);
  }

  /** Instances of a service that are registered, or were within the retention time. */
  rememberedInstances(service: string): InstanceEntry[] {
    return [...this.#instances.values()]
      .map(({ entry }) => entry)
      .filter((entry) => entry.service === service);
  }

  /**
   * Every instance that may have counted towards an acknowledged commit: those that this node has seen, and, by the
   * leader's record, those that were gone before this node started.
   */
  countedMembers(service: string): InstanceEntry[] {
    const observed = this.rememberedInstances(service);
    const ids = new Set(observed.map(({ id }) => id));
    const recorded = this.#membersRecordOf(service)?.members ?? [];
    return [...observed, ...recorded.filter(({ id }) => !ids.has(id))];
  }

  /**
   * Ids of members that the records name and whose address is unknown; undefined while neither the records nor a
   * peer have reported which members there may be.
   */
  membersWithoutAddress(service: string): string[] | undefined {
    const areReported = this.#reportedServices.has(service);
    if (!areReported && this.#membersRecordOf(service) === undefined) return undefined;
    const candidates = this.countedMembers(service);
    const record = this.recordOf(service);
    const named = record?.phase === 'changing' ? record.from : record?.instance;
    return named === undefined || candidates.some(({ id }) => id === named) ? [] : [named];
  }

  /**
   * Takes the members reported by a peer that knows the records, including those that were gone before this node
   * started.
   */
  setReportedMembers(entries: readonly InstanceEntry[], now: Milliseconds): void {
    this.#updateEntries(entries, now);
    for (const { service } of entries) this.#reportedServices.add(service);
  }

  /** Applies the leader's record of a service's members after a change. */
  applyMembersRecord(service: string, now: Milliseconds): void {
    const record = this.#membersRecordOf(service);
    if (record === undefined) return;
    this.#unlisted.applyRecord(service, record);
    for (const entry of record.departed) this.addDeparted(entry, now);
  }

  /** Counts an instance without a registration for as long as if this node had seen its registration end. */
  addDeparted(entry: InstanceEntry, now: Milliseconds): void {
    if (!this.#instances.has(entry.id)) this.#instances.set(entry.id, { entry, missingSince: now });
  }

  /** Members that this node has seen, that are not registered now, and that no record has listed. */
  unlisted(service: string): InstanceEntry[] {
    return this.#unlisted.of(service);
  }

  #membersRecordOf(service: string): MembersRecord | undefined {
    return decodeRecord(this.records.get(membersKeyOf(service)), parseMembersRecord);
  }

  isRegistered(id: string): boolean {
    const known = this.#instances.get(id);
    return known !== undefined && known.missingSince === undefined;
  }

  /** Time for which the registration has been missing while the store was available; undefined while it exists. */
  missingForMs(id: string, now: Milliseconds): Milliseconds | undefined {
    const known = this.#instances.get(id);
    if (known === undefined) return Number.POSITIVE_INFINITY;
    if (known.missingSince === undefined) return undefined;
    return now - Math.max(known.missingSince, this.lastStoreFailureAt());
  }

  /** Called for every request, so each entry is decoded only once. */
  recordOf(service: string): PrimaryRecord | undefined {
    const entry = this.records.get(primaryKeyOf(service));
    if (entry === undefined) return undefined;
    const known = this.#decoded.get(service);
    if (known?.entry === entry) return known.record;
    const record = decodeRecord(entry, parsePrimaryRecord);
    this.#decoded.set(service, { entry, record });
    return record;
  }

  /** Revision at which the service's record was last changed; 0 if it has none. */
  recordRevisionOf(service: string): number {
    return this.records.get(primaryKeyOf(service))?.modRevision ?? 0;
  }

  /** Id of the primary, registered or not; undefined during a primary change. */
  primaryIdOf(service: string): string | undefined {
    const record = this.recordOf(service);
    if (record !== undefined) return record.phase === 'serving' ? record.instance : undefined;
    if (!this.records.isReady) return undefined;
    return this.#selfDeclared(service);
  }

  /** Other instances that a promotion call of an earlier leader may still make primary. */
  unsettledCandidates(service: string, now: Milliseconds): readonly UnsettledInstance[] {
    const record = this.recordOf(service);
    if (record?.phase !== 'serving' || record.unsettled === undefined) return NO_INSTANCES;
    if (now - this.#recordSeenAt(service, now) >= this.timings.heldUpCallMs) return NO_INSTANCES;
    const { unsettled = [] } = record;
    return this.rememberedInstances(service)
      .filter((entry) => entry.id !== record.instance)
      .filter((entry) => unsettled.some((candidate) => isSameInstance(candidate, entry)))
      .map(({ id }) => ({ id, isRegistered: this.isRegistered(id) }));
  }

  /** Called when the service's record may have changed. */
  noteRecord(service: string, now: Milliseconds): void {
    this.#recordSeenAt(service, now);
  }

  /** Time for which this node has known the present record of the service while the store was available. */
  recordKnownForMs(service: string, now: Milliseconds): Milliseconds {
    return now - Math.max(this.#recordSeenAt(service, now), this.lastStoreFailureAt());
  }

  /** Time at which this node first saw the present record of the service. */
  #recordSeenAt(service: string, now: Milliseconds): Milliseconds {
    const revision = this.recordRevisionOf(service);
    const known = this.#recordsSeen.get(service);
    if (known?.revision === revision) return known.at;
    this.#recordsSeen.set(service, { revision, at: now });
    return now;
  }

  /** The primary, unless its registration has been missing for too long. */
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
