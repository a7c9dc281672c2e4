/** Planned work of a round: graceful shutdowns, signals and configuration changes, drawn from the seed. */
import type { Milliseconds } from '../../src/core/units.js';
import { type Draw, drawInteger, pick } from './draw.js';

/** One change of the configuration. */
export type ConfigurationChange = 'add-route' | 'remove-route' | 'move-route' | 'set-timeouts';

/** A process is paused by SIGSTOP for `stoppedMs`, then runs for `runsMs`. */
export interface Stall {
  readonly stoppedMs: Milliseconds;
  readonly runsMs: Milliseconds;
}

/** Work of an operator; `gateway` is a number modulo the number of gateways. */
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

const MAX_GATEWAYS_AT_ONCE = 3;
const MAX_RELOADS = 4;
const MAX_CHANGES = 6;
const MAX_GAP_MS: Milliseconds = 800;
const MIN_STALL_MS: Milliseconds = 50;
const MAX_STALL_MS: Milliseconds = 400;
const MAX_RUN_MS: Milliseconds = 150;
/** Stalls start before the signal and last until idle sessions and transactions have been ended. */
const MIN_STALLS_SPAN_MS: Milliseconds = 4500;
const MAX_SECOND_SIGNAL_DELAY_MS: Milliseconds = 5000;
const CHANGES = ['add-route', 'remove-route', 'move-route', 'set-timeouts'] as const;

/** Draws work of each kind. Stored seeds depend on the order of the keys. */
export const PLANNED_WORK_GENERATORS: {
  readonly [Kind in PlannedKind]: (draw: Draw) => PlannedWork & { readonly kind: Kind };
} = {
  stop: (draw) => ({ kind: 'stop', gateway: drawInteger(draw) }),
  'stop-twice': (draw) => ({
    kind: 'stop-twice',
    gateway: drawInteger(draw),
    againAfterMs: drawInteger(draw, MAX_SECOND_SIGNAL_DELAY_MS),
  }),
  'rolling-stop': (draw) => ({
    kind: 'rolling-stop',
    gateway: drawInteger(draw),
    count: 2 + drawInteger(draw, MAX_GATEWAYS_AT_ONCE - 1),
    everyMs: drawInteger(draw, MAX_GAP_MS),
  }),
  'late-stop': (draw) => ({
    kind: 'late-stop',
    gateway: drawInteger(draw),
    count: 1 + drawInteger(draw, MAX_GATEWAYS_AT_ONCE),
    stalls: drawStalls(draw),
  }),
  reload: (draw) => ({
    kind: 'reload',
    gateway: drawInteger(draw),
    count: 1 + drawInteger(draw, MAX_RELOADS),
    everyMs: drawInteger(draw, MAX_GAP_MS),
  }),
  configure: (draw) => ({
    kind: 'configure',
    changes: Array.from({ length: 1 + drawInteger(draw, MAX_CHANGES) }, () => pick(draw, CHANGES)),
    everyMs: drawInteger(draw, MAX_GAP_MS),
  }),
  publish: () => ({ kind: 'publish' }),
};
/** Every kind of planned work. */
export const PLANNED_KINDS = Object.keys(PLANNED_WORK_GENERATORS) as readonly PlannedKind[];

/** True for work of an operator, false for an unplanned fault. */
export function isPlannedWork(fault: { readonly kind: string }): fault is PlannedWork {
  return Object.hasOwn(PLANNED_WORK_GENERATORS, fault.kind);
}

function drawStalls(draw: Draw): readonly Stall[] {
  const stalls: Stall[] = [];
  for (let totalMs = 0; totalMs < MIN_STALLS_SPAN_MS; ) {
    const stoppedMs = MIN_STALL_MS + drawInteger(draw, MAX_STALL_MS - MIN_STALL_MS + 1);
    const runsMs = 1 + drawInteger(draw, MAX_RUN_MS);
    stalls.push({ stoppedMs, runsMs });
    totalMs += stoppedMs + runsMs;
  }
  return stalls;
}
