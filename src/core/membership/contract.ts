/** Events and effects of the membership state machine (the SWIM protocol). */
import type { ConfigurationRevision } from '../configuration/model.js';
import type { ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { Member, MemberUpdate } from './member.js';

/** Address at which a node receives datagrams and calls of its peers. */
export interface NodeAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** A proxy on the machine list, which lags behind reality. */
export interface ListedNode extends NodeAddress {
  readonly nodeId: string;
  readonly zone: ZoneName;
  readonly leaving: boolean;
}

/** Datagrams between members. Each carries the state of its sender and a bounded number of updates. */
export type MembershipMessage =
  | {
      readonly type: 'ping';
      readonly sequence: number;
      readonly sender: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    }
  | {
      readonly type: 'ack';
      readonly sequence: number;
      /** The member that responded; for an indirect probe, a different one than the sender. */
      readonly subject: MemberUpdate;
      readonly sender: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    }
  | {
      readonly type: 'ping-request';
      readonly sequence: number;
      readonly target: NodeAddress;
      readonly sender: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    }
  | {
      readonly type: 'gossip';
      readonly sender: MemberUpdate;
      readonly updates: readonly MemberUpdate[];
    };

/** Requests the members that differ. `digests` has one number for each bucket of the requester's member table. */
export interface SyncRequest {
  readonly sender: MemberUpdate;
  readonly digests: readonly number[];
  /** First bucket to compare. */
  readonly cursor: number;
}

/** A node's response to a sync request. */
export interface SyncResponse {
  readonly sender: MemberUpdate;
  readonly digests: readonly number[];
  /** All members of the buckets that differ, from the request's cursor on, up to `maxSyncMembers`. */
  readonly updates: readonly MemberUpdate[];
  /** First bucket of the next request; undefined if all buckets were compared. */
  readonly nextCursor: number | undefined;
}

/** The requester's members in the buckets that differed. */
export interface SyncPush {
  readonly sender: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
}

/** Input of the state machine. */
export type MembershipEvent =
  /** The first event; `nodes` are the seeds. */
  | { readonly type: 'start'; readonly nodes: readonly ListedNode[] }
  | { readonly type: 'list-changed'; readonly nodes: readonly ListedNode[] }
  | { readonly type: 'message'; readonly message: MembershipMessage }
  | { readonly type: 'sync-requested'; readonly requestId: number; readonly request: SyncRequest }
  /** `cursor` is that of the request. A failed call is not reported; the next sync follows by its timer. */
  | {
      readonly type: 'sync-answered';
      readonly from: NodeAddress;
      readonly cursor: number;
      readonly answer: SyncResponse;
    }
  | { readonly type: 'sync-pushed'; readonly push: SyncPush }
  | { readonly type: 'revision-changed'; readonly configurationRevision: ConfigurationRevision }
  /** This node begins its graceful shutdown. */
  | { readonly type: 'leave' }
  /** Last event of a graceful shutdown: notifies some members, so that they needn't detect the failure. */
  | { readonly type: 'stop' }
  /** A link to this node was lost or refused: probe it now. */
  | { readonly type: 'link-lost'; readonly nodeId: string }
  | { readonly type: 'tick' };

/** A change in the state of a member, which may be this node. */
export interface MemberEvent {
  /** `revision-changed`: only the configuration revision changed; after a publish, each member causes one. */
  readonly change: 'joined' | 'suspected' | 'failed' | 'left' | 'updated' | 'revision-changed';
  readonly member: Member;
}

/** Output of the state machine. */
export type MembershipEffect =
  | { readonly type: 'send'; readonly to: NodeAddress; readonly message: MembershipMessage }
  /** Call the peer over TCP and report `sync-answered`. */
  | { readonly type: 'sync'; readonly to: NodeAddress; readonly request: SyncRequest }
  | { readonly type: 'sync-reply'; readonly requestId: number; readonly answer: SyncResponse }
  | { readonly type: 'sync-push'; readonly to: NodeAddress; readonly push: SyncPush }
  | { readonly type: 'member-changed'; readonly event: MemberEvent }
  /** The machine list marks this node as leaving: it should begin its graceful shutdown. */
  | { readonly type: 'told-to-leave' }
  /** A higher incarnation of this node id was seen; this node's incarnation was raised above it. */
  | { readonly type: 'incarnation-raised'; readonly incarnation: number };

/** Timing and bounds of the membership protocol. */
export interface MembershipOptions {
  /** Interval between probes; each probes one member. */
  readonly probePeriodMs: Milliseconds;
  /** Time to wait for the response to a direct probe before other members are requested to probe. */
  readonly probeTimeoutMs: Milliseconds;
  /** Number of members requested to probe on behalf of this node. */
  readonly indirectProbeCount: number;
  /** A suspicion lasts this number of probe periods times log10 of the number of members. */
  readonly suspicionMultiplier: number;
  /** Each node sends an update this number of times log10 of the number of members. */
  readonly retransmitMultiplier: number;
  readonly gossipPeriodMs: Milliseconds;
  /** Members that receive gossip in one period. */
  readonly gossipFanout: number;
  /** Limit for gossip datagrams; the updates carried by probes and acks are not counted. */
  readonly gossipBytesPerSecond: number;
  /** Fraction of probes, gossip and syncs that go to other zones, in [0, 1]. */
  readonly crossZoneFraction: number;
  /** Maximum size of the encoded updates in one datagram. */
  readonly maxUpdateBytes: number;
  /**
   * Maximum interval between syncs. It starts at the probe period and doubles each time, so that a
   * starting fleet converges fast.
   */
  readonly syncPeriodMs: Milliseconds;
  /** Maximum number of members in one sync message. */
  readonly maxSyncMembers: number;
  /** Interval between attempts to reach a dead or unknown node of the machine list. */
  readonly reconnectPeriodMs: Milliseconds;
  /** How long a dead member is kept, so that stale gossip doesn't revive it. */
  readonly deadRetentionMs: Milliseconds;
  /**
   * Maximum lag of the machine list. A node that is listed as leaving when it starts obeys only after
   * this time, since the entry may refer to an earlier incarnation.
   */
  readonly maxMachineListLagMs: Milliseconds;
}

/** Default timing and bounds. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probePeriodMs: 500,
  probeTimeoutMs: 200,
  indirectProbeCount: 3,
  suspicionMultiplier: 3,
  retransmitMultiplier: 4,
  gossipPeriodMs: 200,
  gossipFanout: 3,
  gossipBytesPerSecond: 4096,
  crossZoneFraction: 0.2,
  maxUpdateBytes: 900,
  syncPeriodMs: 30_000,
  maxSyncMembers: 512,
  reconnectPeriodMs: 5000,
  deadRetentionMs: 600_000,
  maxMachineListLagMs: 30_000,
};
