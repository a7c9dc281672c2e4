/** Health of a fake instance with a constant response time that never stalls. */
import type { InstanceHealth } from '../../src/direct/instance-health.js';

/** Implements the members of `InstanceHealth` that statements use. */
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
