/** A small scale run: it settles after each fault, no node reverts, and results are repeatable. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { FAULT_SCENARIOS, type FaultScenario } from '../../scale/faults.js';
import { type PhaseFigures, type SizeFigures, SizeRun } from '../../scale/scale-run.js';
import { VirtualClock } from '../../scale/virtual-clock.js';
import { loadHash64 } from '../../src/core/ownership/hash.js';

const NODES = 36;
/** Required maximum of control traffic per second and node; the idle run is far below it. */
const MAX_BYTES_PER_SECOND = 14_000;
const MAX_IN_FORCE_MS = 2000;
const hash = await loadHash64();

function runScale(seed: number, faults: readonly FaultScenario[] = FAULT_SCENARIOS): SizeFigures {
  return new SizeRun({
    nodes: NODES,
    tenants: 20,
    seed,
    durationMs: 15_000,
    faults,
    listReaders: 'two-a-zone',
    hash,
    log: () => undefined,
  }).run();
}

/** Omits CPU and heap figures, which differ between runs of the same seed. */
function omitMachineDependent(figures: PhaseFigures | SizeFigures): unknown {
  const { cpuCoreShare: _, cpuByRole: __, ...rest } = figures;
  return rest;
}

function omitAllMachineDependent(figures: SizeFigures): unknown {
  const { memoryBytesPerNode: _, wallSeconds: __, faults, ...rest } = figures;
  return [
    omitMachineDependent({ ...rest, faults: [], memoryBytesPerNode: 0, wallSeconds: 0 }),
    faults.map(omitMachineDependent),
  ];
}

const first = runScale(7);

test('every phase settles', () => {
  assert.ok(first.settled, 'quiet phase');
  for (const fault of first.faults) assert.ok(fault.settled, fault.name);
  assert.is(first.faults.length, FAULT_SCENARIOS.length);
});

test('no node reverts, not even one restarted during a store outage', () => {
  assert.is(first.reverts, 0);
  const storeDown = first.faults.find(({ name }) => name === 'store-down');
  assert.ok((storeDown?.membershipConvergeMs.count ?? 0) > 0, 'nodes were replaced meanwhile');
});

test('traffic and configuration delays stay within their bounds', () => {
  assert.ok(first.bytesPerSecondPerNode > 0);
  assert.ok(first.bytesPerSecondPerNode < MAX_BYTES_PER_SECOND, `${first.bytesPerSecondPerNode}`);
  assert.ok(first.configInForceMs.count > 0);
  assert.ok(first.configInForceMs.p99 < MAX_IN_FORCE_MS, `${first.configInForceMs.p99} ms`);
});

test('the loss of a node moves its groups and few others', () => {
  const moves = first.faults.map((fault) => fault.moves).filter((one) => one.memberChanges > 0);
  assert.ok(moves.length > 0);
  for (const { movesPerChange, leastMovesPerChange } of moves) {
    assert.ok(movesPerChange < 1.5 * leastMovesPerChange, `${movesPerChange} moves`);
  }
});

test('the same seed gives the same figures, another seed others', () => {
  assert.equal(omitAllMachineDependent(runScale(7)), omitAllMachineDependent(first));
  assert.is.not(runScale(8, []).bytesPerSecondPerNode, first.bytesPerSecondPerNode);
});

test('the virtual clock runs actions in order of time, then of scheduling', () => {
  const clock = new VirtualClock();
  const seen: string[] = [];
  for (const [delay, name] of [
    [5, 'e'],
    [1, 'a'],
    [3, 'c'],
    [1, 'b'],
    [3, 'd'],
    [9, 'f'],
  ] as const) {
    clock.after(delay, () => seen.push(name));
  }
  clock.runUntil(5);
  assert.equal(seen, ['a', 'b', 'c', 'd', 'e']);
  assert.is(clock.now, 5);
});

test.run();
