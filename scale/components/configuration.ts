/** Measures one replica of the configuration at a given number of tenants. */
import {
  type ConfigurationMember,
  selectPushTargets,
} from '../../src/core/configuration/relays.js';
import {
  type ConfigurationDelta,
  ConfigurationReplica,
} from '../../src/core/configuration/replica.js';
import { roundTo } from '../distribution.js';
import { createTemplate, createTenant } from '../tenants.js';
import { zoneName } from '../zones.js';
import { meanMs, measureMemory } from './measure.js';

const CHANGES = 30;
const TREES = 50;

export interface ConfigurationCost {
  readonly tenants: number;
  readonly memoryBytes: number;
  /** Mean time to merge a change to one tenant, and to build snapshot and digest. */
  readonly changeMs: number;
}

export function measureConfiguration(tenants: number): ConfigurationCost {
  const { built: replica, bytes } = measureMemory(() => createReplica(tenants));
  const deltas = Array.from({ length: CHANGES }, (_, index) =>
    createChange(index % tenants, 2 + index),
  );
  const changeMs = meanMs(CHANGES, (index) => {
    const delta = deltas[index];
    if (delta !== undefined) replica.merge(delta);
    replica.snapshot();
    replica.digest();
  });
  return { tenants, memoryBytes: bytes, changeMs: roundTo(changeMs, 3) };
}

/** Mean time to select a node's push targets in the push tree among these members. */
export function measurePushTreeMs(members: readonly ConfigurationMember[]): number {
  const zone = zoneName(0);
  const inZone = members.filter((member) => member.zone === zone);
  const nodeId = inZone[0]?.nodeId ?? '';
  const perTree = meanMs(TREES, (index) => {
    selectPushTargets(inZone[index % inZone.length]?.nodeId ?? nodeId, nodeId, zone, members);
  });
  return roundTo(perTree, 3);
}

function createChange(tenant: number, revision: number): ConfigurationDelta {
  const entries = [{ ...createTenant(tenant, revision), revision }];
  return { sinceRevision: revision - 1, revision, entries };
}

function createReplica(tenants: number): ConfigurationReplica {
  const replica = new ConfigurationReplica();
  const declarations = Array.from({ length: tenants }, (_, index) => createTenant(index, 1));
  const entries = [createTemplate(), ...declarations].map((one) => ({ ...one, revision: 1 }));
  replica.merge({ sinceRevision: 0, revision: 1, entries });
  replica.snapshot();
  replica.digest();
  return replica;
}
