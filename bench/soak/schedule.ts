/** Faults of a round and their times, all determined by the seed. */
import type { Milliseconds } from '../../src/core/units.js';
import { type Draw, drawInteger, pick } from './draw.js';
import { PLANNED_KINDS, PLANNED_WORK_GENERATORS, type PlannedWork } from './planned-schedule.js';

/** An unplanned fault and its target; `gateway` and `instance` are numbers modulo their count. */
export type Disruption =
  | { readonly kind: 'kill' | 'pause' | 'cut-from-store'; readonly gateway: number }
  | { readonly kind: 'slow-store-link' | 'reset-store-link'; readonly gateway: number }
  | { readonly kind: 'kill-many'; readonly gateway: number; readonly count: number }
  | { readonly kind: 'kill-leader' | 'publish-kill-all' }
  | { readonly kind: 'store-down'; readonly isSilent: boolean; readonly doLeasesWait: boolean }
  | { readonly kind: 'store-slow'; readonly factor: number }
  | { readonly kind: 'store-loses'; readonly mode: 'done' | 'late' | 'dropped' }
  | { readonly kind: 'store-forgets' | 'leases-lapse' | 'promotion-silent' }
  | { readonly kind: 'store-returns'; readonly ageMs: Milliseconds; readonly awayMs: Milliseconds }
  | { readonly kind: 'primary-crash' | 'primary-dark' | 'primary-drain' | 'primary-cut' }
  | { readonly kind: 'primary-loses-answers'; readonly count: number }
  /** An instance ends and starts again under its id, without its log. */
  | {
      readonly kind: 'instance-starts-again';
      readonly instance: number;
      /** Whether the store learns of it only when the fault ends. */
      readonly isCutFromStore: boolean;
    }
  | {
      readonly kind: 'replica-deaf' | 'replica-behind' | 'replica-fails';
      readonly instance: number;
    };

export type DisruptionKind = Disruption['kind'];
/** A disruption of this kind. */
export type DisruptionOf<Kind extends DisruptionKind> = Disruption & { readonly kind: Kind };

/** An unplanned fault or planned work. */
export type Fault = Disruption | PlannedWork;

/** A fault, its start (after the start of the first possible fault) and its duration. */
export interface PlannedFault {
  readonly atMs: Milliseconds;
  readonly forMs: Milliseconds;
  readonly fault: Fault;
}

/** The faults of one round. */
export interface Schedule {
  readonly seed: number;
  /** Gateways reach instances through owners. */
  readonly hasOwners: boolean;
  readonly faults: readonly PlannedFault[];
}

/** Draws discarded at the start, since the first numbers of a generator are similar for close seeds. */
const DISCARDED_DRAWS = 16;
/** Number of faults of each sort in a round. */
const DISRUPTION_COUNT = { min: 2, max: 5 } as const;
const PLANNED_WORK_COUNT = { min: 3, max: 8 } as const;
/** Fractions of rounds with planned work only and unplanned faults only; other rounds have both. */
const PLANNED_ONLY_FRACTION = 0.45;
const UNPLANNED_ONLY_FRACTION = 0.15;
const STORE_RETURN_COUNT = { min: 1, max: 2 } as const;
const MAX_BACKUP_AGE_MS: Milliseconds = 10_000;
const MAX_STORE_OUTAGE_MS: Milliseconds = 3000;
/** Time limit for the operator to write again the records that a restore has lost. */
export const MAX_REWRITE_MS: Milliseconds = 1000;
const MIN_FAULT_DURATION_MS: Milliseconds = 300;
const MAX_FAULT_DURATION_MS: Milliseconds = 3500;

/** Kinds that are drawn only on request, so that schedules of stored seeds stay the same. */
type OptInKind = 'store-returns' | 'instance-starts-again';

