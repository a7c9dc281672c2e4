/**
 * Primaries for a node that may not have the current records: a peer's report is used while it is newer than
 * the records known to this node. It never makes an instance trusted: without a lease, a read there needs
 * the proof by the members' positions.
 */
import type { PrimariesPart } from '../../core/directory/snapshot.js';
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { AcknowledgedCommit } from '../../core/promotion/acknowledged-commits.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type { UnsettledInstance } from '../../core/promotion/primaries.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry } from '../contract.js';
import type { PrimaryUse, PrimaryView } from '../promotion/contract.js';

/** Primaries according to the records that this node has read from the store. */
export interface RecordedPrimaries extends PrimaryView {
  /** Revision of the records; 0 if none are known. */
  readonly recordsRevision: number;
}

export class ReportedPrimaries implements PrimaryView {
  #reported: PrimariesPart | undefined;

  constructor(
    private readonly recorded: RecordedPrimaries,
    private readonly findInstance: (id: string) => InstanceEntry | undefined,
    private readonly now: () => Milliseconds,
  ) {}

  get watchesPrimaries(): boolean {
    return this.recorded.watchesPrimaries;
  }

  get onChange(): (service: string) => void {
    return this.recorded.onChange;
  }

  set onChange(handler: (service: string) => void) {
    this.recorded.onChange = handler;
  }

  /** Applies a peer's report, unless what is known is as new. */
  update(part: PrimariesPart): void {
    if (part.revision > this.revision) this.#reported = part;
  }

  /** Revision up to which primaries are known, from the records or from a peer. */
  get revision(): number {
    return Math.max(this.recorded.recordsRevision, this.#reported?.revision ?? 0);
  }

  /** The newest primaries known, for other nodes; undefined if none are known. */
  describe(services: readonly string[]): PrimariesPart | undefined {
    const { recorded } = this;
    if (this.#reported !== undefined && this.#reported.revision > recorded.recordsRevision) {
      return this.#reported;
    }
    if (recorded.recordsRevision === 0) return undefined;
    const primaries = services.flatMap((service) => {
      const instanceId = recorded.primaryOf(service)?.id;
      return instanceId === undefined ? [] : [{ service, instanceId }];
    });
    return { revision: recorded.recordsRevision, primaries };
  }

  primaryOf(service: string): InstanceEntry | undefined {
    const reported = this.#reportedIfNewer(service);
    if (reported === undefined) return this.recorded.primaryOf(service);
    const primary = reported.primaries.find((one) => one.service === service);
    return primary === undefined ? undefined : this.findInstance(primary.instanceId);
  }

  /** Defaults to the instance of `primaryOf` here, which may differ from the recorded one. */
  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean {
    const instanceId = instance ?? this.primaryOf(service)?.id;
    return instanceId !== undefined && this.recorded.mayTrustPrimary(service, now, instanceId);
  }

  confirmPrimary(service: string, instance: string): Promise<boolean> {
    return this.recorded.confirmPrimary(service, instance);
  }

  judgeCommits(
    service: string,
    instance: string,
    position?: Position,
  ): Promise<CommitVerdict | undefined> {
    return this.recorded.judgeCommits(service, instance, position);
  }

  judgeWrite(service: string, instance: string): Promise<CommitVerdict | undefined> {
    return this.recorded.judgeWrite(service, instance);
  }

  acknowledgedPosition(service: string): Promise<Position | undefined> {
    return this.recorded.acknowledgedPosition(service);
  }

  confirmMembers(): Promise<Milliseconds> {
    return this.recorded.confirmMembers();
  }

  unsettledCandidates(service: string): readonly UnsettledInstance[] {
    return this.recorded.unsettledCandidates(service);
  }

  isChanging(service: string): boolean {
    return this.recorded.isChanging(service);
  }

  reportPrimaryFailure(
    service: string,
    now: Milliseconds,
    use?: PrimaryUse,
    silentForMs?: Milliseconds,
  ): void {
    this.recorded.reportPrimaryFailure(service, now, use, silentForMs);
  }

  reportPrimarySuccess(service: string, now: Milliseconds, use?: PrimaryUse): void {
    this.recorded.reportPrimarySuccess(service, now, use);
  }

  recordCommit(service: string, commit: AcknowledgedCommit): void {
    this.recorded.recordCommit(service, commit);
  }

  recordPosition(instance: InstanceEntry, position: Position): void {
    this.recorded.recordPosition(instance, position);
  }

  recordRestart(instance: InstanceEntry): void {
    this.recorded.recordRestart(instance);
  }

  hasBeenPrimary(instance: InstanceEntry): boolean {
    return this.recorded.hasBeenPrimary(instance);
  }

  liveNodeCount(): number {
    return this.recorded.liveNodeCount();
  }

  /** From the records only; peers do not report owners. */
  ownerRoster(): OwnerRoster | undefined {
    return this.recorded.ownerRoster();
  }

  returnRoster(): OwnerRoster | undefined {
    return this.recorded.returnRoster?.();
  }

  /** The peer's report, if newer; undefined while the recorded primary is trusted, since no promotion can bypass it. */
  #reportedIfNewer(service: string): PrimariesPart | undefined {
    const { recorded } = this;
    const reported = this.#reported;
    if (reported === undefined || reported.revision <= recorded.recordsRevision) return undefined;
    return recorded.mayTrustPrimary(service, this.now()) ? undefined : reported;
  }
}
