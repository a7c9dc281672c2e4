/**
 * A `pg` client that sends this project's start-up parameters and keeps the session token that the
 * proxy reports. `pg` has no public API for either, so this file, and no other, uses two of its internals.
 */
import type { EventEmitter } from 'node:events';
import type { Duplex } from 'node:stream';
import pg from 'pg';

export const SESSION_TOKEN_PARAMETER = 'meadowstack.session';
export const SESSION_ID_PARAMETER = 'meadowstack.session_id';

export interface SessionClientOptions {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
  readonly connectTimeoutMs: number;
  readonly startupParameters: Readonly<Record<string, string>>;
}

interface ParameterStatusMessage {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/** The internals of `pg` 8 that are used here. */
interface ClientInternals {
  readonly connection: EventEmitter & { readonly stream: Duplex };
  getStartupConf(): Record<string, string>;
}

const ClientWithInternals = pg.Client as unknown as new (
  config: pg.ClientConfig,
) => pg.Client & ClientInternals;

export class SessionClient extends ClientWithInternals {
  /** The most recently reported token. */
  sessionToken: string | undefined;
  /** The connection has ended or is broken. */
  isClosed = false;
  /** The error with which the connection broke or the proxy closed it, if there was one. */
  closeError: Error | undefined;
  readonly #startupParameters: Readonly<Record<string, string>>;

  constructor(options: SessionClientOptions) {
    const { host, port, user, password, database } = options;
    const connectionTimeoutMillis = options.connectTimeoutMs;
    super({ host, port, user, password, database, connectionTimeoutMillis });
    this.#startupParameters = options.startupParameters;
    this.connection.on('parameterStatus', (message: ParameterStatusMessage) => {
      if (message.parameterName === SESSION_TOKEN_PARAMETER) {
        this.sessionToken = message.parameterValue;
      }
    });
    this.on('error', (error) => {
      this.isClosed = true;
      this.closeError ??= error;
    });
    this.on('end', () => {
      this.isClosed = true;
    });
  }

  /** Destroys the socket without a Terminate message. */
  destroy(): void {
    this.isClosed = true;
    this.connection.stream.destroy();
  }

  override getStartupConf(): Record<string, string> {
    return { ...super.getStartupConf(), ...this.#startupParameters };
  }
}
