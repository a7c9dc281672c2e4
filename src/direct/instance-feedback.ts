/** Decides from the outcome of statements which instances reads avoid, and reports failures of a primary. */
import type { Access } from '../core/request.js';
import type { Milliseconds } from '../core/units.js';
import { InstanceConnectError, InstanceQueueFullError } from './errors.js';
import type { AcquireError } from './instance-pool.js';
import type { PrimaryUse, PrimaryView } from './promotion/contract.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { LostAnswer, StatementRequest } from './statement-request.js';

/** Reads avoid an instance for this time after a failure, if another one is usable. */
const AVOIDANCE_MS: Milliseconds = 500;
/** The same after no connection was free. */
const FULL_AVOIDANCE_MS: Milliseconds = 100;
/**
 * A missing answer counts as a failure of the instance only after waiting for at least this fraction of `lostAfterMs`.
 * A shorter wait means that the statement was sent late, not that the instance is slow.
 */
const MIN_WAITED_FRACTION = 0.5;

export interface InstanceFeedbackOptions {
  readonly view: PrimaryView;
  readonly now: () => Milliseconds;
}

export class InstanceFeedback {
  constructor(private readonly options: InstanceFeedbackOptions) {}

  /** Records that no connection was obtained: a failure of the instance only if it did not answer at all. */
  recordUnreachable(
    request: Pick<StatementRequest, 'service'>,
    instance: InstanceRuntime,
    error: AcquireError,
  ): void {
    // A full queue of one tenant shows nothing about the instance.
    if (error instanceof InstanceQueueFullError) return;
    const isSilent = error instanceof InstanceConnectError && error.answer === undefined;
    if (isSilent) this.recordFailure(request, instance);
    else instance.pool.health.avoidUntil = this.options.now() + FULL_AVOIDANCE_MS;
  }

  /** Records that the primary executed a statement. */
  recordSuccess(service: ServiceRuntime, access: Access): void {
    const use = access === 'write' ? 'commit' : 'reach';
    this.options.view.reportPrimarySuccess(service.name, this.options.now(), use);
  }

  /** Records a lost answer. A failure of the owner that lent the connection isn't counted against the instance. */
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

  /** Records a failure: reads avoid the instance, and a failure of the primary is reported. */
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
