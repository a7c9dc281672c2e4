/**
 * What the fuzz and the tests run: a scenario draws a plan from a seed and runs it, whole or
 * without some of its events, so that a violation can be told with the few events that it needs.
 */

/** What a run found. */
export interface ScenarioOutcome {
  /** Each starts with the name of its check and a colon. */
  readonly violations: readonly string[];
  /** What became of the requests that the violations name, one line each. */
  readonly account: readonly string[];
}

/** What is going to happen in one run. */
export interface ScenarioPlan {
  /** Faults and other events in order of time, in words. */
  readonly events: readonly string[];
  /** Runs with the events of these indices only; the same indices give the same outcome. */
  run(kept: ReadonlySet<number>): ScenarioOutcome;
}

/** A simulated system under faults. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** Mechanisms that a run may turn off, for the mutation checks. */
  readonly mechanisms: readonly string[];
  plan(seed: number, without: ReadonlySet<string>): ScenarioPlan;
}

/** Name of the check that found a violation. */
export function checkOf(violation: string): string {
  return violation.slice(0, violation.indexOf(':'));
}

/** All events of a plan. */
export function allEventsOf(plan: ScenarioPlan): ReadonlySet<number> {
  return new Set(plan.events.keys());
}
