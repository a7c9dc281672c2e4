/** Settings of the server for callers, and their defaults. */
import type { Result, ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import type { RequestError } from '../../core/errors.js';
import type { CallerHandler } from '../contract.js';
import { DEFAULT_MAXIMUM_MESSAGE_BYTES } from '../frames.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Limits that one caller can't exceed. */
export interface CallerLimits {
  /** Connections of the whole server that have not logged in yet. Default 200. */
  readonly unauthenticatedConnections: number;
  /** Time from accept to the end of log-in. Default 10 000 ms. */
  readonly startupTimeoutMs: number;
  /** Size of the start-up packet and of each log-in message. Default 10 000 bytes, as in PostgreSQL. */
  readonly startupBytes: number;
  /** Size of one message after log-in, and of all messages of one batch. Default 64 MiB. */
  readonly messageBytes: number;
  /** Memory of queued pipelined batches, above which the socket is not read. Default 1 MiB. */
  readonly queuedBytes: number;
  /** Prepared statements of one connection. Default 1000. */
  readonly preparedStatements: number;
  /** Memory of all prepared statements of one connection. Default 4 MiB. */
  readonly preparedStatementBytes: number;
  /** Response bytes not yet accepted by the socket, from which `write` returns false. Default 256 KiB. */
  readonly outputBytes: number;
  /** Time from a FATAL error until the socket is destroyed if the caller doesn't close. Default 2000 ms. */
  readonly lingerMs: number;
}

export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  unauthenticatedConnections: 200,
  startupTimeoutMs: 10_000,
  startupBytes: 10_000,
  messageBytes: DEFAULT_MAXIMUM_MESSAGE_BYTES,
  queuedBytes: MEBIBYTE,
  preparedStatements: 1000,
  preparedStatementBytes: 4 * MEBIBYTE,
  outputBytes: 256 * KIBIBYTE,
  lingerMs: 2000,
};

/** TLS towards callers; certificate and key in PEM format. */
export interface CallerTlsOptions {
  readonly certificate: string;
  readonly privateKey: string;
  /** Refuses log-ins over plain TCP. Default false. */
  readonly required?: boolean;
}

export interface CallerServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly tls?: CallerTlsOptions;
  /**
   * Called at log-in. An error means that the user is unknown or revoked: the log-in then uses a mock
   * verifier and fails as with a wrong password. Only errors of SQLSTATE 57P03 are sent to the caller, so
   * they must not depend on the user. The database is checked against the policy after the password.
   */
  policyFor(user: string, database: string): Result<TenantPolicy, RequestError>;
  /** Enforces the connection limit after a successful log-in; the result releases the connection's place. */
  admit(policy: TenantPolicy): ResultAsync<() => void, RequestError>;
  readonly handler: CallerHandler;
  /** `server_version` that is reported to callers. Default `15.0`. */
  readonly serverVersion?: string;
  /**
   * Key from which the mock salts of unknown users are derived. It must be the same on all nodes: a salt
   * that differs between nodes would reveal that the user doesn't exist. Default: random for the process.
   */
  readonly mockSecret?: Buffer;
  readonly limits?: Partial<CallerLimits>;
}
