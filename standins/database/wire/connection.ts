/** One client connection: startup, authentication, then messages in order. */
import { randomInt } from 'node:crypto';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { type SecureContext, TLSSocket } from 'node:tls';
import { MeadowstackError } from '../../../src/core/errors.js';
import { ServerError, ServerSqlState, type ServerSqlStateCode } from '../errors.js';
import { Session, type SessionOptions } from '../session/session.js';
import * as backend from './backend.js';
import {
  type FrontendMessage,
  FrontendReader,
  protocolViolationError,
  readBind,
  readExecute,
  readParse,
  readStartupParameters,
  readTarget,
  readText,
  StartupCode,
  type StartupMessage,
} from './frontend.js';
import { Output } from './output.js';
import { SCRAM_MECHANISM, ScramExchange, type ScramVerifier } from './scram.js';

/** Reading from the client pauses while more unprocessed input than this is buffered. */
const MAX_BUFFERED_INPUT_BYTES = 1024 * 1024;
const SECRET_KEY_LIMIT = 2 ** 31 - 1;

/** Thrown by a commit if a fault destroys the connection without a response. */
export class ConnectionCrashSignal extends MeadowstackError {
  readonly code = 'MS-STANDIN-CONNECTION-CRASH';

  constructor() {
    super('the connection is destroyed by a fault');
  }
}

export interface ConnectionHost {
  readonly session: Omit<SessionOptions, 'output' | 'startupParameters' | 'signal' | 'functions'>;
  readonly functions: Omit<SessionOptions['functions'], 'backendPid' | 'userName' | 'databaseName'>;
  readonly secureContext: SecureContext | undefined;
  /** Undefined: trust authentication. */
  readonly verifier: ScramVerifier | undefined;
  /** Returns the error for a role that may not log in, otherwise undefined. */
  checkRole(name: string): ServerError | undefined;
  connectionDelayMs(): number;
  /** Counts the connection from now on. @throws ServerError 53300 if there are too many. */
  register(connection: Connection): void;
  unregister(connection: Connection): void;
  cancel(processId: number, secretKey: number): void;
}

type Phase = 'startup' | 'password' | 'ready' | 'closed';

export class Connection {
  readonly secretKey = randomInt(1, SECRET_KEY_LIMIT);
  session: Session | undefined;
  private phase: Phase = 'startup';
  private readonly reader = new FrontendReader();
  private stream: Socket;
  private output: Output;
  private abort = new AbortController();
  private isProcessing = false;
  private isSkippingToSync = false;
  private scram: ScramExchange | undefined;
  private isScramStarted = false;
  private parameters: ReadonlyMap<string, string> = new Map();

  constructor(
    readonly processId: number,
    socket: Socket,
    private readonly host: ConnectionHost,
  ) {
    this.stream = socket;
    this.output = new Output(socket);
    socket.setNoDelay(true);
    this.attach(socket);
  }

  get userName(): string {
    return this.parameters.get('user') ?? '';
  }

  get bufferedBytes(): number {
    return this.output.bufferedBytes;
  }

  private attach(stream: Socket): void {
    this.stream = stream;
    this.output = new Output(stream);
    stream.on('data', (chunk: Buffer) => this.onData(chunk));
    stream.on('error', () => stream.destroy());
    stream.on('end', () => this.handleDisconnect());
    stream.on('close', () => this.handleDisconnect());
  }

  private onData(chunk: Buffer): void {
    this.reader.push(chunk);
    if (this.reader.buffered > MAX_BUFFERED_INPUT_BYTES) this.stream.pause();
    if (!this.isProcessing) void this.processMessages();
  }

  private handleDisconnect(): void {
    if (this.phase === 'closed') return;
    this.phase = 'closed';
    this.abort.abort(new ServerError(ServerSqlState.ADMIN_SHUTDOWN, 'connection lost'));
    this.session?.block.rollback();
    this.host.unregister(this);
    this.stream.destroy();
  }

  /** Cancels the running statement, if any, with 57014. */
  cancel(reason: string): void {
    if (!this.isProcessing) return;
    this.abort.abort(new ServerError(ServerSqlState.QUERY_CANCELED, reason));
  }

