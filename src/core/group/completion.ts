/**
 * What a finished or lost run means for its caller: release at once, confirmation of what ran on the
 * primary, retry, or an error.
 */
import type { ReadFailureReason } from '../errors.js';
import type { Position } from '../position.js';
import type { InstanceName, RequestId } from '../request.js';
import { containsPosition } from '../routing/select.js';
import type { SessionPositionLostError } from '../session/errors.js';
import { checkPosition } from '../session/position-check.js';
import type { Milliseconds } from '../units.js';
import { judge, type PendingConfirmation, type SettledConfirmation } from './confirmation.js';
import { type GroupContext, isOff, type Run, toleratedAgeMs } from './context.js';
import type { RunResult } from './contract.js';
import type { Dispatcher } from './dispatcher.js';
import type { Outcomes } from './outcomes.js';
import { Retries } from './retries.js';
import type { RunRelease } from './run-release.js';

const NOWHERE: Position = { timeline: 0, lsn: 0n };

type LostResult = Extract<RunResult, { type: 'connection-lost' }>;
type FinishedResult = Exclude<RunResult, { type: 'connection-lost' | 'not-writable' }>;

/** Ends requests. */
export class Completion {
  private readonly retries: Retries;

  constructor(
    private readonly context: GroupContext,
    dispatcher: Dispatcher,
    private readonly outcomes: Outcomes,
    private readonly release: RunRelease,
  ) {
    this.retries = new Retries(context, dispatcher);
  }

  /** A run ended on its connection. */
  runFinished(requestId: RequestId, result: RunResult, now: Milliseconds): void {
    const run = this.context.runs.get(requestId);
    if (run === undefined || run.phase === 'confirming') return;
    this.release.runEnded(run, result, now);
    if (run.phase === 'abandoned') {
      this.context.runs.delete(requestId);
      return;
    }
    if (result.type === 'connection-lost') this.lost(run, result, now);
    else if (result.type === 'not-writable') this.refusedAsNotWritable(run, now);
    else this.finished(run, result, now);
  }

  /** The connection was lost while it was being reset: nothing of the request was sent. */
  resetFailed(run: Run, now: Milliseconds): void {
    this.release.releaseLoad(run);
    this.context.runs.delete(run.entry.request.id);
    this.retries.requeueAtOnce(run, now);
  }

  /** Ends what the present knowledge confirms or rules out. */
  settleConfirmations(now: Milliseconds): void {
    const { confirmations, monitor } = this.context;
    if (confirmations.size === 0) return;
    const stray = monitor.minorityTimeline(now);
    for (const settled of confirmations.settle(monitor.topology, now, stray)) {
      this.settled(settled, now);
    }
  }

  /**
   * What was sent to a primary that a majority has replaced can't be confirmed any more. Writes
   * end at once; for the rest the connection is closed, and the adapter reports how far they came.
   */
  primaryReplaced(now: Milliseconds): void {
    const { runs, monitor, pool, effects } = this.context;
    for (const run of [...runs.values()]) {
      if (!run.onPrimary || run.timeline >= monitor.timeline) continue;
      if (run.phase === 'resetting') this.resetFailed(run, now);
      if (run.phase === 'confirming' || run.phase === 'abandoned') continue;
      const { request } = run.entry;
      const ends = request.access === 'write' && request.hold === 'statement';
      if (run.phase === 'running' && ends) {
        this.release.releaseLoad(run);
        this.outcomes.unknown(run, 'primary-replaced');
      }
      pool.close(run.connectionId, effects);
    }
    this.settleConfirmations(now);
  }

  /**
   * An instance does not answer any more. Its idle connections may be dead without notice, so they
   * are closed; reads that run there and have no answer yet are given up, to be retried elsewhere.
   */
  instanceUnreachable(name: InstanceName): void {
    const { pool, runs, effects } = this.context;
    const reading = [...runs.values()].filter((run) => {
      const { access, hold } = run.entry.request;
      return run.instance === name && access === 'read' && hold === 'statement';
    });
    for (const run of reading) {
      const requestId = run.entry.request.id;
      if (run.phase === 'running') effects.push({ type: 'interrupt-if-silent', requestId });
    }
    for (const connection of [...pool.table.all()]) {
      const idle = connection.instance === name && connection.status === 'idle';
      if (idle) pool.close(connection.id, effects);
    }
  }

  /** The caller's time is over while its request runs. */
  runOverdue(run: Run, now: Milliseconds): void {
    const { request } = run.entry;
    if (run.phase === 'resetting') {
      this.release.closeRun(run);
      this.outcomes.notRun(run.entry, 'deadline-passed', 'its time ran out before it was sent');
      return;
    }
    if (request.hold === 'transaction') return;
    if (run.phase === 'running') {
      if (request.access === 'read') this.outcomes.readFailed(run, 'run-timeout');
      else this.outcomes.unknown(run, 'run-timeout');
      run.phase = 'abandoned';
      this.context.runs.set(request.id, run);
      const at = now + this.context.timing.overrunLimitMs;
      this.context.deadlines.add({ at, requestId: request.id });
    }
  }

  private finished(run: Run, result: FinishedResult, now: Milliseconds): void {
    run.position = result.position;
    run.anyBytesRelayed = result.type === 'database-error' || result.anyBytesRelayed !== false;
    this.learnPosition(run, now);
    if (!run.onPrimary) this.finishedOnReplica(run, now);
    else if (isOff(this.context, 'confirmation')) this.outcomes.release(run);
    else this.finishedOnPrimary(run, result, now);
  }

