/**
 * The state of one member, and how two states are merged. The merge is the join of a lattice
 * (commutative, associative, idempotent), so nodes that have received the same updates in any order
 * agree.
 */
import type { ConfigurationRevision } from '../configuration/model.js';
import { hashText } from '../hash-text.js';
import type { ZoneName } from '../request.js';

/** Result of probes. The member itself refutes `suspect` and `dead` with a higher version. */
export type Liveness = 'alive' | 'suspect' | 'dead';

/** Status for the rest of the program; dead takes precedence over leaving, leaving over suspect, suspect over alive. */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'dead';

/** State of one member as nodes exchange it. */
export interface MemberUpdate {
  readonly nodeId: string;
  /** Identifies one process run of the node; the state of a higher incarnation replaces that of a lower one. */
  readonly incarnation: number;
  /** Incremented by the member itself, within one incarnation, to refute a suspicion or a death. */
  readonly version: number;
  readonly liveness: Liveness;
  /** The member reported that it is leaving. Final for this incarnation. */
  readonly leaving: boolean;
  readonly zone: ZoneName;
  readonly host: string;
  readonly peerPort: number;
  /** Never decreases within one incarnation; a change is not disseminated by itself. */
  readonly configurationRevision: ConfigurationRevision;
}

/** A member as the rest of the program sees it. */
export interface Member {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly zone: ZoneName;
  readonly host: string;
  readonly peerPort: number;
  readonly status: MemberStatus;
  readonly configurationRevision: ConfigurationRevision;
}

const LIVENESS_RANK: Readonly<Record<Liveness, number>> = { alive: 0, suspect: 1, dead: 2 };

/** Merges a received state into the known one. Returns `known` itself if nothing is new. */
export function mergeUpdates(known: MemberUpdate, received: MemberUpdate): MemberUpdate {
  if (received.incarnation > known.incarnation) return received;
  if (received.incarnation < known.incarnation) return known;
  const later = newerLiveness(known, received);
  const leaving = known.leaving || received.leaving;
  const configurationRevision = Math.max(
    known.configurationRevision,
    received.configurationRevision,
  );
  const unchanged =
    later === known &&
    leaving === known.leaving &&
    configurationRevision === known.configurationRevision;
  if (unchanged) return known;
  return {
    nodeId: known.nodeId,
    incarnation: known.incarnation,
    version: later.version,
    liveness: later.liveness,
    leaving,
    zone: known.zone,
    host: known.host,
    peerPort: known.peerPort,
    configurationRevision,
  };
}

function newerLiveness(known: MemberUpdate, received: MemberUpdate): MemberUpdate {
  if (received.version !== known.version)
    return received.version > known.version ? received : known;
  return LIVENESS_RANK[received.liveness] > LIVENESS_RANK[known.liveness] ? received : known;
}

/** True if two updates differ in more than attributes, so that the difference has to be disseminated. */
export function differsInState(left: MemberUpdate, right: MemberUpdate): boolean {
  return (
    left.incarnation !== right.incarnation ||
    left.version !== right.version ||
    left.liveness !== right.liveness ||
    left.leaving !== right.leaving
  );
}

/** The status that results from an update and the machine list's leaving mark. */
export function statusOf(update: MemberUpdate, isListedLeaving: boolean): MemberStatus {
  if (update.liveness === 'dead') return 'dead';
  if (update.leaving || isListedLeaving) return 'leaving';
  return update.liveness;
}

/** The member as the rest of the program sees it. */
export function describeMember(update: MemberUpdate, isListedLeaving: boolean): Member {
  const { nodeId, incarnation, zone, host, peerPort, configurationRevision } = update;
  const status = statusOf(update, isListedLeaving);
  return { nodeId, incarnation, zone, host, peerPort, status, configurationRevision };
}

/** Maximum size of the fixed part of an encoded update: array header and five numbers. */
const FIXED_UPDATE_BYTES = 36;
/** Maximum size of a string's header (strings here are shorter than 64 KB). */
const STRING_HEAD_BYTES = 3;

/** Upper bound of the encoded size of an update, in bytes (identifiers are ASCII). */
export function updateBytes(update: MemberUpdate): number {
  const text = update.nodeId.length + update.zone.length + update.host.length;
  return FIXED_UPDATE_BYTES + 3 * STRING_HEAD_BYTES + text;
}

/** Hash of a member's state without its attributes, for the digests of anti-entropy. */
export function hashState(update: MemberUpdate): number {
  const { nodeId, incarnation, version, liveness, leaving } = update;
  return hashText(`${nodeId}|${incarnation}|${version}|${liveness}|${leaving}`);
}
