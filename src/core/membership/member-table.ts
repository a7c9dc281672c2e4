/** All known members by node id, with one digest per bucket of node ids. */
import { hashText } from '../hash-text.js';
import type { ZoneName } from '../request.js';
import type { NodeAddress } from './contract.js';
import { hashState, type MemberUpdate } from './member.js';

/** Number of digest buckets: with 4,600 members, a bucket holds 18. */
export const BUCKET_COUNT = 256;

/** All known members, with digests by bucket. */
export class MemberTable {
  readonly #members = new Map<string, MemberUpdate>();
  readonly #digests = new Uint32Array(BUCKET_COUNT);
  readonly #zones = new Map<ZoneName, ZoneName>();
  #liveCount = 0;

  /** Members that are not dead. */
  get liveCount(): number {
    return this.#liveCount;
  }

  get(nodeId: string): MemberUpdate | undefined {
    return this.#members.get(nodeId);
  }

  values(): IterableIterator<MemberUpdate> {
    return this.#members.values();
  }

  /** Inserts or replaces a member; returns the stored copy. */
  set(received: MemberUpdate): MemberUpdate {
    this.delete(received.nodeId);
    const update = compactUpdate(received, this.#sharedZone(received.zone));
    this.#members.set(update.nodeId, update);
    this.#toggleDigest(update);
    if (update.liveness !== 'dead') this.#liveCount += 1;
    return update;
  }

  delete(nodeId: string): void {
    const known = this.#members.get(nodeId);
    if (known === undefined) return;
    this.#members.delete(nodeId);
    this.#toggleDigest(known);
    if (known.liveness !== 'dead') this.#liveCount -= 1;
  }

  digests(): number[] {
    return [...this.#digests];
  }

  /** All members by bucket, including dead ones. */
  byBucket(): MemberUpdate[][] {
    const buckets = Array.from({ length: BUCKET_COUNT }, (): MemberUpdate[] => []);
    for (const member of this.#members.values()) buckets[bucketOf(member.nodeId)]?.push(member);
    return buckets;
  }

  /** Shares one string per zone among all members, since decoding creates a new one for each update. */
  #sharedZone(zone: ZoneName): ZoneName {
    const known = this.#zones.get(zone);
    if (known !== undefined) return known;
    this.#zones.set(zone, zone);
    return zone;
  }

  /**
   * XOR, so that the order of changes does not matter and the cost of a change does not depend on the
   * number of members. Dead members are left out, since each node removes them at a different time.
   */
  #toggleDigest(update: MemberUpdate): void {
    if (update.liveness === 'dead') return;
    const bucket = bucketOf(update.nodeId);
    this.#digests[bucket] = (this.#digests[bucket] ?? 0) ^ hashState(update);
  }
}

/** An object literal instead of a spread, which V8 turns into a dictionary-mode object several times the size. */
function compactUpdate(received: MemberUpdate, zone: ZoneName): MemberUpdate {
  return {
    nodeId: received.nodeId,
    incarnation: received.incarnation,
    version: received.version,
    liveness: received.liveness,
    leaving: received.leaving,
    zone,
    host: received.host,
    peerPort: received.peerPort,
    configurationRevision: received.configurationRevision,
  };
}

/** Bucket of a node id. */
export function bucketOf(nodeId: string): number {
  return hashText(nodeId) % BUCKET_COUNT;
}

/** True if two addresses are the same. */
export function sameAddress(left: NodeAddress, right: NodeAddress): boolean {
  return left.host === right.host && left.peerPort === right.peerPort;
}
