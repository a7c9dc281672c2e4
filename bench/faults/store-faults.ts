/** The store is down, slow, or loses responses to changes that took effect. */
import type { StoreFaultSettings } from '../../standins/store/faults.js';
import type { Fault, FaultContext } from './fault.js';
import { startPublishing } from './publishing.js';

const STORE_FAULT_MS = 4_000;
const SLOW_ANSWER_MS = 1_500;
const LOST_ANSWER_PROBABILITY = 0.5;

export const STORE_DOWN = storeFault('store-down', 'the store refuses connections', {
  outage: 'refuse',
});

export const STORE_SLOW = storeFault('store-slow', 'the store answers after 1.5 s', {
  answerDelayMs: SLOW_ANSWER_MS,
});

/** Publishes continuously, so that there are responses to lose. */
export const STORE_ANSWERS_LOST: Fault = {
  name: 'store-answers-lost',
  summary: 'half of the answers to changes of the store are lost after the change took effect',
  durationMs: STORE_FAULT_MS,
  begin: async (context) => {
    const { store } = context.cluster;
    const seed = context.random.integerBelow(2 ** 31);
    await store.setFaults({ loseAnswerProbability: LOST_ANSWER_PROBABILITY, seed });
    const stopPublishing = startPublishing(context, 'answers-lost');
    return {
      target: 'store',
      primaryFailures: [],
      end: async () => {
        await store.heal();
        await stopPublishing();
      },
    };
  },
};

function storeFault(name: string, summary: string, settings: StoreFaultSettings): Fault {
  return {
    name,
    summary,
    durationMs: STORE_FAULT_MS,
    begin: async ({ cluster }: FaultContext) => {
      await cluster.store.setFaults(settings);
      return {
        target: 'store',
        primaryFailures: [],
        end: () => cluster.store.heal(),
      };
    },
  };
}
