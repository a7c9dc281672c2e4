/** Releases what a run uses: its connection, its slot and its part of the tenant's limits. */
import type { Milliseconds } from '../units.js';
import type { GroupContext, Run } from './context.js';
import type { RunResult } from './contract.js';

/** Releases the resources of runs. */
export class RunResources {
  constructor(private readonly context: GroupContext) {}

  /** Releases everything that a run used after it ended on its connection. */
  releaseEndedRun(run: Run, result: RunResult, now: Milliseconds): void {
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

  /** Removes a run and closes its connection. */
  closeRun(run: Run): void {
    this.releaseLoad(run);
    this.context.runs.delete(run.entry.request.id);
    this.context.pool.close(run.connectionId, this.context.effects);
  }

  /** A transaction between two statements uses no slot. */
  setTransactionIdle(run: Run, idle: boolean): void {
    if (run.idle === idle) return;
    run.idle = idle;
    this.context.loads.setTransactionIdle(run.instance, run.entry.request.tenant, idle);
  }

  /** The run no longer uses its slot and its tenant's limits. Doesn't release the connection. */
  releaseLoad(run: Run): void {
    const { request } = run.entry;
    this.setTransactionIdle(run, false);
    this.context.loads.recordFinish(run.instance, request.hold, request.tenant);
    this.context.admission.recordConnection(request.tenant, -1);
  }
}
