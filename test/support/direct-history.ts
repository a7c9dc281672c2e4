/** Checks the responses of clients of the direct gateway against the statements that the instances ran. */
import type { DirectLog, RunRecord } from '../../standins/direct/run-log.js';
import type { LostAnswer } from './line-client.js';

export type RouteType = 'primary' | 'bounded_staleness' | 'read_your_writes';

/** A client's statement and its response; times are of the machine's monotonic clock. */
export interface ClientStatement {
  readonly session: number;
  /** Number of the attempt: a single statement, or all statements of a transaction. */
  readonly attempt: number;
  readonly id: string;
  readonly text: string;
  readonly kind: 'read' | 'write' | 'commit' | 'other';
  readonly inTransaction: boolean;
  /** Session values and, for a prepared name, its shape, as acknowledged to the client. */
  readonly values: Readonly<Record<string, string>>;
  readonly shape?: string;
  readonly service: string;
  readonly routeType: RouteType;
  readonly maxStalenessMs: number;
  /** Its route may be moved to another service meanwhile. */
  readonly mayMove?: boolean;
  readonly gateway?: string;
  readonly sentAt: number;
  answeredAt?: number;
  signature?: string;
  error?: string;
  rows: readonly string[];
  /** The connection ended before a complete response. */
  lost?: LostAnswer;
}

/** The response was received and is no error. */
export function isDone({
  answeredAt,
  error,
}: Pick<ClientStatement, 'answeredAt' | 'error'>): boolean {
  return answeredAt !== undefined && error === undefined;
}

export type Rule =
  | 'MIXED'
  | 'PINNED'
  | 'UNASKED'
  | 'TWICE'
  | 'REFUSED'
  | 'STALE'
  | 'ONE'
  | 'LOST'
  | 'STOP';

export interface Violation {
  readonly rule: Rule;
  readonly detail: string;
}

interface Position {
  readonly term: number;
  readonly number: number;
}

/** A commit that was acknowledged to its client. */
interface AcknowledgedCommit extends Position {
  readonly statement: ClientStatement;
  readonly run: RunRecord;
  readonly at: number;
  /** True if no promotion rolled it back. */
  readonly survives: boolean;
}

/** Error codes that promise that the statement or transaction had no effect. */
const NOT_EXECUTED_CODES = new Set([
  'BUSY',
  'ABORTED',
  'LAGGING',
  'READONLY',
  'MISROUTED',
  'CONNLIMIT',
]);

/** All violations of a rule in the history. */
export function checkDirectHistory(
  statements: readonly ClientStatement[],
  log: DirectLog,
): readonly Violation[] {
  const history = new History(statements, log);
  return [
    ...history.mixed(),
    ...history.unasked(),
    ...history.pinned(),
    ...history.twice(),
    ...history.refused(),
    ...history.stale(),
    ...history.one(),
    ...history.lost(),
  ];
}

class History {
  readonly #byId: ReadonlyMap<string, ClientStatement>;
  readonly #bySignature: ReadonlyMap<string, RunRecord>;
  readonly #commitOf = new Map<number, RunRecord>();
  readonly #startedAt = new Map<number, number>();
  /** Id of each attempt's first read or write. */
  readonly #firstStatementOf = new Map<number, string>();
  readonly #acknowledged: readonly AcknowledgedCommit[];

  constructor(
    private readonly statements: readonly ClientStatement[],
    private readonly log: DirectLog,
  ) {
    this.#byId = new Map(statements.map((statement) => [statement.id, statement]));
    this.#bySignature = new Map(log.runs.map((run) => [run.signature, run]));
    for (const run of log.runs) if (run.kind === 'commit') this.#commitOf.set(run.transaction, run);
    for (const { attempt, id, kind, sentAt } of statements) {
      if (kind !== 'other' && !this.#firstStatementOf.has(attempt))
        this.#firstStatementOf.set(attempt, id);
      this.#startedAt.set(attempt, Math.min(sentAt, this.#startedAt.get(attempt) ?? sentAt));
    }
    this.#acknowledged = statements.flatMap((statement) => this.#commitAcknowledgedBy(statement));
  }

  #commitAcknowledgedBy(statement: ClientStatement): AcknowledgedCommit[] {
    const run = this.#bySignature.get(statement.signature ?? '');
    if (run?.committed === undefined || statement.answeredAt === undefined) return [];
    const { service, committed } = run;
    const entries = this.log.services.find((one) => one.service === service)?.entries ?? [];
    const survives = entries[committed.number - 1]?.term === committed.term;
    return [{ ...committed, statement, run, at: statement.answeredAt, survives }];
  }

