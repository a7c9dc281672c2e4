/** Clients that send statements to a direct gateway in a loop; like the users' clients, they repeat no statement. */
import { setTimeout as pause } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import type { DirectCluster } from './direct-cluster.js';
import type { RecordedSession } from './direct-session.js';
import { type LineAnswer, LineConnectionLost } from './line-client.js';
import { seededRandom } from './random.js';
import { until } from './until.js';

const KEY_COUNT = 6;
const PAUSE_MS = 5;
const MAX_STATEMENTS = 4;
/** Fraction of the operations that set a session value and use a prepared statement. */
const SESSION_VALUES_FRACTION = 0.25;
const REOPEN_PAUSE_MS = 20;
/** Log field of a gateway that begins its graceful shutdown. */
const STOPPING_EVENT = '"event":"stopping"';
/** The only unsolicited message allowed: the gateway stops, and the session ends. */
const STOP_NOTICE = /^ERROR (BUSY|ABORTED) .*retry after \d+ ms$/;

export interface LoadOptions {
  readonly database: string;
  readonly gateway?: number;
  readonly seed: number;
  /** Fraction of the operations that write; 0.5 by default. */
  readonly writes?: number;
  /** Some operations set a session value and read by a prepared statement. */
  readonly usesValues?: boolean;
  /** Maximum pause before each operation. */
  readonly thinkMs?: number;
  /** Maximum pause between the statements of a transaction. */
  readonly transactionPauseMs?: number;
}

/** Starts two clients at each of three gateways whose operations all write. */
export function startWriters(cluster: DirectCluster): LoadClient[] {
  return [0, 1, 2, 0, 1, 2].map(
    (gateway, index) =>
      new LoadClient(cluster, { database: 'intake', gateway, seed: index + 1, writes: 1 }),
  );
}

/** A client that runs one operation after the other until it is stopped. */
export class LoadClient {
  /** Numbers of successful operations, and of errors by code. */
  readonly done = { reads: 0, writes: 0, transactions: 0 };
  readonly errors: Record<string, number> = {};
  #isStopped = false;
  #operation = 0;
  readonly #random: () => number;
  readonly #ended: Promise<void>;

  constructor(
    private readonly cluster: DirectCluster,
    private readonly options: LoadOptions,
  ) {
    this.#random = seededRandom(options.seed);
    this.#ended = this.#run();
  }

  get database(): string {
    return this.options.database;
  }

  /** Waits until `count` more writes or writing transactions have succeeded. */
  async waitForWrites(count: number): Promise<void> {
    const target = this.done.writes + this.done.transactions + count;
    const { database, seed } = this.options;
    await until(
      `${count} more writes of ${database}/${seed}: ${JSON.stringify(this.errors)}`,
      () => {
        return this.done.writes + this.done.transactions >= target;
      },
    );
  }

  async waitForReads(count: number): Promise<void> {
    const target = this.done.reads + count;
    await until(`${count} more reads of ${this.options.database}`, () => this.done.reads >= target);
  }

  /** Rejects if the client received something that is not allowed. */
  stop(): Promise<void> {
    this.#isStopped = true;
    return this.#ended;
  }

  async #run(): Promise<void> {
    let session: RecordedSession | undefined;
    while (!this.#isStopped) {
      try {
        session ??= await this.cluster.open(this.options.database, this.options.gateway);
        const { thinkMs } = this.options;
        if (thinkMs !== undefined) await pause(thinkMs * this.#random());
        const isUsable = await this.#operate(session);
        this.#checkUnsolicited(session.client.unsolicited);
        if (isUsable) continue;
        session.close();
      } catch (error) {
        const isExpected = error instanceof LineConnectionLost || isConnectionError(error);
        if (!isExpected) throw error;
        this.#count('connection');
        await pause(REOPEN_PAUSE_MS);
      }
      session = undefined;
    }
    session?.close();
  }

  /** Only a gateway that stops may send unsolicited messages. */
  #checkUnsolicited(lines: readonly string[]): void {
    if (lines.length === 0) return;
    const isStopping = this.cluster.gateways.some(({ output }) =>
      output().includes(STOPPING_EVENT),
    );
    const unexpected = lines.filter((line) => !isStopping || !STOP_NOTICE.test(line));
    if (unexpected.length > 0) throw new Error(unexpected.join());
  }

  /** Runs one operation; false if the session can't be used after it. */
  async #operate(session: RecordedSession): Promise<boolean> {
    this.#operation += 1;
    const key = `k${Math.floor(this.#random() * KEY_COUNT)}`;
    const data = `v${this.options.seed}-${this.#operation}`;
    if (this.options.usesValues === true && this.#random() < SESSION_VALUES_FRACTION) {
      return this.#useValues(session, key);
    }
    const writes = this.#random() < (this.options.writes ?? 0.5);
    if (this.#random() < 0.4) return this.#transaction(session, key, data, writes);
    const answer = await (writes ? session.write(key, data) : session.read(key));
    if (this.#succeeded(answer)) this.done[writes ? 'writes' : 'reads'] += 1;
    return answer.state === 'I';
  }

  /** An error ends the session, as in the users' clients. */
  async #useValues(session: RecordedSession, key: string): Promise<boolean> {
    const set = await session.set('tone', `t${this.#operation}`);
    if (!this.#succeeded(set)) return false;
    const shape = `q${this.options.seed}`;
    if (!this.#succeeded(await session.prepare('p1', 'read', shape))) return false;
    const answer = await session.execute('p1', key);
    if (this.#succeeded(answer)) this.done.reads += 1;
    return this.#succeeded(await session.deallocate('p1')) && answer.state === 'I';
  }

  async #transaction(
    session: RecordedSession,
    key: string,
    data: string,
    writes: boolean,
  ): Promise<boolean> {
    let answer = await session.begin(!writes);
    const count = 1 + Math.floor(this.#random() * MAX_STATEMENTS);
    for (let number = 0; number < count && answer.state === 'T'; number += 1) {
      await pause((this.options.transactionPauseMs ?? PAUSE_MS) * this.#random());
      answer = await (writes && number > 0 ? session.write(key, data) : session.read(key));
      this.#succeeded(answer);
    }
    if (answer.state === 'E') return (await session.rollback()).state === 'I';
    if (answer.state !== 'T') return answer.state === 'I' && this.#succeeded(answer);
    answer = await session.commit();
    if (this.#succeeded(answer) && writes && count > 1) this.done.transactions += 1;
    return answer.state === 'I';
  }

  #succeeded({ error }: LineAnswer): boolean {
    if (error !== undefined) this.#count(error.code);
    return error === undefined;
  }

  #count(code: string): void {
    this.errors[code] = (this.errors[code] ?? 0) + 1;
  }
}

/** The clients of one test, and their cluster. */
export class DirectLoad {
  readonly #clients: LoadClient[] = [];

  constructor(private readonly cluster: DirectCluster) {}

  add(options: LoadOptions): LoadClient {
    const client = new LoadClient(this.cluster, options);
    this.#clients.push(client);
    return client;
  }

  /** Stops all clients and asserts that the history has no violation. */
  async stopAndAssertNoViolations(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.stop()));
    assert.equal(await this.cluster.violations(), []);
  }

  /** Stops clients and cluster at the end of a test, also of a failed one. */
  async stop(): Promise<void> {
    await Promise.allSettled(this.#clients.map((client) => client.stop()));
    await this.cluster.stop();
  }
}

function isConnectionError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return 'code' in error || error.message.startsWith('START');
}
