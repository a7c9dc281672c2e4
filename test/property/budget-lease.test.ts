/** The leased shares of an instance's connections stay within the limit in sum under any schedule of faults. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { leasableConnections } from '../../src/core/ownership/budget-lease.js';
import { BudgetNetwork, type BudgetNode } from '../support/budget-network.js';

const SEED = 20261202;
const LIMIT = 35;
const NODES = 4;

type Fault =
  | 'pause'
  | 'resume'
  | 'authority'
  | 'guess'
  | 'break'
  | 'cut'
  | 'join-again'
  | 'lossy'
  | 'slow'
  | 'fast'
  | 'want';
interface FaultStep {
  readonly fault: Fault;
  readonly node: number;
  readonly value: number;
  readonly afterMs: number;
}

const stepArbitrary: fc.Arbitrary<FaultStep> = fc.record({
  fault: fc.constantFrom<Fault>(
    'pause',
    'resume',
    'resume',
    'authority',
    'guess',
    'break',
    'break',
    'cut',
    'join-again',
    'lossy',
    'slow',
    'fast',
    'want',
    'want',
  ),
  node: fc.nat(NODES - 1),
  value: fc.nat(NODES - 1),
  afterMs: fc.integer({ min: 20, max: 2000 }),
});

function inject(network: BudgetNetwork, { fault, node: index, value }: FaultStep): void {
  const node = network.nodes[index];
  if (node === undefined) return;
  if (fault === 'pause') node.paused = true;
  else if (fault === 'resume') network.resume(node);
  else if (fault === 'break') network.breakSession(node);
  else if (fault === 'want') node.holder.setWanted(value * 10);
  else if (fault === 'cut') cutAndBreak(network, node);
  else if (fault === 'join-again') node.isCutFromInstance = false;
  else if (fault === 'lossy') network.lossFraction = value / 10;
  else if (fault === 'slow') network.maxLatencyMs = 4000;
  else if (fault === 'fast') network.maxLatencyMs = 100;
  else if (fault === 'authority') node.wantsAuthority = !node.wantsAuthority;
  else node.granterGuess = value === index ? undefined : value;
}

/** The worst case for a granter: others can take its lock, and it is not notified. */
function cutAndBreak(network: BudgetNetwork, node: BudgetNode): void {
  node.isCutFromInstance = true;
  network.breakSession(node);
}

/** All nodes try to become the granter, and send their requests to any of them. */
function startWithCompetingGranters(seed: number): BudgetNetwork {
  const network = startNetwork(seed);
  for (const node of network.nodes) {
    node.wantsAuthority = true;
    node.granterGuess = undefined;
  }
  return network;
}

function startNetwork(seed: number): BudgetNetwork {
  const network = new BudgetNetwork(seed, NODES, LIMIT);
  for (const node of network.nodes) node.holder.setWanted(LIMIT);
  const [first] = network.nodes;
  if (first !== undefined) first.wantsAuthority = true;
  return network;
}

test('the sum of shares stays within the limit under any schedule of faults', () => {
  let mostHeld = 0;
  fc.assert(
    fc.property(
      fc.integer(),
      fc.array(stepArbitrary, { minLength: 15, maxLength: 40, size: 'max' }),
      (seed, steps) => {
        const network = startWithCompetingGranters(seed);
        const leasable = leasableConnections(LIMIT, network.options);
        const check = (): void => {
          const sum = network.sumHeld();
          mostHeld = Math.max(mostHeld, sum);
          assert.ok(sum <= leasable, `${network.held().join('+')} > ${leasable}`);
        };
        network.run(8000, check);
        for (const step of steps) {
          inject(network, step);
          network.run(step.afterMs, check);
        }
      },
    ),
    { seed: SEED, numRuns: 200 },
  );
  assert.is(mostHeld, leasableConnections(LIMIT, startNetwork(0).options), 'the limit was reached');
});

test('shares are divided evenly by demand, and the remainder is used', () => {
  const network = startNetwork(SEED);
  const leasable = leasableConnections(LIMIT, network.options);
  network.run(20_000, () => undefined);
  const equalShare = Math.floor(leasable / NODES);
  for (const held of network.held()) assert.ok(held >= equalShare, network.held().join());
  for (const node of network.nodes.slice(1)) node.holder.setWanted(2);
  network.run(20_000, () => undefined);
  assert.equal(network.held(), [leasable - 2 * (NODES - 1), 2, 2, 2]);
});

test('shares survive a change of the granter', () => {
  const network = startNetwork(SEED);
  network.run(20_000, () => undefined);
  const [first, second] = network.nodes;
  if (first === undefined || second === undefined) throw new Error('no nodes');
  first.wantsAuthority = false;
  second.wantsAuthority = true;
  for (const node of network.nodes) node.granterGuess = second.index;
  network.run(20_000, () => {
    assert.ok(
      network.held().every((held) => held > 0),
      network.held().join(),
    );
  });
  assert.ok(second.granter.hasAuthority(second.clock(network.now)));
});

test('the share of a paused holder expires, and the others get it', () => {
  const network = startNetwork(SEED);
  network.run(20_000, () => undefined);
  const [, paused] = network.nodes;
  if (paused === undefined) throw new Error('no node');
  paused.paused = true;
  network.run(20_000, () => undefined);
  assert.is(paused.holder.connections(paused.clock(network.now)), 0);
  const leasable = leasableConnections(LIMIT, network.options);
  assert.ok(network.sumHeld() > leasable - NODES, network.held().join());
});

test.run();
