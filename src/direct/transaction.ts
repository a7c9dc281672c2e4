/**
 * One transaction of a session: nothing is opened before its first statement, which chooses the
 * instance; from then on it owns one connection until its end.
 */
import type { Position } from '../core/position.js';
import type { Access } from '../core/request.js';
import { statementRetryPause } from '../core/retry/statement-pause.js';
import { isNotExecuted, type StatementAnswer } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import { WITHHELD } from './commit-trust.js';
import type { RouteDescription } from './contract.js';
import { InstanceQueueFullError } from './errors.js';
import type { InstanceConnection } from './instance-connection.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import {
  connectionRequestOf,
  faultOf,
  type Refusal,
  refusalOf,
  refuse,
  type StatementOutcome,
  type StatementRequest,
} from './statement-request.js';
import { mayAttemptAgain, type StatementRunner } from './statement-runner.js';
import { synchronise } from './synchronise.js';
import type { Placement } from './target-chooser.js';
import type { Tenant } from './tenant.js';
import { firstWithin, pause } from './within.js';

/** A rollback that is not answered in this time ends the connection instead. */
const ROLLBACK_TIMEOUT_MS = 2000;

/** A statement inside a transaction; it must have the log position that the transaction needs. */
export type TransactionRequest = Omit<StatementRequest, 'route' | 'service'>;

/** Where a transaction runs, and for whom. */
export type TransactionPlace = Pick<Placement, 'route' | 'service' | 'tenant' | 'account'>;

/** Why a transaction could not be opened, and where that was tried. */
interface OpenFailure {
  readonly refusal: Refusal;
  readonly instanceId: string | undefined;
  /** The tenant has too much waiting there. */
  readonly isOverLimit?: boolean;
  /** The members don't vouch for what it would write. */
  readonly isWithheld?: boolean;
}

function failureToOpen(instance: InstanceRuntime | undefined, text: string): OpenFailure {
  return { refusal: { code: 'busy', text }, instanceId: instance?.id };
}

export class Transaction {
  #connection: InstanceConnection | undefined;
  #instance: InstanceRuntime | undefined;
  #wrote = false;
  /** A statement without an answer may still be handed to its instance. */
  #mayRunLate = false;

  readonly route: RouteDescription;
  readonly service: ServiceRuntime;
  readonly tenant: Tenant;
  /** Whose it is from its beginning to its end; undefined where callers give no keys. */
  readonly account: string | undefined;

  constructor(
    readonly readOnly: boolean,
    { route, service, tenant, account }: TransactionPlace,
    private readonly runner: StatementRunner,
  ) {
    this.route = route;
    this.service = service;
    this.tenant = tenant;
    this.account = account;
  }

