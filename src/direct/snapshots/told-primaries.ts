/**
 * Primaries for a node that may not have heard the records: what a peer has told stands in while its
 * records are newer than those that are known here. It never makes an instance trusted: without a lease
 * a read at it needs the proof by its members' positions.
 */
import type { PrimariesPart } from '../../core/directory/snapshot.js';
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry } from '../contract.js';
import type { PrimaryUse, PrimaryView } from '../promotion/contract.js';

/** What is known by this node itself. */
export interface RecordedPrimaries extends PrimaryView {
  /** Revision of the records; 0 if none are known. */
  readonly recordsRevision: number;
}

export class ToldPrimaries implements PrimaryView {
  #told: PrimariesPart | undefined;

  constructor(
    private readonly recorded: RecordedPrimaries,
    private readonly instance: (id: string) => InstanceEntry | undefined,
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

  /** Takes what a peer told; what is no newer than what is known is passed over. */
  take(part: PrimariesPart): void {
    if (part.revision > this.revision) this.#told = part;
  }

  /** Revision up to which primaries are known, by whomever. */
  get revision(): number {
    return Math.max(this.recorded.recordsRevision, this.#told?.revision ?? 0);
  }

  /** What this node can tell others, with the revision that it is of; undefined if it knows nothing. */
  describe(services: readonly string[]): PrimariesPart | undefined {
    const { recorded } = this;
    if (this.#told !== undefined && this.#told.revision > recorded.recordsRevision) {
      return this.#told;
    }
    if (recorded.recordsRevision === 0) return undefined;
    const primaries = services.flatMap((service) => {
      const instanceId = recorded.primaryOf(service)?.id;
      return instanceId === undefined ? [] : [{ service, instanceId }];
    });
    return { revision: recorded.recordsRevision, primaries };
  }

  primaryOf(service: string): InstanceEntry | undefined {
    const told = this.#newerThanRecords(service);
    if (told === undefined) return this.recorded.primaryOf(service);
    const primary = told.primaries.find((one) => one.service === service);
    return primary === undefined ? undefined : this.instance(primary.instanceId);
  }

  /** Asked for the instance that `primaryOf` gives, which may be another than the recorded one. */
  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean {
    const asked = instance ?? this.primaryOf(service)?.id;
    return asked !== undefined && this.recorded.mayTrustPrimary(service, now, asked);
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

  liveNodeCount(): number {
    return this.recorded.liveNodeCount();
  }

  /** Peers tell of no owners: only the records do. */
  ownerRoster(): OwnerRoster | undefined {
    return this.recorded.ownerRoster();
  }

  returnRoster(): OwnerRoster | undefined {
    return this.recorded.returnRoster?.();
  }

  /** The records bind a node that no promotion can pass by. */
  #newerThanRecords(service: string): PrimariesPart | undefined {
    const { recorded } = this;
    const told = this.#told;
    if (told === undefined || told.revision <= recorded.recordsRevision) return undefined;
    return recorded.mayTrustPrimary(service, this.now()) ? undefined : told;
  }
}
