/**
 * One transaction of a session. It is opened with its first statement, which determines the instance;
 * from then on the transaction holds one connection until its end.
 */
import type { Position } from '../core/position.js';
import type { Access } from '../core/request.js';
import { statementRetryPause } from '../core/retry/statement-pause.js';
import { isNotExecuted, type StatementAnswer } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import { WRITE_WITHHELD } from './commit-trust.js';
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
import { type StatementRunner, tryUseAttempt } from './statement-runner.js';
import { synchronise } from './synchronise.js';
import type { Placement } from './target-chooser.js';
import type { Tenant } from './tenant.js';
import { firstWithin, pause } from './within.js';

/** If a rollback gets no response within this time, the connection is closed instead. */
const ROLLBACK_TIMEOUT_MS = 2000;

/** A statement inside a transaction; the log position that the transaction requires is sent with BEGIN. */
export type TransactionRequest = Omit<StatementRequest, 'route' | 'service'>;

/** The route, service and tenant of a transaction. */
export type TransactionScope = Pick<Placement, 'route' | 'service' | 'tenant' | 'account'>;

/** Why a transaction could not be opened, and the instance of the attempt if one was chosen. */
interface OpenFailure {
  readonly refusal: Refusal;
  readonly instanceId: string | undefined;
  /** Too many statements of the tenant wait for the instance. */
  readonly isOverLimit?: boolean;
  /** The members don't confirm the primary for a write. */
  readonly isWithheld?: boolean;
}

function openFailure(instance: InstanceRuntime | undefined, text: string): OpenFailure {
  return { refusal: { code: 'busy', text }, instanceId: instance?.id };
}

export class Transaction {
  #connection: InstanceConnection | undefined;
  #instance: InstanceRuntime | undefined;
  #wrote = false;
  /** A statement without a response may still be delivered to its instance by the owner. */
  #mayRunLate = false;

  readonly route: RouteDescription;
  readonly service: ServiceRuntime;
  readonly tenant: Tenant;
  /** The tenant that the transaction belongs to until its end; undefined where callers send no keys. */
  readonly account: string | undefined;

  constructor(
    readonly readOnly: boolean,
    { route, service, tenant, account }: TransactionScope,
    private readonly runner: StatementRunner,
  ) {
    this.route = route;
    this.service = service;
    this.tenant = tenant;
    this.account = account;
  }

