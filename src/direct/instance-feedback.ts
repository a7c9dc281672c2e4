/** What statements tell of instances: who is avoided for a while, and which failures of a primary are reported. */
import type { Access } from '../core/request.js';
import type { Milliseconds } from '../core/units.js';
import { InstanceConnectError, InstanceQueueFullError } from './errors.js';
import type { AcquireError } from './instance-pool.js';
import type { PrimaryUse, PrimaryView } from './promotion/contract.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { LostAnswer, StatementRequest } from './statement-request.js';

/** An instance that failed gets no reads for so long while others will do. */
const AVOIDANCE_MS: Milliseconds = 500;
/** The same, after all connections to it were in use. */
const FULL_AVOIDANCE_MS: Milliseconds = 100;
/**
 * A statement that was sent with less than this part of an instance's patience left says nothing of
 * the instance if it got no answer: it waited too long before.
 */
const MIN_WAITED_FRACTION = 0.5;

export interface InstanceFeedbackOptions {
  readonly view: PrimaryView;
  readonly now: () => Milliseconds;
}

export class InstanceFeedback {
  constructor(private readonly options: InstanceFeedbackOptions) {}

  /** No connection was had: a failure of the instance only if it did not answer at all. */
  recordUnreachable(
    request: Pick<StatementRequest, 'service'>,
    instance: InstanceRuntime,
    error: AcquireError,
  ): void {
    // What one tenant has waiting says nothing of the instance.
    if (error instanceof InstanceQueueFullError) return;
    const isSilent = error instanceof InstanceConnectError && error.answer === undefined;
    if (isSilent) this.recordFailure(request, instance);
    else instance.pool.health.avoidUntil = this.options.now() + FULL_AVOIDANCE_MS;
  }

  /** The primary did what was asked of it. */
  recordSuccess(service: ServiceRuntime, access: Access): void {
    const use = access === 'write' ? 'commit' : 'reach';
    this.options.view.reportPrimarySuccess(service.name, this.options.now(), use);
  }

  /** No answer came. What an owner of the instance failed at says nothing of the instance itself. */
  recordNoAnswer(
    { request, instance, connection, answer, sentAt }: LostAnswer,
    use: PrimaryUse = 'reach',
    silenceMs: Milliseconds = 0,
  ): void {
    const waitedMs = this.options.now() - sentAt;
    const { lostAfterMs } = instance.pool.health;
    if (answer === undefined && waitedMs < lostAfterMs * MIN_WAITED_FRACTION) return;
    const isOwnersFault = answer?.isErr()
      ? answer.error.fault === 'owner'
      : connection.isOwnerSilent === true;
    if (!isOwnersFault) this.recordFailure(request, instance, use, silenceMs);
  }

  /** An instance did not do what was asked: reads avoid it, and a primary is reported. */
  recordFailure(
    request: Pick<StatementRequest, 'service'>,
    instance: InstanceRuntime,
    use: PrimaryUse = 'reach',
    silenceMs: Milliseconds = 0,
  ): void {
    const { view, now } = this.options;
    instance.pool.health.avoidUntil = now() + AVOIDANCE_MS;
    instance.pool.health.recordFailed();
    const primary = view.primaryOf(request.service.name);
    if (primary?.id !== instance.id) return;
    view.reportPrimaryFailure(request.service.name, now(), use, silenceMs);
  }
}
