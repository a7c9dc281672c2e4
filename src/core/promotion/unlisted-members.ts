/**
 * Members that this node has seen and no record of the leader's names: one whose entry came and went while the store took no
 * writes. It may have received a commit that no other has, so it counts until a record names it; from then on the
 * leader's records tell whether it does.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { MembersRecord } from './records.js';

const REMEMBERED_MS: Milliseconds = 600_000;

interface Sighting {
  entry: InstanceEntry;
  seenAt: Milliseconds;
  isPresent: boolean;
  isListed: boolean;
}

export class UnlistedMembers {
  /** Ids of the members by the latest record, by service. */
  readonly #listed = new Map<string, ReadonlySet<string>>();
  readonly #sightings = new Map<string, Sighting>();

  /** All entries that the store has now. */
  updateInstances(entries: readonly InstanceEntry[], now: Milliseconds): void {
    const present = new Set(entries.map(({ id }) => id));
    for (const entry of entries) this.#notePresent(entry, now);
    for (const [id, sighting] of this.#sightings) {
      if (present.has(id)) continue;
      sighting.isPresent = false;
      if (now - sighting.seenAt > REMEMBERED_MS) this.#sightings.delete(id);
    }
  }

  applyRecord(service: string, { members, departed }: MembersRecord): void {
    const listed = new Set(members.map(({ id }) => id));
    this.#listed.set(service, listed);
    for (const id of listed) this.#noteListed(id);
    for (const { id } of departed) {
      // One that is there again may have come back after it was forgotten.
      if (this.#sightings.get(id)?.isPresent !== true) this.#noteListed(id);
    }
  }

  /** Those without an entry now; not one whose log has gone to a later instance at its address. */
  of(service: string): InstanceEntry[] {
    const ofService = [...this.#sightings.values()].filter(
      ({ entry }) => entry.service === service,
    );
    return ofService
      .filter(({ isPresent, isListed }) => !isPresent && !isListed)
      .filter((sighting) => !ofService.some((other) => isSuccessor(other, sighting)))
      .map(({ entry }) => entry);
  }

  #notePresent(entry: InstanceEntry, now: Milliseconds): void {
    const known = this.#sightings.get(entry.id);
    const isListed = known?.isPresent === true ? known.isListed : this.#isListed(entry);
    this.#sightings.set(entry.id, { entry, seenAt: now, isPresent: true, isListed });
  }

  #noteListed(id: string): void {
    const sighting = this.#sightings.get(id);
    if (sighting !== undefined) sighting.isListed = true;
  }

  #isListed({ service, id }: InstanceEntry): boolean {
    return this.#listed.get(service)?.has(id) === true;
  }
}

function isSuccessor(other: Sighting, { entry, seenAt }: Sighting): boolean {
  const isSameAddress = other.entry.host === entry.host && other.entry.port === entry.port;
  return isSameAddress && other.entry.id !== entry.id && other.seenAt > seenAt;
}
