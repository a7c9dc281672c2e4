/** In each group one replica replays with a lag longer than the fault, so that it sees nothing new. */
import type { Fault } from './fault.js';
import { pickReplicas } from './targets.js';

const FAR_BEHIND_MS = 60_000;

export const REPLICA_FAR_BEHIND: Fault = {
  name: 'replica-far-behind',
  summary: 'one replica of each group replays a minute late',
  durationMs: 4_000,
  begin: async (context) => {
    const picked = await pickReplicas(context);
    const setLag = async (replayLagMs: number): Promise<void> => {
      await Promise.all(
        picked.map(({ database, replica }) =>
          database.setFaults(replica.name, { replayLagMs }).catch(() => undefined),
        ),
      );
    };
    await setLag(FAR_BEHIND_MS);
    return {
      target: picked.map(({ replica }) => replica.name).join(', '),
      primaryFailures: [],
      end: () => setLag(0),
    };
  },
};
