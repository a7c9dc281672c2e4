/**
 * Promise 9: an accepted configuration is in force on every proxy within seconds and never reverts
 * to an older one.
 */
import { groupBy } from '../history/group-by.js';
import type {
  AcceptedConfigurationRecord,
  ConfigurationSampleRecord,
  History,
  ProxyServingPeriod,
} from '../history/model.js';
import type { Violation, ViolationReason } from './violation.js';

/** Time within which a configuration must be in force everywhere; the promise says "within seconds". */
export const CONFIGURATION_GRACE_MS = 5_000;

/** Maximum time between two samples of one proxy. Shorter serving periods can't be checked. */
export const SAMPLE_INTERVAL_MS = 1_000;

export function checkConfiguration(
  history: History,
  graceMs = CONFIGURATION_GRACE_MS,
): Violation[] {
  const samplesByProxy = groupBy(history.configurationSamples, (sample) => sample.proxy);
  const reverted = [...samplesByProxy.values()].flatMap(findReverts);
  const late = history.proxyLives.flatMap((servingPeriod) =>
    history.acceptedConfigurations.flatMap((accepted) =>
      findLate(
        history,
        servingPeriod,
        accepted,
        samplesByProxy.get(servingPeriod.proxy) ?? [],
        graceMs,
      ),
    ),
  );
  return [...reverted, ...late];
}

/** Also compares samples across a restart: a proxy that restarts with an older revision has reverted. */
function findReverts(samples: readonly ConfigurationSampleRecord[]): Violation[] {
  const ordered = [...samples].sort((left, right) => left.at - right.at);
  const violations: Violation[] = [];
  let highest = Number.NEGATIVE_INFINITY;
  for (const sample of ordered) {
    if (sample.revision < highest) {
      const detail = `${sample.proxy} went from revision ${highest} back to ${sample.revision}`;
      violations.push(createViolation('configuration-reverted', detail, sample.at));
    }
    highest = Math.max(highest, sample.revision);
  }
  return violations;
}

/** A proxy that serves beyond the time at which a revision is due must have it in a sample by then. */
function findLate(
  history: History,
  servingPeriod: ProxyServingPeriod,
  accepted: AcceptedConfigurationRecord,
  samples: readonly ConfigurationSampleRecord[],
  graceMs: number,
): Violation[] {
  const due = Math.max(accepted.acceptedAt, servingPeriod.servingFrom) + graceMs;
  const until = servingPeriod.servingUntil ?? history.endedAt;
  if (until <= due + SAMPLE_INTERVAL_MS) return [];
  const samplesWhileServing = samples.filter(
    ({ at }) => at >= servingPeriod.servingFrom && at <= until,
  );
  const inForce = samplesWhileServing.filter(({ revision }) => revision >= accepted.revision);
  const first = Math.min(...inForce.map(({ at }) => at));
  if (first <= due) return [];
  // The proxy may have had it between two samples, so a violation needs an older revision after that time.
  const isOutdatedAfterDue = samplesWhileServing.some(
    ({ at, revision }) => at > due && revision < accepted.revision,
  );
  const name = `${servingPeriod.proxy}, revision ${accepted.revision}`;
  if (inForce.length === 0) {
    return [createViolation('configuration-never-seen', `${name}: never in force`, due)];
  }
  if (!isOutdatedAfterDue) return [];
  return [createViolation('configuration-late', `${name}: ${first - due} ms too late`, first)];
}

function createViolation(reason: ViolationReason, detail: string, at: number): Violation {
  return { promise: 'configurationInForce', reason, detail, at };
}
