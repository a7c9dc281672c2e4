/** Measures every part at several sizes, the letter's among them. */
import { createRandom } from '../../bench/load/random.js';
import type { Hash64 } from '../../src/core/ownership/rendezvous.js';
import { placesOf } from '../fleet.js';
import type { NodePlace } from '../hollow-node.js';
import { groupsOf } from '../hollow-ownership.js';
import { type ConfigurationCost, configurationCost, pushTreeMs } from './configuration.js';
import { type MachineListCost, machineListCost } from './machine-list.js';
import { type MembershipCost, membershipCost } from './membership.js';
import { type OwnerCost, ownerCost } from './owner.js';
import { type OwnershipCost, ownershipCost } from './ownership.js';
import { type SessionTableCost, sessionTableCost } from './session-table.js';
import { LETTER } from './sizes.js';

const FLEET_SIZES = [400, 1150, 2300, LETTER.nodes];
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
  const fleets = FLEET_SIZES.map(placesOf);
  const groups = groupsOf(LETTER.groups);
  return {
    membership: fleets.map((places) => membershipCost(places, random)),
    ownership: fleets.map((places) => ownershipCost(hash, places.map(memberOf), groups)),
    pushTree: fleets.map((places) => ({
      members: places.length,
      pushTreeMs: pushTreeMs(places.map(memberOf)),
    })),
    configuration: TENANT_COUNTS.map(configurationCost),
    machineList: fleets.map((places) =>
      machineListCost(places, Math.round((LETTER.groups * places.length) / LETTER.nodes), hash),
    ),
    owner: REQUEST_RATES.map(ownerCost),
    sessionTable: sessionTableCost(),
  };
}

function memberOf({ nodeId, zone, host, peerPort }: NodePlace) {
  return { nodeId, zone, host, port: peerPort };
}
