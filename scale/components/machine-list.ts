/** Measures a node's cost of a new machine list at a given fleet size. */
import { z } from 'zod';
import { MachineListReplica } from '../../src/core/machine-list/replica.js';
import type { Hash64 } from '../../src/core/ownership/rendezvous.js';
import {
  deltaFromWire,
  pushSchema,
  pushToWire,
  toListEntry,
} from '../../src/node/machine-list/messages.js';
import { decodeValue, encodeValue } from '../../src/peer/codec.js';
import type { Machine } from '../../src/platform/contract.js';
import { machineSchema } from '../../src/platform/machine-schema.js';
import { roundTo } from '../distribution.js';
import type { NodeLocation } from '../hollow-node.js';
import { meanMs, measureMemory } from './measure.js';
import { DESIGN_SIZE } from './sizes.js';

const READS = 3;
const SLOTS = 20;
const MAX_CONNECTIONS = 200;
const responseSchema = z.object({ version: z.int(), machines: z.array(z.unknown()) });

export interface MachineListCost {
  readonly machines: number;
  readonly bytes: number;
  readonly parseMs: number;
  readonly memoryBytes: number;
  /** A reader's time to parse, hash and apply a response. */
  readonly readerMs: number;
  /** Any other node's time for a push of one changed machine, from decoding to the list of all machines. */
  readonly followerMs: number;
  readonly pushBytes: number;
  readonly replicaBytes: number;
}

/** Costs for nodes that poll the list and for nodes to which changes are pushed. */
export function measureMachineList(
  locations: readonly NodeLocation[],
  groups: number,
  hash: Hash64,
): MachineListCost {
  const text = JSON.stringify({ version: 1, machines: createMachines(locations, groups) });
  const { built, bytes: memoryBytes } = measureMemory(() => parseMachines(text, true) ?? []);
  const parseMs = meanMs(READS, () => {
    parseMachines(text, true);
  });
  return {
    machines: built.length,
    bytes: text.length,
    parseMs: roundTo(parseMs),
    memoryBytes,
    ...measureExchange(text, hash),
  };
}

function measureExchange(text: string, hash: Hash64) {
  const entries = (parseMachines(text, true) ?? []).map((machine) => toListEntry(machine, hash));
  const { built: reader, bytes: replicaBytes } = measureMemory(() => {
    const replica = new MachineListReplica<Machine>();
    replica.replace({ epoch: 0, version: 1 }, entries);
    return replica;
  });
  const follower = new MachineListReplica<Machine>();
  follower.replace({ epoch: 0, version: 1 }, entries);
  let version = 1;
  let pushBytes = 0;
  let followerTotalMs = 0;
  const readerMs = meanMs(READS, () => {
    version += 1;
    const read = parseMachines(text, true) ?? [];
    const [first, ...rest] = read.map((machine) => toListEntry(machine, hash));
    if (first === undefined) return;
    const state = version % 2 === 0 ? 'leaving' : 'live';
    const changed = toListEntry({ ...first.item, state }, hash);
    reader.replace({ epoch: 0, version }, [changed, ...rest]);
  });
  for (const state of ['live', 'leaving', 'live'] as const) {
    const [first] = entries;
    if (first === undefined) break;
    version += 1;
    const before = reader.items().map((machine) => toListEntry(machine, hash));
    follower.replace({ epoch: 0, version: version - 1 }, before);
    reader.replace({ epoch: 0, version: version - 1 }, before);
    const after = before.map((entry) =>
      entry.id === first.id ? toListEntry({ ...entry.item, state }, hash) : entry,
    );
    const delta = reader.replace({ epoch: 0, version }, after);
    const wire = encodeValue(pushToWire('root', delta), Number.POSITIVE_INFINITY);
    pushBytes = Math.max(pushBytes, wire.length);
    const startedAt = performance.now();
    follower.apply(deltaFromWire(pushSchema.parse(decodeValue(wire)), hash));
    follower.items();
    followerTotalMs += performance.now() - startedAt;
  }
  return {
    readerMs: roundTo(readerMs),
    followerMs: roundTo(followerTotalMs / READS),
    pushBytes,
    replicaBytes,
  };
}

/** Parses a response as the machine list client does: the machines only if the version is new. */
export function parseMachines(text: string, isNew: boolean): Machine[] | undefined {
  const { machines } = responseSchema.parse(JSON.parse(text));
  if (!isNew) return undefined;
  return machines.flatMap((entry) => {
    const parsed = machineSchema.safeParse(entry);
    return parsed.success ? [parsed.data] : [];
  });
}

/** Creates a list of these proxies and of the instances of `groups` groups. */
export function createMachines(locations: readonly NodeLocation[], groups: number): Machine[] {
  const proxies = locations.map(
    ({ nodeId, zone, host, peerPort }): Machine => ({
      role: 'proxy',
      name: nodeId,
      zone,
      host,
      peerPort,
      state: 'live',
    }),
  );
  const databases = Array.from({ length: groups * DESIGN_SIZE.instancesPerGroup }, (_, index) =>
    createDatabase(index, locations),
  );
  return [...proxies, ...databases];
}

function createDatabase(index: number, locations: readonly NodeLocation[]): Machine {
  const group = Math.floor(index / DESIGN_SIZE.instancesPerGroup);
  return {
    role: 'database',
    name: `group-${group}-instance-${index % DESIGN_SIZE.instancesPerGroup}`,
    group: `group-${group}`,
    zone: locations[index % locations.length]?.zone ?? 'zone',
    host: `10.200.${Math.floor(index / 250) % 250}.${1 + (index % 250)}`,
    port: 5432,
    slots: SLOTS,
    maxConnections: MAX_CONNECTIONS,
    state: 'live',
  };
}
