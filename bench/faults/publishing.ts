/** Operators that publish during a run. */
import { setTimeout as delay } from 'node:timers/promises';
import {
  PublishConflictError,
  PublishContentionError,
} from '../../src/core/configuration/errors.js';
import { tenantYaml } from '../harness/cluster.js';
import type { FaultContext } from './fault.js';

const PUBLISH_PERIOD_MS = 250;
const MIN_CONNECTIONS = 1_000;
const CONNECTIONS_RANGE = 1_000;

/**
 * Publishes changed parameters of the tenant repeatedly. The returned function stops this and
 * resolves when the last publish has ended. Conflicts with other operators are expected and
 * ignored; it rejects with any other error.
 */
export function startPublishing(context: FaultContext, operator: string): () => Promise<void> {
  const stopped = new AbortController();
  const running = publishRepeatedly(context, operator, stopped.signal);
  running.catch(() => undefined);
  return async () => {
    stopped.abort();
    await running;
  };
}

async function publishRepeatedly(
  context: FaultContext,
  operator: string,
  signal: AbortSignal,
): Promise<void> {
  const { cluster, recorder, random, tenant } = context;
  while (!signal.aborted) {
    const connections = MIN_CONNECTIONS + random.integerBelow(CONNECTIONS_RANGE);
    const parameters = `  connections: ${connections} # ${operator}`;
    try {
      const text = tenantYaml({ ...tenant, parameters });
      recorder.recordAcceptedConfiguration(await cluster.publishTexts([text]));
    } catch (error) {
      if (!isLostRace(error)) throw error;
    }
    await delay(PUBLISH_PERIOD_MS, undefined, { signal }).catch(() => undefined);
  }
}

function isLostRace(error: unknown): boolean {
  return error instanceof PublishConflictError || error instanceof PublishContentionError;
}
