/**
 * What a node that can't hear the store may take from its peers: the newest configuration, the list of
 * instances, and who leads each service. Each part has a mark of the store's own line (a version or a
 * revision), and the highest one is taken. No I/O and no clock.
 */
import type { KnownPrimary } from '../statements/primary-evidence.js';

/** The operator's configuration, as the text that the store holds. */
export interface ConfigurationPart {
  readonly version: number;
  readonly text: string;
}

/** All instances that the store held at a revision. */
export interface InstancesPart<Instance> {
  readonly revision: number;
  readonly instances: readonly Instance[];
  /** No longer in the store, and still counted among the members of their groups. */
  readonly departed: readonly Instance[];
}

/** The primary of one service. */
export interface ServicePrimary {
  readonly service: string;
  readonly instanceId: string;
}

/** Who led each service by the records of a revision. A service without a primary is left out. */
export interface PrimariesPart {
  readonly revision: number;
  readonly primaries: readonly ServicePrimary[];
}

/** A primary and a term in which a holder of a lease has found it leading: true for ever. */
export interface ServiceTerm extends KnownPrimary {
  readonly service: string;
}

/** One peer's answer. Parts that it has not, or that are no newer than was asked for, are absent. */
export interface DirectorySnapshot<Instance> {
  readonly configuration: ConfigurationPart | undefined;
  readonly instances: InstancesPart<Instance> | undefined;
  readonly primaries: PrimariesPart | undefined;
  readonly terms: readonly ServiceTerm[];
  /** How long ago the store confirmed this to whoever heard it from the store. */
  readonly ageMs: number;
  /** How long ago the store surely had no newer configuration than who tells this; absent if that can't be shown. */
  readonly configurationAgeMs?: number | undefined;
}

/** How far a node knows the store's line; 0 for what it knows nothing of. */
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

/** The parts of a snapshot that are newer than what is known; the others are left out. */
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

/** What is known once a snapshot's newer parts have been taken. */
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
