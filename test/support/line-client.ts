/** A client of the line protocol: one connection, one request at a time. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { LineReader } from '../../src/platform/line-reader.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import { splitFields } from '../../standins/direct/statements.js';

const MAX_MESSAGE_BYTES = 1024 * 1024;
/** The outcome of a statement whose connection ended first. */
export const NO_ANSWER = 'no answer';

export interface LineAnswer {
  readonly rows: readonly string[];
  /** Field of `COMPLETE`; undefined if an error was answered. */
  readonly completion: string | undefined;
  readonly error: { readonly code: string; readonly text: string } | undefined;
  /** `I`, `T` or `E`; `-` if the connection ended with an error. */
  readonly state: string;
  readonly position: string;
}

/** How a connection ended while an answer was owed; times are of the machine's monotonic clock. */
export interface LostAnswer {
  readonly at: number;
  /** The other side had read the whole request. */
  readonly wasTaken: boolean;
}

/** The connection ended before the answer. */
export class LineConnectionLost extends Error {
  constructor(
    message: string,
    /** Undefined unless the client looked, or if nothing was sent. */
    readonly lost?: LostAnswer,
  ) {
    super(message);
  }
}

/**
 * A kernel that closes a connection with unread bytes resets it. The gateway closes within 500 ms of its
 * end of stream, or, if it is paused then, some 400 ms later.
 */
const RESET_WAIT_MS = 2000;

export interface LineClientOptions {
  /** Finds out whether a request without an answer was read, which takes a while. */
  readonly looksWhetherTaken?: boolean;
}

export class LineClient {
  /** Messages that came while nothing was asked. */
  readonly unasked: string[] = [];
  readonly closed: Promise<void>;
  isClosed = false;
  #isLeaving = false;
  #rows: string[] = [];
  #completion: string | undefined;
  #error: LineAnswer['error'];
  #lost: LostAnswer | undefined;
  #pending: { resolve(answer: LineAnswer): void; reject(error: Error): void } | undefined;

  private constructor(
    readonly socket: Socket,
    options: LineClientOptions,
  ) {
    const reader = new LineReader(MAX_MESSAGE_BYTES);
    socket.setNoDelay(true);
    socket.on('error', () => this.#noteReset());
    if (options.looksWhetherTaken === true) socket.on('end', () => this.#lookWhetherTaken());
    socket.on('data', (chunk: Buffer) => {
      for (const line of reader.push(chunk)._unsafeUnwrap()) this.#take(line.replace(/\r$/, ''));
    });
    this.closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
    void this.closed.then(() => this.#end());
  }

  static async connect(
    host: string,
    port: number,
    options: LineClientOptions = {},
  ): Promise<LineClient> {
    const allowHalfOpen = options.looksWhetherTaken === true;
    const socket = connect({ port, host, allowHalfOpen });
    await once(socket, 'connect');
    return new LineClient(socket, options);
  }

  /** Sends `START` with these fields. */
  start(...fields: readonly string[]): Promise<LineAnswer> {
    return this.#ask(`START ${fields.join(' ')}`);
  }

  /** Rejects with LineConnectionLost if the connection ends first. */
  query(id: string, text: string): Promise<LineAnswer> {
    return this.#ask(`QUERY ${id} ${text}`);
  }

  close(): void {
    if (!this.isClosed && !this.#isLeaving) this.socket.end('TERMINATE\r\n');
    this.#isLeaving = true;
  }

  /** Ends the connection without a word. */
  destroy(): void {
    this.socket.destroy();
  }

  #ask(line: string): Promise<LineAnswer> {
    if (this.isClosed || this.#isLeaving) return Promise.reject(new LineConnectionLost('closed'));
    return new Promise((resolve, reject) => {
      this.#rows = [];
      this.#completion = undefined;
      this.#error = undefined;
      this.#pending = { resolve, reject };
      this.socket.write(`${line}\r\n`);
    });
  }

  #take(line: string): void {
    const [word, first = '', rest = ''] = splitFields(line, 3);
    if (this.#pending === undefined) this.#leave(line);
    else if (word === 'ROW') this.#rows.push(line.slice('ROW '.length));
    else if (word === 'COMPLETE') this.#completion = first;
    else if (word === 'ERROR') this.#error = { code: first, text: rest };
    else if (word === 'READY') this.#finish(first, rest);
  }

  /** As the users' clients do at any message while nothing is asked. */
  #leave(line: string): void {
    this.unasked.push(line);
    this.close();
  }

  #finish(state: string, position: string): void {
    const answer = { rows: this.#rows, completion: this.#completion, error: this.#error };
    const pending = this.#pending;
    this.#pending = undefined;
    pending?.resolve({ ...answer, state, position });
  }

  #end(): void {
    this.isClosed = true;
    if (this.#error !== undefined) this.#finish('-', '-');
    const message = 'the connection ended before the answer';
    this.#pending?.reject(new LineConnectionLost(message, this.#lost));
    this.#pending = undefined;
  }

  /** Keeps its own side open until the other side has closed: only then is there a reset to see. */
  #lookWhetherTaken(): void {
    this.isClosed = true;
    if (this.#pending === undefined || this.#error !== undefined) {
      this.socket.end();
      return;
    }
    const at = monotonicMs();
    setTimeout(() => {
      // After an end of stream, a reset shows at the next write only; this one sends nothing.
      this.socket.write('', (error) => {
        this.#lost = { at, wasTaken: error === undefined || error === null };
        this.socket.destroy();
      });
    }, RESET_WAIT_MS);
  }

  #noteReset(): void {
    this.#lost ??= { at: monotonicMs(), wasTaken: false };
  }
}

/** The outcome of a statement: `done`, its error's code, or that the connection ended without any. */
export function outcomeOf(statement: Promise<LineAnswer>): Promise<string> {
  return statement.then(
    ({ error }) => error?.code ?? 'done',
    () => NO_ANSWER,
  );
}

/** What the start of a session is refused with; undefined if it is not. */
export async function startCode(port: number, database: string): Promise<string | undefined> {
  const client = await LineClient.connect('127.0.0.1', port);
  try {
    return (await client.start(database, 'probe')).error?.code;
  } finally {
    client.close();
  }
}
