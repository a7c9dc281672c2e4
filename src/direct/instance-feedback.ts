/** What statements tell of instances: who is avoided for a while, and which failures of a primary are reported. */
import type { Access } from '../core/request.js';
import type { Milliseconds } from '../core/units.js';
import { InstanceConnectError, InstanceQueueFullError } from './errors.js';
import type { AcquireError } from './instance-pool.js';
import type { PrimaryUse, PrimaryView } from './promotion/contract.js';
import type { InstanceRuntime, ServiceRuntime } from './service-runtime.js';
import type { LostAnswer, StatementRequest } from './statement-request.js';

/** An instance that failed gets no reads for so long while others will do. */
const AVOID_MS: Milliseconds = 500;
/** The same, after all connections to it were in use. */
const AVOID_FULL_MS: Milliseconds = 100;
/**
 * A statement that was sent with less than this part of an instance's patience left says nothing of
 * the instance if it got no answer: it waited too long before.
 */
const TELLING_PATIENCE_SHARE = 0.5;

export interface InstanceFeedbackOptions {
  readonly view: PrimaryView;
  readonly now: () => Milliseconds;
}

export class InstanceFeedback {
  constructor(private readonly options: InstanceFeedbackOptions) {}

  /** No connection was had: a failure of the instance only if it did not answer at all. */
  noteUnreachable(
    request: Pick<StatementRequest, 'service'>,
    instance: InstanceRuntime,
    error: AcquireError,
  ): void {
    // What one tenant has waiting says nothing of the instance.
    if (error instanceof InstanceQueueFullError) return;
    const isSilent = error instanceof InstanceConnectError && error.answer === undefined;
    if (isSilent) this.noteFailure(request, instance);
    else instance.pool.health.avoidUntil = this.options.now() + AVOID_FULL_MS;
  }

  /** The primary did what was asked of it. */
  noteSuccess(service: ServiceRuntime, access: Access): void {
    const use = access === 'write' ? 'commit' : 'reach';
    this.options.view.reportPrimarySuccess(service.name, this.options.now(), use);
  }

  /** No answer came. What an owner of the instance failed at says nothing of the instance itself. */
  noteNoAnswer(
    { request, instance, connection, answer, sentAt }: LostAnswer,
    use: PrimaryUse = 'reach',
    silentForMs: Milliseconds = 0,
  ): void {
    const waitedMs = this.options.now() - sentAt;
    const { patienceMs } = instance.pool.health;
    if (answer === undefined && waitedMs < patienceMs * TELLING_PATIENCE_SHARE) return;
    const isOwnersFault = answer?.isErr()
      ? answer.error.fault === 'owner'
      : connection.isOwnerSilent === true;
    if (!isOwnersFault) this.noteFailure(request, instance, use, silentForMs);
  }

  /** An instance did not do what was asked: reads avoid it, and a primary is reported. */
  noteFailure(
    request: Pick<StatementRequest, 'service'>,
    instance: InstanceRuntime,
    use: PrimaryUse = 'reach',
    silentForMs: Milliseconds = 0,
  ): void {
    const { view, now } = this.options;
    instance.pool.health.avoidUntil = now() + AVOID_MS;
    instance.pool.health.noteFailed();
    const primary = view.primaryOf(request.service.name);
    if (primary?.id !== instance.id) return;
    view.reportPrimaryFailure(request.service.name, now(), use, silentForMs);
  }
}