/** Draws faults of each other kind. Stored seeds depend on the order of the keys. */
const DISRUPTION_GENERATORS: {
  readonly [Kind in Exclude<DisruptionKind, OptInKind>]: (draw: Draw) => DisruptionOf<Kind>;
} = {
  kill: (draw) => ({ kind: 'kill', gateway: drawInteger(draw) }),
  pause: (draw) => ({ kind: 'pause', gateway: drawInteger(draw) }),
  'cut-from-store': (draw) => ({ kind: 'cut-from-store', gateway: drawInteger(draw) }),
  'slow-store-link': (draw) => ({ kind: 'slow-store-link', gateway: drawInteger(draw) }),
  'reset-store-link': (draw) => ({ kind: 'reset-store-link', gateway: drawInteger(draw) }),
  'kill-many': (draw) => ({
    kind: 'kill-many',
    gateway: drawInteger(draw),
    count: 2 + drawInteger(draw, 2),
  }),
  'kill-leader': () => ({ kind: 'kill-leader' }),
  'publish-kill-all': () => ({ kind: 'publish-kill-all' }),
  'store-down': (draw) => ({
    ...{ kind: 'store-down', isSilent: draw() < 0.5, doLeasesWait: draw() < 0.5 },
  }),
  'store-slow': (draw) => ({ kind: 'store-slow', factor: 10 + 40 * draw() }),
  'store-loses': (draw) => ({ kind: 'store-loses', mode: pick(draw, LOSE_MODES) }),
  'store-forgets': () => ({ kind: 'store-forgets' }),
  'leases-lapse': () => ({ kind: 'leases-lapse' }),
  'promotion-silent': () => ({ kind: 'promotion-silent' }),
  'primary-crash': () => ({ kind: 'primary-crash' }),
  'primary-dark': () => ({ kind: 'primary-dark' }),
  'primary-drain': () => ({ kind: 'primary-drain' }),
  'primary-cut': () => ({ kind: 'primary-cut' }),
  'primary-loses-answers': (draw) => ({
    kind: 'primary-loses-answers',
    count: 1 + drawInteger(draw, 20),
  }),
  'replica-deaf': (draw) => ({ kind: 'replica-deaf', instance: drawInteger(draw) }),
  'replica-behind': (draw) => ({ kind: 'replica-behind', instance: drawInteger(draw) }),
  'replica-fails': (draw) => ({ kind: 'replica-fails', instance: drawInteger(draw) }),
};
const LOSE_MODES = ['done', 'late', 'dropped'] as const;
/** Every kind of unplanned fault. */
export const DISRUPTION_KINDS = Object.keys(DISRUPTION_GENERATORS) as readonly Exclude<
  DisruptionKind,
  OptInKind
>[];

/** The schedule of a seed, within `spanMs`. */
export function drawSchedule(seed: number, draw: Draw, spanMs: Milliseconds): Schedule {
  for (let number = 0; number < DISCARDED_DRAWS; number += 1) draw();
  const hasOwners = draw() < 0.5;
  const kindDraw = draw();
  const isPlannedOnly = kindDraw < PLANNED_ONLY_FRACTION;
  const isUnplannedOnly = kindDraw >= 1 - UNPLANNED_ONLY_FRACTION;
  const planned = isUnplannedOnly ? 0 : drawBetween(draw, PLANNED_WORK_COUNT);
  const unplanned = isPlannedOnly ? 0 : drawBetween(draw, DISRUPTION_COUNT);
  const faults = [
    ...Array.from({ length: planned }, () =>
      PLANNED_WORK_GENERATORS[pick(draw, PLANNED_KINDS)](draw),
    ),
    ...Array.from({ length: unplanned }, () =>
      DISRUPTION_GENERATORS[pick(draw, DISRUPTION_KINDS)](draw),
    ),
  ].map((fault) => placeInTime(draw, fault, spanMs));
  return { seed, hasOwners, faults: faults.sort((left, right) => left.atMs - right.atMs) };
}

/** Adds restores of the store from a backup to a schedule. */
export function withStoreReturns(schedule: Schedule, draw: Draw, spanMs: Milliseconds): Schedule {
  const returns = Array.from(
    { length: drawBetween(draw, STORE_RETURN_COUNT) },
    (): PlannedFault => {
      const ageMs = Math.round(MAX_BACKUP_AGE_MS * draw());
      const awayMs = Math.round(MAX_STORE_OUTAGE_MS * draw() * draw());
      const forMs = awayMs + MAX_REWRITE_MS;
      const atMs = Math.round(draw() * (spanMs - forMs));
      return { atMs, forMs, fault: { kind: 'store-returns', ageMs, awayMs } };
    },
  );
  return withFaults(schedule, returns);
}

/** Adds a start of an instance without its log: of two, some commits may have had no other copy. */
export function withNewIncarnation(schedule: Schedule, draw: Draw, spanMs: Milliseconds): Schedule {
  const fault: Disruption = {
    ...{ kind: 'instance-starts-again', instance: drawInteger(draw) },
    isCutFromStore: draw() < 0.5,
  };
  return withFaults(schedule, [placeInTime(draw, fault, spanMs)]);
}

function withFaults(schedule: Schedule, added: readonly PlannedFault[]): Schedule {
  const faults = [...schedule.faults, ...added];
  return { ...schedule, faults: faults.sort((left, right) => left.atMs - right.atMs) };
}

function drawBetween(draw: Draw, { min, max }: { min: number; max: number }): number {
  return min + drawInteger(draw, max - min + 1);
}

function placeInTime(draw: Draw, fault: Fault, spanMs: Milliseconds): PlannedFault {
  const forMs = Math.round(
    MIN_FAULT_DURATION_MS + draw() * (MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS),
  );
  return { atMs: Math.round(draw() * (spanMs - forMs)), forMs, fault };
}
