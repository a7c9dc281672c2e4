/** A client of the line protocol: one connection with one request at a time. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { LineReader } from '../../src/platform/line-reader.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import { splitFields } from '../../standins/direct/statements.js';

const MAX_MESSAGE_BYTES = 1024 * 1024;
/** Outcome of a statement whose connection ended before the response. */
export const NO_ANSWER = 'no answer';

export interface LineAnswer {
  readonly rows: readonly string[];
  /** Field of `COMPLETE`; undefined if the response is an error. */
  readonly completion: string | undefined;
  readonly error: { readonly code: string; readonly text: string } | undefined;
  /** `I` idle, `T` in a transaction, `E` in a failed one; `-` if the connection ended with an error. */
  readonly state: string;
  readonly position: string;
}

/** How a connection ended while a request was pending; times are of the machine's monotonic clock. */
export interface LostAnswer {
  readonly at: number;
  /** The gateway had read the whole request. */
  readonly wasTaken: boolean;
}

/** The connection ended before the response. */
export class LineConnectionLost extends Error {
  constructor(
    message: string,
    /** Undefined without `detectsUnreadRequests`, or if nothing was sent. */
    readonly lost?: LostAnswer,
  ) {
    super(message);
  }
}

/**
 * A kernel resets a connection that is closed with unread bytes. The gateway closes within 500 ms after its
 * end of stream; if it is paused then, some 400 ms later.
 */
const RESET_WAIT_MS = 2000;

export interface LineClientOptions {
  /** Detects whether the gateway had read a request that got no response; takes `RESET_WAIT_MS`. */
  readonly detectsUnreadRequests?: boolean;
}

export class LineClient {
  /** Messages received while no request was pending. */
  readonly unsolicited: string[] = [];
  readonly closed: Promise<void>;
  isClosed = false;
  #isClosing = false;
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
    socket.on('error', () => this.#recordReset());
    if (options.detectsUnreadRequests === true) socket.on('end', () => this.#detectReset());
    socket.on('data', (chunk: Buffer) => {
      for (const line of reader.push(chunk)._unsafeUnwrap())
        this.#handleLine(line.replace(/\r$/, ''));
    });
    this.closed = new Promise<void>((resolve) => socket.once('close', () => resolve()));
    void this.closed.then(() => this.#end());
  }

  static async connect(
    host: string,
    port: number,
    options: LineClientOptions = {},
  ): Promise<LineClient> {
    const allowHalfOpen = options.detectsUnreadRequests === true;
    const socket = connect({ port, host, allowHalfOpen });
    await once(socket, 'connect');
    return new LineClient(socket, options);
  }

  /** Sends `START` with these fields. */
  start(...fields: readonly string[]): Promise<LineAnswer> {
    return this.#request(`START ${fields.join(' ')}`);
  }

  /** Rejects with LineConnectionLost if the connection ends first. */
  query(id: string, text: string): Promise<LineAnswer> {
    return this.#request(`QUERY ${id} ${text}`);
  }

  close(): void {
    if (!this.isClosed && !this.#isClosing) this.socket.end('TERMINATE\r\n');
    this.#isClosing = true;
  }

  /** Closes the connection without `TERMINATE`. */
  destroy(): void {
    this.socket.destroy();
  }

  #request(line: string): Promise<LineAnswer> {
    if (this.isClosed || this.#isClosing) return Promise.reject(new LineConnectionLost('closed'));
    return new Promise((resolve, reject) => {
      this.#rows = [];
      this.#completion = undefined;
      this.#error = undefined;
      this.#pending = { resolve, reject };
      this.socket.write(`${line}\r\n`);
    });
  }

  #handleLine(line: string): void {
    const [word, first = '', text = ''] = splitFields(line, 3);
    if (this.#pending === undefined) this.#handleUnsolicited(line);
    else if (word === 'ROW') this.#rows.push(line.slice('ROW '.length));
    else if (word === 'COMPLETE') this.#completion = first;
    else if (word === 'ERROR') this.#error = { code: first, text };
    else if (word === 'READY') this.#finish(first, text);
  }

  /** Closes the session, as the users' clients do at an unsolicited message. */
  #handleUnsolicited(line: string): void {
    this.unsolicited.push(line);
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

  /** Keeps its own side open until the gateway has closed; otherwise the reset would not arrive. */
  #detectReset(): void {
    this.isClosed = true;
    if (this.#pending === undefined || this.#error !== undefined) {
      this.socket.end();
      return;
    }
    const at = monotonicMs();
    setTimeout(() => {
      // After an end of stream, a reset is only reported by the next write; an empty one sends nothing.
      this.socket.write('', (error) => {
        this.#lost = { at, wasTaken: error === undefined || error === null };
        this.socket.destroy();
      });
    }, RESET_WAIT_MS);
  }

  #recordReset(): void {
    this.#lost ??= { at: monotonicMs(), wasTaken: false };
  }
}

/** Outcome of a statement: `done`, the error code, or `NO_ANSWER`. */
export function outcomeOf(statement: Promise<LineAnswer>): Promise<string> {
  return statement.then(
    ({ error }) => error?.code ?? 'done',
    () => NO_ANSWER,
  );
}

/** Error code of a refused session start; undefined if the session starts. */
export async function startErrorCode(port: number, database: string): Promise<string | undefined> {
  const client = await LineClient.connect('127.0.0.1', port);
  try {
    return (await client.start(database, 'probe')).error?.code;
  } finally {
    client.close();
  }
}
