/** Compares the store stand-in with a model that keeps a full copy of the keys for every revision. */
import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreEngine } from '../../standins/store/engine.js';
import { isInRange } from '../../standins/store/key-space.js';
import { type Commit, type KeyRange, NO_LEASE } from '../../standins/store/model.js';

const SEED = 20261202;
const RUNS = 300;

interface ModelEntry {
  readonly value: string;
  readonly create: number;
  readonly mod: number;
  readonly version: number;
}
type Snapshot = ReadonlyMap<string, ModelEntry>;

/** A simple, slow store; the index of a snapshot is its revision, which starts at 1 as in etcd. */
class StoreModel {
  readonly snapshots: Snapshot[] = [new Map(), new Map()];

  get newest(): Snapshot {
    return this.snapshots.at(-1) ?? new Map();
  }

  put(key: string, value: string): void {
    const revision = this.snapshots.length;
    const old = this.newest.get(key);
    const next = new Map(this.newest);
    next.set(key, {
      value,
      create: old?.create ?? revision,
      mod: revision,
      version: (old?.version ?? 0) + 1,
    });
    this.snapshots.push(next);
  }

  deleteRange(range: KeyRange): void {
    const kept = [...this.newest].filter(([key]) => !isInRangeByDefinition(key, range));
    if (kept.length < this.newest.size) this.snapshots.push(new Map(kept));
  }
}

function isInRangeByDefinition(key: string, range: KeyRange): boolean {
  const bytes = Buffer.from(key, 'latin1');
  const start = Buffer.from(range.key, 'latin1');
  if (range.rangeEnd === '') return bytes.equals(start);
  const below = range.rangeEnd === '\0' || bytes.compare(Buffer.from(range.rangeEnd, 'latin1')) < 0;
  return bytes.compare(start) >= 0 && below;
}

type Step =
  | { readonly type: 'put'; readonly key: string; readonly value: string }
  | { readonly type: 'delete'; readonly range: KeyRange }
  | { readonly type: 'swap'; readonly key: string; readonly mod: number; readonly value: string }
  | { readonly type: 'compact' };

const key = fc.constantFrom('a', 'a\0', 'a/1', 'a/2', 'a0', 'b', 'é', '\xff');
const range = fc.record({ key, rangeEnd: fc.oneof(fc.constant(''), fc.constant('\0'), key) });
const value = fc.constantFrom('', 'x', 'y');
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('put' as const), key, value }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('delete' as const), range }) },
  {
    weight: 4,
    arbitrary: fc.record({ type: fc.constant('swap' as const), key, mod: fc.nat(6), value }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('compact' as const) }) },
);

function runStep(engine: StoreEngine, model: StoreModel, current: Step): void {
  if (current.type === 'put') {
    engine.put({ key: current.key, value: current.value, leaseId: NO_LEASE });
    model.put(current.key, current.value);
  } else if (current.type === 'delete') {
    engine.deleteRange(current.range);
    model.deleteRange(current.range);
  } else if (current.type === 'compact') {
    if (engine.revision > engine.compactedRevision) engine.compact(engine.revision);
  } else {
    runSwap(engine, model, current);
  }
}

function runSwap(
  engine: StoreEngine,
  model: StoreModel,
  swap: Extract<Step, { type: 'swap' }>,
): void {
  const answer = engine.transaction({
    compares: [{ key: swap.key, rangeEnd: '', target: 'MOD', result: 'EQUAL', operand: swap.mod }],
    success: [{ type: 'put', request: { key: swap.key, value: swap.value, leaseId: NO_LEASE } }],
    failure: [],
  });
  const expected = (model.newest.get(swap.key)?.mod ?? 0) === swap.mod;
  assert.is(answer.succeeded, expected);
  if (expected) model.put(swap.key, swap.value);
}

function snapshotOf(engine: StoreEngine, revision: number): unknown[] {
  return engine
    .range({ key: '\0', rangeEnd: '\0', revision, limit: 0 })
    .entries.map((entry) => [
      entry.key,
      entry.value,
      entry.createRevision,
      entry.modRevision,
      entry.version,
    ]);
}

function expectedSnapshot(model: StoreModel, revision: number): unknown[] {
  return [...(model.snapshots[revision] ?? new Map<string, ModelEntry>())]
    .sort(([left], [right]) => Buffer.from(left, 'latin1').compare(Buffer.from(right, 'latin1')))
    .map(([name, entry]) => [name, entry.value, entry.create, entry.mod, entry.version]);
}

test('every uncompacted revision equals the model', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const engine = new StoreEngine();
      const model = new StoreModel();
      for (const current of steps) runStep(engine, model, current);
      assert.is(engine.revision, model.snapshots.length - 1);
      const first = Math.max(1, engine.compactedRevision);
      for (let revision = first; revision <= engine.revision; revision += 1) {
        assert.equal(snapshotOf(engine, revision), expectedSnapshot(model, revision));
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a range has exactly the keys of its definition', () => {
  fc.assert(
    fc.property(fc.array(key), range, (keys, requested) => {
      const engine = new StoreEngine();
      for (const name of keys) engine.put({ key: name, value: '', leaseId: NO_LEASE });
      const found = engine.range({ ...requested, revision: 0, limit: 0 }).entries;
      const expected = [...new Set(keys)].filter((name) => isInRangeByDefinition(name, requested));
      assert.equal(found.map((entry) => entry.key).sort(), expected.sort());
      for (const name of keys) {
        assert.is(isInRange(name, requested), isInRangeByDefinition(name, requested));
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test('a snapshot and the events after it give the newest state, in order of revision', () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), fc.nat(30), (steps, joinAt) => {
      const engine = new StoreEngine();
      const model = new StoreModel();
      const commits: Commit[] = [];
      for (const [index, current] of steps.entries()) {
        if (index === joinAt) engine.subscribe((commit) => commits.push(commit));
        runStep(engine, model, current);
      }
      const joinRevision = commits[0]?.revision ?? engine.revision + 1;
      for (const [index, commit] of commits.entries()) {
        assert.is(commit.revision, joinRevision + index);
      }
      const replayed = new Map(
        [...(model.snapshots[joinRevision - 1] ?? [])].map(([name, entry]) => [name, entry.value]),
      );
      for (const event of commits.flatMap((commit) => commit.events)) {
        if (event.type === 'PUT') replayed.set(event.entry.key, event.entry.value);
        else replayed.delete(event.key);
      }
      const newest = [...model.newest].map(([name, entry]) => [name, entry.value]);
      assert.equal([...replayed].sort(), newest.sort());
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test.run();
