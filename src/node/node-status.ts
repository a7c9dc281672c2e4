/** What a node tells of itself on its admin port; `meadowstack status` shows it. */
import type { GroupStatistics } from '../core/group/contract.js';
import type { MemberStatus } from '../core/membership/member.js';
import type { GroupName } from '../core/request.js';
import type { PeerCounters } from '../peer/contract.js';
import type { BackendCounters } from '../postgres/backend/options.js';
import type { ConfigurationServiceStatus } from './configuration/service.js';
import type { TenantLimitStatus } from './limits/service.js';
import type { MachineListServiceStatus } from './machine-list/service.js';
import type { MembershipCounters } from './membership/service.js';

/** Stage of life of a node. */
export type NodeState = 'starting' | 'serving' | 'leaving';

/** One group that this node owns. */
export type GroupStatus = { readonly group: GroupName } & GroupStatistics;

/** Another node as this one sees it. */
export interface MemberSummary {
  readonly nodeId: string;
  readonly zone: string;
  readonly status: MemberStatus;
}

/** Everything that a node tells of itself. */
export interface NodeStatus {
  readonly nodeId: string;
  readonly incarnation: number;
  readonly zone: string;
  readonly state: NodeState;
  readonly configuration: ConfigurationServiceStatus;
  /** Caller connections open. */
  readonly callers: number;
  /** Sessions by id whose positions this node keeps. */
  readonly sessionsKept: number;
  /** Back-end connections opened since start, probes included. */
  readonly backendConnectionsOpened: number;
  readonly backend: BackendCounters;
  /** Requests sent to the store since start. */
  readonly storeRequests: number;
  /** Changes of the primary seen since start, over all groups owned. */
  readonly primaryChanges: number;
  readonly groups: readonly GroupStatus[];
  readonly members: readonly MemberSummary[];
  readonly machineList: MachineListServiceStatus;
  readonly membership: MembershipCounters;
  /** Shares of tenants' connection limits. */
  readonly limits: TenantLimitStatus;
  readonly peers: PeerCounters;
}
