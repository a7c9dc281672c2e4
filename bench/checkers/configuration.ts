/**
 * Promise 9: an accepted configuration is in force on every proxy within seconds and never reverts
 * to an older one.
 */
import { groupBy } from '../history/group-by.js';
import type {
  AcceptedConfigurationRecord,
  ConfigurationSampleRecord,
  History,
  ProxyLifeRecord,
} from '../history/model.js';
import type { Violation, ViolationReason } from './violation.js';

/** Time within which a configuration must be in force everywhere: "within seconds". */
export const CONFIGURATION_GRACE_MS = 5_000;

/** Longest time between two samples of one proxy; what ends sooner can't be judged. */
export const SAMPLE_INTERVAL_MS = 1_000;

export function checkConfiguration(
  history: History,
  graceMs = CONFIGURATION_GRACE_MS,
): Violation[] {
  const samplesByProxy = groupBy(history.configurationSamples, (sample) => sample.proxy);
  const reverted = [...samplesByProxy.values()].flatMap(findReverts);
  const late = history.proxyLives.flatMap((life) =>
    history.acceptedConfigurations.flatMap((accepted) =>
      findLate(history, life, accepted, samplesByProxy.get(life.proxy) ?? [], graceMs),
    ),
  );
  return [...reverted, ...late];
}

/** Also across a restart: a proxy that comes back with an older one has reverted. */
function findReverts(samples: readonly ConfigurationSampleRecord[]): Violation[] {
  const ordered = [...samples].sort((left, right) => left.at - right.at);
  const violations: Violation[] = [];
  let highest = Number.NEGATIVE_INFINITY;
  for (const sample of ordered) {
    if (sample.revision < highest) {
      const detail = `${sample.proxy} went from revision ${highest} back to ${sample.revision}`;
      violations.push(violationOf('configuration-reverted', detail, sample.at));
    }
    highest = Math.max(highest, sample.revision);
  }
  return violations;
}

/** A proxy that serves past the time at which the revision is due must be seen with it by then. */
function findLate(
  history: History,
  life: ProxyLifeRecord,
  accepted: AcceptedConfigurationRecord,
  samples: readonly ConfigurationSampleRecord[],
  graceMs: number,
): Violation[] {
  const due = Math.max(accepted.acceptedAt, life.servingFrom) + graceMs;
  const until = life.servingUntil ?? history.endedAt;
  if (until <= due + SAMPLE_INTERVAL_MS) return [];
  const lived = samples.filter(({ at }) => at >= life.servingFrom && at <= until);
  const inForce = lived.filter(({ revision }) => revision >= accepted.revision);
  const first = Math.min(...inForce.map(({ at }) => at));
  if (first <= due) return [];
  // Between two samples the proxy may have had it; the last sample before the due time decides.
  const seenWithoutAfterDue = lived.some(
    ({ at, revision }) => at > due && revision < accepted.revision,
  );
  const name = `${life.proxy}, revision ${accepted.revision}`;
  if (inForce.length === 0) {
    return [violationOf('configuration-never-seen', `${name}: never in force`, due)];
  }
  if (!seenWithoutAfterDue) return [];
  return [violationOf('configuration-late', `${name}: ${first - due} ms too late`, first)];
}

function violationOf(reason: ViolationReason, detail: string, at: number): Violation {
  return { promise: 'configurationInForce', reason, detail, at };
}
