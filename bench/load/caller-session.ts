/**
 * One caller's session: a connection to one proxy at a time, and what the session carries when it
 * goes on at another. Runs one request after the other.
 */
import { MeadowstackError } from '../../src/core/errors.js';
import type { SessionCarriage } from './schedule.js';
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
  readonly carriage: SessionCarriage;
  readonly credentials: Credentials;
  readonly proxies: readonly ProxyAddress[];
  /** Index of the first proxy. */
  readonly firstProxy: number;
}

/** The proxy ended the connection before anything was sent on it. */
export class ConnectionEndedError extends MeadowstackError {
  readonly code = 'MS-BENCH-CONNECTION-ENDED';
}

const CONNECT_TIMEOUT_MS = 2_000;

export class CallerSession {
  readonly #options: CallerSessionOptions;
  #proxyIndex: number;
  #client: SessionClient | undefined;
  #token: string | undefined;
  #turn: Promise<void> = Promise.resolve();

  constructor(options: CallerSessionOptions) {
    this.#options = options;
    this.#proxyIndex = options.firstProxy;
  }

  get sessionId(): string {
    return this.#options.sessionId;
  }

  /** The proxy that the session is at. */
  get proxy(): string {
    return this.#address.name;
  }

  /** Runs `work` when all that was asked before has ended. */
  inTurn(work: () => Promise<void>): Promise<void> {
    this.#turn = this.#turn.then(work, work);
    return this.#turn;
  }

  /** Goes on at the next proxy, with a new connection. */
  async move(): Promise<void> {
    await this.disconnect();
    this.#proxyIndex += 1;
  }

  /** The open connection, or a new one. Rejects if the proxy can't be reached or sends the caller away. */
  async connected(): Promise<SessionClient> {
    if (this.#client !== undefined && !this.#client.closed) return this.#client;
    this.#keepToken();
    const { host, port } = this.#address;
    const client = new SessionClient({
      ...this.#options.credentials,
      host,
      port,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      startupParameters: this.#startupParameters(),
    });
    await client.connect();
    // A proxy that is being stopped may say farewell in the same packet that it accepts with.
    if (client.closed) throw client.closedBy ?? new ConnectionEndedError('ended once accepted');
    this.#client = client;
    return client;
  }

  /** Closes the connection; the token is kept. */
  async disconnect(): Promise<void> {
    const client = this.#client;
    this.#keepToken();
    this.#client = undefined;
    if (client !== undefined && !client.closed) await client.end().catch(() => undefined);
  }

  /** Goes on without the token, which the proxies refuse. */
  forgetToken(): void {
    this.#token = undefined;
  }

  /** Cuts the connection without a farewell. */
  abandon(): void {
    const client = this.#client;
    this.#keepToken();
    this.#client = undefined;
    client?.destroy();
  }

  get #address(): ProxyAddress {
    const { proxies } = this.#options;
    const address = proxies[this.#proxyIndex % proxies.length];
    if (address === undefined) throw new RangeError('a session needs a proxy');
    return address;
  }

  #keepToken(): void {
    this.#token = this.#client?.sessionToken ?? this.#token;
  }

  #startupParameters(): Readonly<Record<string, string>> {
    const { carriage, sessionId } = this.#options;
    if (carriage === 'session-id') return { [SESSION_ID_PARAMETER]: sessionId };
    return this.#token === undefined ? {} : { [SESSION_TOKEN_PARAMETER]: this.#token };
  }
}
