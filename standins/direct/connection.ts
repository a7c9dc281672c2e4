/** One client connection to a database instance: reads request lines and writes responses. */
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
  readonly #closed = new AbortController();
  #isProcessing = false;
  #isStarted = false;
  #withheldOutput = '';
  readonly #session: InstanceSession;

  constructor(
    private readonly socket: Socket,
    private readonly instance: Instance,
  ) {
    const number = instance.runLog.nextConnectionNumber();
    this.#session = new InstanceSession(instance, number, this.#closed.signal);
    const reader = new LineReader(MAX_MESSAGE_BYTES);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      const lines = reader.push(chunk);
      if (lines.isErr()) socket.destroy();
      else this.#receive(lines.value);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.#closed.abort());
    if (instance.member.isDark) socket.pause();
  }

  get #isClosed(): boolean {
    return this.#closed.signal.aborted;
  }

  /** Stops all input and output, as if the instance's host were unreachable. */
  makeUnreachable(): void {
    this.socket.pause();
  }

  /** Sends the withheld output and resumes input. */
  makeReachable(): void {
    this.socket.write(this.#withheldOutput);
    this.#withheldOutput = '';
    this.socket.resume();
  }

  /** Ends the connection with a reset. */
  reset(): void {
    this.#closed.abort();
    this.socket.resetAndDestroy();
  }

  #receive(lines: readonly string[]): void {
    this.#lines.push(...lines.map((line) => line.replace(/\r$/, '')));
    if (this.#isProcessing) return;
    this.#isProcessing = true;
    this.#processLines().finally(() => {
      this.#isProcessing = false;
    });
  }

  async #processLines(): Promise<void> {
    for (let line = this.#lines.shift(); line !== undefined; line = this.#lines.shift()) {
      if (this.#isClosed) return;
      const [word, id, text] = splitFields(line, 3);
      if (word === 'TERMINATE') this.socket.end();
      else if (!this.#isStarted) await this.#start(line);
      else if (word === 'QUERY' && id !== undefined && text !== undefined) {
        this.#respond(await this.#session.query(id, text));
      } else this.#respond({ type: 'error', code: 'MALFORMED' });
    }
  }

  #send(text: string): void {
    if (this.instance.member.isDark) this.#withheldOutput += text;
    else if (!this.socket.destroyed) this.socket.write(text);
  }

  #formatReady(): string {
    const position = this.instance.member.applied(monotonicMs());
    return `READY ${this.#session.state} ${formatPosition(position)}\r\n`;
  }

  async #start(line: string): Promise<void> {
    const [word, service, account = '', id] = splitFields(line, 4);
    const { member, options, slots } = this.instance;
    const isForThisInstance = service === options.service && (id === undefined || id === member.id);
    const refuse = (code: ErrorCode): void => {
      this.#send(`ERROR ${code} ${member.id}\r\n`);
      this.#end();
    };
    if (word !== 'START') return refuse('MALFORMED');
    if (!isForThisInstance) return refuse('MISROUTED');
    if (this.instance.connectionCount > options.maxConnections) return refuse('CONNLIMIT');
    if (!(await slots.acquire(this.#closed.signal))) return;
    await pause(options.connectMs * this.instance.faults.slowFactor);
    slots.release();
    this.#isStarted = true;
    this.#session.account = account;
    this.#send(this.#formatReady());
  }

  #respond(outcome: Outcome): void {
    if (this.#isClosed) return;
    if (outcome.type === 'gone') {
      this.reset();
      return;
    }
    const { id } = this.instance.member;
    if (outcome.type === 'error') {
      this.#send(`ERROR ${outcome.code} ${id}\r\n${this.#formatReady()}`);
      return;
    }
    const rows = outcome.rows.map((row) => `ROW ${row}\r\n`).join('');
    if (outcome.type === 'complete') {
      this.#send(`${rows}COMPLETE ${outcome.signature}\r\n${this.#formatReady()}`);
      return;
    }
    this.#send(`${rows}COMPL`);
    this.#end();
  }

  #end(): void {
    this.socket.end();
    this.#closed.abort();
  }
}
