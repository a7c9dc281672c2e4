/**
 * Members that this node has seen and no record of the leader's names: one whose entry came and went while the store took no
 * writes. It may have received a commit that no other has, so it counts until a record names it; from then on the
 * leader's records tell whether it does.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { MembersRecord } from './records.js';

const RETENTION_MS: Milliseconds = 600_000;

interface ObservedMember {
  entry: InstanceEntry;
  seenAt: Milliseconds;
  isPresent: boolean;
  isListed: boolean;
}

export class UnlistedMembers {
  /** Ids of the members by the latest record, by service. */
  readonly #listed = new Map<string, ReadonlySet<string>>();
  readonly #observed = new Map<string, ObservedMember>();

  /** All entries that the store has now. */
  updateInstances(entries: readonly InstanceEntry[], now: Milliseconds): void {
    const present = new Set(entries.map(({ id }) => id));
    for (const entry of entries) this.#recordPresent(entry, now);
    for (const [id, sighting] of this.#observed) {
      if (present.has(id)) continue;
      sighting.isPresent = false;
      if (now - sighting.seenAt > RETENTION_MS) this.#observed.delete(id);
    }
  }

  applyRecord(service: string, { members, departed }: MembersRecord): void {
    const listed = new Set(members.map(({ id }) => id));
    this.#listed.set(service, listed);
    for (const id of listed) this.#markListed(id);
    for (const { id } of departed) {
      // One that is there again may have come back after it was forgotten.
      if (this.#observed.get(id)?.isPresent !== true) this.#markListed(id);
    }
  }

  /** Those without an entry now; not one whose log has gone to a later instance at its address. */
  of(service: string): InstanceEntry[] {
    const ofService = [...this.#observed.values()].filter(({ entry }) => entry.service === service);
    return ofService
      .filter(({ isPresent, isListed }) => !isPresent && !isListed)
      .filter((sighting) => !ofService.some((other) => isSuccessor(other, sighting)))
      .map(({ entry }) => entry);
  }

  #recordPresent(entry: InstanceEntry, now: Milliseconds): void {
    const known = this.#observed.get(entry.id);
    const isListed = known?.isPresent === true ? known.isListed : this.#isListed(entry);
    this.#observed.set(entry.id, { entry, seenAt: now, isPresent: true, isListed });
  }

  #markListed(id: string): void {
    const sighting = this.#observed.get(id);
    if (sighting !== undefined) sighting.isListed = true;
  }

  #isListed({ service, id }: InstanceEntry): boolean {
    return this.#listed.get(service)?.has(id) === true;
  }
}

function isSuccessor(other: ObservedMember, { entry, seenAt }: ObservedMember): boolean {
  const isSameAddress = other.entry.host === entry.host && other.entry.port === entry.port;
  return isSameAddress && other.entry.id !== entry.id && other.seenAt > seenAt;
}
