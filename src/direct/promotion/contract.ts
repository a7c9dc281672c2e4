/** Interface between a node's data path and the component that tracks the primaries. */
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { AcknowledgedCommit } from '../../core/promotion/acknowledged-commits.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type { PrimaryUse } from '../../core/promotion/contract.js';
import type { UnsettledInstance } from '../../core/promotion/primaries.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry, PromoteOutcome, PromotionCaller } from '../contract.js';

export type { PrimaryUse } from '../../core/promotion/contract.js';

/** Which instance is the primary of each service, and whether it may be trusted. Times are monotonic. */
export interface PrimaryView {
  /** The instance that accepts writes now; undefined while the primary is changing or unknown. */
  primaryOf(service: string): InstanceEntry | undefined;
  /**
   * True if it is certain that this instance, responding now, is not a deposed primary. Call it before a
   * read that relies on the primary is sent, again after the read's first byte has arrived, and before a
   * commit's acknowledgement is forwarded. `instance` defaults to `primaryOf(service)`.
   */
  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean;
  /**
   * For use where `mayTrustPrimary` is false: queries the members themselves. True if the instance could
   * be trusted at the time of this call, so that a read may begin there. Costs a round trip and a slot at
   * every member; concurrent calls share one round.
   */
  confirmPrimary(service: string, instance: string): Promise<boolean>;
  /**
   * The members' verdict on the commits that the instance had acknowledged before this call, or on the
   * one at `position`. Undefined where this node can't query the members.
   */
  judgeCommits(
    service: string,
    instance: string,
    position?: Position,
  ): Promise<CommitVerdict | undefined>;
  /**
   * The members' verdict, possibly a moment old, on a write that is to be sent to the instance now.
   * Undefined where this node can't query the members.
   */
  judgeWrite(service: string, instance: string): Promise<CommitVerdict | undefined>;
  /**
   * A position at or after every commit acknowledged before this call, derived from what the replicas
   * have received; for use when no primary reports it. Undefined if too few replicas respond. Costs a
   * slot at every member.
   */
  acknowledgedPosition(service: string): Promise<Position | undefined>;
  /**
   * Reads the registrations, if the store is available. Resolves to the time up to which this node knows every member of
   * the groups: a position derived from the members covers only commits acknowledged before it.
   */
  confirmMembers(): Promise<Milliseconds>;
  /**
   * Other instances that a promotion call of an earlier leader may still make primary: a commit is confirmed only once
   * they have received it.
   */
  unsettledCandidates(service: string): readonly UnsettledInstance[];
  /** True while the primary is being replaced; a new one is expected soon. */
  isChanging(service: string): boolean;
  /** Called when the primary of a service has changed or its replacement has begun. */
  onChange: (service: string) => void;
  /**
   * Reports that a request could not reach the primary, or that its commit was not acknowledged in time.
   * The primary has responded to no request for `silentForMs`.
   */
  reportPrimaryFailure(
    service: string,
    now: Milliseconds,
    use?: PrimaryUse,
    silentForMs?: Milliseconds,
  ): void;
  /** Reports that the primary responded or, with `commit`, that it acknowledged a commit. */
  reportPrimarySuccess(service: string, now: Milliseconds, use?: PrimaryUse): void;
  /** Notes a commit that is about to be confirmed to its caller: no promotion may lose it. */
  recordCommit(service: string, commit: AcknowledgedCommit): void;
  /** Notes a position that the log of an instance has reached. */
  recordPosition(instance: InstanceEntry, position: Position): void;
  /** Notes that a later incarnation responds for an instance: it is no longer trusted. */
  recordRestart(instance: InstanceEntry): void;
  /**
   * Whether this incarnation has told this node that it is primary, if its registration tells incarnations apart. Until
   * then a read must not rely on it: a later incarnation may respond, which refuses writes and runs reads on an empty log.
   */
  hasBeenPrimary(instance: InstanceEntry): boolean;
  /** True while this node is the one that detects failed primaries. */
  readonly watchesPrimaries: boolean;
  /** Number of live nodes, including this one. */
  liveNodeCount(): number;
  /** The nodes that own instances; undefined while every node connects to every instance. */
  ownerRoster(): OwnerRoster | undefined;
  /** Nodes that lend connections to returning nodes, where every other node connects by itself; none by default. */
  returnRoster?(): OwnerRoster | undefined;
}

/**
 * Ends this node's use of a primary that is being replaced. Resolves once no write is in flight there
 * whose acknowledgement could still be forwarded. The primary change waits only a limited time for it.
 */
export type EndPrimaryUse = (service: string) => Promise<void>;

/**
 * The platform's promotion call with a time limit: after `endsAt` (monotonic) nothing of the call may be
 * in flight. An implementation checks its clock right before it writes the request and resets the
 * connection at `endsAt`. One without the limit suffices where the platform enforces fencing tokens.
 */
export interface BoundedPromotionCaller extends PromotionCaller {
  promote(
    service: string,
    instanceId: string,
    holder: string,
    fencingToken: number,
    endsAt?: Milliseconds,
  ): Promise<PromoteOutcome>;
}
