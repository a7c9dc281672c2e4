/** Planned work of a round: stops, signals and changes of the configuration, drawn from the seed. */
import type { Milliseconds } from '../../src/core/units.js';
import { type Draw, pick, whole } from './draw.js';

/** One change of the configuration. */
export type ConfigurationChange = 'add-route' | 'remove-route' | 'move-route' | 'set-timeouts';

/** A process is stopped by signal for a while, and then runs for a while. */
export interface Stall {
  readonly stoppedMs: Milliseconds;
  readonly runsMs: Milliseconds;
}

/** What an operator does; `gateway` is a number, taken modulo how many there are. */
export type PlannedWork =
  | { readonly kind: 'stop'; readonly gateway: number }
  | { readonly kind: 'stop-twice'; readonly gateway: number; readonly againAfterMs: Milliseconds }
  | {
      readonly kind: 'rolling-stop';
      readonly gateway: number;
      readonly count: number;
      readonly everyMs: Milliseconds;
    }
  | {
      readonly kind: 'late-stop';
      readonly gateway: number;
      readonly count: number;
      readonly stalls: readonly Stall[];
    }
  | {
      readonly kind: 'reload';
      readonly gateway: number;
      readonly count: number;
      readonly everyMs: Milliseconds;
    }
  | {
      readonly kind: 'configure';
      readonly changes: readonly ConfigurationChange[];
      readonly everyMs: Milliseconds;
    }
  | { readonly kind: 'publish' };

export type PlannedKind = PlannedWork['kind'];

const MOST_GATEWAYS_AT_ONCE = 3;
const MOST_RELOADS = 4;
const MOST_CHANGES = 6;
const LONGEST_GAP_MS: Milliseconds = 800;
const SHORTEST_STALL_MS: Milliseconds = 50;
const LONGEST_STALL_MS: Milliseconds = 400;
const LONGEST_RUN_MS: Milliseconds = 150;
/** Stalls begin before the signal and last until resting sessions and transactions have been ended. */
const STALLED_SPAN_MS: Milliseconds = 4500;
const LONGEST_UNTIL_AGAIN_MS: Milliseconds = 5000;
const CHANGES = ['add-route', 'remove-route', 'move-route', 'set-timeouts'] as const;

/** How each kind is drawn. */
export const DRAWN_WORK: {
  readonly [Kind in PlannedKind]: (draw: Draw) => PlannedWork & { readonly kind: Kind };
} = {
  stop: (draw) => ({ kind: 'stop', gateway: whole(draw) }),
  'stop-twice': (draw) => ({
    kind: 'stop-twice',
    gateway: whole(draw),
    againAfterMs: whole(draw, LONGEST_UNTIL_AGAIN_MS),
  }),
  'rolling-stop': (draw) => ({
    kind: 'rolling-stop',
    gateway: whole(draw),
    count: 2 + whole(draw, MOST_GATEWAYS_AT_ONCE - 1),
    everyMs: whole(draw, LONGEST_GAP_MS),
  }),
  'late-stop': (draw) => ({
    kind: 'late-stop',
    gateway: whole(draw),
    count: 1 + whole(draw, MOST_GATEWAYS_AT_ONCE),
    stalls: drawStalls(draw),
  }),
  reload: (draw) => ({
    kind: 'reload',
    gateway: whole(draw),
    count: 1 + whole(draw, MOST_RELOADS),
    everyMs: whole(draw, LONGEST_GAP_MS),
  }),
  configure: (draw) => ({
    kind: 'configure',
    changes: Array.from({ length: 1 + whole(draw, MOST_CHANGES) }, () => pick(draw, CHANGES)),
    everyMs: whole(draw, LONGEST_GAP_MS),
  }),
  publish: () => ({ kind: 'publish' }),
};
/** Every kind of planned work. */
export const PLANNED_KINDS = Object.keys(DRAWN_WORK) as readonly PlannedKind[];

/** True for what an operator does. */
export function isPlannedWork(fault: { readonly kind: string }): fault is PlannedWork {
  return Object.hasOwn(DRAWN_WORK, fault.kind);
}

function drawStalls(draw: Draw): readonly Stall[] {
  const stalls: Stall[] = [];
  for (let spentMs = 0; spentMs < STALLED_SPAN_MS; ) {
    const stoppedMs = SHORTEST_STALL_MS + whole(draw, LONGEST_STALL_MS - SHORTEST_STALL_MS + 1);
    const runsMs = 1 + whole(draw, LONGEST_RUN_MS);
    stalls.push({ stoppedMs, runsMs });
    spentMs += stoppedMs + runsMs;
  }
  return stalls;
}
