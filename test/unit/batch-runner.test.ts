/**
 * Batches with an idempotency key: which parts of the responses to the statement and to COMMIT
 * reach the caller.
 */
import { serialize } from 'pg-protocol';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { type BatchResult, runBatch } from '../../src/node/owner/batch-runner.js';
import type { BackendBatch, BackendConnection } from '../../src/postgres/contract.js';
import { commandComplete, errorResponse } from '../../src/postgres/messages.js';

const DONE = commandComplete('INSERT 0 1');
const NOTHING: Buffer = Buffer.alloc(0);
const COMMIT_ERROR = errorResponse({ severity: 'ERROR', code: '23503', message: 'deferred' });

/** A connection that answers the n-th batch with the n-th function. */
function connectionWith(answers: readonly ((batch: BackendBatch) => void)[]): BackendConnection {
  let next = 0;
  const run = (batch: BackendBatch): void => {
    const answer = answers[next];
    next += 1;
    answer?.(batch);
  };
  return { run } as unknown as BackendConnection;
}

function ready(status: 'I' | 'T', heldBack = NOTHING, errorSqlState?: string) {
  return (batch: BackendBatch): void =>
    batch.onFinished({
      type: 'ready',
      status,
      heldBack,
      errorSqlState,
      appendedQueryRows: undefined,
    });
}

function runKeyed(connection: BackendConnection): BatchResult | undefined {
  let result: BatchResult | undefined;
  runBatch({
    connection,
    batch: {
      type: 'batch',
      requires: [],
      messages: serialize.query('INSERT'),
      mayCommit: false,
      onceKey: 'key-1',
    },
    tenant: 'bureau',
    onceMode: 'autocommit',
    appendedQuery: undefined,
    onMessages: () => undefined,
    onResult: (ended) => {
      result = ended;
    },
  });
  return result;
}

test('after a successful COMMIT the response ends with the completion of the statement', () => {
  const result = runKeyed(connectionWith([ready('T'), ready('T', DONE), ready('I')]));
  assert.is(result?.type, 'ready');
  if (result?.type !== 'ready') return;
  assert.equal(result.heldBack, DONE);
  assert.is(result.errorSqlState, undefined);
});

test('after a failed COMMIT the response ends with the error of COMMIT, without the completion of the statement', () => {
  const failingCommit = (batch: BackendBatch): void => {
    batch.onMessages(COMMIT_ERROR);
    ready('I', NOTHING, '23503')(batch);
  };
  const result = runKeyed(connectionWith([ready('T'), ready('T', DONE), failingCommit]));
  assert.is(result?.type, 'ready');
  if (result?.type !== 'ready') return;
  assert.equal(result.heldBack, COMMIT_ERROR);
  assert.is(result.errorSqlState, '23503');
});

test.run();
