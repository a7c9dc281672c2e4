/**
 * Scenario `configuration`: agents of several nodes around a store, with publishes, restarts,
 * pauses, lost messages and a store that is down. Promise: what was accepted is in force
 * everywhere within seconds and never reverts.
 */
import {
  CONFIGURATION_MECHANISMS,
  type ConfigurationMechanism,
} from '../../src/core/configuration/mechanisms.js';
import { ConfigurationSimulation, type SimulatedNode } from './configuration.js';
import { SeededRandom } from './random.js';
import type { Scenario, ScenarioOutcome } from './scenario.js';

type Step =
  | { readonly type: 'publish'; readonly names: readonly string[] }
  | { readonly type: 'store'; readonly down: boolean }
  | { readonly type: 'restart'; readonly index: number }
  | { readonly type: 'pause'; readonly index: number; readonly ms: number }
  | { readonly type: 'loss'; readonly share: number }
  | { readonly type: 'watches'; readonly silent: boolean }
  | { readonly type: 'pass'; readonly ms: number };

const ZONES = ['a', 'b', 'c'];
const TENANTS = ['t1', 't2', 't3', 't4'];
const MAX_STEPS = 25;
const START_MS = 5000;
/** Longer than a relay's lease at times: the holder is paused and unaware. */
const MAX_PAUSE_MS = 30_000;
const MAX_PASS_MS = 20_000;
const CONVERGENCE_MS = 60_000;
/** "Within seconds", with every node and the store up. */
const IN_FORCE_MS = 5000;

export const CONFIGURATION_SCENARIO: Scenario = {
  name: 'configuration',
  summary: 'agents of several nodes: publishes, restarts, pauses, lost messages, store down',
  mechanisms: CONFIGURATION_MECHANISMS,
  plan(seed, without) {
    const random = new SeededRandom(seed);
    const nodes = random.whole(2, 9);
    const steps = Array.from({ length: random.whole(3, MAX_STEPS) }, () => drawStep(random));
    const off = new Set(CONFIGURATION_MECHANISMS.filter((mechanism) => without.has(mechanism)));
    return {
      events: steps.map((step) => JSON.stringify(step)),
      run: (kept) =>
        run(
          seed,
          nodes,
          steps.filter((_, index) => kept.has(index)),
          off,
        ),
    };
  },
};

function drawStep(random: SeededRandom): Step {
  const index = random.whole(0, 8);
  switch (random.whole(0, 9)) {
    case 0:
    case 1:
    case 2:
      return { type: 'publish', names: TENANTS.filter(() => random.chance(0.4)) };
    case 3:
      return { type: 'store', down: random.chance(0.5) };
    case 4:
      return { type: 'restart', index };
    case 5:
      return { type: 'pause', index, ms: random.whole(1, MAX_PAUSE_MS) };
    case 6:
      return { type: 'loss', share: random.pick([0, 0.2, 0.9]) };
    case 7:
      return { type: 'watches', silent: random.chance(0.5) };
    default:
      return { type: 'pass', ms: random.whole(1, MAX_PASS_MS) };
  }
}

function run(
  seed: number,
  nodes: number,
  steps: readonly Step[],
  without: ReadonlySet<ConfigurationMechanism>,
): ScenarioOutcome {
  const simulation = new ConfigurationSimulation(new SeededRandom(seed).next, without);
  simulation.publish('t1');
  for (let index = 0; index < nodes; index += 1) {
    simulation.add(`n${index}`, ZONES[index % ZONES.length] ?? 'a');
  }
  simulation.runUntil(START_MS);
  for (const step of steps) carryOut(simulation, step);
  const late = endFaults(simulation);
  const violations = [...late, ...simulation.nodes.flatMap(violationsOfNode)];
  return { violations, account: simulation.nodes.map(accountOf) };
}

function carryOut(simulation: ConfigurationSimulation, step: Step): void {
  const node = 'index' in step ? simulation.live[step.index % simulation.live.length] : undefined;
  switch (step.type) {
    case 'publish':
      if (!simulation.storeDown && step.names.length > 0) simulation.publish(...step.names);
      return;
    case 'store':
      simulation.setStoreDown(step.down);
      return;
    case 'restart':
      if (node === undefined) return;
      simulation.kill(node);
      simulation.add(node.member.nodeId, node.member.zone);
      return;
    case 'pause':
      if (node !== undefined) node.pausedUntil = simulation.now + step.ms;
      return;
    case 'loss':
      simulation.lossShare = step.share;
      return;
    case 'watches':
      simulation.watchesSilent = step.silent;
      return;
    case 'pass':
      simulation.runUntil(simulation.now + step.ms);
  }
}

/** Heals everything, then publishes once more; what is not in force in time is a violation. */
function endFaults(simulation: ConfigurationSimulation): string[] {
  simulation.lossShare = 0;
  simulation.watchesSilent = false;
  simulation.setStoreDown(false);
  simulation.runUntil(simulation.now + CONVERGENCE_MS);
  const afterFaults = notInForce(simulation);
  simulation.publish('t1');
  simulation.runUntil(simulation.now + IN_FORCE_MS);
  return [...afterFaults, ...notInForce(simulation)];
}

function notInForce(simulation: ConfigurationSimulation): string[] {
  const hashes = new Set(simulation.live.map(({ agent }) => agent.replica.digest().hash));
  const behind = simulation.live
    .filter(({ agent }) => agent.replica.revision !== simulation.headRevision)
    .map(({ agent, member }) => {
      const { revision } = agent.replica;
      const head = simulation.headRevision;
      return `configurationInForce: ${member.nodeId} is at revision ${revision} of ${head}`;
    });
  return hashes.size > 1 ? [...behind, 'configurationInForce: contents differ'] : behind;
}

function violationsOfNode({ applied, torn, member, readyAt }: SimulatedNode): string[] {
  const { nodeId } = member;
  const back = applied.findIndex((revision, index) => revision < (applied[index - 1] ?? 0));
  const violations = torn.map((revision) => `neverTorn: ${nodeId} had a part of ${revision}`);
  if (back >= 0) {
    violations.push(`neverReverts: ${nodeId} went from ${applied[back - 1]} to ${applied[back]}`);
  }
  if (readyAt !== undefined && applied.length === 0) {
    violations.push(`servesWithConfiguration: ${nodeId} was ready without one`);
  }
  return violations;
}

function accountOf({ member, alive, applied, readyAt }: SimulatedNode): string {
  const life = alive ? 'alive' : 'killed';
  return `${member.nodeId} (${life}): ready at ${readyAt ?? 'no time'}, applied ${applied.join(' ')}`;
}
