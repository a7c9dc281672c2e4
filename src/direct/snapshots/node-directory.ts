/** A node's own directory as the exchange of snapshots sees it: what it can tell, and how it takes more. */
import {
  type DirectoryVersions,
  type InstancesPart,
  selectNewerParts,
} from '../../core/directory/snapshot.js';
import type { Milliseconds } from '../../core/units.js';
import type { Logger } from '../../observability/logger.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import type { DirectoryFollower } from '../directory-follower.js';
import type { DirectGateway } from '../gateway.js';
import type { InstanceSnapshot } from './form.js';
import type { SnapshotNode } from './service.js';
import type { ToldPrimaries } from './told-primaries.js';

export interface NodeDirectoryOptions {
  readonly follower: DirectoryFollower;
  readonly gateway: DirectGateway;
  readonly primaries: ToldPrimaries;
  readonly logger: Logger;
  /** True while the store keeps the directory current. */
  isStoreHealthy(): boolean;
  /** Older proofs of the configuration are worth asking peers for younger ones; none is by default. */
  readonly maxProofAgeMs?: Milliseconds | undefined;
  /** Where the store says that other nodes answer. */
  peers(): readonly PeerAddress[];
  /** Members that count by the records, gone ones too. */
  countedMembers(): readonly InstanceEntry[];
  /**
   * Told of members that the store has no more and of those that it has, before the latter alone; `isWhole` if whoever
   * tells has read the records, which name those that were gone before it began.
   */
  noteMembers(members: readonly InstanceEntry[], isWhole: boolean): void;
  now(): Milliseconds;
}

export class NodeDirectory implements SnapshotNode {
  /** When the store confirmed what a peer told last, by this node's clock. */
  #adoptedFrom: Milliseconds | undefined;

  constructor(private readonly options: NodeDirectoryOptions) {}

  isWanted(): boolean {
    const {
      follower,
      isStoreHealthy,
      now,
      maxProofAgeMs = Number.POSITIVE_INFINITY,
    } = this.options;
    const provenAt = follower.configurationProvenAt() ?? Number.NEGATIVE_INFINITY;
    if (maxProofAgeMs < now() - provenAt) return true;
    return follower.lastConfirmedAt() === undefined || !isStoreHealthy();
  }

  peers(): readonly PeerAddress[] {
    return this.options.peers();
  }

  known(): DirectoryVersions {
    const { follower, primaries } = this.options;
    return {
      version: follower.configuration()?.version ?? 0,
      instancesRevision: follower.instancesRevision(),
      primariesRevision: primaries.revision,
    };
  }

  describe(known: DirectoryVersions): InstanceSnapshot | undefined {
    const { follower, primaries, now } = this.options;
    const confirmedAt = follower.lastConfirmedAt() ?? this.#adoptedFrom;
    const configuration = follower.configurationPart();
    if (confirmedAt === undefined || configuration === undefined) return undefined;
    return selectNewerParts(known, {
      configuration,
      instances: {
        revision: follower.instancesRevision(),
        instances: [...follower.instances().values()],
        departed: this.#departed(),
      },
      primaries: primaries.describe(this.#services()),
      terms: this.options.gateway.primaryTerms(),
      ageMs: Math.max(0, now() - confirmedAt),
      ...this.#proof(),
    });
  }

  /** The configuration goes first: what follows is of its services. */
  adopt(snapshot: InstanceSnapshot, askedAt: Milliseconds): void {
    const { follower, gateway, primaries, logger, now } = this.options;
    const newer = selectNewerParts(this.known(), snapshot);
    const isFirst = follower.configuration() === undefined;
    if (newer.configuration !== undefined) follower.adoptConfiguration(newer.configuration);
    this.#adoptProof(snapshot, askedAt);
    if (newer.instances !== undefined) {
      this.#adoptInstances(newer.instances, snapshot.primaries !== undefined);
      this.#adoptedFrom = now() - snapshot.ageMs;
    }
    if (newer.primaries !== undefined) primaries.take(newer.primaries);
    gateway.recordPrimaryTerms(snapshot.terms);
    if (!isFirst || newer.configuration === undefined) return;
    logger.info('serving from a snapshot of a peer', { ageMs: Math.round(snapshot.ageMs) });
  }

  #proof(): Pick<InstanceSnapshot, 'configurationAgeMs'> {
    const provenAt = this.options.follower.configurationProvenAt();
    if (provenAt === undefined) return {};
    return { configurationAgeMs: Math.max(0, this.options.now() - provenAt) };
  }

  /**
   * The peer answered after it was asked: what it could show then held no earlier than its age before that. What this
   * node has is no older than what the peer has, so that the proof is one of its own too.
   */
  #adoptProof(
    { configuration, configurationAgeMs }: InstanceSnapshot,
    askedAt: Milliseconds,
  ): void {
    const { follower } = this.options;
    const isTaken = (configuration?.version ?? 0) <= (follower.configuration()?.version ?? -1);
    if (configurationAgeMs === undefined || !isTaken) return;
    follower.adoptConfigurationProof(askedAt - configurationAgeMs);
  }

  /** Members that have no entry any more and count: used by this node, or named by the records. */
  #departed(): InstanceEntry[] {
    const { follower, gateway, countedMembers } = this.options;
    const present = follower.instances();
    const gone = [...countedMembers(), ...gateway.departedMembers()];
    return [...new Map(gone.map((entry) => [entry.id, entry])).values()].filter(
      ({ id }) => !present.has(id),
    );
  }

  #services(): string[] {
    return this.options.follower.configuration()?.services.map(({ name }) => name) ?? [];
  }

  /** A proof without the lease asks every member: also those that the peer has not forgotten yet. */
  #adoptInstances(part: InstancesPart<InstanceEntry>, isWhole: boolean): void {
    const { follower, gateway, noteMembers } = this.options;
    gateway.addDeparted(part.departed);
    noteMembers([...part.departed, ...part.instances], isWhole);
    follower.adoptInstances(part);
  }
}