  private learnPosition(run: Run, now: Milliseconds): void {
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

  private finishedOnReplica(run: Run, now: Milliseconds): void {
    const { session } = run.entry.request;
    const behind =
      session.type === 'known' &&
      run.position !== undefined &&
      !isOff(this.context, 'session-position') &&
      !containsPosition(run.position, session.position);
    if (behind) this.retryRead(run, 'replica-behind', now);
    else this.outcomes.release(run);
  }

  private finishedOnPrimary(run: Run, result: FinishedResult, now: Milliseconds): void {
    const { request } = run.entry;
    const { confirmations, options, timing, monitor } = this.context;
    const isWrite = request.access === 'write';
    if (run.position === undefined && result.type === 'database-error') {
      this.outcomes.release(run);
      return;
    }
    if (run.position === undefined && isWrite) {
      this.outcomes.unknown(run, 'confirmation-timeout');
      return;
    }
    const position = run.position ?? { ...NOWHERE, timeline: run.timeline };
    run.phase = 'confirming';
    if (position.timeline !== run.timeline) {
      this.unconfirmed(run, 'primary-replaced', now);
      return;
    }
    const atLeast = request.hold === 'transaction' ? now + timing.transactionConfirmationMs : 0;
    const deadline = Math.max(request.deadline, atLeast);
    const sequence = monitor.nextSequence();
    const pending: PendingConfirmation = {
      requestId: request.id,
      primary: run.instance,
      position,
      mode: isWrite ? (options.confirmationMode ?? 'received') : 'term',
      afterSequence: isWrite ? sequence : undefined,
      sinceTime: isWrite ? run.dispatchedAt : run.dispatchedAt - toleratedAgeMs(request),
      finishedAt: now,
      deadline,
    };
    confirmations.add(pending);
    const probeWanted = judge(pending, monitor.topology) === 'pending';
    if (probeWanted) this.context.confirmationSequence = sequence;
    this.context.deadlines.add({ at: deadline, requestId: request.id });
  }

  private settled(settled: SettledConfirmation, now: Milliseconds): void {
    const run = this.context.runs.get(settled.pending.requestId);
    if (run === undefined) return;
    if (settled.verdict === 'confirmed') {
      const lost = this.lostPosition(run);
      if (lost !== undefined) {
        this.outcomes.positionLost(run.entry, lost);
        return;
      }
      if (run.entry.request.access === 'write') this.context.counters.writesConfirmed += 1;
      this.outcomes.release(run);
      return;
    }
    const reason = settled.verdict === 'replaced' ? 'primary-replaced' : 'confirmation-timeout';
    this.unconfirmed(run, reason, now);
  }

  /** The confirmed primary's log ends before the position that a read's session has seen. */
  private lostPosition({ entry, position }: Run): SessionPositionLostError | undefined {
    const { access, session } = entry.request;
    if (access !== 'read' || session.type !== 'known' || position === undefined) return undefined;
    if (isOff(this.context, 'session-position')) return undefined;
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

  private unconfirmed(
    run: Run,
    reason: 'primary-replaced' | 'confirmation-timeout',
    now: Milliseconds,
  ): void {
    if (run.entry.request.access === 'write') this.outcomes.unknown(run, reason);
    else this.retryRead(run, reason, now);
  }

  private lost(run: Run, result: LostResult, now: Milliseconds): void {
    const { request } = run.entry;
    run.anyBytesRelayed = result.anyBytesRelayed;
    if (!result.anyBytesWritten) {
      this.notSent(run, now);
      return;
    }
    if (request.hold === 'transaction') {
      if (result.mayHaveCommitted && request.access === 'write') {
        this.outcomes.unknown(run, 'connection-lost');
      } else this.outcomes.aborted(run);
      return;
    }
    if (request.access === 'read') {
      this.retryRead(run, 'connection-lost', now);
      return;
    }
    const mayRepeat = request.repeatable || isOff(this.context, 'at-most-once');
    const mayRetry = mayRepeat && !run.anyBytesRelayed;
    if (mayRetry && this.retries.retryRepeatable(run, now)) return;
    this.outcomes.unknown(run, 'connection-lost');
  }

  /** A demoted primary ran nothing of the write: it waits for the next primary. */
  private refusedAsNotWritable(run: Run, now: Milliseconds): void {
    const { monitor, effects, runs, timing } = this.context;
    const { entry } = run;
    monitor.recordNotWritable(run.instance, now, effects);
    runs.delete(entry.request.id);
    if (this.retries.retryNotRun(run, now)) return;
    const message = 'the primary was demoted before the request reached it';
    this.outcomes.notRun(entry, 'no-primary', message, timing.noPrimaryRetryAfterMs);
  }

  private retryRead(run: Run, reason: ReadFailureReason, now: Milliseconds): void {
    const { hold } = run.entry.request;
    const mayRetry = hold === 'statement' && !run.anyBytesRelayed;
    if (mayRetry && this.retries.retryRepeatable(run, now)) return;
    this.outcomes.readFailed(run, reason);
  }

  /** Nothing of the request left; it is refused if no retry is left. */
  private notSent(run: Run, now: Milliseconds): void {
    this.context.runs.delete(run.entry.request.id);
    if (this.retries.retryNotRun(run, now)) return;
    const retryAfterMs = this.context.timing.retryBackoffMaxMs;
    const message = 'the connection was lost before anything was sent';
    this.outcomes.notRun(run.entry, 'connection-lost-before-send', message, retryAfterMs);
  }
}
