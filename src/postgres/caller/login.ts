/**
 * Handles a connection from accept to the end of log-in: SSLRequest, GSSENCRequest, CancelRequest,
 * StartupMessage and SCRAM-SHA-256. Source: PostgreSQL manual, "Start-up" and "SASL Authentication".
 */
import type { Socket } from 'node:net';
import { type SecureContext, TLSSocket } from 'node:tls';
import type { Result } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import { type RequestError, SqlState } from '../../core/errors.js';
import { MessageTooLargeError, ProtocolViolationError } from '../errors.js';
import { FRAME_HEADER_BYTES, FrameReader } from '../frames.js';
import {
  authentication,
  errorResponseOf,
  FrontendMessageType,
  negotiateProtocolVersion,
} from '../messages.js';
import type { CancelKey } from './cancel-keys.js';
import { AuthenticationFailedError, AuthorizationError, UnknownDatabaseError } from './errors.js';
import type { CallerLimits } from './options.js';
import { createMockVerifier, parseVerifier, SCRAM_SHA_256, ScramExchange } from './scram.js';
import { type FirstMessage, parseFirstMessage, type StartupMessage } from './startup.js';
import { findUnsupportedParameter } from './startup-parameters.js';

/** Codes of Authentication messages. */
const AUTHENTICATION_OK = 0;
const AUTHENTICATION_SASL = 10;
const AUTHENTICATION_SASL_CONTINUE = 11;
const AUTHENTICATION_SASL_FINAL = 12;

const LENGTH_FIELD_BYTES = 4;
const NEWEST_MINOR_VERSION = 0;
const TLS_ACCEPTED = 'S';
const ENCRYPTION_REFUSED = 'N';

export interface LoginOptions {
  readonly limits: CallerLimits;
  readonly secureContext: SecureContext | undefined;
  readonly tlsRequired: boolean;
  readonly mockSecret: Buffer;
  policyFor(user: string, database: string): Result<TenantPolicy, RequestError>;
}

/** A successful log-in; AuthenticationOk has been sent. */
export interface LoginResult extends AcceptedLogin {
  readonly socket: Socket;
  /** Bytes received after the last log-in message. */
  readonly rest: Buffer;
}

/** Receives the outcome of a log-in. Each method is called at most once, when the log-in has ended. */
export interface LoginListener {
  onLogin(result: LoginResult): void;
  onCancelRequest(key: CancelKey): void;
  /** Refused, timed out, cancel request handled, or disconnected. The log-in itself closes the socket. */
  onEnd(): void;
}

interface AcceptedLogin {
  readonly startup: StartupMessage;
  readonly policy: TenantPolicy;
}

type Phase = 'first-message' | 'sasl-initial' | 'sasl-final' | 'over';

/** One connection that has not logged in yet. */
export class Login {
  private phase: Phase = 'first-message';
  private received: Buffer = Buffer.alloc(0);
  private readonly reader: FrameReader;
  private readonly timer: NodeJS.Timeout;
  private startup: StartupMessage | undefined;
  private policy: TenantPolicy | undefined;
  private exchange: ScramExchange | undefined;
  private acceptedLogin: AcceptedLogin | undefined;
  private isEncrypted = false;
  private readonly onData = (chunk: Buffer): void => this.receive(chunk);
  private readonly onClose = (): void => this.endOnce(() => this.listener.onEnd());

  constructor(
    private socket: Socket,
    private readonly options: LoginOptions,
    private readonly listener: LoginListener,
  ) {
    const { limits } = options;
    this.reader = new FrameReader(
      (type, buffer, start, end) => this.handleMessage(type, buffer.subarray(start, end)),
      limits.startupBytes,
    );
    this.timer = setTimeout(() => this.handleTimeout(), limits.startupTimeoutMs);
    this.attachListeners();
  }

  /** Sends an error and closes. */
  refuse(error: RequestError): void {
    const { socket } = this;
    this.endOnce(() => {
      closeWithError(socket, error, this.options.limits.lingerMs);
      this.listener.onEnd();
    });
  }

