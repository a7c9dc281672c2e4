/** Which faults a round injects, and when: all of it follows from the seed. */
import type { Milliseconds } from '../../src/core/units.js';

/** Draws in [0, 1). */
export type Draw = () => number;

/** What a fault is done to; `gateway` and `instance` are numbers, taken modulo how many there are. */
export type Fault =
  | { readonly kind: 'kill' | 'stop' | 'pause' | 'cut-from-store'; readonly gateway: number }
  | { readonly kind: 'slow-store-link' | 'reset-store-link'; readonly gateway: number }
  | { readonly kind: 'kill-many'; readonly gateway: number; readonly count: number }
  | { readonly kind: 'kill-leader' }
  | { readonly kind: 'store-down'; readonly isSilent: boolean; readonly doLeasesWait: boolean }
  | { readonly kind: 'store-slow'; readonly factor: number }
  | { readonly kind: 'store-loses'; readonly mode: 'done' | 'late' | 'dropped' }
  | { readonly kind: 'store-forgets' | 'leases-lapse' | 'promotion-silent' }
  | { readonly kind: 'primary-crash' | 'primary-dark' | 'primary-drain' | 'primary-cut' }
  | { readonly kind: 'primary-loses-answers'; readonly count: number }
  | {
      readonly kind: 'replica-deaf' | 'replica-behind' | 'replica-fails';
      readonly instance: number;
    }
  | { readonly kind: 'publish' };

export type FaultKind = Fault['kind'];
/** A fault of this kind. */
export type FaultOf<Kind extends FaultKind> = Fault & { readonly kind: Kind };

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
const MOST_FAULTS = 5;
const FEWEST_FAULTS = 2;
const SHORTEST_MS: Milliseconds = 300;
const LONGEST_MS: Milliseconds = 3500;

/** How each kind is drawn. */
const DRAWN: { readonly [Kind in FaultKind]: (draw: Draw) => FaultOf<Kind> } = {
  kill: (draw) => ({ kind: 'kill', gateway: whole(draw) }),
  stop: (draw) => ({ kind: 'stop', gateway: whole(draw) }),
  pause: (draw) => ({ kind: 'pause', gateway: whole(draw) }),
  'cut-from-store': (draw) => ({ kind: 'cut-from-store', gateway: whole(draw) }),
  'slow-store-link': (draw) => ({ kind: 'slow-store-link', gateway: whole(draw) }),
  'reset-store-link': (draw) => ({ kind: 'reset-store-link', gateway: whole(draw) }),
  'kill-many': (draw) => ({ kind: 'kill-many', gateway: whole(draw), count: 2 + whole(draw, 2) }),
  'kill-leader': () => ({ kind: 'kill-leader' }),
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
  publish: () => ({ kind: 'publish' }),
};
const LOSE_MODES = ['done', 'late', 'dropped'] as const;
export const FAULT_KINDS = Object.keys(DRAWN) as readonly FaultKind[];

/** The schedule of a seed, within `spanMs`. */
export function drawSchedule(seed: number, draw: Draw, spanMs: Milliseconds): Schedule {
  for (let number = 0; number < MIXING_DRAWS; number += 1) draw();
  const hasOwners = draw() < 0.5;
  const count = FEWEST_FAULTS + whole(draw, MOST_FAULTS - FEWEST_FAULTS + 1);
  const faults = Array.from({ length: count }, (): PlannedFault => {
    const fault = DRAWN[pick(draw, FAULT_KINDS)](draw);
    const forMs = Math.round(SHORTEST_MS + draw() * (LONGEST_MS - SHORTEST_MS));
    return { atMs: Math.round(draw() * (spanMs - forMs)), forMs, fault };
  });
  return { seed, hasOwners, faults: faults.sort((left, right) => left.atMs - right.atMs) };
}

function whole(draw: Draw, below = 1000): number {
  return Math.floor(draw() * below);
}

function pick<Item>(draw: Draw, items: readonly Item[]): Item {
  return items[whole(draw, items.length)] as Item;
}
