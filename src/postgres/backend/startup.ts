/**
 * Performs start-up and authentication on an open socket, up to the first ReadyForQuery.
 * Source: PostgreSQL manual, "Start-up" and "SASL Authentication".
 */
import type { Socket } from 'node:net';
import { ResultAsync } from 'neverthrow';
import { serialize } from 'pg-protocol';
import { FRAME_HEADER_BYTES, type FrameError } from '../frames.js';
import { BackendMessageType as Type } from '../messages.js';
import { BackendChannel, type ChannelListener } from './channel.js';
import { BackendConnectError } from './errors.js';
import type { BackendConnectOptions } from './options.js';
import {
  createClientFinal,
  createClientFirstMessage,
  createClientNonce,
  SCRAM_MECHANISM,
  verifyServerFinal,
} from './scram-client.js';
import {
  isAuthorizationError,
  parseServerError,
  type ServerError,
  SQLSTATE_TOO_MANY_CONNECTIONS,
} from './server-error.js';

/** Result of the start-up: a connection that is ready for its first batch. */
export interface StartedSession {
  readonly channel: BackendChannel;
  /** Process id and secret key from BackendKeyData, for CancelRequest. */
  readonly processId: number;
  readonly secretKey: number;
  readonly parameters: Map<string, string>;
}

/** Codes of the authentication messages. */
const Authentication = {
  OK: 0,
  CLEARTEXT_PASSWORD: 3,
  SASL: 10,
  SASL_CONTINUE: 11,
  SASL_FINAL: 12,
} as const;

const INT32_BYTES = 4;
const BACKEND_KEY_BYTES = FRAME_HEADER_BYTES + 2 * INT32_BYTES;

/** Starts the session; on failure the socket is closed. */
export function startSession(
  socket: Socket,
  options: BackendConnectOptions,
): ResultAsync<StartedSession, BackendConnectError> {
  const started = new Promise<StartedSession>((resolve, reject) => {
    new Startup(socket, options, resolve, reject).start();
  });
  return ResultAsync.fromPromise(started, (cause) =>
    cause instanceof BackendConnectError
      ? cause
      : new BackendConnectError('protocol', 'start-up failed', undefined, { cause }),
  );
}

/** State of SCRAM. AuthenticationOk is accepted only before it starts or once the server has proven itself. */
type ScramState =
  | { readonly type: 'none' }
  | { readonly type: 'first-sent'; readonly nonce: string }
  | { readonly type: 'deriving' }
  | { readonly type: 'final-sent'; readonly expectedServerSignature: Buffer }
  | { readonly type: 'proven' };

class Startup implements ChannelListener {
  private readonly channel: BackendChannel;
  private readonly parameters = new Map<string, string>();
  private scram: ScramState = { type: 'none' };
  private isAuthenticated = false;
  private isReady = false;
  private isFailed = false;
  private processId = 0;
  private secretKey = 0;

  constructor(
    private readonly socket: Socket,
    private readonly options: BackendConnectOptions,
    private readonly resolve: (session: StartedSession) => void,
    private readonly reject: (error: BackendConnectError) => void,
  ) {
    this.channel = new BackendChannel(socket, options.maximumMessageBytes);
  }

  start(): void {
    this.channel.setListener(this);
    const { user, database, startupParameters } = this.options;
    this.socket.write(serialize.startup({ ...startupParameters, user, database }));
  }

  handleChunkEnd(): void {}

  handleMalformed(error: FrameError): void {
    this.fail(new BackendConnectError('protocol', error.message, undefined, { cause: error }));
  }

  handleClose(cause: Error | undefined): void {
    const message = cause?.message ?? 'closed by the other side during start-up';
    this.fail(new BackendConnectError('unreachable', message, undefined, { cause }));
  }

  readonly visit = (type: number, buffer: Buffer, start: number, end: number): void => {
    if (this.isFailed) return;
    switch (type) {
      case Type.AUTHENTICATION:
        this.visitAuthentication(buffer, start, end);
        return;
      case Type.PARAMETER_STATUS:
        this.visitParameter(buffer, start, end);
        return;
      case Type.BACKEND_KEY_DATA:
        this.visitKey(buffer, start, end);
        return;
      case Type.READY_FOR_QUERY:
        this.complete();
        return;
      case Type.ERROR_RESPONSE:
        this.fail(connectErrorOf(parseServerError(buffer, start, end)));
        return;
      case Type.NOTICE_RESPONSE:
      case Type.NEGOTIATE_PROTOCOL_VERSION:
        return;
      default:
        this.failOnViolation(`message type ${type}`);
    }
  };

  private visitParameter(buffer: Buffer, start: number, end: number): void {
    const [name, value] = buffer.toString('utf8', start + FRAME_HEADER_BYTES, end).split('\0');
    if (name !== undefined && value !== undefined) this.parameters.set(name, value);
  }

