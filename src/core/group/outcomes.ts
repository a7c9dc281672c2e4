/** The one final effect that every request gets, and the counters that go with it. */
import {
  NotRunError,
  type NotRunReason,
  ReadFailedError,
  type ReadFailureReason,
  type RequestError,
  TransactionAbortedError,
  UnknownOutcomeError,
  type UnknownReason,
} from '../errors.js';
import type { SessionPositionLostError } from '../session/errors.js';
import type { GroupContext, Run } from './context.js';
import type { QueueEntry } from './queue.js';

/** Ends requests that were let in. */
export class Outcomes {
  constructor(private readonly context: GroupContext) {}

  /**
   * Ends a request that waits in the queue. The one place that says "not run" of a request that
   * was let in; what an earlier attempt may have run is not called so.
   */
  notRun(entry: QueueEntry, reason: NotRunReason, message: string, retryAfterMs?: number): void {
    if (entry.mayHaveRun) {
      this.endAfterRetry(entry, retryAfterMs);
      return;
    }
    this.context.counters.notRun += 1;
    this.fail(entry, new NotRunError(reason, message, retryAfterMs));
  }

  /** The answer held back may go to the caller. */
  release(run: Run): void {
    const { request } = run.entry;
    this.context.runs.delete(request.id);
    this.context.admission.recordCompleted(request.tenant);
    this.context.effects.push({
      type: 'release',
      requestId: request.id,
      position: run.position,
    });
  }

  /** It may or may not have run or may or may not last. */
  unknown(run: Run, reason: UnknownReason): void {
    this.context.counters.unknown += 1;
    this.context.runs.delete(run.entry.request.id);
    this.fail(run.entry, new UnknownOutcomeError(reason, `the outcome is not known: ${reason}`));
  }

  /** The group's log does not hold what the session has seen; waiting would never end. */
  positionLost(entry: QueueEntry, error: SessionPositionLostError): void {
    this.context.counters.notRun += 1;
    this.context.runs.delete(entry.request.id);
    this.fail(entry, error);
  }

  /** The transaction surely rolled back. */
  aborted(run: Run): void {
    this.context.runs.delete(run.entry.request.id);
    const message = 'the connection was lost and the transaction rolled back';
    this.fail(run.entry, new TransactionAbortedError(message));
  }

  /** A read had started and has no answer that may be trusted. */
  readFailed(run: Run, reason: ReadFailureReason): void {
    this.context.runs.delete(run.entry.request.id);
    this.fail(run.entry, new ReadFailedError(reason, `the read was not finished: ${reason}`));
  }

  private fail(entry: QueueEntry, error: RequestError): void {
    const { request } = entry;
    this.context.admission.recordCompleted(request.tenant);
    this.context.effects.push({ type: 'fail', requestId: request.id, error });
  }

  private endAfterRetry(entry: QueueEntry, retryAfterMs: number | undefined): void {
    if (entry.request.access === 'read') {
      const message = 'the connection was lost and a retry found no place in time';
      this.fail(entry, new ReadFailedError('connection-lost', message, retryAfterMs));
      return;
    }
    this.context.counters.unknown += 1;
    const message = 'an earlier attempt may have run';
    this.fail(entry, new UnknownOutcomeError('connection-lost', message));
  }
}
