/** Attempts of statements: each at one instance, over this node's own connection or through an owner. */
import type { Access } from '../core/request.js';
import { isNotExecuted, type StatementAnswer } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { Cancellation } from './cancellation.js';
import { InstanceConnectionLostError, InstanceQueueFullError } from './errors.js';
import type { InstanceConnection } from './instance-connection.js';
import type { InstanceFeedback } from './instance-feedback.js';
import type { AcquireError } from './instance-pool.js';
import type { PrimaryView } from './promotion/contract.js';
import type { ConnectionLender } from './relay/contract.js';
import type { RequestTrace } from './request-trace.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import {
  type Attempt,
  connectionRequestOf,
  type ExchangeResult,
  faultOf,
  notSent,
  refusalOf,
  type StatementRequest,
} from './statement-request.js';
import { synchronise } from './synchronise.js';
import type { Target, TargetChooser } from './target-chooser.js';
import type { StatementWire } from './wire.js';
import { firstWithin } from './within.js';

/** An abandoned exchange that gets no response within this time ends its connection. */
const ABANDONED_EXCHANGE_TIMEOUT_MS: Milliseconds = 200;
/** Upper bound for the expected time of a write. */
const MAX_WRITE_TIME_NEEDED_MS: Milliseconds = 50;
/** A read waits this multiple of the time after which a response of the instance is considered lost. */
const READ_TIMEOUT_FACTOR = 2;

export interface StatementAttemptsOptions {
  readonly wire: StatementWire;
  readonly view: PrimaryView;
  readonly targets: TargetChooser;
  readonly feedback: InstanceFeedback;
  readonly now: () => Milliseconds;
}

export class StatementAttempts {
  constructor(private readonly options: StatementAttemptsOptions) {}

  /** @param settled cancelled once another attempt has given the request its outcome */
  async run(request: StatementRequest, chosen: Target, settled?: Cancellation): Promise<Attempt> {
    const { instance } = chosen;
    instance.pool.outstanding += 1;
    try {
      const attempt = await this.#tryAt(request, chosen, settled);
      if (settled?.isCancelled !== true) recordAttempt(request.trace, attempt);
      return attempt;
    } finally {
      instance.pool.outstanding -= 1;
    }
  }

