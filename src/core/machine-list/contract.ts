/**
 * Events and effects of the state machine that keeps one node's machine list up to date. Some nodes
 * (readers) poll the list service and distribute changes to the other nodes.
 */
import type { ConfigurationMember } from '../configuration/relays.js';
import type { Milliseconds } from '../units.js';
import type { ListBuckets, ListDelta, ListDigest, ListEntry, ListStamp } from './replica.js';

/** Digest of a node's list, and the time since a reader last confirmed that the list is current. */
export interface MachineListReport {
  readonly digest: ListDigest;
  /** Time since the last known poll by a reader that has this list; undefined if none is known. */
  readonly heartbeatAgeMs: Milliseconds | undefined;
}

/** The list service's response to one poll. */
export interface MachineListPollResult<Item> {
  /** Version that the poll sent as already known. */
  readonly knownVersion: number;
  readonly version: number;
  /** Undefined if the list has not changed since `knownVersion`. */
  readonly entries: readonly ListEntry<Item>[] | undefined;
}

/** Input of the machine list agent. */
export type MachineListEvent<Item> =
  | { readonly type: 'started' }
  /** The live members; may include this node. */
  | { readonly type: 'members-changed'; readonly members: readonly ConfigurationMember[] }
  | { readonly type: 'read'; readonly reading: MachineListPollResult<Item> }
  | {
      readonly type: 'push-received';
      readonly nodeId: string;
      readonly root: string;
      readonly delta: ListDelta<Item>;
    }
  /** A peer sent its report, in a request or a response. */
  | {
      readonly type: 'report-received';
      readonly nodeId: string;
      readonly report: MachineListReport;
    }
  | {
      readonly type: 'fetched';
      readonly nodeId: string;
      readonly buckets: ListBuckets<Item>;
    }
  /** A request to the peer failed. */
  | { readonly type: 'peer-failed'; readonly nodeId: string }
  | { readonly type: 'tick' };

/** Output of the machine list agent. */
export type MachineListEffect<Item> =
  /** Start or stop polling the list service. */
  | { readonly type: 'set-reading'; readonly isPolling: boolean }
  /** The list has changed; the next poll sends this version as known. */
  | { readonly type: 'apply'; readonly stamp: ListStamp }
  | { readonly type: 'ask-report'; readonly peer: ConfigurationMember }
  | { readonly type: 'fetch'; readonly peer: ConfigurationMember }
  | {
      readonly type: 'push';
      readonly peer: ConfigurationMember;
      readonly root: string;
      readonly delta: ListDelta<Item>;
    };

/** Why a node polls the list service itself. `alone`: it has not heard from any reader for too long. */
export type PollingReason = 'none' | 'reader' | 'alone';

/** Status shown to operators. */
export interface MachineListStatus {
  readonly epoch: number;
  readonly version: number;
  readonly reading: PollingReason;
  readonly heartbeatAgeMs: Milliseconds | undefined;
  /** How often the service or a peer had other contents for the list version that this node holds. */
  readonly mismatches: number;
}
