/** One caller's connection to a database instance: session, transaction and the line protocol. */
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { LineReader } from '../../src/platform/line-reader.js';
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
  splitFields,
  type WorkStatement,
} from './statements.js';

const MAX_MESSAGE_BYTES = 1024 * 1024;
const NO_SIGNATURE = '-';

type State = 'I' | 'T' | 'E';
type ErrorCode =
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

/** `gone`: nothing is answered, and the connection ends. */
type Outcome =
  | { readonly type: 'complete'; readonly rows: readonly string[]; readonly signature: string }
  | { readonly type: 'error'; readonly code: ErrorCode }
  | { readonly type: 'gone' };

interface Transaction {
  readonly number: number;
  readonly isRead: boolean;
  /** Term that the instance led when a plain transaction began. */
  readonly term: number;
  readonly writes: { thing: string; data: string }[];
}

/** What a work statement comes down to. */
interface Work {
  readonly kind: RunRecord['kind'];
  readonly thing: string;
  readonly data: string;
  readonly shape?: string;
}

const DONE = completed([]);
const GONE: Outcome = { type: 'gone' };

function completed(rows: readonly string[]): Outcome {
  return { type: 'complete', rows, signature: NO_SIGNATURE };
}

function failure(code: ErrorCode): Outcome {
  return { type: 'error', code };
}

export class InstanceConnection {
  readonly #number: number;
  readonly #lines: string[] = [];
  readonly #gone = new AbortController();
  #isServing = false;
  #isStarted = false;
  #withheld = '';
  #state: State = 'I';
  #transaction: Transaction | undefined;
  readonly #values = new Map<string, string>();
  readonly #prepared = new Map<string, Prepared>();

  constructor(
    private readonly socket: Socket,
    private readonly instance: Instance,
  ) {
    this.#number = instance.runLog.nextConnection();
    const reader = new LineReader(MAX_MESSAGE_BYTES);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      const lines = reader.push(chunk);
      if (lines.isErr()) socket.destroy();
      else this.#take(lines.value);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => this.#gone.abort());
    if (instance.member.isDark) socket.pause();
  }

