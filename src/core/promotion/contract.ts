/**
 * Inputs and outputs of a node's promotion state machine. The machine emits its requests as numbered effects;
 * the code that runs it passes each response back with the same number.
 */
import type {
  InstanceEntry,
  InstanceStatus,
  PromoteOutcome,
  ServiceDescription,
} from '../../direct/contract.js';
import type {
  RangeResponse,
  RevisionCompare,
  TransactionOperation,
  TransactionResponse,
  WatchEvent,
} from '../../platform/contract.js';
import type { Milliseconds } from '../units.js';
import type { PeerListReport } from './member-list-proof.js';

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

/** A call that queries or changes an instance's role in its group. */
export interface ControlRequest {
  readonly type: 'control';
  readonly action: ControlAction;
  readonly instance: InstanceEntry;
  /** Term of a pause or demotion; 0 for the others. */
  readonly term: number;
  readonly timeoutMs: Milliseconds;
}

/** A call to the platform's promotion endpoint. */
export interface PromoteRequest {
  readonly type: 'promote';
  readonly service: string;
  readonly instanceId: string;
  readonly fencingToken: number;
  /** Nothing of the call may be in flight after this time. */
  readonly endsAt: Milliseconds;
}

export type PromotionRequest = StoreRequest | ControlRequest | PromoteRequest;

/**
 * Why a call to an instance failed. `refused`: nothing listens at its address, or another instance does.
 * `silent`: no response. `rejected`: it responded that it did not carry out the call.
 */
export type ControlFailure = 'busy' | 'refused' | 'silent' | 'rejected';

export type RequestAnswer =
  | { readonly type: 'range'; readonly range: RangeResponse }
  | { readonly type: 'transaction'; readonly transaction: TransactionResponse }
  | { readonly type: 'lease'; readonly leaseId: string }
  | { readonly type: 'done' }
  | {
      readonly type: 'store-failed';
      /** The store reported that the lease no longer exists. */
      readonly isLeaseGone: boolean;
      /** False if there was no response, or none that shows that the store runs. */
      readonly hasResponded: boolean;
      readonly retryAfterMs: Milliseconds | undefined;
    }
  | { readonly type: 'status'; readonly status: InstanceStatus }
  | { readonly type: 'control-failed'; readonly failure: ControlFailure }
  | { readonly type: 'promotion'; readonly outcome: PromoteOutcome };

/** Uses of the primary that can fail independently. */
export type PrimaryUse =
  /** Reaching it, or getting any response. */
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
  /** A peer reported all members, including those that are gone and still count. */
  | { readonly type: 'members-told'; readonly entries: readonly InstanceEntry[] }
  /** All registrations were read from the store, by a call sent at this time, and passed on. */
  | { readonly type: 'member-list-read'; readonly sentAt: Milliseconds }
  /** A peer reported how current its list of members is; `departed`: its members that are not registered. */
  | {
      readonly type: 'member-list-reported';
      readonly report: PeerListReport;
      readonly departed: readonly InstanceEntry[];
    }
  | { readonly type: 'services-changed'; readonly services: readonly ServiceDescription[] }
  | {
      readonly type: 'primary-failed';
      readonly service: string;
      readonly use: PrimaryUse;
      /** Time for which the primary has responded to no request. */
      readonly silentForMs: Milliseconds;
    }
  | { readonly type: 'primary-succeeded'; readonly service: string; readonly use: PrimaryUse }
  /** No write of this node is in flight to the old primary that could still be acknowledged. */
  | { readonly type: 'use-ended'; readonly service: string; readonly change: number }
  /** The store responds again after an outage. */
  | { readonly type: 'store-returned' }
  /** The store reported its first era, or a new one after a restore from a backup, which may have lost records. */
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
  /** Requests that the data path finish or abandon its writes at the old primary, see `use-ended`. */
  | { readonly type: 'end-use'; readonly service: string; readonly change: number }
  | { readonly type: 'leadership-released' }
  | { readonly type: 'stopped' }
  | {
      readonly type: 'log';
      readonly level: 'info' | 'warn';
      readonly event: string;
      readonly fields: Readonly<Record<string, unknown>>;
    };

/** Safety mechanisms that a test can disable to verify that its checks detect the fault. */
export type PromotionMechanism =
  /** A promotion waits until every node has acknowledged that it stopped using the old primary. */
  | 'acknowledgements'
  /** Every replica is held (paused), or the old primary demoted, before a candidate is chosen. */
  | 'hold'
  /** A leader stops by its own clock before its lease can expire at the store. */
  | 'own-clock'
  /** No other candidate is chosen while a promotion call for one may still take effect. */
  | 'settled-calls'
  /** A candidate that the platform refuses and that can't be reached is no longer recorded as such. */
  | 'gone-candidates'
  /** After a restore of the store, a leader waits until no lease of the previous era can be relied on. */
  | 'era-wait'
  /** After a restore of the store, a node renews its lease and registers again before it relies on either. */
  | 'era-registration'
  /** After a restore of the store, records that nodes know and the backup lacks are kept and rewritten. */
  | 'lost-records'
  /** A process that knows only the current era relies on no record until the leader has settled that era. */
  | 'era-memory'
  /** A node that was cut off during a restore trusts no primary on its lease until the new era is settled. */
  | 'era-coverage'
  /** Of two records after a restore of the store, the later term wins, whatever their change numbers. */
  | 'later-term'
  /** A group with no record and no self-declared primary gets the primary of the last handover record. */
  | 'noted-primary'
  /** Commits wait for instances that a promotion call of an earlier leader may still make primary. */
  | 'unsettled-candidates'
  /** After a restore of the store, a new leader waits for promotion calls whose candidate no record names. */
  | 'unnamed-calls'
  /** Members that nodes have seen and no record lists are counted. */
  | 'unlisted-members'
  /** Departed members are reported to all nodes and watched. */
  | 'forgotten-members'
  /** Suspicions from a moment at which members were silent, or from before the leader led, don't count at once. */
  | 'fresh-suspicions'
  /** A candidate has every commit that a node has confirmed to a caller, or the members' incarnations are proven. */
  | 'acknowledged-commits'
  /** No candidate is chosen while a commit is missing that some replica has received, for a limited time. */
  | 'replicated-commits'
  /** What a query round proves is no newer than the proof that the node knows every member. */
  | 'current-members'
  /** A node's write permission ends with its lease, by its own clock. */
  | 'permission-lapse'
  /** A node without a lease sends a write only if all members confirm that it is safe. */
  | 'withheld-writes'
  /** Any node that learns of a held replica demotes the primary that the replica may replace. */
  | 'demotion-by-any';