  /** Ends the connection with a FATAL error; its transaction is rolled back at once. */
  terminate(reason: string): void {
    const message = `terminating connection due to administrator command: ${reason}`;
    this.endWithError(new ServerError(ServerSqlState.ADMIN_SHUTDOWN, message));
  }

  private endWithError(error: ServerError): void {
    if (this.phase === 'closed') return;
    this.phase = 'closed';
    this.abort.abort(error);
    this.session?.block.rollback();
    this.host.unregister(this);
    this.output.discard();
    this.output.add(backend.errorResponse(fieldsOf(error, 'FATAL')));
    void this.output.flush();
    this.stream.end();
    // A client that does not read must not keep the socket open.
    this.stream.setTimeout(1_000, () => this.stream.destroy());
  }

  private async processMessages(): Promise<void> {
    this.isProcessing = true;
    try {
      for (let more: boolean | Promise<boolean> = true; more; ) {
        // Most messages are handled synchronously: awaiting each would cost a microtask turn.
        more = this.processNextMessage();
        if (typeof more !== 'boolean') more = await more;
      }
    } catch (error) {
      this.onFailure(error);
    } finally {
      this.isProcessing = false;
      if (this.phase !== 'closed') this.stream.resume();
    }
  }

  private onFailure(error: unknown): void {
    if (error instanceof ConnectionCrashSignal) {
      this.output.discard();
      this.stream.destroy();
      this.handleDisconnect();
      return;
    }
    this.endWithError(toServerError(error));
  }

  /** Processes one message; false if no complete one is buffered. */
  private processNextMessage(): boolean | Promise<boolean> {
    if (this.phase === 'closed') return false;
    if (this.phase === 'startup') {
      const startup = this.reader.nextStartup();
      return startup === undefined ? false : this.onStartup(startup).then(() => true);
    }
    const message = this.reader.next();
    if (message === undefined) return false;
    if (this.phase === 'password') return this.onPassword(message).then(() => true);
    const handled = this.onMessage(message);
    return handled === undefined ? true : handled.then(() => true);
  }

  private async onStartup({ code, body }: StartupMessage): Promise<void> {
    if (code === StartupCode.SSL_REQUEST) return this.onSslRequest();
    if (code === StartupCode.GSS_ENCRYPTION_REQUEST) {
      this.stream.write('N');
      return;
    }
    if (code === StartupCode.CANCEL_REQUEST) {
      this.host.cancel(body.readInt32BE(0), body.readInt32BE(4));
      this.stream.end();
      return;
    }
    if (code >>> 16 !== 3) throw protocolViolationError('protocol version');
    this.parameters = readStartupParameters(body);
    this.host.register(this);
    if (code !== StartupCode.PROTOCOL_3) this.output.add(backend.negotiateProtocolVersion());
    const refusal = this.host.checkRole(this.userName);
    if (refusal !== undefined) throw refusal;
    await this.authenticate();
  }

  private onSslRequest(): void {
    const { secureContext } = this.host;
    this.stream.write(secureContext === undefined ? 'N' : 'S');
    if (secureContext === undefined) return;
    const plain = this.stream;
    plain.removeAllListeners('data');
    plain.removeAllListeners('end');
    this.attach(new TLSSocket(plain, { isServer: true, secureContext }));
  }

  private async authenticate(): Promise<void> {
    const { verifier } = this.host;
    if (verifier === undefined) return this.completeLogin();
    this.scram = new ScramExchange(verifier);
    this.output.add(backend.authenticationSasl(SCRAM_MECHANISM));
    this.phase = 'password';
    await this.output.flush();
  }

