/** Carries out a run's planned faults at their times and keeps what became of them. */
import { setTimeout as delay } from 'node:timers/promises';
import { nowMs } from '../load/clock.js';
import type { PrimaryFailure } from '../load/failover-gap.js';
import { createRandom } from '../load/random.js';
import type { FaultContext, InjectedFault } from './fault.js';
import type { PlannedFault } from './schedule.js';
import { NoTargetError } from './targets.js';

/** A fault as it took place; times since the Unix epoch. */
export interface FaultRecord {
  readonly name: string;
  /** What was hit; undefined if there was nothing left to hit, so that the fault did not take place. */
  readonly target: string | undefined;
  readonly beganAt: number;
  readonly endedAt: number;
  readonly primaryFailures: readonly PrimaryFailure[];
}

export interface InjectionOptions {
  readonly planned: readonly PlannedFault[];
  readonly context: Omit<FaultContext, 'random'>;
  /** Each fault draws from a sequence of its own, so that their order does not matter. */
  readonly seed: number;
  readonly startedAt: number;
  /** Told of each beginning and end. */
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
