/**
 * A `pg` client that sends this project's start-up parameters and keeps the session token that the
 * proxy reports. `pg` has no public way for either, so two of its internals are used here only.
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

/** The internals of `pg` 8 that are used. */
interface ClientInternals {
  readonly connection: EventEmitter & { readonly stream: Duplex };
  getStartupConf(): Record<string, string>;
}

const ClientWithInternals = pg.Client as unknown as new (
  config: pg.ClientConfig,
) => pg.Client & ClientInternals;

export class SessionClient extends ClientWithInternals {
  /** The token reported last. */
  sessionToken: string | undefined;
  /** The connection has ended or is broken. */
  closed = false;
  /** Why the connection broke or was ended by the proxy, if it was. */
  closedBy: Error | undefined;
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
      this.closed = true;
      this.closedBy ??= error;
    });
    this.on('end', () => {
      this.closed = true;
    });
  }

  /** Cuts the connection without a farewell. */
  destroy(): void {
    this.closed = true;
    this.connection.stream.destroy();
  }

  override getStartupConf(): Record<string, string> {
    return { ...super.getStartupConf(), ...this.#startupParameters };
  }
}
