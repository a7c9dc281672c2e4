/** Arbitraries of runs of the simulated group. */
import fc from 'fast-check';
import { FAULT_NAMES, type Fault } from '../../bench/simulation/group-run.js';

/** When a fault or a handover begins. */
export const startMs = fc.integer({ min: 50, max: 1300 });

/** @param targets drawn evenly; a target that is named more often is drawn more often */
export function faultOn(...targets: Fault['target'][]): fc.Arbitrary<Fault> {
  return fc.record({
    name: fc.constantFrom(...FAULT_NAMES),
    target: fc.constantFrom<Fault['target'][]>(...targets),
    at: startMs,
    durationMs: fc.integer({ min: 20, max: 900 }),
  });
}