  private async onPassword(message: FrontendMessage): Promise<void> {
    const { scram } = this;
    if (message.type !== 'p' || scram === undefined)
      throw protocolViolationError('password message');
    if (!this.isScramStarted) {
      this.isScramStarted = true;
      const mechanism = readText(message.body.subarray(0, message.body.indexOf(0) + 1));
      if (mechanism !== SCRAM_MECHANISM) throw protocolViolationError('SASL mechanism');
      const data = message.body.subarray(mechanism.length + 5).toString('utf8');
      this.output.add(backend.authenticationSaslContinue(scram.first(data)));
      await this.output.flush();
      return;
    }
    this.output.add(backend.authenticationSaslFinal(scram.final(message.body.toString('utf8'))));
    await this.completeLogin();
  }

  private async completeLogin(): Promise<void> {
    const delayMs = this.host.connectionDelayMs();
    if (delayMs > 0) await delay(delayMs);
    if (this.phase === 'closed') return;
    const { parameters, processId } = this;
    const user = this.userName;
    this.session = new Session({
      ...this.host.session,
      functions: {
        ...this.host.functions,
        backendPid: () => processId,
        userName: () => user,
        databaseName: () => parameters.get('database') ?? user,
      },
      output: this.output,
      startupParameters: parameters,
      signal: () => this.abort.signal,
    });
    this.session.onStatementTimeout = () =>
      this.cancel('canceling statement due to statement timeout');
    this.phase = 'ready';
    this.output.add(backend.authenticationOk());
    this.session.settings.reportAll();
    this.output.add(backend.backendKeyData(processId, this.secretKey));
    await this.sendReady(this.session);
  }

  private sendReady(session: Session): Promise<void> | undefined {
    if (this.abort.signal.aborted && this.phase !== 'closed') this.abort = new AbortController();
    this.output.add(backend.readyForQuery(session.block.status));
    return this.output.flush();
  }

  private onMessage(message: FrontendMessage): Promise<void> | undefined {
    const { session } = this;
    if (session === undefined) return undefined;
    if (message.type === 'X') {
      this.stream.end();
      this.handleDisconnect();
      return undefined;
    }
    if (this.isSkippingToSync && message.type !== 'S') return undefined;
    try {
      const pending = this.dispatch(session, message);
      return pending?.catch((error: unknown) => this.onStatementError(session, message, error));
    } catch (error) {
      return this.onStatementError(session, message, error);
    }
  }

  private onStatementError(
    session: Session,
    message: FrontendMessage,
    error: unknown,
  ): Promise<void> | undefined {
    if (error instanceof ConnectionCrashSignal || this.phase === 'closed') throw error;
    this.output.add(backend.errorResponse(fieldsOf(toServerError(error), 'ERROR')));
    session.block.fail();
    if (message.type === 'Q' || message.type === 'S') return this.sendReady(session);
    this.isSkippingToSync = true;
    return undefined;
  }

  private dispatch(session: Session, { type, body }: FrontendMessage): Promise<void> | undefined {
    switch (type) {
      case 'Q':
        return this.simpleQuery(session, readText(body));
      case 'P':
        session.parse(readParse(body));
        return undefined;
      case 'B':
        session.bind(readBind(body));
        return undefined;
      case 'D':
        session.describe(readTarget(body));
        return undefined;
      case 'E':
        return session.execute(readExecute(body));
      case 'C':
        session.close(readTarget(body));
        return undefined;
      case 'H':
        return this.output.flush();
      case 'S':
        this.isSkippingToSync = false;
        session.sync();
        return this.sendReady(session);
      case 'd':
      case 'c':
      case 'f':
        return undefined;
      default:
        throw protocolViolationError(`message type ${JSON.stringify(type)}`);
    }
  }

  private async simpleQuery(session: Session, text: string): Promise<void> {
    await session.simpleQuery(text);
    session.sync();
    await this.sendReady(session);
  }
}

function toServerError(error: unknown): ServerError {
  if (error instanceof ServerError) return error;
  const message = error instanceof Error ? (error.stack ?? error.message) : String(error);
  return new ServerError(ServerSqlState.INTERNAL_ERROR, message);
}

function fieldsOf(error: ServerError, severity: 'ERROR' | 'FATAL'): backend.ErrorFields {
  const sqlState: ServerSqlStateCode = error.sqlState;
  return { severity, sqlState, message: error.message, detail: error.detail };
}
