/** When a transaction is opened at its instance, and what becomes of it there. */
import { createServer, type Server } from 'node:net';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { AnnouncedPrimaryView } from '../../../src/direct/announced-primary-view.js';
import type { InstanceEntry, RouteDescription } from '../../../src/direct/contract.js';
import { ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { StatementRunner } from '../../../src/direct/statement-runner.js';
import { Transaction, type TransactionRequest } from '../../../src/direct/transaction.js';
import { TrustProver } from '../../../src/direct/trust-prover.js';
import { until } from '../../support/until.js';

const DEADLINE_MS = 30_000;
const ROUTE: RouteDescription = {
  name: 'route-1',
  database: 'orders',
  service: 'db-1',
  consistency: 'primary',
  maxStalenessMs: 0,
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: DEADLINE_MS,
  priority: 1,
};

/** An instance that answers everything, and notes what it is told. */
class ScriptedInstance {
  readonly received: string[] = [];
  refusedBegins = 0;
  readonly #server: Server;
  #state = 'I';

  constructor() {
    this.#server = createServer((socket) => {
      socket.on('data', (chunk) => {
        for (const line of chunk.toString().split('\r\n')) {
          if (line !== '') socket.write(this.#answer(line));
        }
      });
      socket.on('error', () => socket.destroy());
    });
  }

  async listen(): Promise<InstanceEntry> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const address = this.#server.address();
    const port = typeof address === 'object' && address !== null ? address.port : 0;
    const place = { host: '127.0.0.1', port, zone: 'a', slots: 1 };
    return { id: 'i-1', service: 'db-1', draining: false, role: 'primary', ...place };
  }

  close(): void {
    this.#server.close();
  }

  count(text: string): number {
    return this.received.filter((line) => line.includes(text)).length;
  }

  #answer(line: string): string {
    this.received.push(line);
    if (line.includes('BEGIN') && this.refusedBegins > 0) {
      this.refusedBegins -= 1;
      return 'ERROR READONLY i-1\r\nREADY I 1.1\r\n';
    }
    if (line.includes('BEGIN')) this.#state = 'T';
    if (line.includes('ROLLBACK') || line.includes('COMMIT')) this.#state = 'I';
    const completion = line.startsWith('START') ? '' : 'COMPLETE -\r\n';
    return `${completion}READY ${this.#state} 1.1\r\n`;
  }
}

interface Scene {
  readonly instance: ScriptedInstance;
  readonly service: ServiceRuntime;
  readonly transaction: Transaction;
  request(text: string): TransactionRequest;
}

/** A transaction of a service with one instance, to which one connection is at rest. */
async function withTransaction(act: (scene: Scene) => Promise<void>): Promise<void> {
  const now = () => performance.now();
  const random = () => 0.5;
  const instance = new ScriptedInstance();
  const entry = await instance.listen();
  const view = new AnnouncedPrimaryView();
  view.noteInstances(new Map([[entry.id, entry]]));
  const counters = { connectionsOpened: 0, connectFailures: 0, waitTimeouts: 0 };
  const limits = { connectTimeoutMs: DEADLINE_MS, reconnectDelayMs: 1 };
  const service = new ServiceRuntime('db-1', {
    ...{ zone: 'a', nodeCount: 1, drainTimeoutMs: DEADLINE_MS, view, isStoreWell: () => true, now },
    ownership: { roster: undefined, ownershipOf: () => undefined },
    pool: { wire: lineWire, ...limits, now, random, counters },
  });
  service.setMaxConnections(6);
  service.setInstances([entry]);
  const prover = new TrustProver({
    wire: lineWire,
    now,
    counters: { proofRounds: 0, proofsFailed: 0 },
    confirmPrimary: async () => false,
  });
  const runner = new StatementRunner({ wire: lineWire, view, prover, now, random });
  const request = (text: string): TransactionRequest => ({
    session: { values: new Map(), lastWritten: undefined },
    beganAt: now(),
    deadline: now() + DEADLINE_MS,
    access: 'read',
    prepared: undefined,
    encode: () => lineWire.encodeStatement('id-1', text, undefined),
  });
  const first = await runner.run({ ...request('READ a'), route: ROUTE, service });
  assert.is(first.type, 'answered');
  const transaction = new Transaction(false, ROUTE, service, runner);
  try {
    await act({ instance, service, transaction, request });
  } finally {
    transaction.abandon();
    service.close();
    instance.close();
  }
}

test('a transaction is open before its first statement comes, which then uses it', () =>
  withTransaction(async ({ instance, transaction, request }) => {
    transaction.openAhead(request('BEGIN'));
    await until('BEGIN', () => instance.count('BEGIN') === 1);
    assert.is(instance.count('READ b'), 0);
    assert.is((await transaction.run(request('READ b'))).type, 'answered');
    assert.is((await transaction.commit(request('COMMIT'))).type, 'answered');
    assert.is(instance.count('BEGIN'), 1);
    assert.equal(instance.received.slice(-3), [
      'QUERY - BEGIN',
      'QUERY id-1 READ b',
      'QUERY id-1 COMMIT',
    ]);
  }));

test('a transaction that rests gives its connection back, and is opened again', () =>
  withTransaction(async ({ instance, transaction, request }) => {
    transaction.openAhead(request('BEGIN'));
    await until('ROLLBACK', () => instance.count('ROLLBACK') === 1);
    assert.is((await transaction.run(request('READ b'))).type, 'answered');
    assert.equal(instance.received.slice(-2), ['QUERY - BEGIN', 'QUERY id-1 READ b']);
    transaction.abandon();
    await until('a second ROLLBACK', () => instance.count('ROLLBACK') === 2);
  }));

test('a transaction whose caller leaves before its first statement is rolled back', () =>
  withTransaction(async ({ instance, transaction, request }) => {
    transaction.openAhead(request('BEGIN'));
    transaction.abandon();
    await until('ROLLBACK', () => instance.count('ROLLBACK') === 1);
    assert.is(instance.count('BEGIN'), 1);
  }));

test('a refusal ahead of the first statement is not told', () =>
  withTransaction(async ({ instance, transaction, request }) => {
    instance.refusedBegins = 1;
    transaction.openAhead(request('BEGIN'));
    await until('BEGIN', () => instance.count('BEGIN') === 1);
    assert.is((await transaction.run(request('READ b'))).type, 'answered');
    assert.is(instance.count('BEGIN'), 2);
  }));

test('nobody waits for a connection because of what may be opened ahead', () =>
  withTransaction(async ({ instance, service, transaction, request }) => {
    const [member] = service.members();
    const taken = await member?.pool.acquire({
      ...{ tenant: 'other', priority: 1, values: new Map(), deadline: DEADLINE_MS },
    });
    transaction.openAhead(request('BEGIN'));
    assert.is(member?.pool.waiting, 0);
    assert.is(instance.count('BEGIN'), 0);
    if (taken?.isOk() === true) member?.pool.release(taken.value);
  }));

test.run();
