/** Runs scenarios with consecutive seeds until a run has a violation or a limit is reached. */
import {
  allEventIndexes,
  type Scenario,
  type ScenarioOutcome,
  type ScenarioPlan,
} from '../simulation/scenario.js';

/** A run with violations. */
export interface FailedRun {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly plan: ScenarioPlan;
  readonly outcome: ScenarioOutcome;
}

export interface SearchOptions {
  readonly scenarios: readonly Scenario[];
  readonly firstSeed: number;
  /** Names of mechanisms to disable. */
  readonly disabledMechanisms: ReadonlySet<string>;
  /** Called before each seed with the number of runs so far. */
  readonly shouldContinue: (runs: number) => boolean;
}

export interface SearchResult {
  readonly runs: number;
  readonly lastSeed: number;
  readonly failed: FailedRun | undefined;
}

/** Runs all scenarios with each seed before the next seed. */
export function search(options: SearchOptions): SearchResult {
  let runs = 0;
  let seed = options.firstSeed;
  for (; options.shouldContinue(runs); seed += 1) {
    for (const scenario of options.scenarios) {
      const plan = scenario.plan(seed, options.disabledMechanisms);
      const outcome = plan.run(allEventIndexes(plan));
      runs += 1;
      if (outcome.violations.length > 0) {
        return { runs, lastSeed: seed, failed: { scenario, seed, plan, outcome } };
      }
    }
  }
  return { runs, lastSeed: seed - 1, failed: undefined };
}
