/** A primary is stopped by SIGSTOP, is replaced meanwhile, and wakes up unaware of it. */
import type { Fault } from './fault.js';
import { failureOf, pickPrimary } from './targets.js';

export const PRIMARY_PAUSED: Fault = {
  name: 'primary-paused',
  summary: 'SIGSTOP to a primary, SIGCONT after its group has replaced it',
  lengthMs: 2_500,
  begin: async (context) => {
    const { group, database, primary } = await pickPrimary(context);
    const failure = failureOf(group);
    database.pause(primary.name);
    return {
      target: primary.name,
      primaryFailures: [failure],
      end: async () => database.resume(primary.name),
    };
  },
};