  /** Runs one statement. If the outcome is an error, the transaction has failed. */
  async run(request: TransactionRequest): Promise<StatementOutcome> {
    if (this.#connection === undefined) return this.#runFirst(request);
    const outcome = await this.#runNext(request);
    if (succeeded(outcome)) this.#recordStatement(request.access);
    else this.abandon();
    return outcome;
  }

  /** Commits the transaction; `request.encode` returns the commit message. */
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

  /** Rolls the transaction back and releases its connection. */
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
      return refuse('aborted', `${WRITE_WITHHELD.text}; rolled back`);
    }
    const sentAt = now();
    const write = this.service.beginWrite();
    request.trace?.record({
      step: 'sent',
      instance: instance.id,
      through: connectionSourceOf(connection),
    });
    const exchange = connection.exchange(request.encode(undefined));
    // A transaction that wrote nothing may be repeated whether or not its commit took effect, so it need not wait long.
    const deadline = this.#wrote
      ? request.deadline
      : Math.min(request.deadline, sentAt + instance.pool.health.lostAfterMs);
    const endWatch = instance.pool.health.trackAnswer(this.#wrote ? 'write' : 'read');
    const answer = await this.runner.attempts.awaitAnswer(exchange, connection, instance, deadline);
    const isSilentCommit = answer === undefined && this.#wrote;
    const silentForMs = instance.pool.health.silenceMs(isSilentCommit ? 'write' : 'read');
    endWatch(answer?.isOk() === true);
    write.end();
    if (answer === undefined || answer.isErr()) {
      const lost = { request: this, instance, connection, answer, sentAt };
      this.runner.feedback.recordNoAnswer(lost, isSilentCommit ? 'commit' : 'reach', silentForMs);
      const fault = faultOf(answer);
      request.trace?.record({ step: 'unanswered', instance: instance.id, fault });
      // Without a write, the commit changed nothing, whether or not it took effect.
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
    // The duration is left out: it includes replication and says nothing about the next statement.
    instance.pool.health.recordOutcome(error?.code);
    request.trace?.record({ step: 'answered', instance: instance.id, code: error?.code });
    const outcome = { type: 'answered' as const, answer: answer.value };
    if (!this.#wrote) return outcome;
    const commit = { deadline, trace: request.trace, logEndBefore: write.logEndBefore };
    return this.runner.commits.confirm(this.service, instance, outcome, commit);
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
        this.#recordStatement(request.access);
        return outcome;
      }
      if (this.#instance !== undefined) excluded.add(this.#instance.id);
      this.abandon();
      const retry = this.#retryableRefusal(outcome);
      if (retry === undefined) return outcome;
      refusal = retry;
      refusals += 1;
      await pause(this.#retryPause(refusals));
    }
    return { type: 'refused', refusal };
  }

  /**
   * The refusal, if the transaction may be restarted at another instance after its first statement failed.
   * The statement must not be sent there while it may still run at the first instance: it would be part of
   * two different transactions. In that case the caller repeats it under another id.
   */
  #retryableRefusal(outcome: StatementOutcome): Refusal | undefined {
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
      request.trace?.record({
        step: 'sent',
        instance: instance.id,
        through: connectionSourceOf(connection),
      });
      // Closing the connection rolls the open transaction back, so after a timeout the caller may repeat it.
      const patienceMs = Math.min(request.deadline - now(), instance.pool.health.lostAfterMs);
      const endWatch = instance.pool.health.trackAnswer('read');
      const answer = await firstWithin([exchange], patienceMs);
      const silentForMs = instance.pool.health.silenceMs('read');
      endWatch(answer?.isOk() === true);
      if (answer?.isOk()) {
        const { error } = answer.value;
        request.trace?.record({ step: 'answered', instance: instance.id, code: error?.code });
      } else {
        const fault = faultOf(answer);
        request.trace?.record({ step: 'unanswered', instance: instance.id, fault });
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

  /** Opens the transaction at an instance; returns a refusal if it can't. */
  async #open(
    request: TransactionRequest,
    excluded = new Set<string>(),
  ): Promise<Refusal | undefined> {
    const { now } = this.runner.options;
    let refusal: Refusal = { code: 'busy', text: 'no instance' };
    let attempts = 0;
    let rounds = 0;
    while (now() < request.deadline && tryUseAttempt(request, attempts)) {
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
      // Another instance is tried immediately; only after all have failed is there a pause.
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
    if (chosen === undefined) return openFailure(undefined, 'no primary');
    const { instance } = chosen;
    if (!this.readOnly && !(await this.#maySend(request, instance))) {
      return { refusal: WRITE_WITHHELD, instanceId: undefined, isWithheld: true };
    }
    const { values } = request.session;
    const cancelledBy = this.runner.attempts.cancellationsOf(this.service, instance);
    const acquired = await instance.pool.acquire(connectionRequestOf(request, cancelledBy, true));
    if (acquired.isErr()) {
      this.runner.feedback.recordUnreachable(placement, instance, acquired.error);
      const reason = acquired.error.code;
      request.trace?.record({ step: 'not-sent', instance: instance.id, reason });
      const isOverLimit = acquired.error instanceof InstanceQueueFullError;
      return { refusal: refusalOf(acquired.error), instanceId: instance.id, isOverLimit };
    }
    const connection = acquired.value;
    const target = this.runner.targets.recheck(placement, chosen);
    if (target === undefined) {
      instance.pool.release(connection);
      const reason = 'the primary changed';
      request.trace?.record({ step: 'not-sent', instance: instance.id, reason });
      return openFailure(undefined, reason);
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
      request.trace?.record({ step: 'unanswered', instance: instance.id, fault: faultOf(begun) });
      return openFailure(instance, 'no answer to BEGIN');
    }
    if (target.after !== undefined) {
      this.runner.targets.recordAnswer(instance.id, target.after, begun.value.error?.code);
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

  #recordStatement(access: Access): void {
    if (access === 'write') this.#wrote = true;
  }
}

function connectionSourceOf(connection: InstanceConnection): 'own' | 'owner' {
  return connection.returnToOwner === undefined ? 'own' : 'owner';
}

function succeeded(outcome: StatementOutcome): boolean {
  return outcome.type === 'answered' && outcome.answer.error === undefined;
}

/** True if the instance has not run the statement and the transaction is still open. */
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
