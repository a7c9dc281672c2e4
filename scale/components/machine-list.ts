/** The platform's machine list at a given size: what each node reads whenever it changes. */
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
import { rounded } from '../distribution.js';
import type { NodePlace } from '../hollow-node.js';
import { kept, meanMs } from './measure.js';
import { LETTER } from './sizes.js';

const READS = 3;
const SLOTS = 20;
const MAX_CONNECTIONS = 200;
const answerSchema = z.object({ version: z.int(), machines: z.array(z.unknown()) });

export interface MachineListCost {
  readonly machines: number;
  readonly bytes: number;
  readonly parseMs: number;
  readonly memoryBytes: number;
  /** A reader: the answer parsed, hashed and taken over. */
  readonly readerMs: number;
  /** Any other node: a push of one changed machine, from the wire to the list of all machines. */
  readonly followerMs: number;
  readonly pushBytes: number;
  readonly replicaBytes: number;
}

/** Costs of a list of this size, for those who read it and for those who are told of changes. */
export function machineListCost(
  places: readonly NodePlace[],
  groups: number,
  hash: Hash64,
): MachineListCost {
  const text = JSON.stringify({ version: 1, machines: machinesOf(places, groups) });
  const { built, bytes: memoryBytes } = kept(() => readMachines(text, true) ?? []);
  const parseMs = meanMs(READS, () => {
    readMachines(text, true);
  });
  return {
    machines: built.length,
    bytes: text.length,
    parseMs: rounded(parseMs),
    memoryBytes,
    ...exchangeCost(text, hash),
  };
}

function exchangeCost(text: string, hash: Hash64) {
  const entries = (readMachines(text, true) ?? []).map((machine) => toListEntry(machine, hash));
  const { built: reader, bytes: replicaBytes } = kept(() => {
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
    const read = readMachines(text, true) ?? [];
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
    readerMs: rounded(readerMs),
    followerMs: rounded(followerTotalMs / READS),
    pushBytes,
    replicaBytes,
  };
}

/** As the machine list's client reads an answer; one without news it does not take apart. */
export function readMachines(text: string, isNew: boolean): Machine[] | undefined {
  const { machines } = answerSchema.parse(JSON.parse(text));
  if (!isNew) return undefined;
  return machines.flatMap((entry) => {
    const parsed = machineSchema.safeParse(entry);
    return parsed.success ? [parsed.data] : [];
  });
}

/** A list of these proxies and of the instances of so many groups. */
export function machinesOf(places: readonly NodePlace[], groups: number): Machine[] {
  const proxies = places.map(
    ({ nodeId, zone, host, peerPort }): Machine => ({
      role: 'proxy',
      name: nodeId,
      zone,
      host,
      peerPort,
      state: 'live',
    }),
  );
  const databases = Array.from({ length: groups * LETTER.instancesPerGroup }, (_, index) =>
    databaseOf(index, places),
  );
  return [...proxies, ...databases];
}

function databaseOf(index: number, places: readonly NodePlace[]): Machine {
  const group = Math.floor(index / LETTER.instancesPerGroup);
  return {
    role: 'database',
    name: `group-${group}-instance-${index % LETTER.instancesPerGroup}`,
    group: `group-${group}`,
    zone: places[index % places.length]?.zone ?? 'zone',
    host: `10.200.${Math.floor(index / 250) % 250}.${1 + (index % 250)}`,
    port: 5432,
    slots: SLOTS,
    maxConnections: MAX_CONNECTIONS,
    state: 'live',
  };
}
