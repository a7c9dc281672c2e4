/** Which faults a round injects, and when: all of it follows from the seed. */
import type { Milliseconds } from '../../src/core/units.js';
import { type Draw, pick, whole } from './draw.js';
import { DRAWN_WORK, PLANNED_KINDS, type PlannedWork } from './planned-schedule.js';

/** An unplanned fault, and what it is done to; `gateway` and `instance` are numbers, taken modulo how many there are. */
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
  | {
      readonly kind: 'replica-deaf' | 'replica-behind' | 'replica-fails';
      readonly instance: number;
    };

export type DisruptionKind = Disruption['kind'];
/** A disruption of this kind. */
export type DisruptionOf<Kind extends DisruptionKind> = Disruption & { readonly kind: Kind };

/** Whatever is done to the cluster, planned or not. */
export type Fault = Disruption | PlannedWork;

/** A fault from `atMs` on, for so long; both from the start of the faults. */
export interface PlannedFault {
  readonly atMs: Milliseconds;
  readonly forMs: Milliseconds;
  readonly fault: Fault;
}

/** What one round does. */
export interface Schedule {
  readonly seed: number;
  /** Gateways reach instances through owners. */
  readonly hasOwners: boolean;
  readonly faults: readonly PlannedFault[];
}

/** A generator's first numbers are alike for seeds that lie near each other. */
const MIXING_DRAWS = 16;
/** How many of each there are in a round. */
const DISRUPTIONS = { fewest: 2, most: 5 } as const;
const PLANNED_WORK = { fewest: 3, most: 8 } as const;
/** Shares of the rounds: planned work alone, unplanned faults alone; both in all others. */
const PLANNED_ONLY_SHARE = 0.45;
const UNPLANNED_ONLY_SHARE = 0.15;
const STORE_RETURNS = { fewest: 1, most: 2 } as const;
const OLDEST_COPY_MS: Milliseconds = 10_000;
const LONGEST_ABSENCE_MS: Milliseconds = 3000;
/** The operator writes again what is gone within so long. */
export const WRITTEN_AGAIN_MS: Milliseconds = 1000;
const SHORTEST_MS: Milliseconds = 300;
const LONGEST_MS: Milliseconds = 3500;

/** Drawn where a round asks for them: seeds that ever failed stay what they were. */
type AskedKind = 'store-returns';

/** How each other kind is drawn. */
const DRAWN: {
  readonly [Kind in Exclude<DisruptionKind, AskedKind>]: (draw: Draw) => DisruptionOf<Kind>;
} = {
  kill: (draw) => ({ kind: 'kill', gateway: whole(draw) }),
  pause: (draw) => ({ kind: 'pause', gateway: whole(draw) }),
  'cut-from-store': (draw) => ({ kind: 'cut-from-store', gateway: whole(draw) }),
  'slow-store-link': (draw) => ({ kind: 'slow-store-link', gateway: whole(draw) }),
  'reset-store-link': (draw) => ({ kind: 'reset-store-link', gateway: whole(draw) }),
  'kill-many': (draw) => ({ kind: 'kill-many', gateway: whole(draw), count: 2 + whole(draw, 2) }),
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
    count: 1 + whole(draw, 20),
  }),
  'replica-deaf': (draw) => ({ kind: 'replica-deaf', instance: whole(draw) }),
  'replica-behind': (draw) => ({ kind: 'replica-behind', instance: whole(draw) }),
  'replica-fails': (draw) => ({ kind: 'replica-fails', instance: whole(draw) }),
};
const LOSE_MODES = ['done', 'late', 'dropped'] as const;
/** Every kind of unplanned fault. */
export const DISRUPTION_KINDS = Object.keys(DRAWN) as readonly Exclude<DisruptionKind, AskedKind>[];

/** The schedule of a seed, within `spanMs`. */
export function drawSchedule(seed: number, draw: Draw, spanMs: Milliseconds): Schedule {
  for (let number = 0; number < MIXING_DRAWS; number += 1) draw();
  const hasOwners = draw() < 0.5;
  const mix = draw();
  const isPlannedOnly = mix < PLANNED_ONLY_SHARE;
  const isUnplannedOnly = mix >= 1 - UNPLANNED_ONLY_SHARE;
  const planned = isUnplannedOnly ? 0 : between(draw, PLANNED_WORK);
  const unplanned = isPlannedOnly ? 0 : between(draw, DISRUPTIONS);
  const faults = [
    ...Array.from({ length: planned }, () => DRAWN_WORK[pick(draw, PLANNED_KINDS)](draw)),
    ...Array.from({ length: unplanned }, () => DRAWN[pick(draw, DISRUPTION_KINDS)](draw)),
  ].map((fault) => place(draw, fault, spanMs));
  return { seed, hasOwners, faults: faults.sort((left, right) => left.atMs - right.atMs) };
}

/** The same with returns of the store from a copy beside all else. */
export function withStoreReturns(schedule: Schedule, draw: Draw, spanMs: Milliseconds): Schedule {
  const returns = Array.from({ length: between(draw, STORE_RETURNS) }, (): PlannedFault => {
    const ageMs = Math.round(OLDEST_COPY_MS * draw());
    const awayMs = Math.round(LONGEST_ABSENCE_MS * draw() * draw());
    const forMs = awayMs + WRITTEN_AGAIN_MS;
    const atMs = Math.round(draw() * (spanMs - forMs));
    return { atMs, forMs, fault: { kind: 'store-returns', ageMs, awayMs } };
  });
  const faults = [...schedule.faults, ...returns];
  return { ...schedule, faults: faults.sort((left, right) => left.atMs - right.atMs) };
}

function between(draw: Draw, { fewest, most }: { fewest: number; most: number }): number {
  return fewest + whole(draw, most - fewest + 1);
}

function place(draw: Draw, fault: Fault, spanMs: Milliseconds): PlannedFault {
  const forMs = Math.round(SHORTEST_MS + draw() * (LONGEST_MS - SHORTEST_MS));
  return { atMs: Math.round(draw() * (spanMs - forMs)), forMs, fault };
}
