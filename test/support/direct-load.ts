/** Clients that keep asking a direct gateway, as the users' own do: sessions, retries of none. */
import { setTimeout as pause } from 'node:timers/promises';
import * as assert from 'uvu/assert';
import type { DirectCluster } from './direct-cluster.js';
import type { RecordedSession } from './direct-session.js';
import { type LineAnswer, LineConnectionLost } from './line-client.js';
import { seededRandom } from './random.js';
import { until } from './until.js';

const THINGS = 6;
const PAUSE_MS = 5;
const MOST_STATEMENTS = 4;
/** Part of the operations that set a value and use a prepared name. */
const VALUES_SHARE = 0.25;
const REOPEN_PAUSE_MS = 20;
/** What a gateway writes when it is told to stop. */
const STOPPING = '"event":"stopping"';
/** The only words that may come unasked: nothing is kept, and the session ends. */
const TOLD_TO_LEAVE = /^ERROR (BUSY|ABORTED) .*retry after \d+ ms$/;

export interface LoadOptions {
  readonly database: string;
  readonly gateway?: number;
  readonly seed: number;
  /** Share of operations that write. */
  readonly writes?: number;
  /** Sets values now and then, and reads by a prepared name. */
  readonly usesValues?: boolean;
  /** It rests for up to so long before each operation. */
  readonly thinkMs?: number;
  /** The longest rest between the statements of a transaction. */
  readonly transactionPauseMs?: number;
}

/** One client: its operations one after the other until it is stopped. */
export class LoadClient {
  /** Operations that succeeded, and what went wrong by error code. */
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

  /** Waits for so many more writes, single or in transactions, to succeed. */
  async moreWrites(count: number): Promise<void> {
    const wanted = this.done.writes + this.done.transactions + count;
    const { database, seed } = this.options;
    await until(
      `${count} more writes of ${database}/${seed}: ${JSON.stringify(this.errors)}`,
      () => {
        return this.done.writes + this.done.transactions >= wanted;
      },
    );
  }

  async moreReads(count: number): Promise<void> {
    const wanted = this.done.reads + count;
    await until(`${count} more reads of ${this.options.database}`, () => this.done.reads >= wanted);
  }

  /** Rejects if the client met what no client may. */
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
        this.#checkUnasked(session.client.unasked);
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

  /** Only a gateway that stops says something unasked. */
  #checkUnasked(lines: readonly string[]): void {
    if (lines.length === 0) return;
    const isStopping = this.cluster.gateways.some(({ output }) => output().includes(STOPPING));
    const wrong = lines.filter((line) => !isStopping || !TOLD_TO_LEAVE.test(line));
    if (wrong.length > 0) throw new Error(wrong.join());
  }

  /** Runs one operation; false if the session is of no use after it. */
  async #operate(session: RecordedSession): Promise<boolean> {
    this.#operation += 1;
    const thing = `k${Math.floor(this.#random() * THINGS)}`;
    const data = `v${this.options.seed}-${this.#operation}`;
    if (this.options.usesValues === true && this.#random() < VALUES_SHARE) {
      return this.#useValues(session, thing);
    }
    const writes = this.#random() < (this.options.writes ?? 0.5);
    if (this.#random() < 0.4) return this.#transaction(session, thing, data, writes);
    const answer = await (writes ? session.write(thing, data) : session.read(thing));
    if (this.#succeeded(answer)) this.done[writes ? 'writes' : 'reads'] += 1;
    return answer.state === 'I';
  }

  /** An error here ends a session, as the users' clients have it. */
  async #useValues(session: RecordedSession, thing: string): Promise<boolean> {
    const set = await session.set('tone', `t${this.#operation}`);
    if (!this.#succeeded(set)) return false;
    const shape = `q${this.options.seed}`;
    if (!this.#succeeded(await session.prepare('p1', 'read', shape))) return false;
    const answer = await session.execute('p1', thing);
    if (this.#succeeded(answer)) this.done.reads += 1;
    return this.#succeeded(await session.deallocate('p1')) && answer.state === 'I';
  }

  async #transaction(
    session: RecordedSession,
    thing: string,
    data: string,
    writes: boolean,
  ): Promise<boolean> {
    let answer = await session.begin(!writes);
    const count = 1 + Math.floor(this.#random() * MOST_STATEMENTS);
    for (let number = 0; number < count && answer.state === 'T'; number += 1) {
      await pause((this.options.transactionPauseMs ?? PAUSE_MS) * this.#random());
      answer = await (writes && number > 0 ? session.write(thing, data) : session.read(thing));
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

/** The clients of one test at one cluster. */
export class DirectLoad {
  readonly #clients: LoadClient[] = [];

  constructor(private readonly cluster: DirectCluster) {}

  add(options: LoadOptions): LoadClient {
    const client = new LoadClient(this.cluster, options);
    this.#clients.push(client);
    return client;
  }

  /** Stops all clients; what they and the instances saw must break no rule. */
  async endWithNoRuleBroken(): Promise<void> {
    await Promise.all(this.#clients.map((client) => client.stop()));
    assert.equal(await this.cluster.violations(), []);
  }

  /** For the end of a test, whatever became of it. */
  async stop(): Promise<void> {
    await Promise.allSettled(this.#clients.map((client) => client.stop()));
    await this.cluster.stop();
  }
}

function isConnectionError(error: unknown): boolean {
  if (!(error instanceof Error)) return false;
  return 'code' in error || error.message.startsWith('START');
}
