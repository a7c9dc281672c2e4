/** The health of a fake instance: it answers as fast as it is said to, and never stalls. */
import type { InstanceHealth } from '../../src/direct/instance-health.js';

/** What statements ask of it, and tell it. */
export function steadyHealth({
  answerMs = 5,
  patienceMs = 250,
}: Partial<Pick<InstanceHealth, 'answerMs' | 'patienceMs'>> = {}) {
  return {
    ...{ answerMs, patienceMs, avoidUntil: 0 },
    isStalled: () => false,
    answersNothing: () => false,
    silentForMs: () => 0,
    watchAnswer: () => () => {},
    noteOutcome: () => {},
    noteBusy: () => {},
    noteFailed: () => {},
    noteWait: () => {},
  };
}
