/** Health of a fake instance that has the given response time and never stalls. */
import type { InstanceHealth } from '../../src/direct/instance-health.js';

/** The members of `InstanceHealth` that statements use. */
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
