/**
 * Decides what happens to a request whose run ended: its response is released at once, waits for
 * the majority's confirmation (runs on the primary), or the request is retried or fails.
 */
import type { ReadFailureReason } from '../errors.js';
import type { Position } from '../position.js';
import type { InstanceName, RequestId } from '../request.js';
import { containsPosition } from '../routing/select.js';
import type { SessionPositionLostError } from '../session/errors.js';
import { checkPosition } from '../session/position-check.js';
import type { Milliseconds } from '../units.js';
import {
  judgeConfirmation,
  type PendingConfirmation,
  type SettledConfirmation,
} from './confirmation.js';
import { type GroupContext, isDisabled, maxConfirmationAgeMs, type Run } from './context.js';
import type { RunResult } from './contract.js';
import type { Dispatcher } from './dispatcher.js';
import type { Outcomes } from './outcomes.js';
import { Retries } from './retries.js';
import type { RunResources } from './run-resources.js';

const ZERO_POSITION: Position = { timeline: 0, lsn: 0n };

type ConnectionLostResult = Extract<RunResult, { type: 'connection-lost' }>;
type FinishedResult = Exclude<RunResult, { type: 'connection-lost' | 'not-writable' }>;

/** Completes requests that were given a connection. */
export class Completion {
  private readonly retries: Retries;

  constructor(
    private readonly context: GroupContext,
    dispatcher: Dispatcher,
    private readonly outcomes: Outcomes,
    private readonly resources: RunResources,
  ) {
    this.retries = new Retries(context, dispatcher);
  }

  /** The adapter reported that the run ended on its connection. */
  handleRunFinished(requestId: RequestId, result: RunResult, now: Milliseconds): void {
    const run = this.context.runs.get(requestId);
    if (run === undefined || run.phase === 'confirming') return;
    this.resources.releaseEndedRun(run, result, now);
    if (run.phase === 'abandoned') {
      this.context.runs.delete(requestId);
      return;
    }
    if (result.type === 'connection-lost') this.handleConnectionLost(run, result, now);
    else if (result.type === 'not-writable') this.handleNotWritable(run, now);
    else this.handleFinished(run, result, now);
  }

  /**
   * The request can't use the connection that was being reset for it, for example because the
   * connection was lost. Nothing of the request was sent, so it is queued again.
   */
  handleResetFailed(run: Run, now: Milliseconds): void {
    this.resources.releaseLoad(run);
    this.context.runs.delete(run.entry.request.id);
    this.retries.requeueImmediately(run, now);
  }

  /**
   * Completes the pending confirmations that the instances' reported state decides, or that timed
   * out.
   */
  settleConfirmations(now: Milliseconds): void {
    const { confirmations, monitor } = this.context;
    if (confirmations.size === 0) return;
    const minorityTimeline = monitor.minorityTimeline(now);
    for (const settled of confirmations.takeSettled(monitor.topology, now, minorityTimeline)) {
      this.handleSettled(settled, now);
    }
  }

  /**
   * Requests sent to a primary that a majority has replaced can no longer be confirmed. Single
   * writes fail at once with an unknown outcome. For reads and transactions, the connection is
   * closed and the adapter's report of the lost connection decides how they end. Requests that were
   * not sent yet are queued again.
   */
  handlePrimaryReplaced(now: Milliseconds): void {
    const { runs, monitor, pool, effects } = this.context;
    for (const run of [...runs.values()]) {
      if (!run.onPrimary || run.timeline >= monitor.timeline) continue;
      if (run.phase === 'resetting') this.handleResetFailed(run, now);
      if (run.phase === 'confirming' || run.phase === 'abandoned') continue;
      const { request } = run.entry;
      const isSingleWrite = request.access === 'write' && request.hold === 'statement';
      if (run.phase === 'running' && isSingleWrite) {
        this.resources.releaseLoad(run);
        this.outcomes.failUnknown(run, 'primary-replaced');
      }
      pool.close(run.connectionId, effects);
    }
    this.settleConfirmations(now);
  }

