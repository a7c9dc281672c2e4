/**
 * What goes into and comes out of the promotion machine of one node. The machine asks for things as
 * effects with a number; whoever runs it hands each answer back under that number.
 */
import type {
  InstanceEntry,
  InstanceStatus,
  PromoteOutcome,
  ServiceDescription,
} from '../../direct/contract.js';
import type {
  RangeAnswer,
  RevisionCompare,
  TransactionAnswer,
  TransactionOperation,
  WatchEvent,
} from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';

/** A call to the store. */
export type StoreRequest =
  | { readonly type: 'range'; readonly prefix: string }
  | {
      readonly type: 'transaction';
      readonly compares: readonly RevisionCompare[];
      readonly operations: readonly TransactionOperation[];
    }
  | { readonly type: 'grant-lease'; readonly seconds: number }
  | { readonly type: 'keep-lease'; readonly leaseId: string }
  | { readonly type: 'revoke-lease'; readonly leaseId: string };

export type ControlAction = 'status' | 'pause' | 'resume' | 'demote';

/** A call to an instance that concerns its place in the group. */
export interface ControlRequest {
  readonly type: 'control';
  readonly action: ControlAction;
  readonly instance: InstanceEntry;
  /** Term of a pause or demotion; 0 for the others. */
  readonly term: number;
  readonly timeoutMs: Milliseconds;
}

/** A call of the platform's promotion. */
export interface PromoteRequest {
  readonly type: 'promote';
  readonly service: string;
  readonly instanceId: string;
  readonly fencingToken: number;
  /** The call must not be on its way any more after this time. */
  readonly endsAt: Milliseconds;
}

export type PromotionRequest = StoreRequest | ControlRequest | PromoteRequest;

/**
 * Why a call to an instance failed. `refused`: nothing listens there, or another instance does.
 * `silent`: no answer. `rejected`: it answered, and did not do it.
 */
export type ControlFailure = 'busy' | 'refused' | 'silent' | 'rejected';

export type RequestAnswer =
  | { readonly type: 'range'; readonly range: RangeAnswer }
  | { readonly type: 'transaction'; readonly transaction: TransactionAnswer }
  | { readonly type: 'lease'; readonly leaseId: string }
  | { readonly type: 'done' }
  | {
      readonly type: 'store-failed';
      /** The store said that the lease is over. */
      readonly isLeaseGone: boolean;
      readonly retryAfterMs: Milliseconds | undefined;
    }
  | { readonly type: 'status'; readonly status: InstanceStatus }
  | { readonly type: 'control-failed'; readonly failure: ControlFailure }
  | { readonly type: 'promotion'; readonly outcome: PromoteOutcome };

/** What a caller of the primary may run into. */
export type PrimaryUse =
  /** Reaching it, or getting any answer. */
  | 'reach'
  /** Getting a commit acknowledged. */
  | 'commit';

export type PromotionEvent =
  | { readonly type: 'start' }
  | { readonly type: 'tick' }
  | { readonly type: 'answer'; readonly request: number; readonly answer: RequestAnswer }
  | {
      readonly type: 'watch-events';
      readonly watch: number;
      readonly events: readonly WatchEvent[];
      readonly revision: number;
    }
  | { readonly type: 'watch-ended'; readonly watch: number; readonly compacted: boolean }
  | { readonly type: 'instances-changed'; readonly entries: readonly InstanceEntry[] }
  /** By a peer: all members, those too that are gone and count. */
  | { readonly type: 'members-told'; readonly entries: readonly InstanceEntry[] }
  | { readonly type: 'services-changed'; readonly services: readonly ServiceDescription[] }
  | {
      readonly type: 'primary-failed';
      readonly service: string;
      readonly use: PrimaryUse;
      /** For how long already nothing that was asked of it has been answered. */
      readonly silentForMs: Milliseconds;
    }
  | { readonly type: 'primary-succeeded'; readonly service: string; readonly use: PrimaryUse }
  /** Nothing of this node is on its way to the old primary that could still be acknowledged. */
  | { readonly type: 'use-ended'; readonly service: string; readonly change: number }
  /** The store answers again, after a while in which it answered nothing. */
  | { readonly type: 'store-returned' }
  /** The store has named its era for the first time, or has come back from a copy: what it held since may be gone. */
  | { readonly type: 'store-era'; readonly era: number }
  | { readonly type: 'release-leadership' }
  | { readonly type: 'stop' };

export type PromotionEffect =
  | { readonly type: 'request'; readonly id: number; readonly request: PromotionRequest }
  | {
      readonly type: 'open-watch';
      readonly id: number;
      readonly prefix: string;
      readonly fromRevision: number;
    }
  | { readonly type: 'close-watch'; readonly id: number }
  | { readonly type: 'primary-changed'; readonly service: string }
  /** Asks the data path to end or give up its writes at the old primary, see `use-ended`. */
  | { readonly type: 'end-use'; readonly service: string; readonly change: number }
  | { readonly type: 'leadership-released' }
  | { readonly type: 'stopped' }
  | {
      readonly type: 'log';
      readonly level: 'info' | 'warn';
      readonly event: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** What a test can switch off, to see that a check notices. */
export type PromotionMechanism =
  /** A promotion waits until every node has said that it stopped using the old primary. */
  | 'acknowledgements'
  /** Every replica is held, or the old primary demoted, before one is chosen. */
  | 'hold'
  /** A leader stops by its own clock before its lease can run out at the store. */
  | 'own-clock'
  /** No other candidate while a call for one may still take effect. */
  | 'settled-calls'
  /** A candidate that the platform refuses and that is not reached is named no longer. */
  | 'gone-candidates'
  /** After a return of the store a leader does not act while a lease of the era before may be relied on. */
  | 'era-wait'
  /** After a return of the store a node renews its lease and registers anew before it relies on either. */
  | 'era-registration'
  /** After a return of the store, records that nodes know and the copy lacks are kept and written again. */
  | 'lost-records'
  /** A process that has only heard of the present era relies on no record until that is settled. */
  | 'era-memory'
  /** A node that was cut off when the store came back from a copy trusts no primary by its lease until that is settled. */
  | 'era-coverage'
  /** Of two records after a return of the store, the one of the later term holds, whatever number its change has. */
  | 'later-term'
  /** A group without a record in which nobody calls itself primary has the one that a leader noted last. */
  | 'noted-primary'
  /** After a return of the store a new leader waits for calls whose candidate no record names any more. */
  | 'unnamed-calls'
  /** Members that nodes have seen and no record names count. */
  | 'unlisted-members'
  /** Forgotten members are told to all nodes, and watched. */
  | 'forgotten-members'
  /** A node whose list of members may be old relies on no round with a member that is silent. */
  | 'current-members'
  /** A node's permission ends with its lease, by its own clock. */
  | 'permission-lapse'
  /** A node without a lease writes only where all members vouch for it. */
  | 'withheld-writes'
  /** Whoever learns of a held replica demotes the primary in whose place it may be promoted. */
  | 'demotion-by-any';
