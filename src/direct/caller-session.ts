/**
 * One caller's session: handles its messages in order and writes exactly one response to each. The
 * session keeps the caller's values and prepared statements; it takes a connection to an instance only
 * for the duration of a statement or transaction.
 */
import { createHash } from 'node:crypto';
import type { Position } from '../core/position.js';
import { refusalRetryDelay } from '../core/retry/refusal-retry-delay.js';
import {
  freshSession,
  limitGroups,
  markUnknown,
  observe,
  requirementFor,
} from '../core/session/state.js';
import type { PreparedStatement } from '../core/statements/session-values.js';
import { SessionVariables } from '../core/statements/session-variables.js';
import type {
  Statement,
  StatementErrorCode,
  TransactionState,
} from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { RouteDescription } from './contract.js';
import { InFlightStatements } from './in-flight-statements.js';
import { WIRE_ENCODING } from './line-splitter.js';
import type { RequestLog } from './request-log.js';
import { RequestTrace } from './request-trace.js';
import type { ServiceRuntime } from './service-runtime.js';
import { CUT_AT_STOP, SessionShutdown } from './session-shutdown.js';
import {
  RETRY_AFTER_MS,
  type Refusal,
  type StatementOutcome,
  type StatementRequest,
} from './statement-request.js';
import type { StatementRunner } from './statement-runner.js';
import type { Tenant } from './tenant.js';
import { Transaction } from './transaction.js';
import type { CallerMessage, StatementWire } from './wire.js';
import { timeoutAfterInput } from './within.js';

const SHARED_NAME_LENGTH = 16;
/** Services whose last write a session remembers; in others that it may have written to, only the primary serves it. */
const MAX_WRITTEN_SERVICES = 16;
/** Retry delay suggested to callers while the primary is being replaced; longer than the usual one. */
const RETRY_DURING_PRIMARY_CHANGE_MS = 500;
/** Maximum number of pipelined messages of a caller. */
const MAX_QUEUED_MESSAGES = 64;
/** Maximum wait of a caller that connects before this node has received its routes. */
const CONFIGURATION_TIMEOUT_MS = 1500;
/** Maximum wait of a new session value for statements that still run with the old values. */
const VALUE_CHANGE_TIMEOUT_MS = 1500;

/** A route, the service behind it, and the tenant whose policy applies. */
export interface ResolvedRoute {
  /** The tenant that the caller's key belongs to; undefined where callers need no key. */
  readonly account?: string | undefined;
  /** Set if nothing may run for this caller now. */
  readonly refusal?: Refusal | undefined;
  readonly route: RouteDescription;
  readonly service: ServiceRuntime;
  readonly tenant: Tenant;
}

/** Looks up routes in the current configuration. */
export interface RouteLookup {
  find(database: string, keyDigest: string): ResolvedRoute | undefined;
  /** Counts one operation against an account's quota, or refuses it if the quota is used up. */
  spend?(account: string, priority: number): QuotaDecision;
  /** Resolves with true once routes are known, or with false after the timeout. */
  waitForRoutes(timeoutMs: Milliseconds): Promise<boolean>;
  readonly transactionIdleMs: Milliseconds;
}

export interface CallerSessionOptions {
  readonly wire: StatementWire;
  readonly runner: StatementRunner;
  readonly routes: RouteLookup;
  readonly now: () => Milliseconds;
  readonly counters: SessionCounters;
  readonly requests: RequestLog;
  write(text: string): void;
  end(): void;
}

/** Counters over all sessions of the process. */
export interface SessionCounters {
  statements: number;
  refused: number;
  failed: number;
  /** Requests that arrived after their caller was sent the stop notice, and were refused. */
  refusedAtStop: number;
  transactionsIdled: number;
}

/** Undefined if the operation is within its quota; a promise if another node must be queried. */
export type QuotaDecision = Refusal | undefined | Promise<Refusal | undefined>;

