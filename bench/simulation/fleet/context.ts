/** What the parts of one simulated fleet share. */
import type { DatabaseGroupOptions } from '../../../src/core/group/options.js';
import type { SessionKeys } from '../../../src/core/session/index.js';
import type { SimulatedGroup } from '../group.js';
import type { SimulatedHistory } from '../history.js';
import type { SimulatedOwner } from '../owner.js';
import type { HomeContext } from './home-nodes.js';
import type { FleetNode } from './node.js';

export const GROUP = 'orders';
/** A link that is silent for this long is given up. */
export const LINK_TIMEOUT_MS = 300;

export interface FleetContext extends HomeContext {
  readonly group: SimulatedGroup;
  readonly history: SimulatedHistory;
  readonly machineWithout: DatabaseGroupOptions['disabledMechanisms'];
  readonly sessionKeys: SessionKeys;
  nodeNamed(nodeId: string): FleetNode;
  /** An owner started: it is to be told the instances. */
  ownerStarted(owner: SimulatedOwner): void;
}