  private attachListeners(): void {
    this.socket.on('data', this.onData);
    this.socket.once('close', this.onClose);
  }

  private detachListeners(): void {
    this.socket.off('data', this.onData);
    this.socket.off('close', this.onClose);
  }

  /** Ends the log-in and calls `report`, unless it has already ended. */
  private endOnce(report: () => void): void {
    if (this.phase === 'over') return;
    this.phase = 'over';
    clearTimeout(this.timer);
    this.reader.stop();
    this.detachListeners();
    report();
  }

  private handleTimeout(): void {
    this.refuse(new ProtocolViolationError('log-in took too long'));
  }

  private receive(chunk: Buffer): void {
    if (this.phase === 'first-message') this.receiveFirst(chunk);
    else this.receiveFrames(chunk);
  }

  private receiveFrames(chunk: Buffer): void {
    const pushed = this.reader.push(chunk);
    if (pushed.isErr()) this.refuse(pushed.error);
    else if (this.acceptedLogin !== undefined) {
      this.completeLogin(this.acceptedLogin, chunk.subarray(pushed.value));
    }
  }

  private receiveFirst(chunk: Buffer): void {
    this.received = this.received.length === 0 ? chunk : Buffer.concat([this.received, chunk]);
    while (this.phase === 'first-message' && this.received.length >= LENGTH_FIELD_BYTES) {
      const length = this.received.readInt32BE(0);
      const { startupBytes } = this.options.limits;
      if (length > startupBytes) {
        this.refuse(new MessageTooLargeError(length, startupBytes));
        return;
      }
      if (length >= LENGTH_FIELD_BYTES && length > this.received.length) return;
      const message = this.received.subarray(0, Math.max(length, 0));
      this.received = this.received.subarray(message.length);
      this.handleFirstMessage(message);
    }
  }

  private handleFirstMessage(message: Buffer): void {
    const parsed = parseFirstMessage(message);
    if (parsed.isErr()) this.refuse(parsed.error);
    else this.dispatchFirstMessage(parsed.value);
  }

  private dispatchFirstMessage(message: FirstMessage): void {
    switch (message.type) {
      case 'ssl-request':
        this.handleSslRequest();
        return;
      case 'gssenc-request':
        this.socket.write(ENCRYPTION_REFUSED);
        return;
      case 'cancel-request':
        this.endOnce(() => {
          this.socket.end();
          this.listener.onCancelRequest(message);
          this.listener.onEnd();
        });
        return;
      case 'startup':
        this.startAuthentication(message);
    }
  }

  private handleSslRequest(): void {
    const { secureContext } = this.options;
    if (secureContext === undefined || this.isEncrypted) {
      this.socket.write(ENCRYPTION_REFUSED);
      return;
    }
    if (this.received.length > 0) {
      this.refuse(new ProtocolViolationError('unencrypted bytes after SSLRequest'));
      return;
    }
    this.detachListeners();
    const plain = this.socket;
    plain.write(TLS_ACCEPTED);
    this.isEncrypted = true;
    this.socket = new TLSSocket(plain, { isServer: true, secureContext });
    this.socket.on('error', () => plain.destroy());
    plain.once('close', () => this.socket.destroy());
    this.attachListeners();
  }

  private startAuthentication(startup: StartupMessage): void {
    const fault = this.findFault(startup);
    if (fault !== undefined) {
      this.refuse(fault);
      return;
    }
    this.startup = startup;
    const found = this.options.policyFor(startup.user, startup.database);
    if (found.isErr() && found.error.sqlState === SqlState.CANNOT_CONNECT_NOW) {
      this.refuse(found.error);
      return;
    }
    this.policy = found.isOk() ? found.value : undefined;
    this.exchange = this.createExchange(startup.user, this.policy);
    this.phase = 'sasl-initial';
    this.negotiateVersion(startup);
    this.socket.write(authentication(AUTHENTICATION_SASL, Buffer.from(`${SCRAM_SHA_256}\0\0`)));
    const rest = this.received;
    if (rest.length > 0) this.receiveFrames(rest);
  }

