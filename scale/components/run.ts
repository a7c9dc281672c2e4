/** Measures every component at several sizes, including the design size. */
import { createRandom } from '../../bench/load/random.js';
import type { Hash64 } from '../../src/core/ownership/rendezvous.js';
import { createNodeLocations } from '../fleet.js';
import type { NodeLocation } from '../hollow-node.js';
import { createGroups } from '../hollow-ownership.js';
import {
  type ConfigurationCost,
  measureConfiguration,
  measurePushTreeMs,
} from './configuration.js';
import { type MachineListCost, measureMachineList } from './machine-list.js';
import { type MembershipCost, measureMembership } from './membership.js';
import { measureOwner, type OwnerCost } from './owner.js';
import { measureOwnership, type OwnershipCost } from './ownership.js';
import { measureSessionTable, type SessionTableCost } from './session-table.js';
import { DESIGN_SIZE } from './sizes.js';

const FLEET_SIZES = [400, 1150, 2300, DESIGN_SIZE.nodes];
const TENANT_COUNTS = [200, 1000, 4000, 15_000];
const REQUEST_RATES = [0, 10, 100];

export interface ComponentFigures {
  readonly membership: readonly MembershipCost[];
  readonly ownership: readonly OwnershipCost[];
  readonly pushTree: readonly { readonly members: number; readonly pushTreeMs: number }[];
  readonly configuration: readonly ConfigurationCost[];
  readonly machineList: readonly MachineListCost[];
  readonly owner: readonly OwnerCost[];
  readonly sessionTable: SessionTableCost;
}

export function measureComponents(seed: number, hash: Hash64): ComponentFigures {
  const random = createRandom(seed).fraction;
  const fleets = FLEET_SIZES.map(createNodeLocations);
  const groups = createGroups(DESIGN_SIZE.groups);
  return {
    membership: fleets.map((locations) => measureMembership(locations, random)),
    ownership: fleets.map((locations) =>
      measureOwnership(hash, locations.map(toConfigurationMember), groups),
    ),
    pushTree: fleets.map((locations) => ({
      members: locations.length,
      pushTreeMs: measurePushTreeMs(locations.map(toConfigurationMember)),
    })),
    configuration: TENANT_COUNTS.map(measureConfiguration),
    machineList: fleets.map((locations) =>
      measureMachineList(
        locations,
        Math.round((DESIGN_SIZE.groups * locations.length) / DESIGN_SIZE.nodes),
        hash,
      ),
    ),
    owner: REQUEST_RATES.map(measureOwner),
    sessionTable: measureSessionTable(),
  };
}

function toConfigurationMember({ nodeId, zone, host, peerPort }: NodeLocation) {
  return { nodeId, zone, host, port: peerPort };
}