  async #tryAt(
    request: StatementRequest,
    chosen: Target,
    settled: Cancellation | undefined,
  ): Promise<Attempt> {
    const { instance } = chosen;
    const { lender } = instance.pool;
    if (lender !== undefined && request.access === 'read') {
      return this.#readThroughOwner(request, chosen, lender, settled);
    }
    const cancelledBy = this.cancellationsOf(request.service, instance, settled);
    const acquired = await instance.pool.acquire(connectionRequestOf(request, cancelledBy));
    if (acquired.isErr()) {
      this.options.feedback.recordUnreachable(request, instance, acquired.error);
      return this.#notReached(instance, acquired.error);
    }
    if (settled?.isCancelled === true) {
      instance.pool.release(acquired.value);
      return notSent(instance, 'answered elsewhere');
    }
    return this.#send(request, chosen, acquired.value);
  }

  /**
   * The owner sends the read unchanged. The required position and the trust in the primary were checked
   * after the request's first byte had arrived, so both remain valid for it however long it waits at the
   * owner.
   */
  async #readThroughOwner(
    request: StatementRequest,
    target: Target,
    lessor: ConnectionLender,
    settled: Cancellation | undefined,
  ): Promise<Attempt> {
    const { instance, after } = target;
    const sentAt = this.options.now();
    const read = { prepared: request.prepared, message: request.encode(after) };
    const cancelledBy = this.cancellationsOf(request.service, instance, settled);
    request.trace?.record({ step: 'sent', instance: instance.id, through: 'owner' });
    const exchange = lessor.read({ ...connectionRequestOf(request, cancelledBy), ...read });
    request.session.inFlight.add(exchange);
    const answer = await exchange;
    if (settled?.isCancelled === true) return notSent(instance, 'answered elsewhere');
    if (answer.isOk()) return this.#toAttempt(request, target, answer.value, sentAt);
    if (answer.error instanceof InstanceConnectionLostError) {
      this.options.feedback.recordFailure(request, instance);
      return { type: 'unknown', instance, fault: answer.error.fault };
    }
    this.options.feedback.recordUnreachable(request, instance, answer.error);
    return this.#notReached(instance, answer.error);
  }

  /** The cancellations that make a connection to this instance useless for a waiting request. */
  cancellationsOf(
    service: ServiceRuntime,
    instance: InstanceRuntime,
    settled?: Cancellation,
  ): readonly Cancellation[] {
    const isPrimary = this.options.view.primaryOf(service.name)?.id === instance.id;
    const cancellations = isPrimary ? [service.changeOfPrimary] : [];
    return settled === undefined ? cancellations : [...cancellations, settled];
  }

  #notReached(instance: InstanceRuntime, error: AcquireError): Attempt {
    const isOverLimit = error instanceof InstanceQueueFullError;
    const refusal = refusalOf(error);
    return { type: isOverLimit ? 'over-limit' : 'not-run', refusal, instance, isReached: false };
  }

  async #send(
    request: StatementRequest,
    chosen: Target,
    connection: InstanceConnection,
  ): Promise<Attempt> {
    const { wire, now } = this.options;
    const { instance } = chosen;
    const target = this.options.targets.recheck(request, chosen);
    const isTooLate = now() + minTimeFor(request.access, instance) >= request.deadline;
    if (target === undefined || isTooLate) {
      instance.pool.release(connection);
      return notSent(instance, isTooLate ? 'no time is left' : 'the primary changed');
    }
    const sentAt = now();
    connection.cork();
    synchronise(connection, request.session.values, request.prepared, wire);
    const exchange = connection.exchange(request.encode(target.after));
    connection.uncork();
    const through = connection.returnToOwner === undefined ? 'own' : 'owner';
    request.trace?.record({ step: 'sent', instance: instance.id, through });
    request.session.inFlight.add(exchange);
    const endWatch = instance.pool.health.trackAnswer(request.access);
    // A read whose response is lost must not occupy its connection. A write waits until its deadline, since even
    // a late response tells its outcome.
    const readDeadline = sentAt + instance.pool.health.lostAfterMs * READ_TIMEOUT_FACTOR;
    const deadline =
      request.access === 'read' ? Math.min(request.deadline, readDeadline) : request.deadline;
    const answer = await this.awaitAnswer(exchange, connection, instance, deadline);
    const isSilentWrite = answer === undefined && request.access === 'write';
    const silentForMs = instance.pool.health.silenceMs(isSilentWrite ? 'write' : 'read');
    endWatch(answer?.isOk() === true);
    if (answer === undefined || answer.isErr()) {
      const use = isSilentWrite ? 'commit' : 'reach';
      this.options.feedback.recordNoAnswer(
        { request, instance, connection, answer, sentAt },
        use,
        silentForMs,
      );
      return { type: 'unknown', instance, fault: faultOf(answer) };
    }
    // Before the release: a leased connection then reports to its owner which statements are prepared on it.
    if (answer.value.error?.code === 'unprepared') connection.preparedNames.clear();
    if (answer.value.state === 'idle') instance.pool.release(connection);
    else connection.close();
    return this.#toAttempt(request, target, answer.value, sentAt);
  }

  #toAttempt(
    request: StatementRequest,
    { instance, after }: Target,
    answer: StatementAnswer,
    sentAt: Milliseconds,
  ): Attempt {
    const { now, targets } = this.options;
    if (after !== undefined) targets.recordAnswer(instance.id, after, answer.error?.code);
    instance.pool.health.recordOutcome(answer.error?.code, now() - sentAt, request.access);
    if (answer.error === undefined) {
      request.service.recordPosition(instance, sentAt, answer.position);
      if (instance.primary) this.options.feedback.recordSuccess(request.service, request.access);
      return { type: 'answered', answer, instance };
    }
    const { code, text } = answer.error;
    if (isNotExecuted(code)) {
      return { type: 'not-run', refusal: { code, text }, instance, isReached: true };
    }
    if (request.access === 'read' && code !== 'malformed') {
      return { type: 'unknown', instance, fault: code };
    }
    return { type: 'answered', answer, instance };
  }

  /**
   * Waits for a response until the deadline. After that, the exchange is abandoned: its connection
   * returns to the pool if a response arrives soon, and is closed otherwise.
   */
  async awaitAnswer(
    exchange: Promise<ExchangeResult>,
    connection: InstanceConnection,
    instance: InstanceRuntime,
    deadline: Milliseconds,
  ): Promise<ExchangeResult | undefined> {
    const waitMs = Math.max(0, deadline - this.options.now());
    const answer = await firstWithin([exchange], waitMs);
    if (answer === undefined) void this.#abandon(exchange, connection, instance);
    return answer;
  }

  async #abandon(
    exchange: Promise<ExchangeResult>,
    connection: InstanceConnection,
    instance: InstanceRuntime,
  ): Promise<void> {
    const answer = await firstWithin([exchange], ABANDONED_EXCHANGE_TIMEOUT_MS);
    const isIdle = answer?.isOk() === true && answer.value.state === 'idle';
    if (isIdle) instance.pool.release(connection);
    else connection.close();
  }
}

/**
 * The minimum time left to send a statement. A write with less time than its response takes would only
 * end as in doubt. The minimum is bounded: an instance that was slow must be tried again to show that it
 * has become faster.
 */
function minTimeFor(access: Access, { pool }: InstanceRuntime): Milliseconds {
  return access === 'write' ? Math.min(pool.health.answerMs, MAX_WRITE_TIME_NEEDED_MS) : 0;
}

function recordAttempt(trace: RequestTrace | undefined, attempt: Attempt): void {
  const instance = attempt.instance.id;
  if (attempt.type === 'answered') {
    trace?.record({ step: 'answered', instance, code: attempt.answer.error?.code });
  } else if (attempt.type === 'unknown') {
    trace?.record({ step: 'unanswered', instance, fault: attempt.fault });
  } else {
    trace?.record({ step: 'not-sent', instance, reason: attempt.refusal.text });
  }
}