  private findFault(startup: StartupMessage): RequestError | undefined {
    if (this.options.tlsRequired && !this.isEncrypted) {
      return new AuthorizationError('this proxy only accepts encrypted connections');
    }
    return findUnsupportedParameter(startup.parameters);
  }

  private negotiateVersion(startup: StartupMessage): void {
    const { minorVersion, protocolOptions } = startup;
    if (minorVersion === NEWEST_MINOR_VERSION && protocolOptions.length === 0) return;
    this.socket.write(negotiateProtocolVersion(NEWEST_MINOR_VERSION, protocolOptions));
  }

  private createExchange(user: string, policy: TenantPolicy | undefined): ScramExchange {
    const stored = policy === undefined ? undefined : parseVerifier(policy.scramVerifier);
    if (stored?.isOk()) return new ScramExchange(user, stored.value, true);
    return new ScramExchange(user, createMockVerifier(user, this.options.mockSecret), false);
  }

  private handleMessage(type: number, frame: Buffer): void {
    const body = frame.subarray(FRAME_HEADER_BYTES);
    if (type !== FrontendMessageType.PASSWORD) {
      this.refuse(new ProtocolViolationError('expected a SASL response'));
    } else if (this.phase === 'sasl-initial') {
      this.handleSaslInitial(body);
    } else if (this.phase === 'sasl-final') {
      this.handleSaslFinal(body);
    }
  }

  /** SASLInitialResponse: mechanism, int32 length, client-first-message. */
  private handleSaslInitial(body: Buffer): void {
    const mechanismEnd = body.indexOf(0);
    const data = body.subarray(mechanismEnd + 1);
    const mechanism = body.toString('latin1', 0, Math.max(mechanismEnd, 0));
    const lengthFits =
      data.length >= LENGTH_FIELD_BYTES && data.readInt32BE(0) === data.length - LENGTH_FIELD_BYTES;
    if (mechanism !== SCRAM_SHA_256 || !lengthFits || this.exchange === undefined) {
      this.refuse(new ProtocolViolationError('malformed SASLInitialResponse'));
      return;
    }
    const response = this.exchange.respondToFirst(data.toString('utf8', LENGTH_FIELD_BYTES));
    if (response.isErr()) {
      this.refuse(response.error);
      return;
    }
    this.phase = 'sasl-final';
    this.socket.write(authentication(AUTHENTICATION_SASL_CONTINUE, Buffer.from(response.value)));
  }

  private handleSaslFinal(body: Buffer): void {
    const { startup, policy, exchange } = this;
    const response = exchange?.respondToFinal(body.toString('utf8'));
    if (response === undefined || startup === undefined) return;
    if (response.isErr()) this.refuse(response.error);
    else if (policy === undefined) this.refuse(new AuthenticationFailedError(startup.user));
    else if (!policy.databases.some(({ database }) => database === startup.database)) {
      this.refuse(new UnknownDatabaseError(startup.database));
    } else {
      this.socket.write(authentication(AUTHENTICATION_SASL_FINAL, Buffer.from(response.value)));
      this.acceptedLogin = { startup, policy };
      this.reader.stop();
    }
  }

  private completeLogin(accepted: AcceptedLogin, rest: Buffer): void {
    const { socket } = this;
    this.endOnce(() => {
      socket.write(authentication(AUTHENTICATION_OK));
      this.listener.onLogin({ socket, ...accepted, rest });
    });
  }
}

/** Sends a FATAL error and closes; destroys the socket after `lingerMs` if the peer doesn't close. */
export function closeWithError(socket: Socket, error: RequestError, lingerMs: number): void {
  socket.end(errorResponseOf(error, 'FATAL'));
  socket.resume();
  setTimeout(() => socket.destroy(), lingerMs).unref();
}