  private visitKey(buffer: Buffer, start: number, end: number): void {
    if (end - start !== BACKEND_KEY_BYTES) {
      this.failOnViolation('BackendKeyData of unexpected length');
      return;
    }
    this.processId = buffer.readInt32BE(start + FRAME_HEADER_BYTES);
    this.secretKey = buffer.readInt32BE(start + FRAME_HEADER_BYTES + INT32_BYTES);
  }

  private visitAuthentication(buffer: Buffer, start: number, end: number): void {
    const dataStart = start + FRAME_HEADER_BYTES + INT32_BYTES;
    if (dataStart > end || this.isAuthenticated) {
      this.failOnViolation('unexpected authentication message');
      return;
    }
    const data = buffer.subarray(dataStart, end);
    switch (buffer.readInt32BE(start + FRAME_HEADER_BYTES)) {
      case Authentication.OK:
        this.handleAuthenticationOk();
        return;
      case Authentication.CLEARTEXT_PASSWORD:
        this.sendClearText();
        return;
      case Authentication.SASL:
        this.sendScramFirst(data);
        return;
      case Authentication.SASL_CONTINUE:
        this.sendScramFinal(data.toString('utf8'));
        return;
      case Authentication.SASL_FINAL:
        this.verifyScramFinal(data.toString('utf8'));
        return;
      default:
        this.failAuthentication('the back end asks for an authentication that is not supported');
    }
  }

  private handleAuthenticationOk(): void {
    if (this.scram.type !== 'none' && this.scram.type !== 'proven') {
      this.failAuthentication('the back end ended SCRAM without a valid server signature');
      return;
    }
    this.isAuthenticated = true;
  }

  private sendClearText(): void {
    const { password, allowClearTextPassword } = this.options;
    if (allowClearTextPassword !== true) {
      this.failAuthentication('the back end asks for the password in clear text');
    } else if (password === undefined) {
      this.failAuthentication('the back end asks for a password and none is set');
    } else {
      this.socket.write(serialize.password(password));
    }
  }

  private sendScramFirst(mechanisms: Buffer): void {
    const offered = mechanisms.toString('utf8').split('\0');
    if (this.scram.type !== 'none') this.failOnViolation('SASL started twice');
    else if (!offered.includes(SCRAM_MECHANISM)) {
      this.failAuthentication(`the back end does not offer ${SCRAM_MECHANISM}`);
    } else if (this.options.password === undefined) {
      this.failAuthentication('the back end asks for a password and none is set');
    } else {
      const nonce = createClientNonce();
      this.scram = { type: 'first-sent', nonce };
      const message = createClientFirstMessage(nonce);
      this.socket.write(serialize.sendSASLInitialResponseMessage(SCRAM_MECHANISM, message));
    }
  }

  private sendScramFinal(serverFirst: string): void {
    if (this.scram.type !== 'first-sent') {
      this.failOnViolation('unexpected SASLContinue');
      return;
    }
    const { nonce } = this.scram;
    this.scram = { type: 'deriving' };
    void createClientFinal(this.options.password ?? '', nonce, serverFirst).match(
      (final) => {
        if (this.isFailed) return;
        const { expectedServerSignature } = final;
        this.scram = { type: 'final-sent', expectedServerSignature };
        this.socket.write(serialize.sendSCRAMClientFinalMessage(final.message));
      },
      (error) => this.failAuthentication(error.message, error),
    );
  }

  private verifyScramFinal(serverFinal: string): void {
    if (this.scram.type !== 'final-sent') {
      this.failOnViolation('unexpected SASLFinal');
      return;
    }
    verifyServerFinal(serverFinal, this.scram.expectedServerSignature).match(
      () => {
        this.scram = { type: 'proven' };
      },
      (error) => this.failAuthentication(error.message, error),
    );
  }

  private complete(): void {
    if (!this.isAuthenticated || this.isReady) {
      this.failOnViolation('unexpected ReadyForQuery');
      return;
    }
    this.isReady = true;
    const { channel, processId, secretKey, parameters } = this;
    this.resolve({ channel, processId, secretKey, parameters });
  }

  private failOnViolation(what: string): void {
    this.fail(new BackendConnectError('protocol', `protocol violation during start-up: ${what}`));
  }

  private failAuthentication(message: string, cause?: Error): void {
    this.fail(new BackendConnectError('authentication', message, undefined, { cause }));
  }

  private fail(error: BackendConnectError): void {
    if (this.isFailed) return;
    this.isFailed = true;
    this.channel.destroy();
    this.reject(error);
  }
}

function connectErrorOf(error: ServerError): BackendConnectError {
  const message = `${error.severity} ${error.sqlState}: ${error.message}`;
  if (error.sqlState === SQLSTATE_TOO_MANY_CONNECTIONS) {
    return new BackendConnectError('refused-by-limit', message, error);
  }
  if (isAuthorizationError(error)) {
    return new BackendConnectError('authentication', message, error);
  }
  return new BackendConnectError('refused', message, error);
}
