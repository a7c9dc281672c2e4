/** Derives how a batch is served from the tenant's policy and the statements' markers. Pure. */
import type { RequestKindPolicy, TenantPolicy } from '../../core/configuration/model.js';
import type { Milliseconds } from '../../core/units.js';
import type { StatementClassification, StatementMarkers } from '../../postgres/contract.js';

/** Kind of a request that has no `kind` marker, or one that the tenant's policy does not list. */
export const DEFAULT_KIND = 'default';
/** Longest deadline that a marker or policy can set. */
const MAX_DEADLINE_MS: Milliseconds = 120_000;

const FALLBACK_KIND: RequestKindPolicy = {
  kind: DEFAULT_KIND,
  stalenessBoundMs: 0,
  repeatable: false,
  weight: 1,
  deadlineMs: 10_000,
};

/** How one request is served, according to its markers and the tenant's policy. */
export interface RequestTerms {
  readonly kind: string;
  readonly weight: number;
  readonly stalenessBoundMs: Milliseconds;
  readonly repeatable: boolean;
  readonly deadlineMs: Milliseconds;
}

/** Combines the tenant's policy and a request's markers. */
export function resolveRequestTerms(
  policy: TenantPolicy,
  markers: StatementMarkers,
  access: StatementClassification['access'],
): RequestTerms {
  const kind = kindPolicyOf(policy, markers.kind);
  // A marker can request fresher data than the tenant's staleness bound, never staler data.
  const staleMs = Math.min(markers.staleMs ?? kind.stalenessBoundMs, kind.stalenessBoundMs);
  return {
    kind: kind.kind,
    weight: kind.weight,
    stalenessBoundMs: access === 'read' ? staleMs : 0,
    repeatable: access === 'read' || kind.repeatable,
    deadlineMs: Math.min(markers.deadlineMs ?? kind.deadlineMs, MAX_DEADLINE_MS),
  };
}

function kindPolicyOf(policy: TenantPolicy, kind: string | undefined): RequestKindPolicy {
  const find = (name: string): RequestKindPolicy | undefined =>
    policy.requestKinds.find((entry) => entry.kind === name);
  return find(kind ?? DEFAULT_KIND) ?? find(DEFAULT_KIND) ?? FALLBACK_KIND;
}

const NO_MARKERS: StatementMarkers = {
  once: undefined,
  kind: undefined,
  staleMs: undefined,
  deadlineMs: undefined,
};

/** Selects the markers of a batch: those of its first statement that has any. */
export function selectMarkers(markers: readonly StatementMarkers[]): StatementMarkers {
  const markedStatement = markers.find((entry) =>
    Object.values(entry).some((value) => value !== undefined),
  );
  return markedStatement ?? NO_MARKERS;
}

/**
 * Classifies a batch: a write if any statement is one; transaction control, unsupported feature and
 * session setting are those of the first statement that has one.
 */
export function combineClasses(
  classes: readonly StatementClassification[],
): StatementClassification {
  const [only] = classes;
  if (only !== undefined && classes.length === 1) return only;
  const control = classes.find((entry) => entry.transactionControl !== 'none');
  return {
    access: classes.some((entry) => entry.access === 'write') ? 'write' : 'read',
    transactionControl: control?.transactionControl ?? 'none',
    unsupportedFeature: classes.find((entry) => entry.unsupportedFeature !== undefined)
      ?.unsupportedFeature,
    sessionSetting: classes.find((entry) => entry.sessionSetting !== undefined)?.sessionSetting,
  };
}
