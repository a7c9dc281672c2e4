/** Emits the single final effect of each request and updates the counters. */
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

/** Ends admitted requests. */
export class Outcomes {
  constructor(private readonly context: GroupContext) {}

  /**
   * Fails a request of which no attempt is in progress. This is the only place that reports an
   * admitted request as not run. If an earlier attempt may have run, it reports another error.
   */
  failNotRun(
    entry: QueueEntry,
    reason: NotRunReason,
    message: string,
    retryAfterMs?: number,
  ): void {
    if (entry.mayHaveRun) {
      this.failAfterRetry(entry, retryAfterMs);
      return;
    }
    this.context.counters.notRun += 1;
    this.fail(entry, new NotRunError(reason, message, retryAfterMs));
  }

  /** The withheld response may be sent to the caller. */
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

  /** The request may or may not have run, and if it ran, its effects may or may not be durable. */
  failUnknown(run: Run, reason: UnknownReason): void {
    this.context.counters.unknown += 1;
    this.context.runs.delete(run.entry.request.id);
    this.fail(run.entry, new UnknownOutcomeError(reason, `the outcome is not known: ${reason}`));
  }

  /**
   * The group's log doesn't contain the position that the session has observed, so waiting would
   * never succeed.
   */
  failPositionLost(entry: QueueEntry, error: SessionPositionLostError): void {
    this.context.counters.notRun += 1;
    this.context.runs.delete(entry.request.id);
    this.fail(entry, error);
  }

  /** The transaction has certainly rolled back. */
  failAborted(run: Run): void {
    this.context.runs.delete(run.entry.request.id);
    const message = 'the connection was lost and the transaction rolled back';
    this.fail(run.entry, new TransactionAbortedError(message));
  }

  /** A read was started, but has no response that may be released. */
  failRead(run: Run, reason: ReadFailureReason): void {
    this.context.runs.delete(run.entry.request.id);
    this.fail(run.entry, new ReadFailedError(reason, `the read did not complete: ${reason}`));
  }

  private fail(entry: QueueEntry, error: RequestError): void {
    const { request } = entry;
    this.context.admission.recordCompleted(request.tenant);
    this.context.effects.push({ type: 'fail', requestId: request.id, error });
  }

  private failAfterRetry(entry: QueueEntry, retryAfterMs: number | undefined): void {
    if (entry.request.access === 'read') {
      const message = 'the connection was lost and no retry could start in time';
      this.fail(entry, new ReadFailedError('connection-lost', message, retryAfterMs));
      return;
    }
    this.context.counters.unknown += 1;
    const message = 'an earlier attempt may have run';
    this.fail(entry, new UnknownOutcomeError('connection-lost', message));
  }
}