  get #isGone(): boolean {
    return this.#gone.signal.aborted;
  }

  /** Nothing gets in or out from now on. */
  darken(): void {
    this.socket.pause();
  }

  /** What was withheld goes out, and what waits comes in. */
  lighten(): void {
    this.socket.write(this.#withheld);
    this.#withheld = '';
    this.socket.resume();
  }

  /** Ends the connection with a reset. */
  reset(): void {
    this.#gone.abort();
    this.socket.resetAndDestroy();
  }

  #take(lines: readonly string[]): void {
    this.#lines.push(...lines.map((line) => line.replace(/\r$/, '')));
    if (this.#isServing) return;
    this.#isServing = true;
    this.#serveAll().finally(() => {
      this.#isServing = false;
    });
  }

  async #serveAll(): Promise<void> {
    for (let line = this.#lines.shift(); line !== undefined; line = this.#lines.shift()) {
      if (this.#isGone) return;
      const [word, id, text] = splitFields(line, 3);
      if (word === 'TERMINATE') this.socket.end();
      else if (!this.#isStarted) await this.#start(line);
      else if (word === 'QUERY' && id !== undefined && text !== undefined) {
        await this.#query(id, text);
      } else this.#answer(failure('MALFORMED'));
    }
  }

  #send(text: string): void {
    if (this.instance.member.isDark) this.#withheld += text;
    else if (!this.socket.destroyed) this.socket.write(text);
  }

  #ready(): string {
    const position = this.instance.member.applied(monotonicMs());
    return `READY ${this.#state} ${formatPosition(position)}\r\n`;
  }

  async #start(line: string): Promise<void> {
    const [word, service, , id] = splitFields(line, 4);
    const { member, options, slots } = this.instance;
    const isRight = service === options.service && (id === undefined || id === member.id);
    const refuse = (code: ErrorCode): void => {
      this.#send(`ERROR ${code} ${member.id}\r\n`);
      this.socket.end();
      this.#gone.abort();
    };
    if (word !== 'START') return refuse('MALFORMED');
    if (!isRight) return refuse('MISROUTED');
    if (this.instance.connectionCount > options.maxConnections) return refuse('CONNLIMIT');
    if (!(await slots.acquire(this.#gone.signal))) return;
    await pause(options.connectMs * this.instance.faults.slowFactor);
    slots.release();
    this.#isStarted = true;
    this.#send(this.#ready());
  }

  async #query(id: string, whole: string): Promise<void> {
    const parsed = parseText(whole);
    const { statement } = parsed;
    const outcome =
      this.#state === 'E' ? this.#inFailed(statement) : await this.#run(id, parsed, statement);
    if (outcome.type === 'error' && this.#state === 'T') this.#state = 'E';
    this.#answer(outcome);
  }

  #answer(outcome: Outcome): void {
    if (this.#isGone) return;
    if (outcome.type === 'gone') this.reset();
    else if (outcome.type === 'error') {
      this.#send(`ERROR ${outcome.code} ${this.instance.member.id}\r\n${this.#ready()}`);
    } else {
      const rows = outcome.rows.map((row) => `ROW ${row}\r\n`).join('');
      this.#send(`${rows}COMPLETE ${outcome.signature}\r\n${this.#ready()}`);
    }
  }

  #inFailed(statement: Statement | undefined): Outcome {
    if (statement?.type !== 'rollback' && statement?.type !== 'commit') return failure('MALFORMED');
    this.#endTransaction();
    return statement.type === 'rollback' ? DONE : failure('ABORTED');
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
        return this.#work(id, parsed, statement);
      case 'status':
        return this.instance.refusesAsBusy() ? failure('BUSY') : this.#statusRow();
      case 'pause':
      case 'resume':
      case 'demote':
        return this.#control(statement);
      case 'begin':
        return this.#begin(parsed, statement.isRead);
      default:
        return this.#session(statement);
    }
  }

  #session(statement: Statement | undefined): Outcome {
    if (statement?.type === 'rollback') this.#endTransaction();
    else if (this.#hasLostLead()) return failure('READONLY');
    else if (statement?.type === 'set') this.#values.set(statement.name, statement.value);
    else if (statement?.type === 'prepare') {
      this.#prepared.set(statement.name, statement.prepared);
    } else if (statement?.type === 'deallocate') {
      if (!this.#prepared.delete(statement.name)) return failure('UNPREPARED');
    } else if (statement?.type === 'reset') {
      this.#values.clear();
      this.#prepared.clear();
    } else return failure('MALFORMED');
    return DONE;
  }

  #control(statement: ControlStatement): Outcome {
    const { member, group } = this.instance;
    if (statement.type === 'resume') member.heldTerm = 0;
    if (statement.type === 'pause' && member.role === 'replica' && statement.term > member.term) {
      member.heldTerm = Math.max(member.heldTerm, statement.term);
    }
    if (statement.type === 'demote' && member.role === 'primary' && member.term < statement.term) {
      group.demote(member);
    }
    return this.#statusRow();
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
    const number = runLog.nextTransaction();
    this.#transaction = { number, isRead, term: member.term, writes: [] };
    this.#state = 'T';
    return DONE;
  }

  #hasLostLead(): boolean {
    const transaction = this.#transaction;
    if (transaction === undefined || transaction.isRead) return false;
    const { role, term } = this.instance.member;
    return role !== 'primary' || term !== transaction.term;
  }

  #resolve(statement: WorkStatement): Work | undefined {
    if (statement.type === 'commit') return { kind: 'commit', thing: '', data: '' };
    if (statement.type === 'work') return statement;
    const prepared = this.#prepared.get(statement.name);
    return prepared && { ...prepared, thing: statement.thing, data: statement.data };
  }

  async #work(id: string, parsed: ParsedText, statement: WorkStatement): Promise<Outcome> {
    const { slots, faults, options } = this.instance;
    const work = this.#resolve(statement);
    if (work === undefined) return failure('UNPREPARED');
    if (work.kind === 'commit' && this.#transaction === undefined) return failure('MALFORMED');
    if (this.instance.refusesAsBusy()) return failure('BUSY');
    if (!(await slots.acquire(this.#gone.signal))) return GONE;
    let finish: () => Promise<Outcome>;
    let record: RunRecord;
    try {
      const refusal = this.#refusal(work, parsed);
      if (refusal !== undefined) return failure(refusal);
      record = this.#record(id, parsed.text, work);
      const { term } = this.instance.member;
      await pause(options.workMs * faults.slowFactor);
      if (this.#isGone) return GONE;
      finish = this.#effect(work, record, term);
    } finally {
      slots.release();
    }
    const outcome = await finish();
    if (outcome.type === 'error') record.error = outcome.code;
    return this.#spoil(outcome, record);
  }

  #refusal({ kind }: Work, { after }: ParsedText): ErrorCode | undefined {
    const { member } = this.instance;
    const transaction = this.#transaction;
    const isEmptyCommit = kind === 'commit' && transaction?.writes.length === 0;
    if (this.#hasLostLead() && !isEmptyCommit) return 'READONLY';
    const mayWrite = member.role === 'primary' && transaction?.isRead !== true;
    if (kind === 'write' && !mayWrite) return 'READONLY';
    if (after !== undefined && !member.hasApplied(after, monotonicMs())) return 'LAGGING';
    return undefined;
  }

  #record(id: string, text: string, work: Work): RunRecord {
    const { member, options, runLog } = this.instance;
    const now = monotonicMs();
    return runLog.start({
      service: options.service,
      instance: member.id,
      connection: this.#number,
      id,
      text,
      kind: work.kind,
      ...(work.shape === undefined ? {} : { shape: work.shape }),
      transaction: this.#transaction?.number ?? 0,
      values: Object.fromEntries(this.#values),
      startedAt: now,
      position: member.applied(now),
      rows: this.#rowsOf(work, now),
    });
  }

  #rowsOf({ kind, thing, shape }: Work, now: Milliseconds): string[] {
    if (kind !== 'read') return [];
    const own = this.#transaction?.writes.findLast((write) => write.thing === thing)?.data;
    const data = own ?? this.instance.member.read(thing, now) ?? '-';
    return [shape === undefined ? data : `${shape} ${data}`];
  }

  /** Lets the statement take effect; gives what waits for its answer. */
  #effect(work: Work, record: RunRecord, term: number): () => Promise<Outcome> {
    const { faults, member } = this.instance;
    const complete: Outcome = { type: 'complete', rows: record.rows, signature: record.signature };
    if (work.kind !== 'commit' && faults.failNext > 0) {
      faults.failNext -= 1;
      return async () => failure('FAILED');
    }
    const transaction = this.#transaction;
    const { thing, data } = work;
    if (work.kind === 'write' && transaction !== undefined)
      transaction.writes.push({ thing, data });
    const isCommitted = work.kind === 'commit' || (work.kind === 'write' && !transaction);
    const writes = isCommitted ? (transaction?.writes ?? [{ thing, data }]) : [];
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

  /** Loses the answer or breaks it off, if that is asked for. */
  #spoil(outcome: Outcome, record: RunRecord): Outcome {
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
    this.#send(`${outcome.rows.map((row) => `ROW ${row}\r\n`).join('')}COMPL`);
    this.socket.end();
    this.#gone.abort();
    return outcome;
  }
}
