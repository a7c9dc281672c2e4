/**
 * Record of a run for the checkers: requests as observed by callers, and events of databases, proxies
 * and operators. All times are milliseconds since the Unix epoch by one machine's clock.
 */
import type { Position } from '../../src/core/position.js';
import type { GroupName, InstanceName, TenantName } from '../../src/core/request.js';

/** Outcome of a request, one of the four that callers distinguish. */
export type RequestOutcome = 'done' | 'not-run' | 'unknown' | 'failed';

/** How a request ended on the caller's connection. */
export type RequestEnding =
  /** ReadyForQuery or a complete error answer arrived. */
  | 'answered'
  /** The proxy closed the session (57P01) before it accepted the request. */
  | 'terminated'
  /** The connection was lost before the complete answer arrived. */
  | 'cut'
  /** The caller closed the connection long after its deadline. */
  | 'abandoned';

/** A row's version as a statement returned it; the versions of a key only increase. */
export interface VersionedKey {
  /** `<table>/<primary key>`. */
  readonly key: string;
  /** Zero if the row did not exist. */
  readonly version: number;
}

/** The received answer, with data to distinguish it from the answer to another request. */
export interface AnswerRecord {
  /** Unique value that each row of the answer must repeat. */
  readonly expectedEcho: string;
  /** Distinct echoes in the received rows. */
  readonly receivedEchoes: readonly string[];
  /** Number of rows in a complete answer; undefined if unknown in advance. */
  readonly expectedRows: number | undefined;
  readonly receivedRows: number;
  /** Number of answers received for this request. */
  readonly answerCount: number;
}

/** One attempt of one request of one caller. */
export interface RequestRecord {
  /** Unique among all attempts. */
  readonly attemptId: string;
  /** The same for all attempts of one request. */
  readonly logicalId: string;
  readonly tenant: TenantName;
  readonly sessionId: string;
  readonly proxy: string;
  readonly group: GroupName;
  readonly kind: string;
  readonly access: 'read' | 'write';
  /** False: may run at most once, regardless of the number of attempts. */
  readonly repeatable: boolean;
  /** Start time in the open-loop schedule. */
  readonly intendedAt: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly ending: RequestEnding;
  readonly outcome: RequestOutcome;
  /** Detail code (`MS-…`) or SQLSTATE of the error. */
  readonly errorCode: string | undefined;
  readonly retryAfterMs: number | undefined;
  /** Versions that the request's writes returned. */
  readonly wrote: readonly VersionedKey[];
  /** Versions that the request's reads returned. */
  readonly saw: readonly VersionedKey[];
  /** Row (`<table>/<primary key>`) that is committed if and only if this attempt ran. */
  readonly effectRow: string | undefined;
  readonly answer: AnswerRecord | undefined;
  /** Role of the instance that served a read, according to its answer. */
  readonly servedBy: 'primary' | 'replica' | undefined;
  /** The read was marked as tolerating stale data. */
  readonly toleratesStaleness: boolean;
}

/** A transaction as its caller sent it. */
export interface TransactionRecord {
  readonly attemptId: string;
  readonly tenant: TenantName;
  readonly group: GroupName;
  /** Unique rows that the transaction inserts, all in one commit or none. */
  readonly rows: readonly string[];
  readonly outcome: RequestOutcome;
}

/** A commit as an instance logged it. */
export interface CommitRecord {
  readonly group: GroupName;
  readonly position: Position;
  readonly committedAt: number;
  /** `<table>/<primary key>` of each inserted or updated row. */
  readonly rows: readonly string[];
  /** False: the commit is on a branch of the log that the group discarded. */
  readonly survived: boolean;
}

/** Promotion of a primary on a new timeline. */
export interface ElectionRecord {
  readonly group: GroupName;
  readonly instance: InstanceName;
  readonly timeline: number;
  readonly at: number;
}

/** A period in which a back end's leaving mark was visible. */
export interface LeavingRecord {
  readonly instance: InstanceName;
  readonly visibleAt: number;
  /** Time at which the mark was removed; undefined if it was not. */
  readonly endedAt: number | undefined;
}

/** Start of a caller's statement or transaction on a back end. */
export interface WorkRecord {
  readonly instance: InstanceName;
  readonly startedAt: number;
}

/** A graceful shutdown of a proxy. */
export interface PlannedStopRecord {
  readonly proxy: string;
  readonly requestedAt: number;
  readonly exitedAt: number;
  readonly exitCode: number | undefined;
}

/** A configuration that the store accepted. */
export interface AcceptedConfigurationRecord {
  readonly revision: number;
  readonly acceptedAt: number;
}

/** Observation of the revision in force on a proxy. */
export interface ConfigurationSampleRecord {
  readonly proxy: string;
  readonly revision: number;
  readonly at: number;
}

/** Period in which a proxy served callers. */
export interface ProxyServingPeriod {
  readonly proxy: string;
  readonly servingFrom: number;
  /** Undefined: until the end of the run. */
  readonly servingUntil: number | undefined;
}

/** Input of the checkers. */
export interface History {
  readonly requests: readonly RequestRecord[];
  readonly transactions: readonly TransactionRecord[];
  readonly commits: readonly CommitRecord[];
  readonly elections: readonly ElectionRecord[];
  readonly leavings: readonly LeavingRecord[];
  readonly work: readonly WorkRecord[];
  readonly plannedStops: readonly PlannedStopRecord[];
  readonly acceptedConfigurations: readonly AcceptedConfigurationRecord[];
  readonly configurationSamples: readonly ConfigurationSampleRecord[];
  readonly proxyLives: readonly ProxyServingPeriod[];
  /** Time at which the observation ended. */
  readonly endedAt: number;
}

/** A history without events. */
export const EMPTY_HISTORY: History = {
  requests: [],
  transactions: [],
  commits: [],
  elections: [],
  leavings: [],
  work: [],
  plannedStops: [],
  acceptedConfigurations: [],
  configurationSamples: [],
  proxyLives: [],
  endedAt: 0,
};
