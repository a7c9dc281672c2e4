/** Options of connections to back ends. */
import type { Milliseconds } from '../../core/units.js';

/** TLS towards a back end; requested with SSLRequest before anything else is sent. */
export interface BackendTlsOptions {
  /** Trusted CA certificates in PEM format. Default: Node.js's root certificates. */
  readonly authorities?: string | undefined;
  /** Name that the certificate must contain. Default: the host. */
  readonly serverName?: string | undefined;
  /** False accepts any certificate: for tests only. Default true. */
  readonly verify?: boolean | undefined;
}

export interface BackendConnectOptions {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly database: string;
  /** Absent: the back end must accept the role without a password. */
  readonly password?: string | undefined;
  /** Absent: no TLS. Present: a back end that doesn't offer TLS is refused. */
  readonly tls?: BackendTlsOptions | undefined;
  /** Sends the password in clear text if the back end requests it. Default false. */
  readonly allowClearTextPassword?: boolean | undefined;
  /** Timeout of the whole connection attempt, up to the first ReadyForQuery. */
  readonly connectTimeoutMs: Milliseconds;
  /** Further start-up parameters, such as `application_name`. */
  readonly startupParameters?: Readonly<Record<string, string>> | undefined;
  /** Maximum of prepared statements on the connection; beyond it the least recently used is closed. */
  readonly maximumPreparedStatements?: number | undefined;
  /** Longest message accepted from the back end, in bytes. */
  readonly maximumMessageBytes?: number | undefined;
  /** Timeout of a CancelRequest, from opening its connection to the server's closing it. */
  readonly cancelTimeoutMs?: Milliseconds | undefined;
  readonly counters?: BackendCounters | undefined;
}

/** Counters, shared by all connections that get the same object. */
export interface BackendCounters {
  /** Dropped NotificationResponse messages: pooled connections don't support LISTEN. */
  notificationsDropped: number;
  /** Connections closed because the back end violated the protocol. */
  protocolViolations: number;
  /** Connections refused because the instance belongs to another database system than its group. */
  foreignInstances: number;
  cancelsSent: number;
  statementsPrepared: number;
}

export const DEFAULT_MAXIMUM_PREPARED_STATEMENTS = 256;
export const DEFAULT_CANCEL_TIMEOUT_MS: Milliseconds = 2000;

export function createBackendCounters(): BackendCounters {
  return {
    notificationsDropped: 0,
    protocolViolations: 0,
    foreignInstances: 0,
    cancelsSent: 0,
    statementsPrepared: 0,
  };
}
