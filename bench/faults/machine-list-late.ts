/** The machine list reports changes late, including the leaving mark of a replica. */
import { nowMs } from '../load/clock.js';
import type { Fault } from './fault.js';
import { pick, pickReplicas } from './targets.js';

const LAG_MS = 1_000;

export const MACHINE_LIST_LATE: Fault = {
  name: 'machine-list-late',
  summary: 'the machine list lags by 1 s while a replica is marked as leaving',
  // The promise is checked from seconds after the mark on, so the fault lasts until the end of the run.
  durationMs: Number.POSITIVE_INFINITY,
  begin: async (context) => {
    const { machines } = context.cluster;
    const { replica } = pick(await pickReplicas(context), context.random);
    const { actual } = await machines.state();
    const machine = actual.find(({ role, name }) => role === 'database' && name === replica.name);
    await machines.setLag(LAG_MS);
    await machines.markLeaving({ role: 'database', name: replica.name });
    const marked = context.recorder.recordLeavingMark(replica.name, nowMs() + LAG_MS);
    return {
      target: replica.name,
      primaryFailures: [],
      end: async () => {
        marked();
        await machines.setLag(0);
        if (machine !== undefined) await machines.upsert({ ...machine, state: 'live' });
      },
    };
  },
};
