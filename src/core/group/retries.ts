/** Queues requests again within the limits on attempts, the deadline and the retry budget. */
import { backoffPause } from '../retry/backoff.js';
import type { Milliseconds } from '../units.js';
import { type GroupContext, isDisabled, type Run } from './context.js';
import type { Dispatcher } from './dispatcher.js';
import type { QueueEntry } from './queue.js';

const MAX_ATTEMPTS = 4;

/** Retries the requests of one group. */
export class Retries {
  constructor(
    private readonly context: GroupContext,
    private readonly dispatcher: Dispatcher,
  ) {}

  /** Retries a request that may have run and may run again; false if no retry is allowed. */
  retryRepeatable(run: Run, now: Milliseconds): boolean {
    return this.retryEntry(run, { ...run.entry, mayHaveRun: true }, now);
  }

  /** Retries a request that has certainly not run in this attempt; false if no retry is allowed. */
  retryNotRun(run: Run, now: Milliseconds): boolean {
    return this.retryEntry(run, run.entry, now);
  }

  /**
   * Queues a request of which nothing was sent as if it had just arrived: without backoff and
   * outside the retry budget.
   */
  requeueImmediately(run: Run, now: Milliseconds): void {
    this.enqueue(run, run.entry, 0, now);
  }

  private retryEntry(run: Run, entry: QueueEntry, now: Milliseconds): boolean {
    if (!this.tryTakeRetry(entry, now)) return false;
    this.context.counters.retries += 1;
    this.context.runs.delete(entry.request.id);
    this.enqueue(run, entry, entry.attempts + 1, now);
    return true;
  }

  private tryTakeRetry(entry: QueueEntry, now: Milliseconds): boolean {
    if (entry.attempts + 1 >= MAX_ATTEMPTS || now >= entry.request.deadline) return false;
    return isDisabled(this.context, 'retry-budget') || this.context.retryBudget.tryTake();
  }

  private enqueue(run: Run, entry: QueueEntry, attempts: number, now: Milliseconds): void {
    const { timing, options } = this.context;
    const { retryBackoffBaseMs: baseMs, retryBackoffMaxMs: maximumMs } = timing;
    const backoff =
      attempts === 0 ? 0 : backoffPause({ baseMs, maximumMs }, attempts, options.random());
    const notBefore = now + backoff;
    this.dispatcher.enqueue({ ...entry, attempts, notBefore, avoid: run.instance }, now);
  }
}
