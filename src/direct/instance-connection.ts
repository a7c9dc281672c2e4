/**
 * A connection to a database instance. The instance answers messages in the order in which they were
 * written, and ends each answer with exactly one ready message.
 */
import { connect, type Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import type { StatementAnswer, StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceEntry } from './contract.js';
import { InstanceConnectError, InstanceConnectionLostError } from './errors.js';
import { LineSplitter, WIRE_ENCODING } from './line-splitter.js';
import type { InstanceMessage, StatementWire } from './wire.js';
import { timeoutAfterInput } from './within.js';

/** TCP keep-alive probes of an idle connection start after this, to detect a machine that lost power or network. */
const KEEP_ALIVE_DELAY_MS = 1000;

/** The complete answer to one message, or the error that none will come. */
export type AnswerResult = Result<StatementAnswer, InstanceConnectionLostError>;

/**
 * A connection to an instance as statements use it: this node's own, or one leased from a node that
 * owns the instance.
 */
export interface InstanceConnection {
  /** Session values that are currently set on it. */
  readonly values: Map<string, string>;
  readonly preparedNames: Set<string>;
  readonly closed: boolean;
  /** Sends one message and resolves with its complete answer. */
  exchange(message: string): Promise<AnswerResult>;
  /** Buffers messages until `uncork`, so that several are sent together. */
  cork(): void;
  uncork(): void;
  /** Closes it; the instance rolls back an open transaction. */
  close(): void;
  /** Called once when the connection has ended for any reason. */
  onClose: (() => void) | undefined;
  /**
   * Whether the instance may still run an unanswered message after `close`. On a leased connection it may:
   * the owner can forward the message before it learns of the close. A socket of this node cancels it by a reset.
   */
  readonly mayRunAfterClose: boolean;
  /** On a leased connection: the owner has sent nothing since the last message to it. */
  readonly isOwnerSilent?: boolean;
  /** Present on a leased connection: returns it to its owner; it must be idle. */
  returnToOwner?(): void;
}

interface PendingExchange {
  payload: string;
  rows: string[] | undefined;
  error: { code: StatementErrorCode; text: string } | undefined;
  readonly settle: (answer: AnswerResult) => void;
}

export interface InstanceConnectionOptions {
  readonly wire: StatementWire;
  readonly instance: InstanceEntry;
  /** The tenant that the connection serves until it is closed; undefined where callers send no keys. */
  readonly account?: string | undefined;
  readonly connectTimeoutMs: Milliseconds;
}

/** An open connection of this node; created by {@link openInstanceConnection}. */
export class SocketConnection implements InstanceConnection {
  readonly mayRunAfterClose = false;
  readonly values = new Map<string, string>();
  readonly preparedNames = new Set<string>();
  /** Time by which it was open. */
  openedAt: Milliseconds = Number.POSITIVE_INFINITY;
  /** Time at which it was last released. */
  idleSince: Milliseconds = 0;
  readonly #pending: PendingExchange[] = [];
  readonly #splitter: LineSplitter;
  #closed = false;
  onClose: (() => void) | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly wire: StatementWire,
    readonly instance: InstanceEntry,
    /** The tenant that it serves. */
    readonly account?: string | undefined,
  ) {
    this.#splitter = new LineSplitter(wire.maxMessageBytes);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', () => this.close());
    socket.on('close', () => this.close());
    socket.on('end', () => this.close());
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Messages that have no complete answer yet. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  exchange(message: string): Promise<AnswerResult> {
    return this.#send(message, undefined);
  }

  /** Like `exchange`, and also returns the texts of the rows. */
  async exchangeRows(message: string): Promise<{ answer: AnswerResult; rows: readonly string[] }> {
    const rows: string[] = [];
    const answer = await this.#send(message, rows);
    return { answer, rows };
  }

  #send(message: string, rows: string[] | undefined): Promise<AnswerResult> {
    return new Promise((settle) => {
      if (this.#closed) {
        settle(err(new InstanceConnectionLostError('closed before the statement was sent')));
        return;
      }
      this.#pending.push({ payload: '', rows, error: undefined, settle });
      this.socket.write(message, WIRE_ENCODING);
    });
  }

  cork(): void {
    this.socket.cork();
  }

  uncork(): void {
    this.socket.uncork();
  }

  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    // A reset discards unanswered messages, so that they don't run once a network partition heals.
    if (this.#pending.length > 0) this.socket.resetAndDestroy();
    else this.socket.destroy();
    const lost = new InstanceConnectionLostError('the connection to the instance ended');
    for (const exchange of this.#pending.splice(0)) exchange.settle(err(lost));
    this.onClose?.();
  }

  #receive(chunk: Buffer): void {
    for (const line of this.#splitter.push(chunk)) {
      if (this.#closed) return;
      if (line === undefined) this.close();
      else this.#handleMessage(this.wire.decodeInstanceMessage(line));
    }
  }

  #handleMessage(message: InstanceMessage): void {
    const exchange = this.#pending[0];
    if (exchange === undefined || message.type === 'malformed') {
      this.close();
      return;
    }
    switch (message.type) {
      case 'row':
        exchange.payload += message.line;
        exchange.rows?.push(message.text);
        return;
      case 'complete':
        exchange.payload += message.line;
        return;
      case 'error':
        exchange.error = { code: message.code, text: message.text };
        return;
      case 'ready':
        this.#pending.shift();
        exchange.settle(
          ok({
            payload: exchange.error === undefined ? exchange.payload : '',
            error: exchange.error,
            state: message.state,
            position: message.position,
          }),
        );
    }
  }
}

/** Opens a connection to the given instance; fails if another instance has its address. */
export function openInstanceConnection(
  options: InstanceConnectionOptions,
): Promise<Result<SocketConnection, InstanceConnectError>> {
  const { wire, instance, account, connectTimeoutMs } = options;
  return new Promise((resolve) => {
    const socket = connect({ host: instance.host, port: instance.port, noDelay: true });
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    let settled = false;
    const fail = (reason: string, answer?: StatementErrorCode, cause?: Error): void => {
      if (settled) return;
      settled = true;
      cancelTimeout();
      socket.destroy();
      resolve(err(new InstanceConnectError(`${instance.id}: ${reason}`, answer, { cause })));
    };
    const cancelTimeout = timeoutAfterInput(connectTimeoutMs, () => fail('no answer in time'));
    const splitter = new LineSplitter(wire.maxMessageBytes);
    const receive = (chunk: Buffer): void => {
      for (const line of splitter.push(chunk)) {
        const message = line === undefined ? undefined : wire.decodeInstanceMessage(line);
        if (message?.type === 'error') {
          fail('refused', message.code);
          return;
        }
        if (message?.type !== 'ready') {
          fail('unexpected message');
          return;
        }
        settled = true;
        cancelTimeout();
        socket.removeAllListeners();
        resolve(ok(new SocketConnection(socket, wire, instance, account)));
        return;
      }
    };
    socket.on('data', receive);
    socket.on('error', (error) => fail(error.message, undefined, error));
    socket.on('close', () => fail('closed'));
    socket.on('connect', () =>
      socket.write(wire.encodeStart(instance.service, instance.id, account), WIRE_ENCODING),
    );
  });
}