  /** Runs one statement. An outcome with an error means that the transaction has failed. */
  async run(request: TransactionRequest): Promise<StatementOutcome> {
    if (this.#connection === undefined) return this.#runFirst(request);
    const outcome = await this.#runNext(request);
    if (succeeded(outcome)) this.#noteRun(request.access);
    else this.abandon();
    return outcome;
  }

  /** Commits. `request.encode` gives the commit's message. */
  async commit(request: TransactionRequest): Promise<StatementOutcome> {
    if (this.#connection === undefined) {
      const refusal = await this.#open(request);
      if (refusal !== undefined) return { type: 'refused', refusal };
    }
    const connection = this.#connection;
    const instance = this.#instance;
    if (connection === undefined || instance === undefined) return refuse('aborted', 'not open');
    if (connection.closed) return refuse('aborted', 'the connection to the instance ended');
    this.#connection = undefined;
    return this.#sendCommit(request, connection, instance);
  }

  /** Gives the connection back after a rollback; nothing of the transaction is kept. */
  abandon(): void {
    const connection = this.#connection;
    const instance = this.#instance;
    this.#connection = undefined;
    if (connection === undefined || instance === undefined) return;
    void rollBack(connection, instance, this.runner.options.wire.encodeRollback());
  }

  async #sendCommit(
    request: TransactionRequest,
    connection: InstanceConnection,
    instance: InstanceRuntime,
  ): Promise<StatementOutcome> {
    const { now } = this.runner.options;
    if (this.#wrote && !(await this.#maySend(request, instance))) {
      void rollBack(connection, instance, this.runner.options.wire.encodeRollback());
      return refuse('aborted', `${WITHHELD.text}; rolled back`);
    }
    const sentAt = now();
    const endWrite = this.service.beginWrite();
    request.trace?.note({ step: 'sent', instance: instance.id, through: throughOf(connection) });
    const exchange = connection.exchange(request.encode(undefined));
    // Whatever became of the commit of a transaction that wrote nothing, it may be repeated.
    const deadline = this.#wrote
      ? request.deadline
      : Math.min(request.deadline, sentAt + instance.pool.health.lostAfterMs);
    const endWatch = instance.pool.health.trackAnswer(this.#wrote ? 'write' : 'read');
    const answer = await this.runner.attempts.awaitAnswer(exchange, connection, instance, deadline);
    const silent = answer === undefined && this.#wrote;
    const silentForMs = instance.pool.health.silenceMs(silent ? 'write' : 'read');
    endWatch(answer?.isOk() === true);
    endWrite();
    if (answer === undefined || answer.isErr()) {
      const lost = { request: this, instance, connection, answer, sentAt };
      this.runner.feedback.recordNoAnswer(lost, silent ? 'commit' : 'reach', silentForMs);
      const fault = faultOf(answer);
      request.trace?.note({ step: 'unanswered', instance: instance.id, fault });
      // Without a write, nothing is kept whatever became of the commit.
      return this.#wrote
        ? refuse('in-doubt', 'no answer to a commit')
        : refuse('aborted', 'no answer to the commit of a transaction that wrote nothing');
    }
    if (answer.value.state === 'idle') instance.pool.release(connection);
    else connection.close();
    if (answer.value.error === undefined) {
      this.service.recordPosition(instance, sentAt, answer.value.position);
      if (instance.primary)
        this.runner.feedback.recordSuccess(this.service, this.#wrote ? 'write' : 'read');
    }
    const { error } = answer.value;
    // How long it took to reach the replicas says nothing of the next statement.
    instance.pool.health.recordOutcome(error?.code);
    request.trace?.note({ step: 'answered', instance: instance.id, code: error?.code });
    const outcome = { type: 'answered' as const, answer: answer.value };
    if (!this.#wrote) return outcome;
    return this.runner.commits.confirm(this.service, instance, outcome, request.trace);
  }

  #maySend(request: TransactionRequest, instance: InstanceRuntime): Promise<boolean> {
    return this.runner.commits.maySend(this.service, instance, request.trace);
  }

  get wrote(): boolean {
    return this.#wrote;
  }

  async #runFirst(request: TransactionRequest): Promise<StatementOutcome> {
    const { now } = this.runner.options;
    let refusal: Refusal = { code: 'busy', text: 'no instance' };
    const excluded = new Set<string>();
    let refusals = 0;
    while (now() < request.deadline) {
      const failure = await this.#open(request, excluded);
      if (failure !== undefined) return { type: 'refused', refusal: failure };
      const outcome = await this.#runNext(request);
      if (succeeded(outcome)) {
        this.#noteRun(request.access);
        return outcome;
      }
      if (this.#instance !== undefined) excluded.add(this.#instance.id);
      this.abandon();
      const retry = this.#refusalToRetry(outcome);
      if (retry === undefined) return outcome;
      refusal = retry;
      refusals += 1;
      await pause(this.#retryPause(refusals));
    }
    return { type: 'refused', refusal };
  }

  /**
   * The refusal, if the whole transaction so far may be begun again at another instance. Its first
   * statement must not run there while it may still run where it was sent before: the two would stand
   * in different transactions. The caller repeats it under another id.
   */
  #refusalToRetry(outcome: StatementOutcome): Refusal | undefined {
    if (this.#mayRunLate) return undefined;
    if (outcome.type === 'refused')
      return outcome.refusal.code === 'aborted' ? outcome.refusal : undefined;
    const { error } = outcome.answer;
    return error !== undefined && isNotExecuted(error.code) ? error : undefined;
  }

  #retryPause(refusals: number): Milliseconds {
    const { random } = this.runner.options;
    return statementRetryPause(refusals, this.route.targetLatencyMs, random());
  }

  async #runNext(request: TransactionRequest): Promise<StatementOutcome> {
    const { now, wire } = this.runner.options;
    let refusals = 0;
    for (;;) {
      const connection = this.#connection;
      const instance = this.#instance;
      if (connection === undefined || instance === undefined || connection.closed) {
        return refuse('aborted', 'the connection to the instance ended');
      }
      const sentAt = now();
      connection.cork();
      synchronise(connection, request.session.values, request.prepared, wire);
      const exchange = connection.exchange(request.encode(undefined));
      connection.uncork();
      request.trace?.note({ step: 'sent', instance: instance.id, through: throughOf(connection) });
      // Nothing of an open transaction is kept once its connection is closed: the caller may repeat it.
      const patienceMs = Math.min(request.deadline - now(), instance.pool.health.lostAfterMs);
      const endWatch = instance.pool.health.trackAnswer('read');
      const answer = await firstWithin([exchange], patienceMs);
      const silentForMs = instance.pool.health.silenceMs('read');
      endWatch(answer?.isOk() === true);
      if (answer?.isOk()) {
        const { error } = answer.value;
        request.trace?.note({ step: 'answered', instance: instance.id, code: error?.code });
      } else {
        const fault = faultOf(answer);
        request.trace?.note({ step: 'unanswered', instance: instance.id, fault });
      }
      if (answer === undefined) {
        this.#mayRunLate = connection.mayRunAfterClose;
        connection.close();
        const lost = { request: this, instance, connection, answer, sentAt };
        this.runner.feedback.recordNoAnswer(lost, 'reach', silentForMs);
        return refuse('aborted', 'no answer in time; the transaction was rolled back');
      }
      if (answer.isErr()) {
        this.#mayRunLate = connection.mayRunAfterClose && answer.error.fault === 'owner';
        this.runner.feedback.recordNoAnswer({
          request: this,
          instance,
          connection,
          answer,
          sentAt,
        });
        return refuse('aborted', 'the connection to the instance ended');
      }
      instance.pool.health.recordOutcome(answer.value.error?.code, now() - sentAt, request.access);
      if (!mayRepeat(answer.value) || now() >= request.deadline) {
        return { type: 'answered', answer: answer.value };
      }
      if (answer.value.error?.code === 'unprepared') connection.preparedNames.clear();
      refusals += 1;
      await pause(this.#retryPause(refusals));
    }
  }

  /** Opens the transaction at an instance; gives why not, if it can't. */
  async #open(
    request: TransactionRequest,
    excluded = new Set<string>(),
  ): Promise<Refusal | undefined> {
    const { now } = this.runner.options;
    let refusal: Refusal = { code: 'busy', text: 'no instance' };
    let attempts = 0;
    let rounds = 0;
    while (now() < request.deadline && mayAttemptAgain(request, attempts)) {
      const failure = await this.#openOnce(request, excluded);
      if (failure === undefined) return undefined;
      refusal = failure.refusal;
      if (failure.isWithheld === true) {
        rounds += 1;
        if (await this.runner.awaitChange(this.#placement(request), rounds)) continue;
        break;
      }
      const { instanceId } = failure;
      if (instanceId !== undefined) attempts += 1;
      const isFresh = instanceId !== undefined && !excluded.has(instanceId);
      if (isFresh) excluded.add(instanceId);
      // Another instance is tried at once; only a round without success is worth a pause.
      if (isFresh && excluded.size < this.service.readable(now()).length) continue;
      if (failure.isOverLimit === true) break;
      excluded.clear();
      rounds += 1;
      if (!(await this.runner.awaitTarget(this.#placement(request), rounds))) break;
    }
    return refusal;
  }

  async #openOnce(
    request: TransactionRequest,
    excluded: ReadonlySet<string>,
  ): Promise<OpenFailure | undefined> {
    const { now, wire } = this.runner.options;
    const placement = this.#placement(request);
    const chosen = this.runner.targets.choose(placement, excluded);
    if (chosen === undefined) return failureToOpen(undefined, 'no primary');
    const { instance } = chosen;
    if (!this.readOnly && !(await this.#maySend(request, instance))) {
      return { refusal: WITHHELD, instanceId: undefined, isWithheld: true };
    }
    const { values } = request.session;
    const cancelledBy = this.runner.attempts.cancellationsOf(this.service, instance);
    const acquired = await instance.pool.acquire(connectionRequestOf(request, cancelledBy, true));
    if (acquired.isErr()) {
      this.runner.feedback.recordUnreachable(placement, instance, acquired.error);
      const reason = acquired.error.code;
      request.trace?.note({ step: 'not-sent', instance: instance.id, reason });
      const isOverLimit = acquired.error instanceof InstanceQueueFullError;
      return { refusal: refusalOf(acquired.error), instanceId: instance.id, isOverLimit };
    }
    const connection = acquired.value;
    const target = this.runner.targets.recheck(placement, chosen);
    if (target === undefined) {
      instance.pool.release(connection);
      const reason = 'the primary changed';
      request.trace?.note({ step: 'not-sent', instance: instance.id, reason });
      return failureToOpen(undefined, reason);
    }
    const sentAt = now();
    connection.cork();
    synchronise(connection, values, undefined, wire);
    const exchange = connection.exchange(
      wire.encodeBegin(this.readOnly, this.#beginPosition(target.after)),
    );
    connection.uncork();
    const patienceMs = Math.min(request.deadline - now(), instance.pool.health.lostAfterMs);
    const begun = await firstWithin([exchange], patienceMs);
    if (begun === undefined || begun.isErr()) {
      connection.close();
      const lost = { request: placement, instance, connection, answer: begun, sentAt };
      this.runner.feedback.recordNoAnswer(lost);
      request.trace?.note({ step: 'unanswered', instance: instance.id, fault: faultOf(begun) });
      return failureToOpen(instance, 'no answer to BEGIN');
    }
    if (target.after !== undefined) {
      this.runner.targets.noteAnswer(instance.id, target.after, begun.value.error?.code);
    }
    if (begun.value.error?.code === 'busy') instance.pool.health.recordBusy();
    if (begun.value.error !== undefined || begun.value.state !== 'open') {
      void rollBack(connection, instance, wire.encodeRollback(), begun.value.state);
      const refusal = begun.value.error ?? { code: 'busy' as const, text: 'BEGIN had no effect' };
      return { refusal, instanceId: instance.id };
    }
    this.#connection = connection;
    this.#instance = instance;
    return undefined;
  }

  #placement(request: TransactionRequest): Placement {
    return {
      access: this.readOnly ? 'read' : 'write',
      route: this.route,
      tenant: request.tenant,
      account: this.account,
      service: this.service,
      session: request.session,
      beganAt: request.beganAt,
      isTransaction: true,
      ...(request.trace === undefined ? {} : { trace: request.trace }),
    };
  }

  #beginPosition(after: Position | undefined): Position | undefined {
    return this.readOnly ? after : undefined;
  }

  #noteRun(access: Access): void {
    if (access === 'write') this.#wrote = true;
  }
}

function throughOf(connection: InstanceConnection): 'own' | 'owner' {
  return connection.returnToOwner === undefined ? 'own' : 'owner';
}

function succeeded(outcome: StatementOutcome): boolean {
  return outcome.type === 'answered' && outcome.answer.error === undefined;
}

/** The instance did not run the statement, and the transaction is as it was. */
function mayRepeat(answer: StatementAnswer): boolean {
  if (answer.error === undefined || answer.state !== 'open') return false;
  return answer.error.code === 'busy' || answer.error.code === 'unprepared';
}

async function rollBack(
  connection: InstanceConnection,
  instance: InstanceRuntime,
  message: string,
  state: StatementAnswer['state'] = 'open',
): Promise<void> {
  if (state === 'idle') {
    instance.pool.release(connection);
    return;
  }
  const answer = await firstWithin([connection.exchange(message)], ROLLBACK_TIMEOUT_MS);
  if (answer?.isOk() === true && answer.value.state === 'idle') instance.pool.release(connection);
  else connection.close();
}
