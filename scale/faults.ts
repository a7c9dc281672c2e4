/** Faults of a scale run. Each is repaired at its end, and the fleet gets time to settle. */
import type { Milliseconds } from '../src/core/units.js';
import { ScaleUsageError } from './errors.js';
import type { HollowFleet } from './fleet.js';
import type { NodeLocation } from './hollow-node.js';
import { REGION_COUNT, ZONE_COUNT } from './zones.js';

/** Rates of an ordinary day at the design size. */
const FAILURES_PER_NODE_PER_DAY = 24 / 4600;
const REPLACEMENTS_PER_NODE_PER_DAY = 1600 / 4600;
const CRASH_RESTART_DELAY_MS = 10_000;
const SHUTDOWN_DURATION_MS = 1000;
const STOP_RESTART_DELAY_MS = 3000;
const RACK_OUTAGE_MS = 30_000;
const REGION_SPLIT_MS = 120_000;
const STORE_OUTAGE_MS = 60_000;
/** Longer than a relay's lease, so that the lease expires. */
const RELAY_PAUSE_MS = 25_000;
/** Fraction of a zone's nodes that fail with a rack or switch. */
const RACK_NODE_FRACTION = 0.25;
const MIN_RACK_NODES = 2;
/** Time within which changes must be known on all nodes. */
const SETTLE_TIMEOUT_MS = 120_000;
/** Zone in which rack and zone losses happen; not in the store's region. */
const FAULT_ZONE = 8;

export interface FaultScenario {
  readonly name: string;
  /** @returns false if a membership change was not known on all nodes within the limit */
  run(fleet: HollowFleet, durationMs: Milliseconds): boolean;
}

export const FAULT_SCENARIOS: readonly FaultScenario[] = [
  { name: 'churn', run: runChurn },
  { name: 'rack-loss', run: runRackLoss },
  { name: 'zone-loss', run: runZoneLoss },
  { name: 'region-split', run: runRegionSplit },
  { name: 'store-down', run: runStoreDown },
  { name: 'relay-pause', run: runRelayPause },
];

/** @throws ScaleUsageError if there is no such fault */
export function findFault(name: string): FaultScenario {
  const found = FAULT_SCENARIOS.find((fault) => fault.name === name);
  if (found === undefined) throw new ScaleUsageError(`no fault named ${name}`);
  return found;
}

/** A whole day's failures and replacements within the duration. */
function runChurn(fleet: HollowFleet, durationMs: Milliseconds): boolean {
  const failures = countPerDay(fleet, FAILURES_PER_NODE_PER_DAY);
  const replacements = countPerDay(fleet, REPLACEMENTS_PER_NODE_PER_DAY);
  for (let index = 0; index < failures; index += 1) {
    fleet.clock.after(fleet.random.fraction() * durationMs, () => crashOne(fleet));
  }
  for (let index = 0; index < replacements; index += 1) {
    fleet.clock.after(fleet.random.fraction() * durationMs, () => replaceOne(fleet));
  }
  fleet.run(durationMs + CRASH_RESTART_DELAY_MS);
  return fleet.settle(SETTLE_TIMEOUT_MS);
}

function runRackLoss(fleet: HollowFleet): boolean {
  const inZone = fleet.locations.filter(({ zoneIndex }) => zoneIndex === FAULT_ZONE);
  const count = Math.max(MIN_RACK_NODES, Math.ceil(inZone.length * RACK_NODE_FRACTION));
  return crashAndRestart(fleet, inZone.slice(0, count));
}

function runZoneLoss(fleet: HollowFleet): boolean {
  const inZone = fleet.locations.filter(({ zoneIndex }) => zoneIndex === FAULT_ZONE % ZONE_COUNT);
  return crashAndRestart(fleet, inZone);
}

function runRegionSplit(fleet: HollowFleet): boolean {
  fleet.cutRegion(REGION_COUNT - 1);
  fleet.run(REGION_SPLIT_MS);
  const convergedDuringSplit = fleet.convergence.openChanges === 0;
  fleet.healRegion();
  return fleet.settle(SETTLE_TIMEOUT_MS) && convergedDuringSplit;
}

/** Nodes are replaced while the store is down: new incarnations get the configuration from peers. */
function runStoreDown(fleet: HollowFleet, durationMs: Milliseconds): boolean {
  fleet.store.setDown(true);
  const replacements = Math.max(1, Math.floor(fleet.locations.length / 50));
  for (let index = 0; index < replacements; index += 1) {
    fleet.clock.after(fleet.random.fraction() * (STORE_OUTAGE_MS / 2), () => replaceOne(fleet));
  }
  fleet.run(STORE_OUTAGE_MS);
  fleet.store.setDown(false);
  fleet.run(durationMs);
  return fleet.settle(SETTLE_TIMEOUT_MS);
}

/** A relay is paused until its lease has expired, and then resumes. */
function runRelayPause(fleet: HollowFleet, durationMs: Milliseconds): boolean {
  const relays = fleet.running.filter(({ configuration }) => configuration.isRelay);
  const paused = relays[fleet.random.integerBelow(Math.max(1, relays.length))];
  if (paused === undefined) return false;
  paused.pause();
  const { nodeId } = paused.identity;
  fleet.convergence.expect({ nodeId, incarnation: undefined });
  fleet.run(RELAY_PAUSE_MS);
  paused.resume();
  fleet.convergence.expect(paused.identity);
  fleet.run(durationMs);
  return fleet.settle(SETTLE_TIMEOUT_MS);
}

function crashAndRestart(fleet: HollowFleet, locations: readonly NodeLocation[]): boolean {
  for (const { nodeId } of locations) fleet.crash(nodeId);
  fleet.run(RACK_OUTAGE_MS);
  const convergedWhileDown = fleet.convergence.openChanges === 0;
  for (const location of locations) fleet.restart(location);
  return fleet.settle(SETTLE_TIMEOUT_MS) && convergedWhileDown;
}

function crashOne(fleet: HollowFleet): void {
  const location = pickRunningNode(fleet);
  if (location === undefined) return;
  fleet.crash(location.nodeId);
  fleet.clock.after(CRASH_RESTART_DELAY_MS, () => fleet.restart(location));
}

function replaceOne(fleet: HollowFleet): void {
  const location = pickRunningNode(fleet);
  if (location === undefined) return;
  fleet.beginGracefulShutdown(location.nodeId);
  fleet.clock.after(SHUTDOWN_DURATION_MS, () => fleet.endGracefulShutdown(location.nodeId));
  fleet.clock.after(SHUTDOWN_DURATION_MS + STOP_RESTART_DELAY_MS, () => fleet.restart(location));
}

/** Picks a node that is running, not leaving, and not one of those whose ownership is measured. */
function pickRunningNode(fleet: HollowFleet): NodeLocation | undefined {
  const candidates = fleet.running.filter(
    (node) => !node.isLeaving && !node.isPaused && node.ownership === undefined,
  );
  const chosen = candidates[fleet.random.integerBelow(Math.max(1, candidates.length))];
  return chosen?.location;
}

function countPerDay(fleet: HollowFleet, perNode: number): number {
  return Math.max(1, Math.round(fleet.locations.length * perNode));
}
