/** A session at a database instance: its values, prepared statements, transaction and execution. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import type { SyncOutcome } from './group.js';
import type { Instance } from './instance.js';
import { formatPosition, type LogEntry } from './member.js';
import { monotonicMs } from './monotonic.js';
import type { RunRecord } from './run-log.js';
import {
  type ControlStatement,
  type ParsedText,
  type Prepared,
  parseText,
  type Statement,
  type WorkStatement,
} from './statements.js';

const NO_SIGNATURE = '-';

type State = 'I' | 'T' | 'E';
export type ErrorCode =
  | 'BUSY'
  | 'CONNLIMIT'
  | 'FAILED'
  | 'LAGGING'
  | 'MALFORMED'
  | 'MISROUTED'
  | 'READONLY'
  | 'ABORTED'
  | 'TIMEOUT'
  | 'UNPREPARED';

/** `broken`: the response ends after the rows; `gone`: no response. Both end the connection. */
export type Outcome =
  | { readonly type: 'complete'; readonly rows: readonly string[]; readonly signature: string }
  | { readonly type: 'error'; readonly code: ErrorCode }
  | { readonly type: 'broken'; readonly rows: readonly string[] }
  | { readonly type: 'gone' };

interface Transaction {
  readonly number: number;
  readonly isRead: boolean;
  /** Term of the instance when the transaction began. */
  readonly term: number;
  readonly writes: { key: string; data: string }[];
}

/** A work statement with its prepared name resolved. */
interface Work {
  readonly kind: RunRecord['kind'];
  readonly key: string;
  readonly data: string;
  readonly shape?: string;
}

const COMPLETED = completed([]);
const GONE: Outcome = { type: 'gone' };

function completed(rows: readonly string[]): Outcome {
  return { type: 'complete', rows, signature: NO_SIGNATURE };
}

function failure(code: ErrorCode): Outcome {
  return { type: 'error', code };
}

export class InstanceSession {
  /** Account that the connection was opened for. */
  account = '';
  #state: State = 'I';
  #transaction: Transaction | undefined;
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, Prepared>();

  /** `closedSignal` aborts when the connection ends. */
  constructor(
    private readonly instance: Instance,
    private readonly connection: number,
    private readonly closedSignal: AbortSignal,
  ) {}

  get state(): State {
    return this.#state;
  }

  async query(id: string, fullText: string): Promise<Outcome> {
    const parsed = parseText(fullText);
    const { statement } = parsed;
    const outcome =
      this.#state === 'E'
        ? this.#runInFailedTransaction(statement)
        : await this.#run(id, parsed, statement);
    if (outcome.type === 'error' && this.#state === 'T') this.#state = 'E';
    return outcome;
  }

  #runInFailedTransaction(statement: Statement | undefined): Outcome {
    if (statement?.type !== 'rollback' && statement?.type !== 'commit') return failure('MALFORMED');
    this.#endTransaction();
    return statement.type === 'rollback' ? COMPLETED : failure('ABORTED');
  }