  /**
   * An instance became unreachable. Its idle connections may be broken without this owner being
   * notified, so they are closed. Single reads that run there and have no response yet are
   * interrupted and then retried on another instance.
   */
  handleInstanceUnreachable(name: InstanceName): void {
    const { pool, runs, effects } = this.context;
    const reads = [...runs.values()].filter((run) => {
      const { access, hold } = run.entry.request;
      return run.instance === name && access === 'read' && hold === 'statement';
    });
    for (const run of reads) {
      const requestId = run.entry.request.id;
      if (run.phase === 'running') effects.push({ type: 'interrupt-if-silent', requestId });
    }
    for (const connection of [...pool.table.all()]) {
      const idle = connection.instance === name && connection.status === 'idle';
      if (idle) pool.close(connection.id, effects);
    }
  }

  /**
   * The deadline of a request passed after the request was given a connection. A transaction that
   * was already sent may continue.
   */
  handleDeadlinePassed(run: Run, now: Milliseconds): void {
    const { request } = run.entry;
    if (run.phase === 'resetting') {
      this.resources.closeRun(run);
      this.outcomes.failNotRun(
        run.entry,
        'deadline-passed',
        'the deadline passed before the request was sent',
      );
      return;
    }
    if (request.hold === 'transaction') return;
    if (run.phase === 'running') {
      if (request.access === 'read') this.outcomes.failRead(run, 'run-timeout');
      else this.outcomes.failUnknown(run, 'run-timeout');
      run.phase = 'abandoned';
      this.context.runs.set(request.id, run);
      const at = now + this.context.timing.overrunLimitMs;
      this.context.deadlines.add({ at, requestId: request.id });
    }
  }

  private handleFinished(run: Run, result: FinishedResult, now: Milliseconds): void {
    run.position = result.position;
    run.anyBytesRelayed = result.type === 'database-error' || result.anyBytesRelayed !== false;
    this.recordPosition(run, now);
    if (!run.onPrimary) this.handleFinishedOnReplica(run, now);
    else if (isDisabled(this.context, 'confirmation')) this.outcomes.release(run);
    else this.handleFinishedOnPrimary(run, result, now);
  }

  private recordPosition(run: Run, now: Milliseconds): void {
    const { monitor, effects } = this.context;
    const position = run.position;
    if (position === undefined) return;
    const state = {
      writable: run.onPrimary,
      replayedPosition: position,
      receivedPosition: position,
    };
    monitor.recordPiggybackedState(run.instance, state, now, effects);
    if (run.onPrimary && monitor.primary?.instance === run.instance) {
      monitor.recordPrimaryPosition(position, run.dispatchedAt);
    }
  }

  private handleFinishedOnReplica(run: Run, now: Milliseconds): void {
    const { session } = run.entry.request;
    const isBehind =
      session.type === 'known' &&
      run.position !== undefined &&
      !isDisabled(this.context, 'session-position') &&
      !containsPosition(run.position, session.position);
    if (isBehind) this.retryRead(run, 'replica-behind', now);
    else this.outcomes.release(run);
  }

  private handleFinishedOnPrimary(run: Run, result: FinishedResult, now: Milliseconds): void {
    const { request } = run.entry;
    const { confirmations, options, timing, monitor } = this.context;
    const isWrite = request.access === 'write';
    if (run.position === undefined && result.type === 'database-error') {
      this.outcomes.release(run);
      return;
    }
    if (run.position === undefined && isWrite) {
      this.outcomes.failUnknown(run, 'confirmation-timeout');
      return;
    }
    const position = run.position ?? { ...ZERO_POSITION, timeline: run.timeline };
    run.phase = 'confirming';
    if (position.timeline !== run.timeline) {
      this.handleUnconfirmed(run, 'primary-replaced', now);
      return;
    }
    const minDeadline = request.hold === 'transaction' ? now + timing.transactionConfirmationMs : 0;
    const deadline = Math.max(request.deadline, minDeadline);
    const sequence = monitor.nextSequence();
    const pending: PendingConfirmation = {
      requestId: request.id,
      primary: run.instance,
      position,
      mode: isWrite ? (options.confirmationMode ?? 'received') : 'term',
      afterSequence: isWrite ? sequence : undefined,
      sinceTime: isWrite ? run.dispatchedAt : run.dispatchedAt - maxConfirmationAgeMs(request),
      finishedAt: now,
      deadline,
    };
    confirmations.add(pending);
    const needsProbe = judgeConfirmation(pending, monitor.topology) === 'pending';
    if (needsProbe) this.context.confirmationSequence = sequence;
    this.context.deadlines.add({ at: deadline, requestId: request.id });
  }