  /** Runs that belong to a client's statement, with that statement. */
  #requestedRuns(): [RunRecord, ClientStatement][] {
    return this.log.runs.flatMap((run) => {
      const statement = this.#byId.get(run.id);
      return statement === undefined ? [] : [[run, statement]];
    });
  }

  /** The run that committed this write; undefined if none did. */
  #effectOf(run: RunRecord): RunRecord | undefined {
    if (run.kind !== 'write' || run.error === 'FAILED') return undefined;
    const commit = run.transaction === 0 ? run : this.#commitOf.get(run.transaction);
    return commit?.committed === undefined ? undefined : commit;
  }

  /** Responses that belong to another statement. */
  mixed(): Violation[] {
    const successes = this.statements.filter(
      ({ kind, signature }) => kind !== 'other' && signature !== undefined,
    );
    return successes.flatMap((statement) => {
      const run = this.#bySignature.get(statement.signature ?? '');
      const isOwn = run?.id === statement.id && isSameText(run.text, statement.text);
      const hasRows = run !== undefined && run.rows.join('\n') === statement.rows.join('\n');
      if (isOwn && hasRows) return [];
      return [violation('MIXED', `${describe(statement)} given ${statement.signature}`)];
    });
  }

  /** Runs of statements that no client sent. */
  unasked(): Violation[] {
    return this.log.runs
      .filter((run) => !isSameText(run.text, this.#byId.get(run.id)?.text))
      .map((run) => violation('UNASKED', `run ${run.run}: ${run.id} ${run.text}`));
  }

  /** Statements that ran outside their transaction or connection, or with other session state. */
  pinned(): Violation[] {
    const found: Violation[] = [];
    const attemptOf = new Map<number, number>();
    const locationOf = new Map<number, string>();
    const continuedAttempts = new Set<number>();
    for (const [run, statement] of this.#requestedRuns()) {
      const addViolation = (what: string): void => {
        found.push(violation('PINNED', `${describe(statement)}, run ${run.run}: ${what}`));
      };
      if (statement.inTransaction !== run.transaction > 0) addViolation('outside its transaction');
      if (!isSame(statement.values, run.values)) addViolation('other session values');
      if (statement.shape !== run.shape) addViolation(`shape ${run.shape}`);
      if (run.transaction === 0) continue;
      const { attempt, id } = statement;
      const location = `${run.connection}/${run.transaction}`;
      const isFirst = this.#firstStatementOf.get(attempt) === id;
      if ((attemptOf.get(run.transaction) ?? attempt) !== attempt) {
        addViolation("inside another client's transaction");
      }
      // A transaction may be restarted on another connection until a second statement has run.
      const mayMove = isFirst && !continuedAttempts.has(attempt);
      if (!mayMove && (locationOf.get(attempt) ?? location) !== location)
        addViolation('not on its connection');
      attemptOf.set(run.transaction, attempt);
      locationOf.set(attempt, location);
      if (!isFirst) continuedAttempts.add(attempt);
    }
    const unprepared = this.statements.filter(
      ({ error, shape }) => error === 'UNPREPARED' && shape !== undefined,
    );
    return [
      ...found,
      ...unprepared.map((one) => violation('PINNED', `${describe(one)}: not prepared`)),
    ];
  }

  /** Statements that took effect more than once. */
  twice(): Violation[] {
    const effects = new Map<string, number>();
    for (const run of this.log.runs) {
      if (this.#effectOf(run) === undefined) continue;
      effects.set(run.id, (effects.get(run.id) ?? 0) + 1);
    }
    return [...effects].flatMap(([id, times]) =>
      times > 1 ? [violation('TWICE', `${id} took effect ${times} times`)] : [],
    );
  }

  /** Statements that took effect although their error promised that they had not. */
  refused(): Violation[] {
    const promised = new Map<number, ClientStatement>();
    for (const statement of this.statements) {
      if (NOT_EXECUTED_CODES.has(statement.error ?? '')) promised.set(statement.attempt, statement);
    }
    return this.#requestedRuns().flatMap(([run, { attempt }]) => {
      const promise = promised.get(attempt);
      if (promise === undefined || this.#effectOf(run) === undefined) return [];
      return [violation('REFUSED', `${promise.error} for ${describe(promise)}, run ${run.run}`)];
    });
  }

  /** Reads that miss an acknowledged commit which their route must show. */
  stale(): Violation[] {
    return this.#requestedRuns().flatMap(([run, statement]) => {
      if (run.kind !== 'read') return [];
      const missed = this.#acknowledged.find(
        (commit) => this.#mustSee(statement, run, commit) && !contains(run.position, commit),
      );
      if (missed === undefined) return [];
      const { term, number } = run.position;
      const detail = `run ${run.run} at ${term}.${number} lacks ${missed.term}.${missed.number}`;
      return [violation('STALE', `${describe(statement)}: ${detail}`)];
    });
  }

  #mustSee(read: ClientStatement, run: RunRecord, commit: AcknowledgedCommit): boolean {
    const service = read.mayMove === true ? run.service : read.service;
    if (!commit.survives || commit.run.service !== service) return false;
    const start = this.#startedAt.get(read.attempt) ?? read.sentAt;
    const isOwn =
      read.routeType === 'read_your_writes' && commit.statement.session === read.session;
    const allowedStalenessMs = read.routeType === 'primary' || isOwn ? 0 : read.maxStalenessMs;
    return commit.at < start - allowedStalenessMs;
  }

  /** Conflicting promotion calls, and commits acknowledged by a replaced primary. */
  one(): Violation[] {
    const found: Violation[] = [];
    const newest = new Map<string, { readonly token: number; readonly holder: string }>();
    for (const { service, token, holder } of this.log.promotionCalls) {
      const last = newest.get(service);
      if (last?.token === token && last.holder !== holder) {
        found.push(violation('ONE', `${last.holder} and ${holder} promote with ${token}`));
      }
      if (last !== undefined && token < last.token) {
        found.push(violation('ONE', `${holder} promotes with ${token} after ${last.token}`));
      } else newest.set(service, { token, holder });
    }
    for (const { run, term, statement } of this.#acknowledged) {
      const deposed = this.log.promotions.find(
        ({ service, leads, at }) =>
          service === run.service && leads > term && at < (run.committedAt ?? 0),
      );
      if (deposed === undefined) continue;
      found.push(violation('ONE', `${describe(statement)} at the old primary, run ${run.run}`));
    }
    return found;
  }

  /** Acknowledged commits that a promotion removed, in services with synchronous replicas. */
  lost(): Violation[] {
    const lost = this.#acknowledged.filter(({ run, survives }) => {
      const service = this.log.services.find((one) => one.service === run.service);
      return !survives && (service?.syncReplicas ?? 0) > 0;
    });
    return lost.map(({ statement, run }) =>
      violation('LOST', `${describe(statement)}, run ${run.run}, is not in the log any more`),
    );
  }
}

function violation(rule: Rule, detail: string): Violation {
  return { rule, detail };
}

function describe({ session, id, text }: ClientStatement): string {
  return `session ${session}: ${id} ${text}`;
}

/** The gateway may rename prepared statements; they are compared by their shape. */
function isSameText(left: string, right: string | undefined): boolean {
  const anyName = (text = ''): string => text.replace(/^EXECUTE \S+/, 'EXECUTE *');
  return anyName(left) === anyName(right);
}

function isSame(
  left: Readonly<Record<string, string>>,
  right: Readonly<Record<string, string>>,
): boolean {
  const names = Object.keys(left);
  const isEqual = names.every((name) => left[name] === right[name]);
  return isEqual && names.length === Object.keys(right).length;
}

/** True if a log that ends at `position` contains the commit, which was never rolled back. */
function contains(position: Position, { term, number }: Position): boolean {
  return number <= position.number && term <= position.term;
}
