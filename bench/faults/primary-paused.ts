/** A primary is paused by SIGSTOP and resumes, unaware of it, after its group has replaced it. */
import type { Fault } from './fault.js';
import { createPrimaryFailure, pickPrimary } from './targets.js';

export const PRIMARY_PAUSED: Fault = {
  name: 'primary-paused',
  summary: 'SIGSTOP to a primary, SIGCONT after its group has replaced it',
  durationMs: 2_500,
  begin: async (context) => {
    const { group, database, primary } = await pickPrimary(context);
    const failure = createPrimaryFailure(group);
    database.pause(primary.name);
    return {
      target: primary.name,
      primaryFailures: [failure],
      end: async () => database.resume(primary.name),
    };
  },
};
