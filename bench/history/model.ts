/**
 * What a run leaves behind for the checkers: requests as callers saw them, and what databases,
 * proxies and operators did meanwhile. All times are milliseconds since the Unix epoch by one
 * machine's clock.
 */
import type { Position } from '../../src/core/position.js';
import type { GroupName, InstanceName, TenantName } from '../../src/core/request.js';

/** How a request ended in the four outcomes that callers are told. */
export type RequestOutcome = 'done' | 'not-run' | 'unknown' | 'failed';

/** How the answer ended on the caller's connection. */
export type RequestEnding =
  /** ReadyForQuery arrived, or a whole error answer. */
  | 'answered'
  /** The proxy said goodbye (57P01) before it took the request. */
  | 'terminated'
  /** The connection was lost before the whole answer was there. */
  | 'cut'
  /** The caller waited far beyond its deadline and closed the connection. */
  | 'abandoned';

/** A row's version as a statement returned it; versions of a key only grow. */
export interface VersionedKey {
  /** `<table>/<primary key>`. */
  readonly key: string;
  /** Zero if the row was not there. */
  readonly version: number;
}

/** What came back, to be told from someone else's answer. */
export interface AnswerRecord {
  /** Value that the request asked to have echoed in its rows. */
  readonly expectedEcho: string;
  /** Different echoes found in the rows. */
  readonly receivedEchoes: readonly string[];
  /** Rows that a whole answer has; undefined if that can't be told beforehand. */
  readonly expectedRows: number | undefined;
  readonly receivedRows: number;
  /** Answers that came for this one request. */
  readonly answerCount: number;
}

/** One attempt of one request of one caller. */
export interface RequestRecord {
  /** Unique among all attempts. */
  readonly attemptId: string;
  /** The same for each retry of one request. */
  readonly logicalId: string;
  readonly tenant: TenantName;
  readonly sessionId: string;
  readonly proxy: string;
  readonly group: GroupName;
  readonly kind: string;
  readonly access: 'read' | 'write';
  /** False: may run at most once, whatever the number of attempts. */
  readonly repeatable: boolean;
  /** When the open-loop schedule meant the request to start. */
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
  /** Row (`<table>/<primary key>`) that is committed exactly if this attempt ran. */
  readonly effectRow: string | undefined;
  readonly answer: AnswerRecord | undefined;
  /** By which kind of instance a read was served, as its answer says. */
  readonly servedBy: 'primary' | 'replica' | undefined;
  /** The read was marked to tolerate stale data. */
  readonly toleratesStaleness: boolean;
}

/** A transaction as its caller meant it. */
export interface TransactionRecord {
  readonly attemptId: string;
  readonly tenant: TenantName;
  readonly group: GroupName;
  /** Rows unique to this transaction that it inserts, all in one commit or none. */
  readonly rows: readonly string[];
  readonly outcome: RequestOutcome;
}

/** A commit as an instance logged it. */
export interface CommitRecord {
  readonly group: GroupName;
  readonly position: Position;
  readonly committedAt: number;
  /** `<table>/<primary key>` of each row put. */
  readonly rows: readonly string[];
  /** False: the commit is on a branch of the log that the group threw away. */
  readonly survived: boolean;
}

/** A primary took over on a new timeline. */
export interface ElectionRecord {
  readonly group: GroupName;
  readonly instance: InstanceName;
  readonly timeline: number;
  readonly at: number;
}

/** A back end's leaving mark became visible. */
export interface LeavingRecord {
  readonly instance: InstanceName;
  readonly visibleAt: number;
  /** The mark was taken back; undefined if it was not. */
  readonly endedAt: number | undefined;
}

/** New work reached a back end: a statement or transaction of a caller started there. */
export interface WorkRecord {
  readonly instance: InstanceName;
  readonly startedAt: number;
}

/** A proxy was asked to stop and did. */
export interface PlannedStopRecord {
  readonly proxy: string;
  readonly requestedAt: number;
  readonly exitedAt: number;
  readonly exitCode: number | undefined;
}

/** The store accepted a configuration. */
export interface AcceptedConfigurationRecord {
  readonly revision: number;
  readonly acceptedAt: number;
}

/** A proxy was seen to have this revision in force. */
export interface ConfigurationSampleRecord {
  readonly proxy: string;
  readonly revision: number;
  readonly at: number;
}

/** Time in which a proxy served callers. */
export interface ProxyLifeRecord {
  readonly proxy: string;
  readonly servingFrom: number;
  /** Undefined: to the end of the run. */
  readonly servingUntil: number | undefined;
}

/** Everything that the checkers look at. */
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
  readonly proxyLives: readonly ProxyLifeRecord[];
  /** End of the observation. */
  readonly endedAt: number;
}

/** A history in which nothing happened. */
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