type StatementMessage = Extract<CallerMessage, { type: 'statement' }>;

/** The fields of a request that derive from the session and its route. */
interface RequestBase
  extends Pick<StatementRequest, 'session' | 'beganAt' | 'deadline' | 'tenant' | 'account'> {
  readonly trace: RequestTrace;
}

export class CallerSession {
  #database: string | undefined;
  /** Digest of the caller's key. */
  #keyDigest = '';
  /** The tenant whose session count includes this session until it ends. */
  #tenant: Tenant | undefined;
  readonly #variables = new SessionVariables(sharedNameOf, () => this.#maxEntries());
  #transaction: Transaction | undefined;
  #state: TransactionState = 'idle';
  /** Positions of the session's last writes, by service: its route may move to another one and back. */
  #writes = freshSession();
  readonly #inFlight = new InFlightStatements();
  readonly #queue: CallerMessage[] = [];
  #busy = false;
  /** The message being handled. */
  #currentMessage: CallerMessage | undefined;
  #hasEnded = false;
  /** Cancels the timeout of an idle transaction. */
  #cancelIdleTimeout: (() => void) | undefined;
  /** The transaction was aborted by the idle timeout, and the caller has not been told yet. */
  #hasIdleTimedOut = false;
  readonly #shutdown: SessionShutdown;
  /** Called when all received messages have been answered. */
  onAllAnswered: (() => void) | undefined;

  constructor(private readonly options: CallerSessionOptions) {
    this.#shutdown = new SessionShutdown(options.wire, (text) => this.#write(text));
  }

  /** True if no request is unanswered and no transaction is open or failed. */
  get isIdle(): boolean {
    return !this.#busy && this.#queue.length === 0 && this.#state === 'idle';
  }

  /** True while at least one request is unanswered. */
  get busy(): boolean {
    return this.#busy || this.#queue.length > 0;
  }

