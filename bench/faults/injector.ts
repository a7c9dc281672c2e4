/** Injects the planned faults of a run at their times and records them. */
import { setTimeout as delay } from 'node:timers/promises';
import { nowMs } from '../load/clock.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import { createRandom } from '../load/random.js';
import type { FaultContext, InjectedFault } from './fault.js';
import type { PlannedFault } from './schedule.js';
import { NoTargetError } from './targets.js';

/** A fault that was injected; times in milliseconds since the Unix epoch. */
export interface FaultRecord {
  readonly name: string;
  /** The affected part; undefined if none was available, so that the fault was not injected. */
  readonly target: string | undefined;
  readonly beganAt: number;
  readonly endedAt: number;
  readonly primaryFailures: readonly PrimaryFailure[];
}

export interface InjectionOptions {
  readonly planned: readonly PlannedFault[];
  readonly context: Omit<FaultContext, 'random'>;
  /** Each fault has a random sequence of its own, so that their order does not matter. */
  readonly seed: number;
  readonly startedAt: number;
  /** Called with a message when a fault starts or ends. */
  readonly onChange: (text: string) => void;
}

/** Resolves when all faults have ended. Faults may overlap. */
export async function injectFaults(options: InjectionOptions): Promise<FaultRecord[]> {
  return Promise.all(
    options.planned.map((planned, index) => {
      const random = createRandom(options.seed + index);
      return injectFault(planned, { ...options.context, random }, options);
    }),
  );
}

async function injectFault(
  { fault, beginMs, endMs }: PlannedFault,
  context: FaultContext,
  { startedAt, onChange }: InjectionOptions,
): Promise<FaultRecord> {
  await delay(Math.max(0, startedAt + beginMs - nowMs()));
  const beganAt = nowMs();
  const injected = await beginIfPossible(() => fault.begin(context));
  onChange(`${fault.name} began: ${injected?.target ?? 'nothing to hit'}`);
  if (injected !== undefined) {
    await delay(Math.max(0, startedAt + endMs - nowMs()));
    await injected.end();
    onChange(`${fault.name} ended`);
  }
  return {
    name: fault.name,
    target: injected?.target,
    beganAt,
    endedAt: nowMs(),
    primaryFailures: injected?.primaryFailures ?? [],
  };
}

async function beginIfPossible(
  begin: () => Promise<InjectedFault>,
): Promise<InjectedFault | undefined> {
  try {
    return await begin();
  } catch (error) {
    if (error instanceof NoTargetError) return undefined;
    throw error;
  }
}
