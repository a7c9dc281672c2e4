/** How to open a connection to a back end. */
import type { Milliseconds } from '../../core/units.js';

/** TLS towards a back end; it is asked for with SSLRequest before anything else is sent. */
export interface BackendTlsOptions {
  /** Certificates that are trusted, in PEM form; the machine's own if absent. */
  readonly authorities?: string | undefined;
  /** Name that the certificate must carry; the host if absent. */
  readonly serverName?: string | undefined;
  /** False takes any certificate: for tests only. Default true. */
  readonly verify?: boolean | undefined;
}

export interface BackendConnectOptions {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly database: string;
  /** Absent: the back end must let the role in without one. */
  readonly password?: string | undefined;
  /** Absent: no TLS. Present: a back end that doesn't offer TLS is refused. */
  readonly tls?: BackendTlsOptions | undefined;
  /** Sends the password in clear text if the back end asks so. Default false. */
  readonly allowClearTextPassword?: boolean | undefined;
  /** Bound of everything until the first ReadyForQuery. */
  readonly connectTimeoutMs: Milliseconds;
  /** Further start-up parameters, such as `application_name`. */
  readonly startupParameters?: Readonly<Record<string, string>> | undefined;
  /** Prepared statements kept on the connection; the least recently used is closed beyond it. */
  readonly maximumPreparedStatements?: number | undefined;
  /** Longest message taken from the back end, in bytes. */
  readonly maximumMessageBytes?: number | undefined;
  /** Bound of the whole life of a CancelRequest's own connection. */
  readonly cancelTimeoutMs?: Milliseconds | undefined;
  readonly counters?: BackendCounters | undefined;
}

/** Counted by all connections that are given the same object. */
export interface BackendCounters {
  /** NotificationResponse messages dropped: LISTEN can't be kept through a pool. */
  notificationsDropped: number;
  /** Connections closed because the back end sent what is not lawful. */
  protocolViolations: number;
  cancelsSent: number;
  statementsPrepared: number;
}

export const DEFAULT_MAXIMUM_PREPARED_STATEMENTS = 256;
export const DEFAULT_CANCEL_TIMEOUT_MS: Milliseconds = 2000;

export function createBackendCounters(): BackendCounters {
  return {
    notificationsDropped: 0,
    protocolViolations: 0,
    cancelsSent: 0,
    statementsPrepared: 0,
  };
}
