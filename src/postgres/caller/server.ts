/** Accepts callers over TCP and TLS, logs them in, and passes their connections to the handler. */
import { randomBytes, randomUUID } from 'node:crypto';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { createSecureContext, type SecureContext } from 'node:tls';
import { ResultAsync } from 'neverthrow';
import { NotRunError, type RequestError } from '../../core/errors.js';
import { backendKeyData, parameterStatus, readyForQuery } from '../messages.js';
import { type CancelKey, CancelKeyRegistry } from './cancel-keys.js';
import { CallerSocketConnection } from './connection.js';
import { ListenError, ServerStoppingError } from './errors.js';
import { closeWithError, Login, type LoginOptions, type LoginResult } from './login.js';
import { type CallerLimits, type CallerServerOptions, DEFAULT_CALLER_LIMITS } from './options.js';
import { reportedParameters } from './startup-parameters.js';

const DEFAULT_SERVER_VERSION = '15.0';
const MOCK_SECRET_BYTES = 32;

/** Address on which the server listens. */
export interface CallerAddress {
  readonly host: string;
  readonly port: number;
}

/** Listens for callers from `listen` to `stopAccepting`. */
export class CallerServer {
  private readonly limits: CallerLimits;
  private readonly loginOptions: LoginOptions;
  private readonly server: Server;
  private readonly logins = new Set<Login>();
  private readonly connections = new Map<string, CallerSocketConnection>();
  private readonly cancelKeys = new CancelKeyRegistry();
  private readonly sockets = new Set<Socket>();

  constructor(private readonly options: CallerServerOptions) {
    this.limits = { ...DEFAULT_CALLER_LIMITS, ...options.limits };
    this.loginOptions = {
      limits: this.limits,
      secureContext: secureContextOf(options),
      tlsRequired: options.tls?.required ?? false,
      mockSecret: options.mockSecret ?? randomBytes(MOCK_SECRET_BYTES),
      policyFor: (user, database) => options.policyFor(user, database),
    };
    this.server = createServer({ noDelay: true, keepAlive: true }, (socket) => this.accept(socket));
  }

  /** Starts to accept callers. */
  listen(): ResultAsync<CallerAddress, ListenError> {
    const { host, port } = this.options;
    const listening = new Promise<CallerAddress>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        this.server.on('error', () => {});
        resolve({ host, port: (this.server.address() as AddressInfo).port });
      });
    });
    return ResultAsync.fromPromise(
      listening,
      (cause) => new ListenError(host, port, cause as Error),
    );
  }

  /** Open connections that have logged in. */
  openConnections(): readonly CallerSocketConnection[] {
    return [...this.connections.values()];
  }

  /** Connections that have not logged in yet. */
  get unauthenticatedConnections(): number {
    return this.logins.size;
  }

  /** Stops accepting connections and aborts log-ins; connections that have logged in continue. */
  stopAccepting(): void {
    if (this.server.listening) this.server.close();
    for (const login of [...this.logins]) login.refuse(new ServerStoppingError());
  }

  /** Terminates all connections; resolves when the last socket is closed. */
  close(): ResultAsync<void, never> {
    this.stopAccepting();
    for (const connection of this.openConnections())
      connection.terminate(new ServerStoppingError());
    const closings = [...this.sockets].map(
      (socket) => new Promise<void>((resolve) => socket.once('close', () => resolve())),
    );
    return ResultAsync.fromSafePromise(Promise.all(closings).then(() => undefined));
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    if (this.logins.size >= this.limits.unauthenticatedConnections) {
      closeWithError(socket, tooManyLoginsError(), this.limits.lingerMs);
      return;
    }
    const login: Login = new Login(socket, this.loginOptions, {
      onLogin: (result) => {
        this.logins.delete(login);
        void this.admit(result);
      },
      onCancelRequest: (key) => this.cancelKeys.cancel(key),
      onEnd: () => {
        this.logins.delete(login);
      },
    });
    this.logins.add(login);
  }

  /** Waits for admission; the socket isn't read meanwhile. */
  private async admit(login: LoginResult): Promise<void> {
    const { socket } = login;
    socket.pause();
    const admitted = await this.options.admit(login.policy);
    socket.resume();
    if (admitted.isErr()) {
      closeWithError(socket, admitted.error, this.limits.lingerMs);
    } else if (socket.destroyed) {
      admitted.value();
    } else if (!this.server.listening) {
      admitted.value();
      closeWithError(socket, new ServerStoppingError(), this.limits.lingerMs);
    } else {
      this.open(login, admitted.value);
    }
  }

  private open(login: LoginResult, release: () => void): void {
    const connection = this.createConnection(login);
    const key = this.cancelKeys.register(() => connection.cancel());
    this.connections.set(connection.id, connection);
    login.socket.once('close', () => {
      this.connections.delete(connection.id);
      this.cancelKeys.release(key);
      release();
    });
    this.sendGreeting(login, connection, key);
  }

  private createConnection(login: LoginResult): CallerSocketConnection {
    const { socket, startup, policy } = login;
    const { database, parameters } = startup;
    const identity = { id: randomUUID(), policy, database, parameters };
    return new CallerSocketConnection(socket, identity, this.limits);
  }

  /**
   * Sends the start-up messages. The handler gets the connection before ReadyForQuery is sent and may
   * still refuse it.
   */
  private sendGreeting(
    login: LoginResult,
    connection: CallerSocketConnection,
    key: CancelKey,
  ): void {
    const { user, parameters } = login.startup;
    const applicationName = parameters.get('application_name') ?? '';
    const serverVersion = this.options.serverVersion ?? DEFAULT_SERVER_VERSION;
    const reported = reportedParameters(user, applicationName, serverVersion);
    const messages = reported.map(([name, value]) => parameterStatus(name, value));
    messages.push(backendKeyData(key.processId, key.secretKey));
    connection.write(Buffer.concat(messages));
    this.options.handler(connection);
    connection.write(readyForQuery('I'));
    if (login.rest.length > 0) connection.receive(login.rest);
  }
}

function secureContextOf(options: CallerServerOptions): SecureContext | undefined {
  if (options.tls === undefined) return undefined;
  const { certificate, privateKey } = options.tls;
  return createSecureContext({ cert: certificate, key: privateKey });
}

function tooManyLoginsError(): RequestError {
  return new NotRunError('connection-limit', 'too many connections are logging in');
}
