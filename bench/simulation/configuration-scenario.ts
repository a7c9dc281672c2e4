/**
 * Scenario `configuration`: configuration agents of several nodes and one store, with publishes,
 * restarts, pauses, lost messages and store outages. Checked promise: an accepted configuration is
 * in force on every node within seconds and never reverts.
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
const STARTUP_MS = 5000;
/** Longer than a relay's lease, so that the lease of a paused relay can expire unnoticed. */
const MAX_PAUSE_MS = 30_000;
const MAX_WAIT_MS = 20_000;
const CONVERGENCE_MS = 60_000;
/** Time limit for a publish to reach every node while all nodes and the store are up. */
const MAX_PROPAGATION_MS = 5000;

export const CONFIGURATION_SCENARIO: Scenario = {
  name: 'configuration',
  summary: 'agents of several nodes: publishes, restarts, pauses, lost messages, store down',
  mechanisms: CONFIGURATION_MECHANISMS,
  plan(seed, disabledMechanisms) {
    const random = new SeededRandom(seed);
    const nodes = random.integer(2, 9);
    const steps = Array.from({ length: random.integer(3, MAX_STEPS) }, () => drawStep(random));
    const disabledConfigurationMechanisms = new Set(
      CONFIGURATION_MECHANISMS.filter((mechanism) => disabledMechanisms.has(mechanism)),
    );
    return {
      events: steps.map((step) => JSON.stringify(step)),
      run: (kept) =>
        run(
          seed,
          nodes,
          steps.filter((_, index) => kept.has(index)),
          disabledConfigurationMechanisms,
        ),
    };
  },
};

function drawStep(random: SeededRandom): Step {
  const index = random.integer(0, 8);
  switch (random.integer(0, 9)) {
    case 0:
    case 1:
    case 2:
      return { type: 'publish', names: TENANTS.filter(() => random.chance(0.4)) };
    case 3:
      return { type: 'store', down: random.chance(0.5) };
    case 4:
      return { type: 'restart', index };
    case 5:
      return { type: 'pause', index, ms: random.integer(1, MAX_PAUSE_MS) };
    case 6:
      return { type: 'loss', share: random.pick([0, 0.2, 0.9]) };
    case 7:
      return { type: 'watches', silent: random.chance(0.5) };
    default:
      return { type: 'pass', ms: random.integer(1, MAX_WAIT_MS) };
  }
}

function run(
  seed: number,
  nodes: number,
  steps: readonly Step[],
  disabledMechanisms: ReadonlySet<ConfigurationMechanism>,
): ScenarioOutcome {
  const simulation = new ConfigurationSimulation(new SeededRandom(seed).next, disabledMechanisms);
  simulation.publish('t1');
  for (let index = 0; index < nodes; index += 1) {
    simulation.add(`n${index}`, ZONES[index % ZONES.length] ?? 'a');
  }
  simulation.runUntil(STARTUP_MS);
  for (const step of steps) applyStep(simulation, step);
  const convergenceViolations = convergeAfterFaults(simulation);
  const violations = [...convergenceViolations, ...simulation.nodes.flatMap(findNodeViolations)];
  return { violations, summaries: simulation.nodes.map(summarizeNode) };
}

function applyStep(simulation: ConfigurationSimulation, step: Step): void {
  const node =
    'index' in step ? simulation.liveNodes[step.index % simulation.liveNodes.length] : undefined;
  switch (step.type) {
    case 'publish':
      if (!simulation.isStoreDown && step.names.length > 0) simulation.publish(...step.names);
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
      simulation.peerLossProbability = step.share;
      return;
    case 'watches':
      simulation.areWatchesSilent = step.silent;
      return;
    case 'pass':
      simulation.runUntil(simulation.now + step.ms);
  }
}

/** Ends all faults, then publishes once more; a node that lags in either case is a violation. */
function convergeAfterFaults(simulation: ConfigurationSimulation): string[] {
  simulation.peerLossProbability = 0;
  simulation.areWatchesSilent = false;
  simulation.setStoreDown(false);
  simulation.runUntil(simulation.now + CONVERGENCE_MS);
  const afterFaults = findOutdatedNodes(simulation);
  simulation.publish('t1');
  simulation.runUntil(simulation.now + MAX_PROPAGATION_MS);
  return [...afterFaults, ...findOutdatedNodes(simulation)];
}

function findOutdatedNodes(simulation: ConfigurationSimulation): string[] {
  const hashes = new Set(simulation.liveNodes.map(({ agent }) => agent.replica.digest().hash));
  const behind = simulation.liveNodes
    .filter(({ agent }) => agent.replica.revision !== simulation.headRevision)
    .map(({ agent, member }) => {
      const { revision } = agent.replica;
      const head = simulation.headRevision;
      return `configurationInForce: ${member.nodeId} is at revision ${revision} of ${head}`;
    });
  return hashes.size > 1 ? [...behind, 'configurationInForce: contents differ'] : behind;
}

function findNodeViolations({
  appliedRevisions,
  tornRevisions,
  member,
  readyAt,
}: SimulatedNode): string[] {
  const { nodeId } = member;
  const back = appliedRevisions.findIndex(
    (revision, index) => revision < (appliedRevisions[index - 1] ?? 0),
  );
  const violations = tornRevisions.map(
    (revision) => `neverTorn: ${nodeId} had a part of ${revision}`,
  );
  if (back >= 0) {
    violations.push(
      `neverReverts: ${nodeId} went from ${appliedRevisions[back - 1]} to ${appliedRevisions[back]}`,
    );
  }
  if (readyAt !== undefined && appliedRevisions.length === 0) {
    violations.push(`servesWithConfiguration: ${nodeId} was ready without one`);
  }
  return violations;
}

function summarizeNode({ member, isAlive, appliedRevisions, readyAt }: SimulatedNode): string {
  const processState = isAlive ? 'alive' : 'killed';
  return `${member.nodeId} (${processState}): ready at ${readyAt ?? 'no time'}, applied ${appliedRevisions.join(' ')}`;
}
