import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  confirmedAt,
  EMPTY_TOPOLOGY,
  electPrimary,
  type Topology,
  withConnectionError,
  withInstances,
  withMissedProbe,
  withPiggybackedState,
  withProbeAnswer,
} from '../../src/core/failover/topology.js';
import type { InstanceState } from '../../src/core/group/contract.js';
import { state } from '../support/group-fixtures.js';

function topologyOf(states: Record<string, InstanceState | undefined>): Topology {
  let topology = withInstances(EMPTY_TOPOLOGY, Object.keys(states));
  Object.entries(states).forEach(([name, known], index) => {
    if (known === undefined) return;
    topology = withProbeAnswer(topology, name, known, 10 * index, index + 1);
  });
  return topology;
}

test('the primary is the writable instance on the highest timeline that a majority has', () => {
  const states = { a: state(true, 5, 9), b: state(true, 6, 7), c: state(false, 6, 7) };
  assert.equal(electPrimary(topologyOf(states)), { instance: 'b', timeline: 6 });
});

test('an instance that was promoted without a majority is not the primary', () => {
  const states = { a: state(true, 5, 9), b: state(false, 5, 9), c: state(true, 6, 7) };
  assert.equal(electPrimary(topologyOf(states)), { instance: 'a', timeline: 5 });
  assert.equal(electPrimary(topologyOf(states), false), { instance: 'c', timeline: 6 });
});

test('without a majority there is no primary', () => {
  assert.is(
    electPrimary(topologyOf({ a: state(true, 5, 9), b: undefined, c: undefined })),
    undefined,
  );
});

test('a single instance is the majority of its group', () => {
  const topology = topologyOf({ a: state(true, 5, 9) });
  assert.equal(electPrimary(topology), { instance: 'a', timeline: 5 });
  assert.is(confirmedAt(topology, { instance: 'a', timeline: 5 }), Number.POSITIVE_INFINITY);
});

test('a response to an older probe does not replace a newer one', () => {
  const newer = topologyOf({ a: state(false, 6, 9) });
  const after = withProbeAnswer(newer, 'a', state(true, 5, 9), 0, 0);
  assert.is(after, newer);
});

test('a state returned with a statement raises positions and keeps the time of observation', () => {
  const topology = topologyOf({ a: state(true, 5, 9), b: state(false, 5, 9) });
  const raised = withPiggybackedState(topology, 'b', state(false, 5, 12));
  const lowered = withPiggybackedState(raised, 'b', state(false, 5, 3));
  assert.is(lowered.instances.get('b')?.state?.replayedPosition.lsn, 12n);
  assert.is(lowered.instances.get('b')?.observedAt, 10);
});

test('a majority is confirmed as of the probe that completes it', () => {
  const states = { a: state(true, 5, 9), b: state(false, 5, 9), c: state(false, 5, 9) };
  assert.is(confirmedAt(topologyOf(states), { instance: 'a', timeline: 5 }), 20);
  const moved = { ...states, c: state(false, 6, 9) };
  assert.is(confirmedAt(topologyOf(moved), { instance: 'a', timeline: 5 }), 10);
});

test('errors make an instance suspect, missed probes unreachable, a response reachable again', () => {
  let topology = withConnectionError(topologyOf({ a: state(true, 5, 9) }), 'a');
  assert.is(topology.instances.get('a')?.reachability, 'suspect');
  topology = withMissedProbe(topology, 'a', 2, false);
  assert.is(topology.instances.get('a')?.reachability, 'suspect');
  topology = withMissedProbe(topology, 'a', 2, false);
  assert.is(topology.instances.get('a')?.reachability, 'unreachable');
  topology = withProbeAnswer(topology, 'a', state(true, 5, 9), 50, 9);
  assert.is(topology.instances.get('a')?.reachability, 'reachable');
});

test.run();
