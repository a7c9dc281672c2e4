/** Executes plans: slots, service time, waiting for row locks, cancellation. */
import { setTimeout as delay } from 'node:timers/promises';
import type { Slots } from '../slots.js';
import type { ExecutionContext, Plan, StatementResult } from '../sql/plan.js';
import { RowLockedSignal } from '../storage/transaction.js';

export interface RunnerHost {
  readonly slots: Slots;
  statementMs(): number;
}

/** Throws the signal's abort reason, a ServerError. */
export function throwIfAborted(signal: AbortSignal): void {
  if (signal.aborted) throw signal.reason;
}

async function pause(milliseconds: number, signal: AbortSignal): Promise<void> {
  try {
    await delay(milliseconds, undefined, { signal });
  } catch {
    throwIfAborted(signal);
  }
}

async function acquireSlot(slots: Slots, signal: AbortSignal): Promise<void> {
  const acquired = slots.tryAcquire() || (await slots.acquire(signal));
  if (!acquired) throwIfAborted(signal);
  if (signal.aborted) {
    slots.release();
    throw signal.reason;
  }
}

/**
 * Runs `work` with a slot, if the plan needs one. The slot is held until the rows are written: a
 * client that does not read occupies its slot, like a PostgreSQL back end that waits for its socket.
 */
export async function withSlot(
  plan: Plan,
  host: RunnerHost,
  signal: AbortSignal,
  work: () => Promise<void>,
): Promise<void> {
  if (!plan.needsSlot) return work();
  await acquireSlot(host.slots, signal);
  try {
    await work();
  } finally {
    host.slots.release();
  }
}

/** Executes a plan within `withSlot`; the slot is released while it waits for a row lock. */
export async function runPlan(
  plan: Plan,
  context: ExecutionContext,
  host: RunnerHost,
  signal: AbortSignal,
): Promise<StatementResult> {
  const statementMs = plan.needsSlot ? host.statementMs() : 0;
  if (statementMs > 0) await pause(statementMs, signal);
  for (;;) {
    const { transaction } = context;
    const { undoPosition } = transaction;
    try {
      context.sleepMs = 0;
      const result = plan.execute(context);
      await performRequestedSleep(context, signal);
      return result;
    } catch (error) {
      if (!(error instanceof RowLockedSignal)) throw error;
      transaction.rollbackTo(undoPosition);
      await waitForLock(plan, context, error, host, signal);
    }
  }
}

async function waitForLock(
  plan: Plan,
  context: ExecutionContext,
  locked: RowLockedSignal,
  host: RunnerHost,
  signal: AbortSignal,
): Promise<void> {
  if (plan.needsSlot) host.slots.release();
  try {
    await context.transaction.waitFor(locked.holder, signal);
  } finally {
    if (plan.needsSlot) await reacquireSlot(host.slots);
  }
  throwIfAborted(signal);
}

/** Waits for a slot even when canceled, since the caller releases one. */
async function reacquireSlot(slots: Slots): Promise<void> {
  await slots.acquire(new AbortController().signal);
}

/** Waits for the time that calls of pg_sleep have requested. */
export async function performRequestedSleep(
  context: ExecutionContext,
  signal: AbortSignal,
): Promise<void> {
  if (context.sleepMs === 0) return;
  const { sleepMs } = context;
  context.sleepMs = 0;
  await pause(sleepMs, signal);
}
