/** Reduces a violating run to the events that cause the violation. */
import {
  allEventIndexes,
  checkNameOf,
  type ScenarioOutcome,
  type ScenarioPlan,
} from '../simulation/scenario.js';

/** A reduced run: the events that remain, and its outcome. */
export interface MinimalRun {
  readonly kept: ReadonlySet<number>;
  readonly outcome: ScenarioOutcome;
}

/** Limits the search, so that the result for a long plan may not be minimal. */
const MAX_RUNS = 60;

/** Removes each event without which the same check still fails; the full plan must have a violation. */
export function shrink(plan: ScenarioPlan, fullOutcome: ScenarioOutcome): MinimalRun {
  const check = checkNameOf(fullOutcome.violations[0] ?? '');
  let minimal: MinimalRun = { kept: allEventIndexes(plan), outcome: fullOutcome };
  let runs = 0;
  let isReduced = true;
  while (isReduced && runs < MAX_RUNS) {
    isReduced = false;
    for (const index of [...minimal.kept].reverse()) {
      const kept = new Set(minimal.kept);
      kept.delete(index);
      const outcome = plan.run(kept);
      runs += 1;
      if (!outcome.violations.some((violation) => checkNameOf(violation) === check)) continue;
      minimal = { kept, outcome };
      isReduced = true;
    }
  }
  return minimal;
}
