/** Faults of the simulated proxies and the links between them. */
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

/** One fault of proxies: its targets, start and duration in milliseconds. */
interface NodeFault {
  readonly name: NodeFaultName;
  readonly node: number;
  readonly other: number;
  readonly at: number;
  readonly durationMs: number;
}

export type FleetFault =
  | { readonly type: 'group'; readonly fault: Fault }
  | { readonly type: 'node'; readonly fault: NodeFault };

const MAX_GROUP_FAULTS = 4;
const MAX_NODE_FAULTS = 6;
const MIN_FAULT_START_MS = 50;
const MAX_FAULT_START_MS = 1300;
const MIN_FAULT_DURATION_MS = 20;
const MAX_FAULT_DURATION_MS = 900;
const MAX_NODE_INDEX = 3;

export function drawFaults(random: SeededRandom): FleetFault[] {
  const faults: FleetFault[] = [];
  const groupFaults = random.integer(0, MAX_GROUP_FAULTS);
  const nodeFaults = random.integer(0, MAX_NODE_FAULTS);
  for (let count = 0; count < groupFaults; count += 1) {
    const name = FAULT_NAMES[random.integer(0, FAULT_NAMES.length - 1)] ?? 'crash';
    const target = random.pick<Fault['target']>([0, 1, 2, 'primary', 'primary', 'primary']);
    faults.push({ type: 'group', fault: { name, target, ...drawTime(random) } });
  }
  for (let count = 0; count < nodeFaults; count += 1) {
    const name = NODE_FAULT_NAMES[random.integer(0, NODE_FAULT_NAMES.length - 1)] ?? 'kill-node';
    const node = random.integer(0, MAX_NODE_INDEX);
    const other = random.integer(0, MAX_NODE_INDEX);
    faults.push({ type: 'node', fault: { name, node, other, ...drawTime(random) } });
  }
  return faults.sort((left, right) => left.fault.at - right.fault.at);
}

function drawTime(random: SeededRandom): { readonly at: number; readonly durationMs: number } {
  return {
    at: random.integer(MIN_FAULT_START_MS, MAX_FAULT_START_MS),
    durationMs: random.integer(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS),
  };
}

export function describeFault(fleetFault: FleetFault): string {
  const { name, at, durationMs } = fleetFault.fault;
  return `${at} ms: ${name}, ${targetText(fleetFault)}, for ${durationMs} ms`;
}

function targetText(fleetFault: FleetFault): string {
  if (fleetFault.type === 'group') {
    const { target } = fleetFault.fault;
    return target === 'primary' ? 'the primary' : `instance ${'abc'[target] ?? target}`;
  }
  const { name, node, other } = fleetFault.fault;
  if (name === 'lose-calls') return 'between home nodes and gateways';
  const hasOneNode = name === 'kill-node' || name === 'freeze-node' || name === 'stop-node';
  if (name === 'cut-owner-from-instance') return `p${node} from ${'abc'[other % 3]}`;
  return hasOneNode ? `p${node}` : `p${node} and p${other}`;
}

/** Starts a fault and schedules its end. */
export function applyFleetFault(fleetFault: FleetFault, fleet: Fleet, scope: FaultScope): void {
  if (fleetFault.type === 'group') applyFault(fleetFault.fault, scope);
  else applyNodeFault(fleetFault.fault, fleet);
}

function applyNodeFault(fault: NodeFault, fleet: Fleet): void {
  const { durationMs } = fault;
  const node = `p${fault.node}`;
  const other = `p${fault.other}`;
  switch (fault.name) {
    case 'kill-node':
      fleet.kill(node, durationMs);
      return;
    case 'freeze-node':
      fleet.freeze(node, durationMs);
      return;
    case 'stop-node':
      fleet.stop(node, durationMs);
      return;
    case 'cut-nodes':
      fleet.cut(node, other, durationMs);
      fleet.cut(other, node, durationMs);
      return;
    case 'cut-one-way':
      fleet.cut(node, other, durationMs);
      return;
    case 'slow-nodes':
      fleet.network.slowDown(node, other, durationMs);
      return;
    case 'cut-owner-from-instance':
      fleet.cutFromInstance(node, 'abc'[fault.other % 3] ?? 'a', durationMs);
      return;
    case 'lose-calls':
      fleet.network.loseCalls(durationMs);
      return;
    case 'kill-two-nodes':
      fleet.kill(node, durationMs);
      fleet.kill(other, durationMs);
      return;
    case 'doubt-node':
      fleet.suspect(node, other, durationMs);
      return;
  }
}
