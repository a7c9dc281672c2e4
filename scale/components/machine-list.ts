/** The platform's machine list at a given size: what each node reads whenever it changes. */
import { z } from 'zod';
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
}

export function machineListCost(places: readonly NodePlace[], groups: number): MachineListCost {
  const text = JSON.stringify({ version: 1, machines: machinesOf(places, groups) });
  const { built, bytes: memoryBytes } = kept(() => read(text));
  const parseMs = meanMs(READS, () => {
    read(text);
  });
  return {
    machines: built.length,
    bytes: text.length,
    parseMs: rounded(parseMs),
    memoryBytes,
  };
}

/** As the machine list's client reads an answer. */
function read(text: string): Machine[] {
  const { machines } = answerSchema.parse(JSON.parse(text));
  return machines.flatMap((entry) => {
    const parsed = machineSchema.safeParse(entry);
    return parsed.success ? [parsed.data] : [];
  });
}

function machinesOf(places: readonly NodePlace[], groups: number): Machine[] {
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
