/** The health of a fake instance: it answers as fast as it is said to, and never stalls. */
import type { InstanceHealth } from '../../src/direct/instance-health.js';

/** What statements ask of it, and tell it. */
export function steadyHealth({
  answerMs = 5,
  lostAfterMs = 250,
}: Partial<Pick<InstanceHealth, 'answerMs' | 'lostAfterMs'>> = {}) {
  return {
    ...{ answerMs, lostAfterMs, avoidUntil: 0 },
    isStalled: () => false,
    isUnresponsive: () => false,
    silenceMs: () => 0,
    trackAnswer: () => () => {},
    recordOutcome: () => {},
    recordBusy: () => {},
    recordFailed: () => {},
    recordWait: () => {},
  };
}
