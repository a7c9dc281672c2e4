/** Runs scenarios over seeds until one violates something or the time is over. */
import {
  allEventIndexes,
  type Scenario,
  type ScenarioOutcome,
  type ScenarioPlan,
} from '../simulation/scenario.js';

/** A run that violated something. */
export interface FailedRun {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly plan: ScenarioPlan;
  readonly outcome: ScenarioOutcome;
}

export interface SearchOptions {
  readonly scenarios: readonly Scenario[];
  readonly firstSeed: number;
  /** Mechanisms turned off. */
  readonly without: ReadonlySet<string>;
  /** Asked before each seed. */
  readonly goesOn: (runs: number) => boolean;
}

export interface SearchResult {
  readonly runs: number;
  readonly lastSeed: number;
  readonly failed: FailedRun | undefined;
}

/** Each seed runs through all scenarios before the next one. */
export function search(options: SearchOptions): SearchResult {
  let runs = 0;
  let seed = options.firstSeed;
  for (; options.goesOn(runs); seed += 1) {
    for (const scenario of options.scenarios) {
      const plan = scenario.plan(seed, options.without);
      const outcome = plan.run(allEventIndexes(plan));
      runs += 1;
      if (outcome.violations.length > 0) {
        return { runs, lastSeed: seed, failed: { scenario, seed, plan, outcome } };
      }
    }
  }
  return { runs, lastSeed: seed - 1, failed: undefined };
}
