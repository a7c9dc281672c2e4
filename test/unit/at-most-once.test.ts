import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  AlreadyDoneError,
  continueOnce,
  needsConfirmation,
  type OnceAction,
  type OnceAnswer,
  OnceClaimRefusedError,
  type OnceMode,
  parseOnceClaim,
  startOnce,
} from '../../src/core/at-most-once/index.js';

const CLAIM = parseOnceClaim("o'brien", 'unlock-17')._unsafeUnwrap();
const IN_TRANSACTION: OnceAnswer = { type: 'ready', status: 'T', errorSqlState: undefined };
const COMMITTED: OnceAnswer = { type: 'ready', status: 'I', errorSqlState: undefined };
const LOST: OnceAnswer = { type: 'lost', anyBytesWritten: true };
const UNSENT: OnceAnswer = { type: 'lost', anyBytesWritten: false };

function failed(errorSqlState: string): OnceAnswer {
  return { type: 'ready', status: 'E', errorSqlState };
}

function describe(action: OnceAction): string {
  if (action.type === 'run-own') return action.text.split(' ').slice(0, 2).join(' ');
  if (action.type === 'run-caller-batch') return 'batch';
  const { result } = action;
  return result.type === 'refused' ? `${result.error.code} ${result.error.outcome}` : result.type;
}

/** All actions of an execution that receives these answers, including the initial action. */
function actionsOf(mode: OnceMode, answers: readonly OnceAnswer[]): string[] {
  let transition = startOnce(CLAIM, mode);
  const actions = [describe(transition.action)];
  for (const answer of answers) {
    assert.is.not(transition.action.type, 'finish');
    transition = continueOnce(transition.execution, answer);
    actions.push(describe(transition.action));
  }
  return actions;
}

test('the claim of the idempotency key is sent before the batch in the same transaction', () => {
  const first = startOnce(CLAIM, 'autocommit').action;
  assert.equal(first, {
    type: 'run-own',
    text: "BEGIN; INSERT INTO meadowstack_once (tenant, once_key) VALUES ('o''brien', 'unlock-17')",
  });
  const actions = actionsOf('autocommit', [IN_TRANSACTION, IN_TRANSACTION, COMMITTED]);
  assert.equal(actions, ['BEGIN; INSERT', 'batch', 'COMMIT', 'done']);
  const inside = actionsOf('in-transaction', [IN_TRANSACTION, IN_TRANSACTION]);
  assert.equal(inside, ['INSERT INTO', 'batch', 'done']);
});

test('a key that is already claimed is reported as done earlier, and the batch is never sent', () => {
  const actions = actionsOf('autocommit', [failed('23505'), COMMITTED]);
  assert.equal(actions, ['BEGIN; INSERT', 'ROLLBACK', 'MS-ALREADY-DONE done']);
  const lost = actionsOf('autocommit', [failed('23505'), LOST]);
  assert.equal(lost.at(-1), 'MS-UNKNOWN-CONNECTION-LOST unknown');
  const inside = actionsOf('in-transaction', [failed('23505')]);
  assert.equal(inside, ['INSERT INTO', 'MS-ALREADY-DONE done']);
});

test("a unique violation of the caller's own statement is returned as the database's error", () => {
  const actions = actionsOf('autocommit', [IN_TRANSACTION, failed('23505'), COMMITTED]);
  assert.equal(actions, ['BEGIN; INSERT', 'batch', 'ROLLBACK', 'database-error']);
  const lost = actionsOf('autocommit', [IN_TRANSACTION, failed('23505'), LOST]);
  assert.equal(lost.at(-1), 'database-error');
});

test('a missing table is created once, outside of any transaction', () => {
  const created = [failed('42P01'), COMMITTED, COMMITTED];
  const actions = actionsOf('autocommit', [...created, IN_TRANSACTION, IN_TRANSACTION, COMMITTED]);
  const createAndRetry = ['ROLLBACK', 'CREATE TABLE', 'BEGIN; INSERT'];
  assert.equal(actions, ['BEGIN; INSERT', ...createAndRetry, 'batch', 'COMMIT', 'done']);
  const again = actionsOf('autocommit', [...created, failed('42P01'), COMMITTED]);
  assert.equal(again.at(-1), 'MS-ONCE-CLAIM not-run');
  assert.equal(actionsOf('in-transaction', [failed('42P01')]).at(-1), 'MS-ONCE-CLAIM not-run');
});

test('the outcome after a lost connection is unknown only while COMMIT is running', () => {
  const lastAction = (mode: OnceMode, ...answers: OnceAnswer[]): string | undefined =>
    actionsOf(mode, answers).at(-1);
  const notRun = 'MS-NOT-RUN-CONNECTION-LOST-BEFORE-SEND not-run';
  const aborted = 'MS-TRANSACTION-ABORTED failed';
  assert.is(lastAction('autocommit', LOST), notRun);
  assert.is(lastAction('autocommit', IN_TRANSACTION, LOST), aborted);
  assert.is(lastAction('autocommit', IN_TRANSACTION, IN_TRANSACTION, UNSENT), aborted);
  assert.is(
    lastAction('autocommit', IN_TRANSACTION, IN_TRANSACTION, LOST),
    'MS-UNKNOWN-CONNECTION-LOST unknown',
  );
  assert.is(lastAction('in-transaction', LOST), aborted);
  assert.is(lastAction('autocommit', failed('42P01'), LOST), notRun);
});

test('a batch that ended its transaction itself, and a failed COMMIT, are not reported as done', () => {
  const ended = actionsOf('autocommit', [IN_TRANSACTION, COMMITTED]);
  assert.is(ended.at(-1), 'MS-ONCE-TRANSACTION-ENDED unknown');
  const refusedCommit: OnceAnswer = { type: 'ready', status: 'I', errorSqlState: '23503' };
  const actions = actionsOf('autocommit', [IN_TRANSACTION, IN_TRANSACTION, refusedCommit]);
  assert.is(actions.at(-1), 'database-error');
});

test('a durable commit is confirmed before it is reported', () => {
  const alreadyDone = new AlreadyDoneError('unlock-17');
  assert.ok(needsConfirmation({ type: 'done' }));
  assert.ok(needsConfirmation({ type: 'refused', error: alreadyDone }));
  assert.not(needsConfirmation({ type: 'refused', error: new OnceClaimRefusedError('42501') }));
  assert.not(needsConfirmation({ type: 'database-error' }));
});

test('keys that could break out of a literal are refused', () => {
  for (const key of ['', "a'b", 'a\\b', 'a b', 'a\u0000', 'ä', 'a'.repeat(201)]) {
    const result = parseOnceClaim('t', key);
    assert.ok(result.isErr(), key);
  }
  assert.ok(parseOnceClaim('t', 'a'.repeat(200)).isOk());
});

test.run();
