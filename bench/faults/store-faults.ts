/** The store is down, slow, or loses the answers of changes that it made. */
import type { StoreFaultSettings } from '../../standins/store/faults.js';
import type { Fault, FaultContext } from './fault.js';
import { publishUntil } from './publishing.js';

const STORE_FAULT_MS = 4_000;
const SLOW_ANSWER_MS = 1_500;
const LOST_ANSWER_PROBABILITY = 0.5;

export const STORE_DOWN = storeFault('store-down', 'the store refuses connections', {
  outage: 'refuse',
});

export const STORE_SLOW = storeFault('store-slow', 'the store answers after 1.5 s', {
  answerDelayMs: SLOW_ANSWER_MS,
});

/** With publishes under way, so that there are answers to lose. */
export const STORE_ANSWERS_LOST: Fault = {
  name: 'store-answers-lost',
  summary: 'half of the answers to changes of the store are lost after the change took effect',
  lengthMs: STORE_FAULT_MS,
  begin: async (context) => {
    const { store } = context.cluster;
    const seed = context.random.integerBelow(2 ** 31);
    await store.setFaults({ loseAnswerProbability: LOST_ANSWER_PROBABILITY, seed });
    const stopPublishing = publishUntil(context, 'answers-lost');
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
    lengthMs: STORE_FAULT_MS,
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
