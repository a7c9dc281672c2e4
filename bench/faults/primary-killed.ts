/** A primary's process ends at once and for good; the rest of its group elects another. */
import type { Fault } from './fault.js';
import { failureOf, pickPrimary } from './targets.js';

export const PRIMARY_KILLED: Fault = {
  name: 'primary-killed',
  summary: 'SIGKILL to a primary, which does not come back',
  lengthMs: 1_000,
  begin: async (context) => {
    const { group, database, primary } = await pickPrimary(context);
    const failure = failureOf(group);
    await database.kill(primary.name);
    return { target: primary.name, primaryFailures: [failure], end: async () => undefined };
  },
};
