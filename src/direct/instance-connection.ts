/**
 * One connection to a database instance. Exchanges are answered in the order in which they were
 * written; each has exactly one ready message at its end.
 */
import { connect, type Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import type { StatementAnswer, StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { InstanceEntry } from './contract.js';
import { InstanceConnectError, InstanceConnectionLostError } from './errors.js';
import { LineSplitter, WIRE_ENCODING } from './line-splitter.js';
import type { InstanceMessage, StatementWire } from './wire.js';
import { afterReading } from './within.js';

/** Probes of an idle connection begin after this, so that a dark machine is noticed. */
const KEEP_ALIVE_DELAY_MS = 1000;

/** The whole answer to one message, or that none will come. */
export type AnswerResult = Result<StatementAnswer, InstanceConnectionLostError>;

/**
 * A connection to an instance as statements use it: this node's own, or one that is leased from the
 * node that owns the instance.
 */
export interface InstanceConnection {
  /** Session values that are set on it now. */
  readonly values: Map<string, string>;
  readonly preparedNames: Set<string>;
  readonly closed: boolean;
  /** Sends one message and resolves with its whole answer. */
  exchange(message: string): Promise<AnswerResult>;
  /** Holds messages back until `uncork`, so that several leave together. */
  cork(): void;
  uncork(): void;
  /** Ends it; the instance rolls back what is open on it. */
  close(): void;
  /** Called once when it ended, for whatever reason. */
  onClose: (() => void) | undefined;
  /**
   * What was sent and not answered may still be handed to the instance after `close`: by an owner that
   * has not heard of it yet. A socket of this node's own takes it back with a reset.
   */
  readonly mayRunAfterClose: boolean;
  /** On a leased connection: nothing was heard of its owner since the last message was sent. */
  readonly isOwnerSilent?: boolean;
  /** Present on a leased connection: returns it, at rest, to its owner. */
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
  /** The tenant that the connection is for, to its end; undefined where callers give no keys. */
  readonly account?: string | undefined;
  readonly connectTimeoutMs: Milliseconds;
}

/** An open connection of this node's own; made by {@link openInstanceConnection}. */
export class SocketConnection implements InstanceConnection {
  readonly mayRunAfterClose = false;
  /** Session values that are set on it now. */
  readonly values = new Map<string, string>();
  readonly preparedNames = new Set<string>();
  /** When it was last given back. */
  idleSince: Milliseconds = 0;
  readonly #pending: PendingExchange[] = [];
  readonly #splitter: LineSplitter;
  #closed = false;
  /** Called once when it ended, for whatever reason. */
  onClose: (() => void) | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly wire: StatementWire,
    readonly instance: InstanceEntry,
    /** The tenant that it is for. */
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

  /** Exchanges whose answer has not come. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /** Sends one message and resolves with its whole answer. */
  exchange(message: string): Promise<AnswerResult> {
    return this.#send(message, undefined);
  }

  /** Like `exchange`, and gives the rows' texts. */
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

  /** Holds bytes back until `uncork`, so that several messages leave together. */
  cork(): void {
    this.socket.cork();
  }

  uncork(): void {
    this.socket.uncork();
  }

  close(): void {
    if (this.#closed) return;
    this.#closed = true;
    // What was sent and not answered must not run once a partition heals: a reset takes it back.
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

/** Opens a connection to exactly the instance that is named. */
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
    const cancelTimeout = afterReading(connectTimeoutMs, () => fail('no answer in time'));
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
