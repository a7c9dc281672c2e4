/** One replica of the configuration at several numbers of tenants. */

import {
  type ConfigurationMember,
  selectPushTargets,
} from '../../src/core/configuration/relays.js';
import {
  type ConfigurationDelta,
  ConfigurationReplica,
} from '../../src/core/configuration/replica.js';
import { rounded } from '../distribution.js';
import { zoneName } from '../places.js';
import { storedTemplate, storedTenant } from '../tenants.js';
import { kept, meanMs } from './measure.js';

const CHANGES = 30;
const TREES = 50;

export interface ConfigurationCost {
  readonly tenants: number;
  readonly memoryBytes: number;
  /** Merge, snapshot and digest after a change to one tenant. */
  readonly changeMs: number;
}

/** Costs of one replica that holds this many tenants. */
export function configurationCost(tenants: number): ConfigurationCost {
  const { built: replica, bytes } = kept(() => replicaOf(tenants));
  const deltas = Array.from({ length: CHANGES }, (_, index) =>
    changeTo(index % tenants, 2 + index),
  );
  const changeMs = meanMs(CHANGES, (index) => {
    const delta = deltas[index];
    if (delta !== undefined) replica.merge(delta);
    replica.snapshot();
    replica.digest();
  });
  return { tenants, memoryBytes: bytes, changeMs: rounded(changeMs, 3) };
}

/** Working out the children of one push, ms, among this many members in 18 zones. */
export function pushTreeMs(members: readonly ConfigurationMember[]): number {
  const zone = zoneName(0);
  const inZone = members.filter((member) => member.zone === zone);
  const nodeId = inZone[0]?.nodeId ?? '';
  const perTree = meanMs(TREES, (index) => {
    selectPushTargets(inZone[index % inZone.length]?.nodeId ?? nodeId, nodeId, zone, members);
  });
  return rounded(perTree, 3);
}

function changeTo(tenant: number, revision: number): ConfigurationDelta {
  const entries = [{ ...storedTenant(tenant, revision), revision }];
  return { sinceRevision: revision - 1, revision, entries };
}

function replicaOf(tenants: number): ConfigurationReplica {
  const replica = new ConfigurationReplica();
  const declarations = Array.from({ length: tenants }, (_, index) => storedTenant(index, 1));
  const entries = [storedTemplate(), ...declarations].map((one) => ({ ...one, revision: 1 }));
  replica.merge({ sinceRevision: 0, revision: 1, entries });
  replica.snapshot();
  replica.digest();
  return replica;
}
