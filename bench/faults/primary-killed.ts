/** A primary is killed and not restarted; the rest of its group elects another. */
import type { Fault } from './fault.js';
import { createPrimaryFailure, pickPrimary } from './targets.js';

export const PRIMARY_KILLED: Fault = {
  name: 'primary-killed',
  summary: 'SIGKILL to a primary, which is not restarted',
  durationMs: 1_000,
  begin: async (context) => {
    const { group, database, primary } = await pickPrimary(context);
    const failure = createPrimaryFailure(group);
    await database.kill(primary.name);
    return { target: primary.name, primaryFailures: [failure], end: async () => undefined };
  },
};