  /** Handles one message; responses are written in the order of the messages. */
  receive(message: CallerMessage): void {
    if (this.#hasEnded) return;
    if (this.#queue.length >= MAX_QUEUED_MESSAGES) {
      this.#write(this.options.wire.encodeError('too-large', 'too many messages at once'));
      this.#queue.length = 0;
      this.#end();
      return;
    }
    this.#queue.push(message);
    if (!this.#busy) void this.#processQueue();
  }

  /**
   * Sends the stop notice to a caller without unanswered requests, and rolls back a transaction that it
   * has open. The session continues until the caller disconnects, so that a request already on its way
   * gets a response too.
   */
  notifyStop(): void {
    if (this.#hasEnded || this.#shutdown.isNoticeUnused) return;
    this.#cancelIdleTimeout?.();
    if (this.#state === 'open') {
      this.#dropTransaction();
      this.#state = 'failed';
      this.options.counters.refused += 1;
    }
    this.#shutdown.sendNotice(this.#state);
    if (this.#database === undefined) this.#end();
  }

  /** For a caller that connected after the stop began: it will get an error instead of a session. */
  refuseStart(): void {
    this.#shutdown.refuseStart();
  }

  /**
   * Ends the session because the process ends: every unanswered request gets an error. It leaves open
   * whether a statement ran, since the instance may have received it.
   */
  cutOff(): void {
    if (this.#hasEnded) return;
    const owed =
      this.#currentMessage === undefined ? this.#queue : [this.#currentMessage, ...this.#queue];
    for (const message of owed) this.#cutOffRequest(message);
    this.#queue.length = 0;
    this.#end();
  }

  #cutOffRequest(message: CallerMessage): void {
    if (message.type === 'start') this.#shutdown.writeRefusal('idle');
    if (message.type !== 'statement') return;
    this.options.counters.failed += 1;
    this.#logRefused(message, CUT_AT_STOP);
    this.#shutdown.writeCutOff(this.#state);
  }

  /** Handles the end of the caller's connection: rolls back its open transaction. */
  close(): void {
    this.#tenant?.closeSession();
    this.#tenant = undefined;
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#queue.length = 0;
    this.#cancelIdleTimeout?.();
    if (!this.#busy) this.#dropTransaction();
  }

  async #processQueue(): Promise<void> {
    this.#busy = true;
    for (let message = this.#queue.shift(); message !== undefined; message = this.#queue.shift()) {
      this.#cancelIdleTimeout?.();
      this.#currentMessage = message;
      await this.#handle(message);
      if (this.#hasEnded) break;
    }
    this.#busy = false;
    this.#currentMessage = undefined;
    if (this.#hasEnded) this.#dropTransaction();
    else {
      this.#startIdleTimeout();
      this.onAllAnswered?.();
    }
  }

  #dropTransaction(): void {
    this.#transaction?.abandon();
    this.#transaction = undefined;
  }

  #startIdleTimeout(): void {
    if (this.#transaction === undefined) return;
    const idleMs = this.options.routes.transactionIdleMs;
    this.#cancelIdleTimeout = timeoutAfterInput(idleMs, () => {
      this.options.counters.transactionsIdled += 1;
      this.#dropTransaction();
      this.#state = 'failed';
      this.#hasIdleTimedOut = true;
    });
  }

  async #handle(message: CallerMessage): Promise<void> {
    switch (message.type) {
      case 'start':
        await this.#start(message.database, message.keyDigest);
        return;
      case 'terminate':
        this.#end();
        return;
      case 'malformed':
        this.#write(this.options.wire.encodeError('malformed', message.reason));
        this.#end();
        return;
      case 'statement':
        if (this.#database === undefined) {
          this.#write(this.options.wire.encodeError('malformed', 'no session was started'));
          this.#end();
          return;
        }
        this.options.counters.statements += 1;
        if (!this.#shutdown.isNotified) await this.#statement(message, message.statement);
        else this.#refuseAfterNotice(message);
    }
  }

  #end(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.options.end();
  }

  async #start(database: string, keyDigest: string): Promise<void> {
    const { wire, routes } = this.options;
    if (this.#database !== undefined) {
      this.#write(wire.encodeError('malformed', 'the session was started before'));
      this.#end();
      return;
    }
    if (this.#shutdown.refusesStart) {
      this.options.counters.refused += 1;
      this.#shutdown.writeRefusal('idle');
      this.#end();
      return;
    }
    if (!(await routes.waitForRoutes(CONFIGURATION_TIMEOUT_MS))) {
      this.#write(wire.encodeError('busy', 'no configuration yet'));
      this.#end();
      return;
    }
    const found = routes.find(database, keyDigest);
    if (found === undefined) {
      this.#write(wire.encodeError('no-database', 'no such database'));
      this.#end();
      return;
    }
    if (found.refusal !== undefined) {
      this.options.counters.refused += 1;
      this.#write(wire.encodeError(found.refusal.code, found.refusal.text));
      this.#end();
      return;
    }
    // The caller may have disconnected during the wait for routes.
    if (this.#hasEnded) return;
    if (!found.tenant.openSession()) {
      this.options.counters.refused += 1;
      const text = `too many sessions; retry after ${RETRY_AFTER_MS} ms`;
      this.#write(wire.encodeError('busy', text));
      this.#end();
      return;
    }
    this.#tenant = found.tenant;
    this.#database = database;
    this.#keyDigest = keyDigest;
    this.#write(wire.encodeReady('idle', undefined));
  }

  async #statement(message: StatementMessage, statement: Statement): Promise<void> {
    if (this.#state === 'failed' && statement.type !== 'commit' && statement.type !== 'rollback') {
      const hasIdleTimedOut = this.#hasIdleTimedOut;
      this.#hasIdleTimedOut = false;
      if (hasIdleTimedOut) this.#refuse('aborted', 'the transaction rested too long');
      else this.#refuse('malformed', 'the transaction has failed; only its end is possible');
      return;
    }
    switch (statement.type) {
      case 'begin':
        await this.#begin(message, statement.readOnly);
        return;
      case 'commit':
        await this.#commit(message);
        return;
      case 'rollback':
        this.#rollback();
        return;
      case 'set':
        await this.#set(statement.name, statement.value);
        return;
      case 'prepare':
        this.#completeIf(
          this.#variables.prepare(statement.name, statement.access, statement.shape),
        );
        return;
      case 'deallocate':
        if (this.#variables.deallocate(statement.name)) this.#complete();
        else this.#refuse('unprepared', statement.name);
        return;
      case 'run':
        await this.#run(message, statement.access, undefined, undefined);
        return;
      case 'execute':
        await this.#execute(message, statement);
        return;
      case 'invalid':
        this.#refuse('malformed', statement.reason);
    }
  }

  /** Refuses a statement that arrived after the stop notice was sent. */
  #refuseAfterNotice(message: StatementMessage): void {
    this.#shutdown.refuseAfterNotice(this.#state);
    this.options.counters.refusedAtStop += 1;
    this.#logRefused(message, this.#shutdown.refusal(this.#state));
    const { type } = message.statement;
    if (type === 'commit' || type === 'rollback') this.#state = 'idle';
    this.#write(this.options.wire.encodeReady(this.#state, undefined));
  }

