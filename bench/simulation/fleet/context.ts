/** State shared by the parts of one simulated cluster. */
import type { DatabaseGroupOptions } from '../../../src/core/group/options.js';
import type { SessionKeys } from '../../../src/core/session/index.js';
import type { SimulatedGroup } from '../group.js';
import type { SimulatedHistory } from '../history.js';
import type { SimulatedOwner } from '../owner.js';
import type { HomeContext } from './home-nodes.js';
import type { FleetNode } from './node.js';

export const GROUP = 'orders';
/** A link is closed after this time without a message. */
export const LINK_TIMEOUT_MS = 300;

export interface FleetContext extends HomeContext {
  readonly group: SimulatedGroup;
  readonly history: SimulatedHistory;
  readonly disabledOwnerMechanisms: DatabaseGroupOptions['disabledMechanisms'];
  readonly sessionKeys: SessionKeys;
  nodeById(nodeId: string): FleetNode;
  /** Called when an owner has started, to send it the instances. */
  handleOwnerStarted(owner: SimulatedOwner): void;
}
