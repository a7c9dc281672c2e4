/** A session of the gateway with an owner that the test simulates. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { TenantPolicy } from '../../src/core/configuration/model.js';
import { NotRunError, type RequestError, TransactionAbortedError } from '../../src/core/errors.js';
import { RetryBudget } from '../../src/core/retry/budget.js';
import { freshSession } from '../../src/core/session/index.js';
import { GatewaySession, SESSION_ID_PARAMETER } from '../../src/node/gateway/gateway-session.js';
import { GroupClient } from '../../src/node/gateway/group-client.js';
import type { SessionDirectory } from '../../src/node/gateway/session-directory.js';
import { encodeRequestError } from '../../src/node/owner/messages.js';
import type { PeerStream } from '../../src/peer/contract.js';
import { TcpPeerTransport } from '../../src/peer/transport.js';
import type { CallerConnection, TransactionStatus } from '../../src/postgres/contract.js';
import { handlersOf } from '../support/peer.js';

const POLICY: TenantPolicy = {
  tenant: 'salish',
  user: 'salish',
  scramVerifier: '',
  databaseRole: 'app',
  databases: [{ database: 'orders', group: 'orders', backendDatabase: 'orders' }],
  maxConnections: 1,
  maxInFlight: 1,
  maxQueued: 1,
  maxBackendConnections: 1,
  idleTransactionTimeoutMs: 30_000,
  queueWeight: 1,
  requestsPerSecond: 1,
  burst: 1,
  requestKinds: [],
  enabled: true,
  revision: 1,
};

/** What was reported to the caller at the end of one batch. */
interface BatchEnd {
  readonly error: RequestError | undefined;
  readonly status: TransactionStatus;
}

class ScriptedCaller implements CallerConnection {
  readonly id = 'caller';
  readonly policy = POLICY;
  readonly database = 'orders';
  readonly parameters = new Map([[SESSION_ID_PARAMETER, 'session']]);
  onBatch: CallerConnection['onBatch'];
  onCancel: CallerConnection['onCancel'];
  onClose: CallerConnection['onClose'];
  onDrain: CallerConnection['onDrain'];
  busy = false;
  #error: RequestError | undefined;
  #ended: ((end: BatchEnd) => void) | undefined;

  query(text: string): Promise<BatchEnd> {
    this.busy = true;
    this.#error = undefined;
    const messages = Buffer.from(text);
    const flush = false;
    return new Promise((resolve) => {
      this.#ended = resolve;
      this.onBatch?.({
        protocol: 'simple',
        statements: [text],
        requires: [],
        messages,
        endsWithFlush: flush,
      });
    });
  }

  write(): boolean {
    return true;
  }

  reportParameter(): void {}

  warn(): void {}

  terminated: RequestError | undefined;

  terminate(error: RequestError): void {
    this.terminated = error;
  }

  writeError(error: RequestError): void {
    this.#error = error;
  }

  finish(status: TransactionStatus): void {
    this.busy = false;
    this.#ended?.({ error: this.#error, status });
  }
}

/**
 * Starts a session; `answer` is called with the stream and number of each batch and responds to it.
 */
async function sessionWith(
  answer: (stream: PeerStream, batch: number) => void,
  record: SessionDirectory['record'] = async () => true,
) {
  const identity = { nodeId: 'n', incarnation: 1 };
  const client = new GroupClient({
    ownersOf: () => [{ type: 'local' }],
    transport: new TcpPeerTransport({ identity, handlers: handlersOf({}) }),
    onOwnerRefused: () => undefined,
    acceptLocal: (_header, stream) => {
      let batches = 1;
      stream.onMessage = () => {
        batches += 1;
        answer(stream, batches);
      };
      answer(stream, 1);
    },
    retryBudget: new RetryBudget({ ratio: 0.1, capacity: 1 }),
    now: () => 0,
  });
  const caller = new ScriptedCaller();
  const session = new GatewaySession(caller, {
    client,
    sessionKeys: [{ id: 'k', secret: Buffer.alloc(32, 1) }],
    directory: { lookUp: async () => freshSession(), record },
    policyOf: () => POLICY,
    zone: 'a',
    nextRequestId: () => 'r',
    metrics: { requestEnded: () => undefined },
    onClosed: () => undefined,
  });
  await session.start();
  return Object.assign(caller, { session });
}

function abort(stream: PeerStream): void {
  stream.send(encodeRequestError(new TransactionAbortedError('the connection was lost')));
  stream.end();
}

test('a BEGIN that fails opens no transaction block', async () => {
  const caller = await sessionWith((stream) => abort(stream));
  const end = await caller.query('BEGIN');
  assert.is(end.error?.outcome, 'failed');
  assert.is(end.status, 'I');
});

test('a transaction that is lost after BEGIN leaves a failed block that the caller has to end', async () => {
  const caller = await sessionWith((stream, batch) => {
    if (batch > 1) abort(stream);
    else stream.send({ type: 'batch-end', status: 'T', heldBack: Buffer.alloc(0) });
  });
  const begun = await caller.query('BEGIN');
  assert.equal(begun, { error: undefined, status: 'T' });
  const lost = await caller.query('INSERT INTO orders VALUES (1)');
  assert.is(lost.error?.outcome, 'failed');
  assert.is(lost.status, 'T');
});

test('a COMMIT that fails ends the transaction block', async () => {
  const caller = await sessionWith((stream, batch) => {
    if (batch > 1) abort(stream);
    else stream.send({ type: 'batch-end', status: 'T', heldBack: Buffer.alloc(0) });
  });
  await caller.query('BEGIN');
  const lost = await caller.query('COMMIT');
  assert.is(lost.error?.outcome, 'failed');
  assert.is(lost.status, 'I');
});

test('a session that is terminated never reports its running request as not run', async () => {
  const caller = await sessionWith(() => undefined);
  void caller.query('UPDATE orders SET state = 1');
  const revoked = new NotRunError('tenant-revoked', 'the tenant has no access any more');
  caller.session.endNow(revoked);
  assert.is(caller.terminated?.outcome, 'unknown');
  const idle = await sessionWith(() => undefined);
  idle.session.endNow(revoked);
  assert.is(idle.terminated, revoked);
});

test('a position is recorded within the remaining time of the request', async () => {
  const position = { timeline: 1, lsn: 7n };
  const remaining: number[] = [];
  const caller = await sessionWith(
    (stream) => {
      const heldBack = Buffer.alloc(0);
      stream.send({ type: 'end', status: 'I', heldBack, position, fromReplica: false });
      stream.end();
    },
    async (_tenant, _session, _entry, remainingMs) => {
      remaining.push(remainingMs);
      return false;
    },
  );
  const end = await caller.query('INSERT INTO orders VALUES (1)');
  assert.is(end.error?.outcome, 'unknown');
  assert.is(remaining.length, 1);
  assert.ok((remaining[0] ?? 0) > 0);
});

test.run();
