/** Connects a node's own directory to the exchange of snapshots: describes it to peers and adopts newer parts. */
import {
  type DirectoryVersions,
  type InstancesPart,
  selectNewerParts,
} from '../../core/directory/snapshot.js';
import type { MemberListState, PeerListReport } from '../../core/promotion/member-list-proof.js';
import type { Milliseconds } from '../../core/units.js';
import type { Logger } from '../../observability/logger.js';
import type { PeerAddress } from '../../peer/contract.js';
import type { InstanceEntry } from '../contract.js';
import type { DirectoryFollower } from '../directory-follower.js';
import type { DirectGateway } from '../gateway.js';
import type { InstanceSnapshot } from './messages.js';
import type { ReportedPrimaries } from './reported-primaries.js';
import type { SnapshotNode } from './service.js';

/** How current this node's list of members is. */
export interface MemberList {
  describe(): MemberListState;
  /** Applies a peer's report; `departed`: its members that are not registered. */
  record(report: PeerListReport, departed: readonly InstanceEntry[]): void;
}

export interface NodeDirectoryOptions {
  readonly follower: DirectoryFollower;
  readonly gateway: DirectGateway;
  readonly primaries: ReportedPrimaries;
  readonly logger: Logger;
  /** True while the store keeps the directory current. */
  isStoreHealthy(): boolean;
  /** If the proof of the configuration is older than this, peers are asked for a newer one; unlimited by default. */
  readonly maxProofAgeMs?: Milliseconds | undefined;
  /** Addresses of other nodes according to the store. */
  peers(): readonly PeerAddress[];
  /** Members according to the records, including departed ones. */
  countedMembers(): readonly InstanceEntry[];
  /**
   * Called with the departed and the registered members together, before the registered ones are adopted alone.
   * `isComplete` if the peer has read the records, which list the members that had departed before it started.
   */
  setReportedMembers(members: readonly InstanceEntry[], isComplete: boolean): void;
  /** Absent if this node tracks no primaries. */
  readonly memberList?: MemberList | undefined;
  now(): Milliseconds;
}

export class NodeDirectory implements SnapshotNode {
  /** When the store confirmed the instances last adopted from a peer, by this node's clock. */
  #adoptedConfirmedAt: Milliseconds | undefined;

  constructor(private readonly options: NodeDirectoryOptions) {}

  needsSnapshot(): boolean {
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

  knownVersions(): DirectoryVersions {
    const { follower, primaries } = this.options;
    return {
      version: follower.configuration()?.version ?? 0,
      instancesRevision: follower.instancesRevision(),
      primariesRevision: primaries.revision,
    };
  }

  describe(known: DirectoryVersions): InstanceSnapshot | undefined {
    const { follower, primaries, now } = this.options;
    const confirmedAt = follower.lastConfirmedAt() ?? this.#adoptedConfirmedAt;
    const configuration = follower.configurationPart();
    if (confirmedAt === undefined || configuration === undefined) return undefined;
    const departed = this.#departedMembers();
    return selectNewerParts(known, {
      configuration,
      instances: {
        revision: follower.instancesRevision(),
        instances: [...follower.instances().values()],
        departed,
      },
      primaries: primaries.describe(this.#services()),
      terms: this.options.gateway.primaryTerms(),
      ageMs: Math.max(0, now() - confirmedAt),
      ...this.#configurationAge(),
      ...this.#memberListPart(departed),
    });
  }

  #memberListPart(departed: readonly InstanceEntry[]): Pick<InstanceSnapshot, 'members'> {
    const { memberList } = this.options;
    return memberList === undefined ? {} : { members: { ...memberList.describe(), departed } };
  }

  recordMemberList({ members }: InstanceSnapshot, requestedAt: Milliseconds): void {
    if (members === undefined) return;
    const { listAgeMs, outages, fleetNodes, departed } = members;
    this.options.memberList?.record({ requestedAt, listAgeMs, outages, fleetNodes }, departed);
  }

  /** Applies the configuration first, since the other parts refer to its services. */
  adopt(snapshot: InstanceSnapshot, requestedAt: Milliseconds): void {
    const { follower, gateway, primaries, logger, now } = this.options;
    const newer = selectNewerParts(this.knownVersions(), snapshot);
    const isFirst = follower.configuration() === undefined;
    if (newer.configuration !== undefined) follower.adoptConfiguration(newer.configuration);
    this.#adoptProof(snapshot, requestedAt);
    if (newer.instances !== undefined) {
      this.#adoptInstances(newer.instances, snapshot.primaries !== undefined);
      this.#adoptedConfirmedAt = now() - snapshot.ageMs;
    }
    if (newer.primaries !== undefined) primaries.update(newer.primaries);
    gateway.recordPrimaryTerms(snapshot.terms);
    if (!isFirst || newer.configuration === undefined) return;
    logger.info('serving from a snapshot of a peer', { ageMs: Math.round(snapshot.ageMs) });
  }

  #configurationAge(): Pick<InstanceSnapshot, 'configurationAgeMs'> {
    const provenAt = this.options.follower.configurationProvenAt();
    if (provenAt === undefined) return {};
    return { configurationAgeMs: Math.max(0, this.options.now() - provenAt) };
  }

  /**
   * The peer responded after the request was sent, so its proof held no earlier than the reported age before that time.
   * This node's configuration is no older than the peer's, so that the proof applies to it too.
   */
  #adoptProof(
    { configuration, configurationAgeMs }: InstanceSnapshot,
    requestedAt: Milliseconds,
  ): void {
    const { follower } = this.options;
    const isApplied = (configuration?.version ?? 0) <= (follower.configuration()?.version ?? -1);
    if (configurationAgeMs === undefined || !isApplied) return;
    follower.adoptConfigurationProof(requestedAt - configurationAgeMs);
  }

  /** Members whose registration is gone but that still count: used by this node, or listed in the records. */
  #departedMembers(): InstanceEntry[] {
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

  /** Keeps departed members too: without a lease, a proof must query every member that the peer still counts. */
  #adoptInstances(part: InstancesPart<InstanceEntry>, isComplete: boolean): void {
    const { follower, gateway, setReportedMembers } = this.options;
    gateway.addDeparted(part.departed);
    setReportedMembers([...part.departed, ...part.instances], isComplete);
    follower.adoptInstances(part);
  }
}
