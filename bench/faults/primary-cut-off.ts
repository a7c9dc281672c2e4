/** A primary is cut off from its group and continues to act as primary. */
import type { DatabaseGroup } from '../harness/database-group.js';
import type { Fault, FaultContext, InjectedFault } from './fault.js';
import { createPrimaryFailure, type PrimaryTarget, pickPrimary } from './targets.js';

const CUT_MS = 3_000;

/** The proxies still reach the old primary, so they could send it writes. */
export const PRIMARY_CUT_OFF: Fault = {
  name: 'primary-cut-off',
  summary: 'a primary is cut from its peers both ways but still reachable by proxies',
  durationMs: CUT_MS,
  begin: (context) => cutOff(context, (target) => cutPeers(target, 'both')),
};

export const PRIMARY_CUT_OFF_OUTBOUND: Fault = {
  name: 'primary-cut-off-outbound',
  summary: 'as primary-cut-off, but it still receives from its peers',
  durationMs: CUT_MS,
  begin: (context) => cutOff(context, (target) => cutPeers(target, 'out')),
};

export const PRIMARY_UNREACHABLE: Fault = {
  name: 'primary-unreachable',
  summary: 'a primary is cut from its peers and from the proxies, both ways',
  durationMs: CUT_MS,
  begin: (context) =>
    cutOff(context, async (target) => {
      const { faults } = context.cluster;
      const { name } = target.primary;
      const cut = { cut: true };
      const restored = { cut: false };
      await Promise.all([cutPeers(target, 'both'), faults.setFaults(name, { up: cut, down: cut })]);
      return async () => {
        await faults.setFaults(name, { up: restored, down: restored });
      };
    }),
};

type Cut = (target: PrimaryTarget) => Promise<(() => Promise<void>) | undefined>;

async function cutOff(context: FaultContext, cut: Cut): Promise<InjectedFault> {
  const target = await pickPrimary(context);
  const failure = createPrimaryFailure(target.group);
  const heal = await cut(target);
  return {
    target: target.primary.name,
    primaryFailures: [failure],
    end: async () => {
      await Promise.all([healPeers(target.database, target.primary.name), heal?.()]);
    },
  };
}

async function cutPeers(
  { database, primary }: PrimaryTarget,
  direction: 'both' | 'out',
): Promise<undefined> {
  const peers = database.instances.filter(({ name }) => name !== primary.name);
  await database.setFaults(primary.name, {
    cutPeers: peers.map(({ name }) => ({ name, direction })),
  });
}

async function healPeers(database: DatabaseGroup, name: string): Promise<void> {
  await database.setFaults(name, { cutPeers: [] }).catch(() => undefined);
}