  private handleSettled(settled: SettledConfirmation, now: Milliseconds): void {
    const run = this.context.runs.get(settled.pending.requestId);
    if (run === undefined) return;
    if (settled.verdict === 'confirmed') {
      const positionLoss = this.findPositionLoss(run);
      if (positionLoss !== undefined) {
        this.outcomes.failPositionLost(run.entry, positionLoss);
        return;
      }
      if (run.entry.request.access === 'write') this.context.counters.writesConfirmed += 1;
      this.outcomes.release(run);
      return;
    }
    const reason = settled.verdict === 'replaced' ? 'primary-replaced' : 'confirmation-timeout';
    this.handleUnconfirmed(run, reason, now);
  }

  /**
   * Returns an error if the confirmed primary's log ends before the position that the read's
   * session has observed.
   */
  private findPositionLoss({ entry, position }: Run): SessionPositionLostError | undefined {
    const { access, session } = entry.request;
    if (access !== 'read' || session.type !== 'known' || position === undefined) return undefined;
    if (isDisabled(this.context, 'session-position')) return undefined;
    const { group } = this.context.options;
    return checkPosition(session.position, {
      group,
      end: position,
      timelineStart: undefined,
    }).match(
      () => undefined,
      (error) => error,
    );
  }

  private handleUnconfirmed(
    run: Run,
    reason: 'primary-replaced' | 'confirmation-timeout',
    now: Milliseconds,
  ): void {
    if (run.entry.request.access === 'write') this.outcomes.failUnknown(run, reason);
    else this.retryRead(run, reason, now);
  }

  private handleConnectionLost(run: Run, result: ConnectionLostResult, now: Milliseconds): void {
    const { request } = run.entry;
    run.anyBytesRelayed = result.anyBytesRelayed;
    if (!result.anyBytesWritten) {
      this.handleNotSent(run, now);
      return;
    }
    if (request.hold === 'transaction') {
      if (result.mayHaveCommitted && request.access === 'write') {
        this.outcomes.failUnknown(run, 'connection-lost');
      } else this.outcomes.failAborted(run);
      return;
    }
    if (request.access === 'read') {
      this.retryRead(run, 'connection-lost', now);
      return;
    }
    const mayRepeat = request.repeatable || isDisabled(this.context, 'at-most-once');
    const mayRetry = mayRepeat && !run.anyBytesRelayed;
    if (mayRetry && this.retries.retryRepeatable(run, now)) return;
    this.outcomes.failUnknown(run, 'connection-lost');
  }

  /**
   * A demoted primary refused the write and executed nothing of it: it is queued for the next
   * primary.
   */
  private handleNotWritable(run: Run, now: Milliseconds): void {
    const { monitor, effects, runs, timing } = this.context;
    const { entry } = run;
    monitor.recordNotWritable(run.instance, now, effects);
    runs.delete(entry.request.id);
    if (this.retries.retryNotRun(run, now)) return;
    const message = 'the primary was demoted before the request reached it';
    this.outcomes.failNotRun(entry, 'no-primary', message, timing.noPrimaryRetryAfterMs);
  }

  private retryRead(run: Run, reason: ReadFailureReason, now: Milliseconds): void {
    const { hold } = run.entry.request;
    const mayRetry = hold === 'statement' && !run.anyBytesRelayed;
    if (mayRetry && this.retries.retryRepeatable(run, now)) return;
    this.outcomes.failRead(run, reason);
  }

  /** No byte of the request was sent, so if no retry is allowed it fails as not run. */
  private handleNotSent(run: Run, now: Milliseconds): void {
    this.context.runs.delete(run.entry.request.id);
    if (this.retries.retryNotRun(run, now)) return;
    const retryAfterMs = this.context.timing.retryBackoffMaxMs;
    const message = 'the connection was lost before anything was sent';
    this.outcomes.failNotRun(run.entry, 'connection-lost-before-send', message, retryAfterMs);
  }
}
