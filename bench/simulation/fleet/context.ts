/** What the parts of one simulated fleet share. */
import type { DatabaseGroupOptions } from '../../../src/core/group/options.js';
import type { SessionKeys } from '../../../src/core/session/index.js';
import type { SimulatedClock } from '../clock.js';
import type { SimulatedGroup } from '../group.js';
import type { SimulatedHistory } from '../history.js';
import type { SimulatedOwner } from '../owner.js';
import type { FleetMechanism } from './mechanisms.js';
import type { FleetNetwork } from './network.js';
import type { FleetNode } from './node.js';

export const GROUP = 'orders';
/** A link that is silent for this long is given up. */
export const LINK_TIMEOUT_MS = 300;
/** The fleet's sessions live shorter than real ones, so that node restarts matter to them. */
export const SESSION_LIFE_MS = 2500;

export interface FleetContext {
  readonly clock: SimulatedClock;
  readonly group: SimulatedGroup;
  readonly network: FleetNetwork;
  readonly history: SimulatedHistory;
  readonly without: ReadonlySet<FleetMechanism>;
  readonly machineWithout: DatabaseGroupOptions['without'];
  readonly sessionKeys: SessionKeys;
  /** All nodes of the machine list. */
  readonly nodeIds: readonly string[];
  nodeNamed(nodeId: string): FleetNode;
  /** An owner started: it is to be told the instances. */
  ownerStarted(owner: SimulatedOwner): void;
}
