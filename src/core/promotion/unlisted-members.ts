/**
 * Members that this node has seen and no record of the leader lists: their registration began and ended while the
 * store accepted no writes. Such a member may have received a commit that no other has, so it counts until a record
 * lists it; from then on the leader's records decide whether it counts.
 */
import type { InstanceEntry } from '../../direct/contract.js';
import type { Milliseconds } from '../units.js';
import type { MembersRecord } from './records.js';

const RETENTION_MS: Milliseconds = 600_000;

interface ObservedMember {
  entry: InstanceEntry;
  lastSeenAt: Milliseconds;
  isRegistered: boolean;
  isListed: boolean;
}

export class UnlistedMembers {
  /** Ids of the members in the latest record, by service. */
  readonly #listed = new Map<string, ReadonlySet<string>>();
  readonly #observed = new Map<string, ObservedMember>();

  /** Takes all instances that are registered now. */
  updateInstances(entries: readonly InstanceEntry[], now: Milliseconds): void {
    const registered = new Set(entries.map(({ id }) => id));
    for (const entry of entries) this.#recordRegistered(entry, now);
    for (const [id, member] of this.#observed) {
      if (registered.has(id)) continue;
      member.isRegistered = false;
      if (now - member.lastSeenAt > RETENTION_MS) this.#observed.delete(id);
    }
  }

  applyRecord(service: string, { members, departed }: MembersRecord): void {
    const listed = new Set(members.map(({ id }) => id));
    this.#listed.set(service, listed);
    for (const id of listed) this.#markListed(id);
    for (const { id } of departed) {
      // A member that is registered again may have come back after its departure was recorded.
      if (this.#observed.get(id)?.isRegistered !== true) this.#markListed(id);
    }
  }

  /**
   * Members that are not registered now and that no record lists, except one whose log has passed to a later
   * instance at its address.
   */
  of(service: string): InstanceEntry[] {
    const observed = [...this.#observed.values()].filter(({ entry }) => entry.service === service);
    return observed
      .filter(({ isRegistered, isListed }) => !isRegistered && !isListed)
      .filter((member) => !observed.some((other) => isSuccessor(other, member)))
      .map(({ entry }) => entry);
  }

  #recordRegistered(entry: InstanceEntry, now: Milliseconds): void {
    const known = this.#observed.get(entry.id);
    const isListed = known?.isRegistered === true ? known.isListed : this.#isListed(entry);
    this.#observed.set(entry.id, { entry, lastSeenAt: now, isRegistered: true, isListed });
  }

  #markListed(id: string): void {
    const member = this.#observed.get(id);
    if (member !== undefined) member.isListed = true;
  }

  #isListed({ service, id }: InstanceEntry): boolean {
    return this.#listed.get(service)?.has(id) === true;
  }
}

function isSuccessor(other: ObservedMember, { entry, lastSeenAt }: ObservedMember): boolean {
  const isSameAddress = other.entry.host === entry.host && other.entry.port === entry.port;
  return isSameAddress && other.entry.id !== entry.id && other.lastSeenAt > lastSeenAt;
}
