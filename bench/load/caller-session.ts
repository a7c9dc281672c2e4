/**
 * One caller's session: a connection to one proxy at a time, and the token or id with which the
 * session continues on another proxy. Requests run one at a time.
 */
import { MeadowstackError } from '../../src/core/errors.js';
import type { SessionIdentification } from './schedule.js';
import { SESSION_ID_PARAMETER, SESSION_TOKEN_PARAMETER, SessionClient } from './session-client.js';

/** Where callers can reach a proxy. */
export interface ProxyAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

export interface Credentials {
  readonly user: string;
  readonly password: string;
  /** Database name under which the proxies know the session's group. */
  readonly database: string;
}

export interface CallerSessionOptions {
  readonly sessionId: string;
  readonly identification: SessionIdentification;
  readonly credentials: Credentials;
  readonly proxies: readonly ProxyAddress[];
  /** Index of the first proxy. */
  readonly firstProxyIndex: number;
}

/** The proxy closed the connection before the caller sent a request. */
export class ConnectionEndedError extends MeadowstackError {
  readonly code = 'MS-BENCH-CONNECTION-ENDED';
}

const CONNECT_TIMEOUT_MS = 2_000;

export class CallerSession {
  readonly #options: CallerSessionOptions;
  #proxyIndex: number;
  #client: SessionClient | undefined;
  #token: string | undefined;
  #previousWork: Promise<void> = Promise.resolve();

  constructor(options: CallerSessionOptions) {
    this.#options = options;
    this.#proxyIndex = options.firstProxyIndex;
  }

  get sessionId(): string {
    return this.#options.sessionId;
  }

  /** Name of the proxy that the session uses now. */
  get proxy(): string {
    return this.#address.name;
  }

  /** Runs `work` after all work that was added before has ended. */
  runInOrder(work: () => Promise<void>): Promise<void> {
    this.#previousWork = this.#previousWork.then(work, work);
    return this.#previousWork;
  }

  /** Closes the connection; the next one goes to the next proxy. */
  async moveToNextProxy(): Promise<void> {
    await this.disconnect();
    this.#proxyIndex += 1;
  }

  /** The open connection, or a new one. Rejects if the proxy can't be reached or refuses the caller. */
  async ensureConnected(): Promise<SessionClient> {
    if (this.#client !== undefined && !this.#client.isClosed) return this.#client;
    this.#storeToken();
    const { host, port } = this.#address;
    const client = new SessionClient({
      ...this.#options.credentials,
      host,
      port,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      startupParameters: this.#startupParameters(),
    });
    await client.connect();
    // A proxy that is shutting down may send its shutdown error in the same packet as its ReadyForQuery.
    if (client.isClosed)
      throw (
        client.closeError ??
        new ConnectionEndedError('the proxy accepted the connection and closed it at once')
      );
    this.#client = client;
    return client;
  }

  /** Closes the connection; the token is kept. */
  async disconnect(): Promise<void> {
    const client = this.#client;
    this.#storeToken();
    this.#client = undefined;
    if (client !== undefined && !client.isClosed) await client.end().catch(() => undefined);
  }

  /** Drops the token after a proxy has refused it. */
  removeToken(): void {
    this.#token = undefined;
  }

  /** Destroys the socket without a Terminate message. */
  destroyConnection(): void {
    const client = this.#client;
    this.#storeToken();
    this.#client = undefined;
    client?.destroy();
  }

  get #address(): ProxyAddress {
    const { proxies } = this.#options;
    const address = proxies[this.#proxyIndex % proxies.length];
    if (address === undefined) throw new RangeError('a session needs a proxy');
    return address;
  }

  #storeToken(): void {
    this.#token = this.#client?.sessionToken ?? this.#token;
  }

  #startupParameters(): Readonly<Record<string, string>> {
    const { identification, sessionId } = this.#options;
    if (identification === 'session-id') return { [SESSION_ID_PARAMETER]: sessionId };
    return this.#token === undefined ? {} : { [SESSION_TOKEN_PARAMETER]: this.#token };
  }
}
