/** What goes into and comes out of the state machine that keeps one node's machine list. */
import type { ConfigurationMember } from '../configuration/relays.js';
import type { Milliseconds } from '../units.js';
import type { ListBuckets, ListDelta, ListDigest, ListEntry, ListStamp } from './replica.js';

/** A node's list, and how long ago a reader was known to have found it current. */
export interface ListReport {
  readonly digest: ListDigest;
  /** Age of the last reading by a reader that has this list; undefined if none was heard of. */
  readonly heartbeatAgeMs: Milliseconds | undefined;
}

/** What the list service answered to one poll. */
export interface ListReading<Item> {
  /** Version that the poll named as known. */
  readonly asked: number;
  readonly version: number;
  /** Undefined: the list is the one that the poll named. */
  readonly entries: readonly ListEntry<Item>[] | undefined;
}

/** What goes into the agent. */
export type ListEvent<Item> =
  | { readonly type: 'started' }
  /** Live members; whether this node is among them does not matter. */
  | { readonly type: 'members-changed'; readonly members: readonly ConfigurationMember[] }
  | { readonly type: 'read'; readonly reading: ListReading<Item> }
  | {
      readonly type: 'push-received';
      readonly nodeId: string;
      readonly root: string;
      readonly delta: ListDelta<Item>;
    }
  /** A peer told its report, by asking or by answering. */
  | { readonly type: 'report-received'; readonly nodeId: string; readonly report: ListReport }
  | {
      readonly type: 'fetched';
      readonly nodeId: string;
      readonly buckets: ListBuckets<Item>;
    }
  /** A call to the peer failed. */
  | { readonly type: 'peer-failed'; readonly nodeId: string }
  | { readonly type: 'tick' };

/** What comes out of the agent. */
export type ListEffect<Item> =
  /** Read the list service from now on, or no more. */
  | { readonly type: 'set-reading'; readonly isReading: boolean }
  /** The list has changed; polls go on from this version. */
  | { readonly type: 'apply'; readonly stamp: ListStamp }
  | { readonly type: 'ask-report'; readonly peer: ConfigurationMember }
  | { readonly type: 'fetch'; readonly peer: ConfigurationMember }
  | {
      readonly type: 'push';
      readonly peer: ConfigurationMember;
      readonly root: string;
      readonly delta: ListDelta<Item>;
    };

/** Why a node reads the list service itself. `alone`: it hears of no reader. */
export type ReadingReason = 'none' | 'reader' | 'alone';

/** What operators see. */
export interface ListStatus {
  readonly epoch: number;
  readonly version: number;
  readonly reading: ReadingReason;
  readonly heartbeatAgeMs: Milliseconds | undefined;
  /** Lists of one stamp with different contents, and differences that led elsewhere. */
  readonly mismatches: number;
}
