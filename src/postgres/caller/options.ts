/** Settings of the caller side and their defaults. */
import type { Result, ResultAsync } from 'neverthrow';
import type { TenantPolicy } from '../../core/configuration/model.js';
import type { RequestError } from '../../core/errors.js';
import type { CallerHandler } from '../contract.js';
import { DEFAULT_MAXIMUM_MESSAGE_BYTES } from '../frames.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

/** Bounds that one caller can't exceed. */
export interface CallerLimits {
  /** Connections that have not logged in yet, over the whole server. Default 200. */
  readonly unauthenticatedConnections: number;
  /** From accept to the end of log-in. Default 10 000 ms. */
  readonly startupTimeoutMs: number;
  /** Start-up packet and each message of the log-in. Default 10 000 bytes, as in PostgreSQL. */
  readonly startupBytes: number;
  /** One message after log-in, and the messages of one batch together. Default 64 MiB. */
  readonly messageBytes: number;
  /** Pipelined batches that wait; beyond it the socket is not read. Default 1 MiB. */
  readonly queuedBytes: number;
  /** Prepared statements of one connection. Default 1000. */
  readonly preparedStatements: number;
  /** Text of all prepared statements of one connection. Default 4 MiB. */
  readonly preparedStatementBytes: number;
  /** Answer bytes not yet taken by the socket, from which `write` gives false. Default 256 KiB. */
  readonly outputBytes: number;
  /** From a FATAL error until the socket is cut if the caller doesn't close. Default 2000 ms. */
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

/** TLS of the caller side: PEM texts. */
export interface CallerTlsOptions {
  readonly certificate: string;
  readonly privateKey: string;
  /** Refuses log-ins over plain TCP. Default false. */
  readonly required?: boolean;
}

export interface CallerServerOptions {
  /** IP number to listen on. */
  readonly host: string;
  /** 0 takes a free port. */
  readonly port: number;
  readonly tls?: CallerTlsOptions;
  /**
   * Called at log-in. An error means that the user is unknown or revoked: the log-in then runs
   * against a mock verifier and fails like a wrong password. Only errors of SQLSTATE 57P03, which
   * must not depend on the user, are reported as they are. The database's existence is checked
   * against the policy after the password.
   */
  policyFor(user: string, database: string): Result<TenantPolicy, RequestError>;
  /** Connection limit: called after the password was right; gives what returns the place. */
  admit(policy: TenantPolicy): ResultAsync<() => void, RequestError>;
  readonly handler: CallerHandler;
  /** `server_version` that callers are told. Default `15.0`. */
  readonly serverVersion?: string;
  /**
   * Key of the mock salts of unknown users. The same on all nodes, or names could be told by salts
   * that differ between nodes. Default: random for the process.
   */
  readonly mockSecret?: Buffer;
  readonly limits?: Partial<CallerLimits>;
}
