/** The status that a node reports on its admin port and that `meadowstack status` shows. */
import type { GroupStatistics } from '../core/group/contract.js';
import type { MemberStatus } from '../core/membership/member.js';
import type { GroupName } from '../core/request.js';
import type { PeerCounters } from '../peer/contract.js';
import type { BackendCounters } from '../postgres/backend/options.js';
import type { ConfigurationServiceStatus } from './configuration/service.js';
import type { TenantLimitStatus } from './limits/service.js';
import type { MachineListServiceStatus } from './machine-list/service.js';
import type { MembershipCounters } from './membership/service.js';

/** Lifecycle state of a node. */
export type NodeState = 'starting' | 'serving' | 'leaving';

/** One group that this node owns. */
export type GroupStatus = { readonly group: GroupName } & GroupStatistics;

/** Another node according to this node's membership. */
export interface MemberSummary {
  readonly nodeId: string;
  readonly zone: string;
  readonly status: MemberStatus;
}

/** Status of a node. */
export interface NodeStatus {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly zone: string;
  readonly state: NodeState;
  readonly configuration: ConfigurationServiceStatus;
  /** Number of open caller connections. */
  readonly callers: number;
  /** Sessions with an id whose positions this node stores as a home node. */
  readonly sessionsKept: number;
  /** Attempts to open a back-end connection since start, probes included. */
  readonly backendConnectionsOpened: number;
  readonly backend: BackendCounters;
  /** Requests sent to the store since start. */
  readonly storeRequests: number;
  /** Changes of the primary since start, over all groups owned. */
  readonly primaryChanges: number;
  readonly groups: readonly GroupStatus[];
  readonly members: readonly MemberSummary[];
  readonly machineList: MachineListServiceStatus;
  readonly membership: MembershipCounters;
  /** Leased shares of the tenants' connection limits. */
  readonly limits: TenantLimitStatus;
  readonly peers: PeerCounters;
}
