/**
 * Scenarios that fuzzing and tests run. A scenario draws a plan from a seed and runs it with all or
 * some of its events, so that a violation can be reduced to the events that cause it.
 */

/** Result of a run. */
export interface ScenarioOutcome {
  /** Each begins with the name of its check and a colon. */
  readonly violations: readonly string[];
  /** One line for each request or node that the violations concern. */
  readonly summaries: readonly string[];
}

/** The events of one run. */
export interface ScenarioPlan {
  /** Descriptions of faults and other events; each kind in order of time. */
  readonly events: readonly string[];
  /** Runs only the events with these indexes; the outcome depends on the indexes alone. */
  run(kept: ReadonlySet<number>): ScenarioOutcome;
}

/** A simulated system under faults. */
export interface Scenario {
  readonly name: string;
  readonly summary: string;
  /** Mechanisms that a run may disable, to check that their absence is detected. */
  readonly mechanisms: readonly string[];
  plan(seed: number, disabledMechanisms: ReadonlySet<string>): ScenarioPlan;
}

/** Name of the check that found a violation. */
export function checkNameOf(violation: string): string {
  return violation.slice(0, violation.indexOf(':'));
}

/** Indexes of all events of a plan. */
export function allEventIndexes(plan: ScenarioPlan): ReadonlySet<number> {
  return new Set(plan.events.keys());
}
