/** All members known, by node id, with one digest for each bucket of node ids. */
import { hashText } from '../hash-text.js';
import type { ZoneName } from '../request.js';
import type { NodeAddress } from './contract.js';
import { hashState, type MemberUpdate } from './member.js';

/** Buckets of the digests: at 4,600 members a bucket holds 18. */
export const BUCKET_COUNT = 256;

/** All members known, with digests by bucket. */
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

  /** Puts a member in place of what was known of it; returns it as it is kept. */
  set(told: MemberUpdate): MemberUpdate {
    this.delete(told.nodeId);
    const update = compactUpdate(told, this.#sharedZone(told.zone));
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

  /** All members, dead ones too, by bucket. */
  byBucket(): MemberUpdate[][] {
    const buckets = Array.from({ length: BUCKET_COUNT }, (): MemberUpdate[] => []);
    for (const member of this.#members.values()) buckets[bucketOf(member.nodeId)]?.push(member);
    return buckets;
  }

  /** One string for each zone, not one for each member: decoding makes new ones. */
  #sharedZone(zone: ZoneName): ZoneName {
    const known = this.#zones.get(zone);
    if (known !== undefined) return known;
    this.#zones.set(zone, zone);
    return zone;
  }

  /**
   * XOR, so that the order of changes does not matter and a change costs the same at any size. The
   * dead are left out: each node forgets them at its own time.
   */
  #toggleDigest(update: MemberUpdate): void {
    if (update.liveness === 'dead') return;
    const bucket = bucketOf(update.nodeId);
    this.#digests[bucket] = (this.#digests[bucket] ?? 0) ^ hashState(update);
  }
}

/** A literal and not a spread, of which V8 makes a dictionary several times the size. */
function compactUpdate(told: MemberUpdate, zone: ZoneName): MemberUpdate {
  return {
    nodeId: told.nodeId,
    incarnation: told.incarnation,
    version: told.version,
    liveness: told.liveness,
    leaving: told.leaving,
    zone,
    host: told.host,
    peerPort: told.peerPort,
    configurationRevision: told.configurationRevision,
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
