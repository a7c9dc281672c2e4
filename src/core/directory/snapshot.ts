/**
 * What a node that can't reach the store may take from its peers: the newest configuration, the list of
 * instances, and the primary of each service. Each part carries a version or revision of the store's
 * history, and the part with the highest one is used. No I/O and no clock.
 */
import type { MemberListState } from '../promotion/member-list-proof.js';
import type { KnownPrimary } from '../statements/primary-evidence.js';

/** The operator's configuration, in the text form kept in the store. */
export interface ConfigurationPart {
  readonly version: number;
  readonly text: string;
}

/** All instances registered in the store at a revision. */
export interface InstancesPart<Instance> {
  readonly revision: number;
  readonly instances: readonly Instance[];
  /** Instances no longer registered in the store that still count as members of their groups. */
  readonly departed: readonly Instance[];
}

/** The primary of one service. */
export interface ServicePrimary {
  readonly service: string;
  readonly instanceId: string;
}

/** Primary of each service according to the records at a revision. Services without a primary are left out. */
export interface PrimariesPart {
  readonly revision: number;
  readonly primaries: readonly ServicePrimary[];
}

/** A primary and a term in which a node with a lease observed it as primary; this never becomes outdated. */
export interface ServiceTerm extends KnownPrimary {
  readonly service: string;
}

/** How current the responding peer's list of members is, and those of its members that are not registered. */
export interface MemberListPart<Instance> extends MemberListState {
  readonly departed: readonly Instance[];
}

/** A peer's response. Parts that the peer lacks, or that are not newer than requested, are absent. */
export interface DirectorySnapshot<Instance> {
  readonly configuration: ConfigurationPart | undefined;
  readonly instances: InstancesPart<Instance> | undefined;
  readonly primaries: PrimariesPart | undefined;
  readonly terms: readonly ServiceTerm[];
  /** Time since the store confirmed this to the node that read it from the store. */
  readonly ageMs: number;
  /** Time since the store provably had no newer configuration than the responding peer; absent without proof. */
  readonly configurationAgeMs?: number | undefined;
  /** Absent if the peer tracks no primaries. */
  readonly members?: MemberListPart<Instance> | undefined;
}

/** Versions and revisions of the parts that a node knows; 0 for a part that it lacks. */
export interface DirectoryVersions {
  readonly version: number;
  readonly instancesRevision: number;
  readonly primariesRevision: number;
}

export const NO_VERSIONS: DirectoryVersions = {
  version: 0,
  instancesRevision: 0,
  primariesRevision: 0,
};

/** Keeps only the parts of a snapshot that are newer than the known versions. */
export function selectNewerParts<Instance>(
  known: DirectoryVersions,
  offered: DirectorySnapshot<Instance>,
): DirectorySnapshot<Instance> {
  const { configuration, instances, primaries } = offered;
  return {
    ...offered,
    configuration: isNewer(configuration?.version, known.version) ? configuration : undefined,
    instances: isNewer(instances?.revision, known.instancesRevision) ? instances : undefined,
    primaries: isNewer(primaries?.revision, known.primariesRevision) ? primaries : undefined,
  };
}

/** The known versions after a snapshot's newer parts have been applied. */
export function versionsAfter<Instance>(
  known: DirectoryVersions,
  { configuration, instances, primaries }: DirectorySnapshot<Instance>,
): DirectoryVersions {
  return {
    version: Math.max(known.version, configuration?.version ?? 0),
    instancesRevision: Math.max(known.instancesRevision, instances?.revision ?? 0),
    primariesRevision: Math.max(known.primariesRevision, primaries?.revision ?? 0),
  };
}

function isNewer(offered: number | undefined, known: number): boolean {
  return offered !== undefined && offered > known;
}
