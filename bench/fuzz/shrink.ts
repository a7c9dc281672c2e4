/** Finds a violation's own few events: leaves out whatever it happens without. */
import {
  allEventIndexes,
  checkNameOf,
  type ScenarioOutcome,
  type ScenarioPlan,
} from '../simulation/scenario.js';

/** A violation with the events that it needs. */
export interface MinimalRun {
  readonly kept: ReadonlySet<number>;
  readonly outcome: ScenarioOutcome;
}

/** Longest search; a run that takes long is told less minimally. */
const MAX_RUNS = 60;

/** The plan must violate something when it is run whole. */
export function shrink(plan: ScenarioPlan, whole: ScenarioOutcome): MinimalRun {
  const check = checkNameOf(whole.violations[0] ?? '');
  let minimal: MinimalRun = { kept: allEventIndexes(plan), outcome: whole };
  let runs = 0;
  let smaller = true;
  while (smaller && runs < MAX_RUNS) {
    smaller = false;
    for (const index of [...minimal.kept].reverse()) {
      const kept = new Set(minimal.kept);
      kept.delete(index);
      const outcome = plan.run(kept);
      runs += 1;
      if (!outcome.violations.some((violation) => checkNameOf(violation) === check)) continue;
      minimal = { kept, outcome };
      smaller = true;
    }
  }
  return minimal;
}
