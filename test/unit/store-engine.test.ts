import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { StoreEngine } from '../../standins/store/engine.js';
import {
  type Commit,
  type Compare,
  NO_LEASE,
  type Operation,
  StoreStandinError,
} from '../../standins/store/model.js';

const put = (key: string, value: string, leaseId = NO_LEASE): Operation => ({
  type: 'put',
  request: { key, value, leaseId },
});
const remove = (key: string, rangeEnd = ''): Operation => ({
  type: 'delete-range',
  request: { key, rangeEnd },
});
const read = (key: string, rangeEnd = '', revision = 0): Operation => ({
  type: 'range',
  request: { key, rangeEnd, revision, limit: 0 },
});
const modIs = (key: string, operand: number): Compare => ({
  key,
  rangeEnd: '',
  target: 'MOD',
  result: 'EQUAL',
  operand,
});

function apply(engine: StoreEngine, ...success: Operation[]) {
  return engine.transaction({ compares: [], success, failure: [] });
}

function valuesOf(engine: StoreEngine, key: string, rangeEnd = '', revision = 0): string[] {
  return engine.range({ key, rangeEnd, revision, limit: 0 }).entries.map((entry) => entry.value);
}

function refusal(action: () => unknown): string {
  try {
    action();
  } catch (error) {
    if (error instanceof StoreStandinError) return error.status;
    throw error;
  }
  return 'none';
}

test('operations of a transaction share one revision and observe one another', () => {
  const engine = new StoreEngine();
  const answer = apply(engine, put('a', '1'), put('b', '2'), read('a', 'c'));
  assert.is(engine.revision, 2);
  const [, , range] = answer.responses;
  assert.is(range?.type === 'range' ? range.response.count : -1, 2);
  const [a, b] = engine.range({ key: 'a', rangeEnd: 'c', revision: 0, limit: 0 }).entries;
  assert.equal([a?.modRevision, b?.modRevision, a?.version], [2, 2, 1]);
});

test('a key that is created again after its deletion starts at version 1', () => {
  const engine = new StoreEngine();
  apply(engine, put('a', '1'));
  apply(engine, put('a', '2'));
  apply(engine, remove('a'));
  apply(engine, put('a', '3'));
  const [entry] = engine.range({ key: 'a', rangeEnd: '', revision: 0, limit: 0 }).entries;
  assert.equal([entry?.version, entry?.createRevision, entry?.modRevision], [1, 5, 5]);
  assert.equal(valuesOf(engine, 'a', '', 3), ['2']);
  assert.equal(valuesOf(engine, 'a', '', 4), []);
});

test('a deletion that matches no key does not change the revision', () => {
  const engine = new StoreEngine();
  apply(engine, remove('a', 'z'));
  assert.is(engine.revision, 1);
});

test('comparisons of each target and result select the branch', () => {
  const engine = new StoreEngine();
  apply(engine, put('a', 'x'));
  apply(engine, put('a', 'y'));
  const holds = (compare: Omit<Compare, 'key' | 'rangeEnd'>, key = 'a'): boolean => {
    const compares = [{ key, rangeEnd: '', ...compare }];
    return engine.transaction({ compares, success: [], failure: [] }).succeeded;
  };
  assert.ok(holds({ target: 'MOD', result: 'EQUAL', operand: 3 }));
  assert.not(holds({ target: 'MOD', result: 'LESS', operand: 3 }));
  assert.ok(holds({ target: 'CREATE', result: 'LESS', operand: 3 }));
  assert.ok(holds({ target: 'VERSION', result: 'GREATER', operand: 1 }));
  assert.ok(holds({ target: 'VALUE', result: 'EQUAL', operand: 'y' }));
  assert.ok(holds({ target: 'VALUE', result: 'NOT_EQUAL', operand: 'x' }));
  assert.ok(holds({ target: 'VERSION', result: 'EQUAL', operand: 0 }, 'absent'));
  assert.not(holds({ target: 'VALUE', result: 'EQUAL', operand: '' }, 'absent'));
});

test('of two compare-and-swaps on one revision only the first succeeds', () => {
  const engine = new StoreEngine();
  const swap = (value: string) =>
    engine.transaction({
      compares: [modIs('a', 0)],
      success: [put('a', value)],
      failure: [read('a')],
    });
  assert.ok(swap('first').succeeded);
  assert.not(swap('second').succeeded);
  assert.equal(valuesOf(engine, 'a'), ['first']);
});

test('a refused transaction changes nothing', () => {
  const engine = new StoreEngine();
  assert.is(
    refusal(() => apply(engine, put('a', '1'), put('a', '2'))),
    'INVALID_ARGUMENT',
  );
  assert.is(
    refusal(() => apply(engine, put('a', '1'), remove('a', 'b'))),
    'INVALID_ARGUMENT',
  );
  assert.is(
    refusal(() => apply(engine, put('a', '1'), put('b', '2', '77'))),
    'NOT_FOUND',
  );
  assert.is(
    refusal(() => apply(engine, put('a', '1'), read('a', '', 99))),
    'OUT_OF_RANGE',
  );
  assert.is(engine.revision, 1);
  assert.equal(valuesOf(engine, 'a'), []);
});

test('an expired lease deletes its keys in one revision, except those that were written again without it', () => {
  const engine = new StoreEngine();
  const lease = engine.grantLease(NO_LEASE, 5, 0);
  apply(engine, put('a', '1', lease), put('b', '1', lease), put('c', '1', lease));
  apply(engine, put('c', '2'));
  const commits: Commit[] = [];
  engine.subscribe((commit) => commits.push(commit));
  assert.is(engine.keepLeaseAlive(lease, 4000), 5);
  assert.equal(engine.expireLeases(8999), []);
  assert.equal(engine.expireLeases(9000), [lease]);
  assert.is(commits.length, 1);
  assert.equal(
    commits[0]?.events.map((event) => (event.type === 'DELETE' ? event.key : 'put')),
    ['a', 'b'],
  );
  assert.equal(valuesOf(engine, 'a', 'z'), ['2']);
  assert.is(engine.keepLeaseAlive(lease, 9001), 0);
});

test('compaction drops history but no live key, and earlier revisions can no longer be read', () => {
  const engine = new StoreEngine();
  apply(engine, put('a', '1'));
  apply(engine, put('a', '2'));
  apply(engine, put('b', '1'));
  apply(engine, remove('b'));
  engine.compact(5);
  assert.equal(valuesOf(engine, 'a', 'z'), ['2']);
  assert.equal(valuesOf(engine, 'a', 'z', 5), ['2']);
  assert.is(
    refusal(() => valuesOf(engine, 'a', '', 4)),
    'OUT_OF_RANGE',
  );
  assert.is(
    refusal(() => engine.commitsFrom(4)),
    'OUT_OF_RANGE',
  );
  assert.is(engine.commitsFrom(5).length, 1);
  assert.is(
    refusal(() => engine.compact(5)),
    'OUT_OF_RANGE',
  );
  assert.is(
    refusal(() => engine.compact(6)),
    'OUT_OF_RANGE',
  );
});

test.run();
