/** Faults of the simulated proxies and of the links between them. */
import { applyFault, FAULT_NAMES, type Fault, type FaultScope } from '../group-run.js';
import type { SeededRandom } from '../random.js';
import type { Fleet } from './fleet.js';

const NODE_FAULT_NAMES = [
  'kill-node',
  'freeze-node',
  'stop-node',
  'cut-nodes',
  'cut-one-way',
  'slow-nodes',
  'cut-owner-from-instance',
  'doubt-node',
  'lose-calls',
  'kill-two-nodes',
] as const;

type NodeFaultName = (typeof NODE_FAULT_NAMES)[number];

/** One fault of proxies: whom it hits, when and for how long, in ms. */
interface NodeFault {
  readonly name: NodeFaultName;
  readonly node: number;
  readonly other: number;
  readonly at: number;
  readonly lasts: number;
}

export type FleetFault =
  | { readonly type: 'group'; readonly fault: Fault }
  | { readonly type: 'node'; readonly fault: NodeFault };

const MAX_GROUP_FAULTS = 4;
const MAX_NODE_FAULTS = 6;
const FIRST_FAULT_MS = 50;
const LAST_FAULT_MS = 1300;
const SHORTEST_FAULT_MS = 20;
const LONGEST_FAULT_MS = 900;
const LAST_NODE = 3;

export function drawFaults(random: SeededRandom): FleetFault[] {
  const faults: FleetFault[] = [];
  const groupFaults = random.whole(0, MAX_GROUP_FAULTS);
  const nodeFaults = random.whole(0, MAX_NODE_FAULTS);
  for (let count = 0; count < groupFaults; count += 1) {
    const name = FAULT_NAMES[random.whole(0, FAULT_NAMES.length - 1)] ?? 'crash';
    const target = random.pick<Fault['target']>([0, 1, 2, 'primary', 'primary', 'primary']);
    faults.push({ type: 'group', fault: { name, target, ...drawTime(random) } });
  }
  for (let count = 0; count < nodeFaults; count += 1) {
    const name = NODE_FAULT_NAMES[random.whole(0, NODE_FAULT_NAMES.length - 1)] ?? 'kill-node';
    const node = random.whole(0, LAST_NODE);
    const other = random.whole(0, LAST_NODE);
    faults.push({ type: 'node', fault: { name, node, other, ...drawTime(random) } });
  }
  return faults.sort((left, right) => left.fault.at - right.fault.at);
}

function drawTime(random: SeededRandom): { readonly at: number; readonly lasts: number } {
  return {
    at: random.whole(FIRST_FAULT_MS, LAST_FAULT_MS),
    lasts: random.whole(SHORTEST_FAULT_MS, LONGEST_FAULT_MS),
  };
}

export function describeFault(fleetFault: FleetFault): string {
  const { name, at, lasts } = fleetFault.fault;
  return `${at} ms: ${name}, ${targetOf(fleetFault)}, for ${lasts} ms`;
}

function targetOf(fleetFault: FleetFault): string {
  if (fleetFault.type === 'group') {
    const { target } = fleetFault.fault;
    return target === 'primary' ? 'the primary' : `instance ${'abc'[target] ?? target}`;
  }
  const { name, node, other } = fleetFault.fault;
  if (name === 'lose-calls') return 'between home nodes and gateways';
  const alone = name === 'kill-node' || name === 'freeze-node' || name === 'stop-node';
  if (name === 'cut-owner-from-instance') return `p${node} from ${'abc'[other % 3]}`;
  return alone ? `p${node}` : `p${node} and p${other}`;
}

/** Starts a fault and schedules its end. */
export function applyFleetFault(fleetFault: FleetFault, fleet: Fleet, scope: FaultScope): void {
  if (fleetFault.type === 'group') applyFault(fleetFault.fault, scope);
  else applyNodeFault(fleetFault.fault, fleet);
}

function applyNodeFault(fault: NodeFault, fleet: Fleet): void {
  const { lasts } = fault;
  const node = `p${fault.node}`;
  const other = `p${fault.other}`;
  switch (fault.name) {
    case 'kill-node':
      fleet.kill(node, lasts);
      return;
    case 'freeze-node':
      fleet.freeze(node, lasts);
      return;
    case 'stop-node':
      fleet.stop(node, lasts);
      return;
    case 'cut-nodes':
      fleet.cut(node, other, lasts);
      fleet.cut(other, node, lasts);
      return;
    case 'cut-one-way':
      fleet.cut(node, other, lasts);
      return;
    case 'slow-nodes':
      fleet.network.slowDown(node, other, lasts);
      return;
    case 'cut-owner-from-instance':
      fleet.cutFromInstance(node, 'abc'[fault.other % 3] ?? 'a', lasts);
      return;
    case 'lose-calls':
      fleet.network.loseCalls(lasts);
      return;
    case 'kill-two-nodes':
      fleet.kill(node, lasts);
      fleet.kill(other, lasts);
      return;
    case 'doubt-node':
      fleet.doubt(node, other, lasts);
      return;
  }
}
