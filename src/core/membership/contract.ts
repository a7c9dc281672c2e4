/** What goes into and comes out of the membership state machine (SWIM). */
import type { ConfigurationRevision } from '../configuration/model.js';
import type { ZoneName } from '../request.js';
import type { Milliseconds } from '../units.js';
import type { Member, MemberUpdate } from './member.js';

/** Where a node receives datagrams and calls. */
export interface NodeAddress {
  readonly host: string;
  readonly peerPort: number;
}

/** A proxy as the machine list tells it; the list lags. */
export interface ListedNode extends NodeAddress {
  readonly nodeId: string;
  readonly zone: ZoneName;
  readonly leaving: boolean;
}

/** Datagrams between members. Each carries its sender's own state and a bounded number of updates. */
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
      /** Who answered; of an indirect probe not who sends this. */
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

/** Asks for what differs. `digests` has one number for each bucket of the asker's table. */
export interface SyncRequest {
  readonly sender: MemberUpdate;
  readonly digests: readonly number[];
  /** First bucket to compare. */
  readonly cursor: number;
}

/** What a node answers to a sync. */
export interface SyncAnswer {
  readonly sender: MemberUpdate;
  readonly digests: readonly number[];
  /** Whole buckets that differ, from the request's cursor on, as many as the bound allows. */
  readonly updates: readonly MemberUpdate[];
  /** Where to go on, undefined if all buckets were compared. */
  readonly nextCursor: number | undefined;
}

/** The asker's own members of the buckets that differed. */
export interface SyncPush {
  readonly sender: MemberUpdate;
  readonly updates: readonly MemberUpdate[];
}

/** What goes into the machine. */
export type MembershipEvent =
  /** The first event: the seeds. */
  | { readonly type: 'start'; readonly nodes: readonly ListedNode[] }
  | { readonly type: 'list-changed'; readonly nodes: readonly ListedNode[] }
  | { readonly type: 'message'; readonly message: MembershipMessage }
  | { readonly type: 'sync-requested'; readonly requestId: number; readonly request: SyncRequest }
  /** `cursor` is that of the request. A call that failed is not reported: the next one is timed. */
  | {
      readonly type: 'sync-answered';
      readonly from: NodeAddress;
      readonly cursor: number;
      readonly answer: SyncAnswer;
    }
  | { readonly type: 'sync-pushed'; readonly push: SyncPush }
  | { readonly type: 'revision-changed'; readonly configurationRevision: ConfigurationRevision }
  /** This node begins its planned stop. */
  | { readonly type: 'leave' }
  /** The last event of a planned stop: tells some members, so that they need not find out. */
  | { readonly type: 'stop' }
  /** A link to this node was lost or refused: probe it now. */
  | { readonly type: 'link-lost'; readonly nodeId: string }
  | { readonly type: 'tick' };

/** Every change of state of another member, or of this one. */
export interface MemberEvent {
  /** `revision-changed`: nothing but the configuration revision. After a publish, from everybody. */
  readonly change: 'joined' | 'suspected' | 'failed' | 'left' | 'updated' | 'revision-changed';
  readonly member: Member;
}

/** What comes out of the machine. */
export type MembershipEffect =
  | { readonly type: 'send'; readonly to: NodeAddress; readonly message: MembershipMessage }
  /** Call the peer over TCP and report `sync-answered`. */
  | { readonly type: 'sync'; readonly to: NodeAddress; readonly request: SyncRequest }
  | { readonly type: 'sync-reply'; readonly requestId: number; readonly answer: SyncAnswer }
  | { readonly type: 'sync-push'; readonly to: NodeAddress; readonly push: SyncPush }
  | { readonly type: 'member-changed'; readonly event: MemberEvent }
  /** The machine list marks this node as leaving: it should begin its planned stop. */
  | { readonly type: 'told-to-leave' }
  /** Another life of this node id was seen with a later incarnation; this one was raised above it. */
  | { readonly type: 'incarnation-raised'; readonly incarnation: number };

/** Timing and bounds. */
export interface MembershipOptions {
  /** How often one member is probed. */
  readonly probePeriodMs: Milliseconds;
  /** Wait for a direct answer before others are asked to probe. */
  readonly probeTimeoutMs: Milliseconds;
  /** Members asked to probe in this node's place. */
  readonly indirectProbes: number;
  /** Suspicion lasts this many probe periods times log10 of the number of members. */
  readonly suspicionMultiplier: number;
  /** Each update is sent this many times log10 of the number of members by each node. */
  readonly retransmitMultiplier: number;
  readonly gossipPeriodMs: Milliseconds;
  /** Members that receive gossip in one period. */
  readonly gossipFanout: number;
  /** Bytes a second that gossip may take; probes and answers carry updates besides. */
  readonly gossipBytesPerSecond: number;
  /** Share of probes, gossip and syncs that go to other zones, in [0, 1]. */
  readonly remoteShare: number;
  /** Encoded updates in one datagram, bytes. */
  readonly maxUpdateBytes: number;
  /** Reached by doubling from the probe period, so that a starting fleet converges fast. */
  readonly syncPeriodMs: Milliseconds;
  /** Members in one sync message. */
  readonly maxSyncMembers: number;
  /** How often one dead or unknown node of the list is tried. */
  readonly reconnectPeriodMs: Milliseconds;
  /** How long a dead member is remembered, so that stale gossip doesn't bring it back. */
  readonly deadRetentionMs: Milliseconds;
  /** A list mark older than this life is obeyed by the node itself only after this time. */
  readonly listLagMs: Milliseconds;
}

/** Timing and bounds unless a test asks otherwise. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  probePeriodMs: 500,
  probeTimeoutMs: 200,
  indirectProbes: 3,
  suspicionMultiplier: 3,
  retransmitMultiplier: 4,
  gossipPeriodMs: 200,
  gossipFanout: 3,
  gossipBytesPerSecond: 4096,
  remoteShare: 0.2,
  maxUpdateBytes: 900,
  syncPeriodMs: 30_000,
  maxSyncMembers: 512,
  reconnectPeriodMs: 5000,
  deadRetentionMs: 600_000,
  listLagMs: 30_000,
};
