/** All scenarios. */
import { CONFIGURATION_SCENARIO } from './configuration-scenario.js';
import { FLEET_SCENARIO } from './fleet/scenario.js';
import { SESSIONS_SCENARIO } from './fleet/sessions-scenario.js';
import { GROUP_SCENARIO } from './group-scenario.js';
import type { Scenario } from './scenario.js';

export const SCENARIOS: readonly Scenario[] = [
  GROUP_SCENARIO,
  FLEET_SCENARIO,
  SESSIONS_SCENARIO,
  CONFIGURATION_SCENARIO,
];

export function findScenario(name: string): Scenario | undefined {
  return SCENARIOS.find((scenario) => scenario.name === name);
}