  async #begin(message: StatementMessage, readOnly: boolean): Promise<void> {
    const found = this.#route();
    if (this.#state !== 'idle') {
      this.#refuse('malformed', 'a transaction is open');
      return;
    }
    if (found === undefined) {
      this.#refuse('no-database', 'no such database');
      return;
    }
    const refusal = await this.#checkAdmission(found);
    if (refusal !== undefined) {
      this.#refuseUntried(message, found, refusal);
      return;
    }
    const { route, service, tenant, account } = found;
    const parts = { route, service, tenant, account };
    this.#transaction = new Transaction(readOnly, parts, this.options.runner);
    this.#state = 'open';
    this.#complete();
  }

  async #commit(message: StatementMessage): Promise<void> {
    if (this.#state === 'idle') {
      this.#refuse('malformed', 'no transaction is open');
      return;
    }
    const transaction = this.#transaction;
    this.#transaction = undefined;
    const failed = this.#state === 'failed';
    this.#state = 'idle';
    this.#hasIdleTimedOut = false;
    if (failed || transaction === undefined) {
      this.#refuseEnded(message);
      return;
    }
    const revoked = this.#revocationOf(transaction);
    if (revoked !== undefined) {
      transaction.abandon();
      this.#refuseUntried(message, transaction, revoked);
      return;
    }
    const { wire } = this.options;
    const base = this.#request(transaction);
    const outcome = await transaction.commit({
      ...base,
      access: 'write',
      prepared: undefined,
      encode: () => wire.encodeStatement(message.id, message.text, undefined),
    });
    if (transaction.wrote) this.#recordWritten(outcome, transaction.service);
    this.#logEnd(message, transaction, base.trace, outcome);
    this.#answer(outcome);
  }

  /** The transaction failed earlier, and the response to the failed request stated the reason. */
  #refuseEnded(message: StatementMessage): void {
    const refusal = { code: 'aborted', text: 'the transaction was rolled back' } as const;
    this.#logRefused(message, refusal);
    this.#refuse(refusal.code, refusal.text);
  }

  /** Logs a request that was refused before any attempt. */
  #logRefused(message: StatementMessage, refusal: Refusal): void {
    const found = this.#route();
    if (found === undefined) return;
    const { trace } = this.#request(found);
    this.#logEnd(message, found, trace, { type: 'refused', refusal });
  }

  #rollback(): void {
    if (this.#state === 'idle') {
      this.#refuse('malformed', 'no transaction is open');
      return;
    }
    this.#dropTransaction();
    this.#state = 'idle';
    this.#hasIdleTimedOut = false;
    this.#complete();
  }

  async #set(name: string, value: string): Promise<void> {
    if (await this.#inFlight.waitForEnd(VALUE_CHANGE_TIMEOUT_MS)) {
      this.#completeIf(this.#variables.set(name, value));
    } else this.#refuse('busy', `an earlier statement has not ended; ${this.#retryHint()}`);
  }

  /** Confirms a change that the session has stored, or refuses one for which it had no space. */
  #completeIf(kept: boolean): void {
    if (kept) this.#complete();
    else this.#refuse('too-large', 'the session holds too many values or prepared statements');
  }

  async #execute(
    message: StatementMessage,
    statement: Extract<Statement, { type: 'execute' }>,
  ): Promise<void> {
    const prepared = this.#variables.prepared(statement.name);
    if (prepared === undefined) {
      this.#fail({ type: 'refused', refusal: { code: 'unprepared', text: statement.name } });
      return;
    }
    await this.#run(message, prepared.access, prepared, statement.argumentText);
  }

  async #run(
    message: StatementMessage,
    access: 'read' | 'write',
    prepared: PreparedStatement | undefined,
    argumentText: string | undefined,
  ): Promise<void> {
    const { wire, runner } = this.options;
    const encode = (after: Position | undefined): string =>
      prepared === undefined || argumentText === undefined
        ? wire.encodeStatement(message.id, message.text, after)
        : wire.encodeExecute(message.id, prepared.sharedName, argumentText, after);
    const transaction = this.#transaction;
    if (transaction !== undefined) {
      const revoked = this.#revocationOf(transaction);
      if (revoked !== undefined) {
        this.#refuseUntried(message, transaction, revoked);
        return;
      }
      const base = this.#request(transaction);
      const outcome = await transaction.run({ ...base, access, prepared, encode });
      this.#logEnd(message, transaction, base.trace, outcome);
      this.#answer(outcome);
      return;
    }
    const found = this.#route();
    if (found === undefined) {
      this.#refuse('no-database', 'no such database');
      return;
    }
    const refusal = await this.#checkAdmission(found);
    if (refusal !== undefined) {
      this.#refuseUntried(message, found, refusal);
      return;
    }
    const { route, service } = found;
    const base = this.#request(found);
    const outcome = await runner.run({ ...base, route, service, access, prepared, encode });
    if (access === 'write') this.#recordWritten(outcome, service);
    this.#logEnd(message, found, base.trace, outcome);
    this.#answer(outcome);
  }

  /** Returns why a new operation must be refused; if it is admitted, it counts against the quota. */
  async #checkAdmission({ refusal, account, route }: ResolvedRoute): Promise<Refusal | undefined> {
    if (refusal !== undefined || account === undefined) return refusal;
    return this.options.routes.spend?.(account, route.priority);
  }

  /**
   * Returns why an open transaction must not continue: the caller's key was revoked or now belongs to
   * another tenant, or this node can't tell.
   */
  #revocationOf({ account }: Transaction): Refusal | undefined {
    if (account === undefined) return undefined;
    const found = this.#route();
    // The removal of a route takes effect with the next transaction.
    if (found === undefined || (found.refusal === undefined && found.account === account)) {
      return undefined;
    }
    return { code: 'aborted', text: found.refusal?.text ?? 'the key is held by another tenant' };
  }

  /** Refuses a request before any attempt, and logs it. */
  #refuseUntried(message: StatementMessage, found: ResolvedRoute, refusal: Refusal): void {
    const { trace } = this.#request(found);
    this.#logEnd(message, found, trace, { type: 'refused', refusal });
    this.options.counters.refused += 1;
    this.#refuse(refusal.code, refusal.text);
  }

  #logEnd(
    { id }: StatementMessage,
    { route, service }: ResolvedRoute,
    trace: RequestTrace,
    outcome: StatementOutcome,
  ): void {
    const error = outcome.type === 'refused' ? outcome.refusal : outcome.answer.error;
    const { database, targetLatencyMs, consistency: routeType } = route;
    const end = { id, database, service: service.name, routeType, targetLatencyMs, trace };
    this.options.requests.requestEnded({ ...end, code: error?.code, text: error?.text ?? '' });
  }

  #maxEntries(): number {
    return this.#route()?.tenant.policy.maxSessionEntries ?? 0;
  }

  #route(): ResolvedRoute | undefined {
    return this.#database === undefined
      ? undefined
      : this.options.routes.find(this.#database, this.#keyDigest);
  }

  #request({ route, service, tenant, account }: ResolvedRoute): RequestBase {
    const now = this.options.now();
    const requirement = requirementFor(this.#writes, service.name);
    return {
      session: { values: this.#variables.values, requirement, inFlight: this.#inFlight },
      tenant,
      account,
      beganAt: now,
      deadline: now + route.timeoutMs,
      trace: new RequestTrace(now, this.options.now),
    };
  }

  #recordWritten(outcome: StatementOutcome, service: ServiceRuntime): void {
    if (outcome.type !== 'answered' || outcome.answer.error !== undefined) return;
    const { position } = outcome.answer;
    const written =
      position === undefined
        ? markUnknown(this.#writes, service.name)
        : observe(this.#writes, service.name, position, 'confirmed-primary');
    this.#writes = limitGroups(written, MAX_WRITTEN_SERVICES);
  }

  #answer(outcome: StatementOutcome): void {
    if (outcome.type === 'refused' || outcome.answer.error !== undefined) {
      this.#fail(outcome);
      return;
    }
    const { wire } = this.options;
    const ready = wire.encodeReady(this.#state, outcome.answer.position);
    this.#write(outcome.answer.payload + ready);
  }

  /** Writes an error response; an open transaction fails with it. */
  #fail(outcome: StatementOutcome): void {
    const { counters } = this.options;
    const error = outcome.type === 'refused' ? outcome.refusal : outcome.answer.error;
    if (outcome.type === 'refused') counters.refused += 1;
    else counters.failed += 1;
    const isForLackOfCapacity =
      outcome.type === 'refused' && outcome.refusal.isForLackOfCapacity === true;
    const hint = error?.code === 'busy' ? `; ${this.#retryHint(isForLackOfCapacity)}` : '';
    this.#refuse(error?.code ?? 'failed', `${error?.text ?? ''}${hint}`);
  }

  /** The retry delay suggested to the caller of a statement that has not run. */
  #retryHint(isForLackOfCapacity = false): string {
    const scope = this.#transaction ?? this.#route();
    const { view, random } = this.options.runner.options;
    const isChanging = scope !== undefined && view.isChanging(scope.service.name);
    if (isChanging) return `retry after ${RETRY_DURING_PRIMARY_CHANGE_MS} ms`;
    if (!isForLackOfCapacity) return `retry after ${RETRY_AFTER_MS} ms`;
    return `retry after ${refusalRetryDelay(scope?.tenant.policy.priority ?? 0, random())} ms`;
  }

  /** Writes to the caller unless the session has ended. */
  #write(text: string): void {
    if (!this.#hasEnded) this.options.write(text);
  }

  #complete(): void {
    const { wire } = this.options;
    this.#write(wire.encodeCompletion() + wire.encodeReady(this.#state, undefined));
  }

  #refuse(code: StatementErrorCode, text: string): void {
    const { wire } = this.options;
    if (this.#state === 'open') {
      this.#dropTransaction();
      this.#state = 'failed';
    }
    this.#write(wire.encodeError(code, text) + wire.encodeReady(this.#state, undefined));
  }
}

/** Derives the name from the content, so that equal statements of all sessions share one name. */
function sharedNameOf(access: string, shape: string): string {
  const digest = createHash('sha256').update(`${access} ${shape}`, WIRE_ENCODING).digest('hex');
  return `p${digest.slice(0, SHARED_NAME_LENGTH)}`;
}
