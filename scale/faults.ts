/** What befalls a fleet in a scale run. Each fault ends healed, with time to settle. */
import type { Milliseconds } from '../src/core/units.js';
import { ScaleUsageError } from './errors.js';
import type { HollowFleet } from './fleet.js';
import type { NodePlace } from './hollow-node.js';
import { REGION_COUNT, ZONE_COUNT } from './places.js';

/** An ordinary day of the letter's fleet, for each node. */
const FAILURES_PER_NODE_AND_DAY = 24 / 4600;
const REPLACEMENTS_PER_NODE_AND_DAY = 1600 / 4600;
const RESTART_AFTER_CRASH_MS = 10_000;
const DRAIN_MS = 1000;
const RESTART_AFTER_STOP_MS = 3000;
const RACK_OUTAGE_MS = 30_000;
const REGION_SPLIT_MS = 120_000;
const STORE_OUTAGE_MS = 60_000;
/** Longer than a relay's lease. */
const RELAY_PAUSE_MS = 25_000;
/** Nodes of one zone that a rack or switch takes with it. */
const RACK_SHARE = 0.25;
const LEAST_RACK_NODES = 2;
/** Time that changes get to be known everywhere. */
const SETTLE_LIMIT_MS = 120_000;
/** Zone of the faults that take one: not the store's region. */
const FAULT_ZONE = 8;

export interface FaultScenario {
  readonly name: string;
  /** @returns false if some change was not known everywhere within the limit */
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
export function faultNamed(name: string): FaultScenario {
  const found = FAULT_SCENARIOS.find((fault) => fault.name === name);
  if (found === undefined) throw new ScaleUsageError(`no fault named ${name}`);
  return found;
}

/** An ordinary day's failures and replacements within the duration. */
function runChurn(fleet: HollowFleet, durationMs: Milliseconds): boolean {
  const failures = dailyCount(fleet, FAILURES_PER_NODE_AND_DAY);
  const replacements = dailyCount(fleet, REPLACEMENTS_PER_NODE_AND_DAY);
  for (let index = 0; index < failures; index += 1) {
    fleet.clock.after(fleet.random.fraction() * durationMs, () => failOne(fleet));
  }
  for (let index = 0; index < replacements; index += 1) {
    fleet.clock.after(fleet.random.fraction() * durationMs, () => replaceOne(fleet));
  }
  fleet.run(durationMs + RESTART_AFTER_CRASH_MS);
  return fleet.settle(SETTLE_LIMIT_MS);
}

function runRackLoss(fleet: HollowFleet): boolean {
  const inZone = fleet.places.filter(({ zoneIndex }) => zoneIndex === FAULT_ZONE);
  const count = Math.max(LEAST_RACK_NODES, Math.ceil(inZone.length * RACK_SHARE));
  return loseTogether(fleet, inZone.slice(0, count));
}

function runZoneLoss(fleet: HollowFleet): boolean {
  const inZone = fleet.places.filter(({ zoneIndex }) => zoneIndex === FAULT_ZONE % ZONE_COUNT);
  return loseTogether(fleet, inZone);
}

function runRegionSplit(fleet: HollowFleet): boolean {
  fleet.cutRegion(REGION_COUNT - 1);
  fleet.run(REGION_SPLIT_MS);
  const knownOnTheOtherSide = fleet.convergence.openChanges === 0;
  fleet.healRegion();
  return fleet.settle(SETTLE_LIMIT_MS) && knownOnTheOtherSide;
}

/** Replacements go on while the store is down: new lives get the configuration from peers. */
function runStoreDown(fleet: HollowFleet, durationMs: Milliseconds): boolean {
  fleet.store.setDown(true);
  const replacements = Math.max(1, Math.floor(fleet.places.length / 50));
  for (let index = 0; index < replacements; index += 1) {
    fleet.clock.after(fleet.random.fraction() * (STORE_OUTAGE_MS / 2), () => replaceOne(fleet));
  }
  fleet.run(STORE_OUTAGE_MS);
  fleet.store.setDown(false);
  fleet.run(durationMs);
  return fleet.settle(SETTLE_LIMIT_MS);
}

/** A relay stands still past its lease, and goes on as if nothing had been. */
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
  return fleet.settle(SETTLE_LIMIT_MS);
}

function loseTogether(fleet: HollowFleet, places: readonly NodePlace[]): boolean {
  for (const { nodeId } of places) fleet.crash(nodeId);
  fleet.run(RACK_OUTAGE_MS);
  const knownWhileDown = fleet.convergence.openChanges === 0;
  for (const place of places) fleet.restart(place);
  return fleet.settle(SETTLE_LIMIT_MS) && knownWhileDown;
}

function failOne(fleet: HollowFleet): void {
  const place = pickRunning(fleet);
  if (place === undefined) return;
  fleet.crash(place.nodeId);
  fleet.clock.after(RESTART_AFTER_CRASH_MS, () => fleet.restart(place));
}

function replaceOne(fleet: HollowFleet): void {
  const place = pickRunning(fleet);
  if (place === undefined) return;
  fleet.beginLeave(place.nodeId);
  fleet.clock.after(DRAIN_MS, () => fleet.endLeave(place.nodeId));
  fleet.clock.after(DRAIN_MS + RESTART_AFTER_STOP_MS, () => fleet.restart(place));
}

/** A node that runs, does not leave, and does not keep the ownership that is measured. */
function pickRunning(fleet: HollowFleet): NodePlace | undefined {
  const candidates = fleet.running.filter(
    (node) => !node.isLeaving && !node.isPaused && node.ownership === undefined,
  );
  const chosen = candidates[fleet.random.integerBelow(Math.max(1, candidates.length))];
  return chosen?.place;
}

function dailyCount(fleet: HollowFleet, perNode: number): number {
  return Math.max(1, Math.round(fleet.places.length * perNode));
}
