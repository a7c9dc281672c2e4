/** Zones and regions of a fleet, and the message latency between two zones. */
import type { Random } from '../bench/load/random.js';
import type { ZoneName } from '../src/core/request.js';
import type { Milliseconds } from '../src/core/units.js';

export const REGION_COUNT = 6;
export const ZONES_PER_REGION = 3;
export const ZONE_COUNT = REGION_COUNT * ZONES_PER_REGION;
/** Region of the store and of the machine list service. */
export const STORE_REGION = 0;

const SAME_ZONE_MS = 0.3;
const SAME_REGION_MS = 1;
const NEXT_REGION_MS = 12;
const FURTHER_REGION_MS = 14;
/** A message takes at most this fraction longer than the minimum latency. */
const MAX_JITTER_FRACTION = 0.3;

/** @param zoneIndex in [0, ZONE_COUNT) */
export function zoneName(zoneIndex: number): ZoneName {
  return `r${regionOf(zoneIndex)}-z${zoneIndex % ZONES_PER_REGION}`;
}

export function regionOf(zoneIndex: number): number {
  return Math.floor(zoneIndex / ZONES_PER_REGION);
}

/** One-way latency between two zones, with jitter. */
export function latencyBetween(
  from: number,
  to: number,
  random: Pick<Random, 'fraction'>,
): Milliseconds {
  return minLatency(from, to) * (1 + MAX_JITTER_FRACTION * random.fraction());
}

function minLatency(from: number, to: number): Milliseconds {
  if (from === to) return SAME_ZONE_MS;
  const distance = Math.abs(regionOf(from) - regionOf(to));
  if (distance === 0) return SAME_REGION_MS;
  return NEXT_REGION_MS + FURTHER_REGION_MS * (distance - 1);
}
