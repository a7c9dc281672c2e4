/** One connection to a database instance: lines in, answers out. */
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { LineReader } from '../../src/platform/line-reader.js';
import type { Instance } from './instance.js';
import { formatPosition } from './member.js';
import { monotonicMs } from './monotonic.js';
import { type ErrorCode, InstanceSession, type Outcome } from './session.js';
import { splitFields } from './statements.js';

const MAX_MESSAGE_BYTES = 1024 * 1024;

export class InstanceConnection {
  readonly #lines: string[] = [];
  readonly #gone = new AbortController();
  #isServing = false;
  #isStarted = false;
  #withheld = '';
  readonly #session: InstanceSession;

  constructor(
    private readonly socket: Socket,
    private readonly instance: Instance,
  ) {
    const number = instance.runLog.nextConnection();
    this.#session = new InstanceSession(instance, number, this.#gone.signal);
    const reader = new LineReader(MAX_MESSAGE_BYTES);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      const lines = reader.push(chunk);
      if (lines.isErr()) socket.destroy();
      else this.#take(lines.value);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.#gone.abort());
    if (instance.member.isDark) socket.pause();
  }

  get #isGone(): boolean {
    return this.#gone.signal.aborted;
  }

  /** Nothing gets in or out from now on. */
  darken(): void {
    this.socket.pause();
  }

  /** What was withheld goes out, and what waits comes in. */
  lighten(): void {
    this.socket.write(this.#withheld);
    this.#withheld = '';
    this.socket.resume();
  }

  /** Ends the connection with a reset. */
  reset(): void {
    this.#gone.abort();
    this.socket.resetAndDestroy();
  }

  #take(lines: readonly string[]): void {
    this.#lines.push(...lines.map((line) => line.replace(/\r$/, '')));
    if (this.#isServing) return;
    this.#isServing = true;
    this.#serveAll().finally(() => {
      this.#isServing = false;
    });
  }

  async #serveAll(): Promise<void> {
    for (let line = this.#lines.shift(); line !== undefined; line = this.#lines.shift()) {
      if (this.#isGone) return;
      const [word, id, text] = splitFields(line, 3);
      if (word === 'TERMINATE') this.socket.end();
      else if (!this.#isStarted) await this.#start(line);
      else if (word === 'QUERY' && id !== undefined && text !== undefined) {
        this.#answer(await this.#session.query(id, text));
      } else this.#answer({ type: 'error', code: 'MALFORMED' });
    }
  }

  #send(text: string): void {
    if (this.instance.member.isDark) this.#withheld += text;
    else if (!this.socket.destroyed) this.socket.write(text);
  }

  #ready(): string {
    const position = this.instance.member.applied(monotonicMs());
    return `READY ${this.#session.state} ${formatPosition(position)}\r\n`;
  }

  async #start(line: string): Promise<void> {
    const [word, service, account = '', id] = splitFields(line, 4);
    const { member, options, slots } = this.instance;
    const isRight = service === options.service && (id === undefined || id === member.id);
    const refuse = (code: ErrorCode): void => {
      this.#send(`ERROR ${code} ${member.id}\r\n`);
      this.#end();
    };
    if (word !== 'START') return refuse('MALFORMED');
    if (!isRight) return refuse('MISROUTED');
    if (this.instance.connectionCount > options.maxConnections) return refuse('CONNLIMIT');
    if (!(await slots.acquire(this.#gone.signal))) return;
    await pause(options.connectMs * this.instance.faults.slowFactor);
    slots.release();
    this.#isStarted = true;
    this.#session.account = account;
    this.#send(this.#ready());
  }

  #answer(outcome: Outcome): void {
    if (this.#isGone) return;
    if (outcome.type === 'gone') {
      this.reset();
      return;
    }
    const { id } = this.instance.member;
    if (outcome.type === 'error') {
      this.#send(`ERROR ${outcome.code} ${id}\r\n${this.#ready()}`);
      return;
    }
    const rows = outcome.rows.map((row) => `ROW ${row}\r\n`).join('');
    if (outcome.type === 'complete') {
      this.#send(`${rows}COMPLETE ${outcome.signature}\r\n${this.#ready()}`);
      return;
    }
    this.#send(`${rows}COMPL`);
    this.#end();
  }

  #end(): void {
    this.socket.end();
    this.#gone.abort();
  }
}