  #endTransaction(): void {
    this.#transaction = undefined;
    this.#state = 'I';
  }

  #run(
    id: string,
    parsed: ParsedText,
    statement: Statement | undefined,
  ): Outcome | Promise<Outcome> {
    switch (statement?.type) {
      case 'work':
      case 'execute':
      case 'commit':
        return this.#runWork(id, parsed, statement);
      case 'status':
      case 'pause':
      case 'resume':
      case 'demote':
        return this.#runControlStatement(statement);
      case 'begin':
        return this.#begin(parsed, statement.isRead);
      default:
        return this.#runSessionStatement(statement);
    }
  }

  #runSessionStatement(statement: Statement | undefined): Outcome {
    if (statement?.type === 'rollback') this.#endTransaction();
    else if (this.#isNoLongerPrimary()) return failure('READONLY');
    else if (statement?.type === 'set') this.#values.set(statement.name, statement.value);
    else if (statement?.type === 'prepare') {
      this.#prepared.set(statement.name, statement.prepared);
    } else if (statement?.type === 'deallocate') {
      if (!this.#prepared.delete(statement.name)) return failure('UNPREPARED');
    } else if (statement?.type === 'reset') {
      this.#values.clear();
      this.#prepared.clear();
    } else return failure('MALFORMED');
    return COMPLETED;
  }

  #runControlStatement(statement: ControlStatement): Outcome | Promise<Outcome> {
    const { member, group, faults } = this.instance;
    if (faults.isDeafToControl) return this.#waitForClose();
    if (statement.type === 'status' && this.instance.refusesAsBusy()) return failure('BUSY');
    if (statement.type === 'resume') member.heldTerm = 0;
    if (statement.type === 'pause' && member.role === 'replica' && statement.term > member.term) {
      member.heldTerm = Math.max(member.heldTerm, statement.term);
    }
    if (statement.type === 'demote' && member.role === 'primary' && member.term < statement.term) {
      group.demote(member);
    }
    return this.#statusRow();
  }

  /** Resolves only when the connection ends, so that no response is sent. */
  #waitForClose(): Promise<Outcome> {
    return new Promise((resolve) => {
      this.closedSignal.addEventListener('abort', () => resolve(GONE));
    });
  }

  #statusRow(): Outcome {
    const { member, slots, connectionCount } = this.instance;
    const received = formatPosition(member.received);
    const lag = Math.round(member.lagAt(monotonicMs()));
    const fields = [member.role, member.term, received, member.heldTerm, lag];
    return completed([[...fields, slots.inUse, connectionCount].join(' ')]);
  }

  #begin({ after }: ParsedText, isRead: boolean): Outcome {
    const { member, runLog } = this.instance;
    if (this.#transaction !== undefined) return failure('MALFORMED');
    if (!isRead && member.role !== 'primary') return failure('READONLY');
    if (after !== undefined && !member.hasApplied(after, monotonicMs())) return failure('LAGGING');
    const number = runLog.nextTransactionNumber();
    this.#transaction = { number, isRead, term: member.term, writes: [] };
    this.#state = 'T';
    return COMPLETED;
  }

  #isNoLongerPrimary(): boolean {
    const transaction = this.#transaction;
    if (transaction === undefined || transaction.isRead) return false;
    const { role, term } = this.instance.member;
    return role !== 'primary' || term !== transaction.term;
  }

  #resolveWork(statement: WorkStatement): Work | undefined {
    if (statement.type === 'commit') return { kind: 'commit', key: '', data: '' };
    if (statement.type === 'work') return statement;
    const prepared = this.#prepared.get(statement.name);
    return prepared && { ...prepared, key: statement.key, data: statement.data };
  }

  async #runWork(id: string, parsed: ParsedText, statement: WorkStatement): Promise<Outcome> {
    const { slots, faults, options } = this.instance;
    const work = this.#resolveWork(statement);
    if (work === undefined) return failure('UNPREPARED');
    if (work.kind === 'commit' && this.#transaction === undefined) return failure('MALFORMED');
    if (this.instance.refusesAsBusy()) return failure('BUSY');
    if (!(await slots.acquire(this.closedSignal))) return GONE;
    let finish: () => Promise<Outcome>;
    let record: RunRecord;
    try {
      const refusal = this.#refusalOf(work, parsed);
      if (refusal !== undefined) return failure(refusal);
      record = this.#startRecord(id, parsed.text, work);
      const { term } = this.instance.member;
      await pause(options.workMs * faults.slowFactor);
      if (this.closedSignal.aborted) return GONE;
      finish = this.#apply(work, record, term);
    } finally {
      slots.release();
    }
    const outcome = await finish();
    if (outcome.type === 'error') record.error = outcome.code;
    return this.#injectAnswerFault(outcome, record);
  }

  #refusalOf({ kind }: Work, { after }: ParsedText): ErrorCode | undefined {
    const { member } = this.instance;
    const transaction = this.#transaction;
    const isEmptyCommit = kind === 'commit' && transaction?.writes.length === 0;
    if (this.#isNoLongerPrimary() && !isEmptyCommit) return 'READONLY';
    const mayWrite = member.role === 'primary' && transaction?.isRead !== true;
    if (kind === 'write' && !mayWrite) return 'READONLY';
    if (after !== undefined && !member.hasApplied(after, monotonicMs())) return 'LAGGING';
    return undefined;
  }

  #startRecord(id: string, text: string, work: Work): RunRecord {
    const { member, options, runLog } = this.instance;
    const now = monotonicMs();
    return runLog.start({
      service: options.service,
      instance: member.id,
      connection: this.connection,
      account: this.account,
      id,
      text,
      kind: work.kind,
      ...(work.shape === undefined ? {} : { shape: work.shape }),
      transaction: this.#transaction?.number ?? 0,
      values: Object.fromEntries(this.#values),
      startedAt: now,
      position: member.applied(now),
      rows: this.#readRows(work, now),
    });
  }

  #readRows({ kind, key, shape }: Work, now: Milliseconds): string[] {
    if (kind !== 'read') return [];
    const own = this.#transaction?.writes.findLast((write) => write.key === key)?.data;
    const data = own ?? this.instance.member.read(key, now) ?? '-';
    return [shape === undefined ? data : `${shape} ${data}`];
  }

  /** Applies the statement; the returned function waits until it may be answered. */
  #apply(work: Work, record: RunRecord, term: number): () => Promise<Outcome> {
    const { faults, member } = this.instance;
    const complete: Outcome = { type: 'complete', rows: record.rows, signature: record.signature };
    if (work.kind !== 'commit' && faults.failNext > 0) {
      faults.failNext -= 1;
      return async () => failure('FAILED');
    }
    const transaction = this.#transaction;
    const { key, data } = work;
    if (work.kind === 'write' && transaction !== undefined) transaction.writes.push({ key, data });
    const isCommitted = work.kind === 'commit' || (work.kind === 'write' && !transaction);
    const writes = isCommitted ? (transaction?.writes ?? [{ key, data }]) : [];
    if (writes.length > 0 && (member.role !== 'primary' || member.term !== term)) {
      return async () => failure('READONLY');
    }
    if (work.kind === 'commit') this.#endTransaction();
    if (writes.length === 0) return async () => complete;
    return () => this.#commit(record, writes, complete);
  }

  async #commit(
    record: RunRecord,
    writes: LogEntry['writes'],
    complete: Outcome,
  ): Promise<Outcome> {
    const { group, member, options } = this.instance;
    const [{ term, number }, received] = group.commit(member, record.run, writes);
    record.committed = { term, number };
    record.committedAt = monotonicMs();
    const late = pause(options.syncTimeoutMs, 'late' as const);
    const outcome: SyncOutcome | 'late' = await Promise.race([received, late]);
    if (outcome === 'late') return failure('TIMEOUT');
    return outcome === 'received' ? complete : GONE;
  }

  /** Drops or truncates the response if a fault demands it. */
  #injectAnswerFault(outcome: Outcome, record: RunRecord): Outcome {
    const { faults } = this.instance;
    if (outcome.type !== 'complete') return outcome;
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      record.isAnswerLost = true;
      return GONE;
    }
    if (faults.breakAnswers === 0) return outcome;
    faults.breakAnswers -= 1;
    record.isAnswerLost = true;
    return { type: 'broken', rows: outcome.rows };
  }
}
