/** Gives back what a run holds: its connection, its slot, its place in the tenant's share. */
import type { Milliseconds } from '../units.js';
import type { GroupContext, Run } from './context.js';
import type { RunResult } from './contract.js';

/** Releases what runs hold. */
export class RunRelease {
  constructor(private readonly context: GroupContext) {}

  /** The run ended on its connection. */
  runEnded(run: Run, result: RunResult, now: Milliseconds): void {
    const { pool, monitor, loads, effects } = this.context;
    const { hold, tenant } = run.entry.request;
    const isLost = result.type === 'connection-lost';
    if (hold === 'statement' && !isLost) {
      loads.recordServiceTime(run.instance, tenant, now - run.dispatchedAt);
    }
    this.releaseLoad(run);
    if (!isLost) pool.release(run.connectionId, now, effects);
    else if (pool.table.remove(run.connectionId) !== undefined) {
      monitor.recordConnectionError(run.instance);
    }
  }

  /** Forgets a run and closes the connection that it holds. */
  closeRun(run: Run): void {
    this.releaseLoad(run);
    this.context.runs.delete(run.entry.request.id);
    this.context.pool.close(run.connectionId, this.context.effects);
  }

  /** A transaction between two statements uses no slot. */
  setTransactionIdle(run: Run, idle: boolean): void {
    if (run.idle === idle) return;
    run.idle = idle;
    this.context.loads.setIdle(run.instance, run.entry.request.tenant, idle);
  }

  /** The run uses its instance no more; its connection is another matter. */
  releaseLoad(run: Run): void {
    const { request } = run.entry;
    this.setTransactionIdle(run, false);
    this.context.loads.finish(run.instance, request.hold, request.tenant);
    this.context.admission.recordConnection(request.tenant, -1);
  }
}
