/** What the data path of a node asks of, and tells to, whoever keeps track of the primaries. */
import type { OwnerRoster } from '../../core/ownership/owner-roster.js';
import type { Position } from '../../core/position.js';
import type { CommitVerdict } from '../../core/promotion/commit-verdict.js';
import type { PrimaryUse } from '../../core/promotion/contract.js';
import type { Milliseconds } from '../../core/units.js';
import type { InstanceEntry, PromoteOutcome, PromotionCaller } from '../contract.js';

export type { PrimaryUse } from '../../core/promotion/contract.js';

/** Which instance leads each service, and whether it may be relied on. Times are monotonic. */
export interface PrimaryView {
  /** The instance that takes writes now, or undefined while it is changing or unknown. */
  primaryOf(service: string): InstanceEntry | undefined;
  /**
   * True if what this instance answers now is surely not of a deposed primary. To be asked before a
   * read that relies on the primary is sent, after its first byte has come; and before a commit's
   * acknowledgement is passed on. The instance is `primaryOf` the service if none is given.
   */
  mayTrustPrimary(service: string, now: Milliseconds, instance?: string): boolean;
  /**
   * Where `mayTrustPrimary` is false: asks the members themselves. True if the instance could be
   * trusted when this was called, to begin a read there. Costs a round trip and a slot at every member; many callers
   * share one round.
   */
  confirmPrimary(service: string, instance: string): Promise<boolean>;
  /**
   * What the members say of commits that the instance had acknowledged before this call; of one, by its position.
   * Undefined where this node can't ask them.
   */
  judgeCommits(
    service: string,
    instance: string,
    position?: Position,
  ): Promise<CommitVerdict | undefined>;
  /** What they say of a write that is to be sent there now, or said a moment ago; undefined as above. */
  judgeWrite(service: string, instance: string): Promise<CommitVerdict | undefined>;
  /**
   * The position that every commit acknowledged before this call is at or before, by what the replicas have received:
   * for when no primary tells it. Undefined if too few of them answer. Costs a slot at every member.
   */
  acknowledgedPosition(service: string): Promise<Position | undefined>;
  /** True while another primary is being made; one may be expected soon. */
  isChanging(service: string): boolean;
  /** Called when the primary of a service has changed, or began to change. */
  onChange: (service: string) => void;
  /**
   * A request could not reach the primary, or got no commit acknowledged there in time; nothing that
   * was asked of it has been answered for `silentForMs`.
   */
  reportPrimaryFailure(
    service: string,
    now: Milliseconds,
    use?: PrimaryUse,
    silentForMs?: Milliseconds,
  ): void;
  /** The primary answered; with `commit`, a commit was acknowledged. */
  reportPrimarySuccess(service: string, now: Milliseconds, use?: PrimaryUse): void;
  /** True while it is this node that finds out when a primary is gone. */
  readonly watchesPrimaries: boolean;
  /** Nodes that are alive, this one included. */
  liveNodeCount(): number;
  /** The nodes that own instances; undefined while every node connects to every instance. */
  ownerRoster(): OwnerRoster | undefined;
  /** The nodes that lend to those that come back, where every node connects by itself otherwise; none by default. */
  returnRoster?(): OwnerRoster | undefined;
}

/**
 * Ends this node's use of a primary that is being replaced: resolves once no write is on its way
 * there whose acknowledgement could still be passed on. The change goes on without it after a while.
 */
export type EndPrimaryUse = (service: string) => Promise<void>;

/**
 * The platform's promotion call with a bound: by `endsAt` (monotonic) nothing of the call may be on
 * its way any more. An implementation looks at its clock right before it writes the request, and
 * resets the connection at that time; one that knows no bound will do where fences are enforced.
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
