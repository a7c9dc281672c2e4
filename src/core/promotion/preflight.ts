/**
 * Queries all members before a primary change is announced: a change that can't be completed would leave the
 * service without any primary, where the old one may still serve most callers.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import { comparePositions } from '../position.js';
import type { Milliseconds } from '../units.js';
import type { ControlFailure } from './contract.js';
import { isOtherIncarnation } from './incarnations.js';
import type { ChangeReason } from './monitor.js';
import type { PromotionRuntime } from './runtime.js';
import type { Scope } from './scope.js';

export interface PreflightOptions {
  readonly oldPrimary: InstanceEntry;
  readonly others: readonly InstanceEntry[];
  readonly reason: ChangeReason;
  readonly syncReplicas: number;
  /** Term of the old primary by its record; undefined before the first change. */
  readonly recordedTerm: number | undefined;
  readonly isRegistered: (id: string) => boolean;
  /** Time for which a dead or suspected primary may still respond after all others have. */
  readonly oldPrimaryWaitMs: Milliseconds;
}

export type PreflightResult =
  | { readonly type: 'go'; readonly planned: boolean; readonly term: number }
  /** The change can't be completed now. */
  | {
      readonly type: 'wait';
      readonly anyResponded: boolean;
      /** Response of each member, by id. */
      readonly responses: Readonly<Record<string, string>>;
    }
  /** The primary that was considered dead responds. */
  | { readonly type: 'alive' }
  /** Another instance has the primary's address and log, and is primary of the same term. */
  | { readonly type: 'succeeded'; readonly by: string; readonly term: number };

type StatusResponse = InstanceStatus | ControlFailure;

/** Queries every member once, and reports whether the change may start. */
export function runPreflight(
  runtime: PromotionRuntime,
  scope: Scope,
  options: PreflightOptions,
  onResult: (result: PreflightResult) => void,
): void {
  const members = [options.oldPrimary, ...options.others];
  const responses = new Map<string, StatusResponse>();
  let isDecided = false;
  const finish = (): void => {
    if (isDecided) return;
    isDecided = true;
    onResult(decide(options, responses));
  };
  for (const member of members) {
    const onResponse = scope.guard((response: StatusResponse) => {
      responses.set(member.id, response);
      if (responses.size === members.length) finish();
      else if (hasEnoughResponses(options, responses)) {
        scope.after(options.oldPrimaryWaitMs, finish);
      }
    });
    runtime.control('status', member, 0, onResponse);
  }
}

/**
 * A primary that was found dead or that many nodes suspect will probably not respond, and the other members are enough for a
 * change.
 */
function hasEnoughResponses(
  { oldPrimary, others, reason }: PreflightOptions,
  responses: ReadonlyMap<string, StatusResponse>,
): boolean {
  if (responses.has(oldPrimary.id) || (reason !== 'dead' && reason !== 'suspected')) return false;
  return others.every(({ id }) => hasResponded(responses.get(id)));
}

function decide(
  options: PreflightOptions,
  responses: ReadonlyMap<string, StatusResponse>,
): PreflightResult {
  const { oldPrimary, others, reason, syncReplicas } = options;
  const statuses = [...responses.values()].filter((response) => typeof response !== 'string');
  const term = statuses.reduce((highest, status) => Math.max(highest, status.term), 0);
  const hasOldPrimaryResponded = hasResponded(responses.get(oldPrimary.id));
  if (reason === 'dead' && hasOldPrimaryResponded) return { type: 'alive' };
  const successor = findSuccessor(options, responses);
  if (successor !== undefined) return successor;
  const { recordedTerm } = options;
  if (recordedTerm !== undefined && hasLaterPrimary(options, responses, recordedTerm)) {
    return { type: 'go', planned: false, term: recordedTerm };
  }
  const respondingOthers = others.filter(({ id }) => hasResponded(responses.get(id)));
  const hasCandidate = others.some(
    ({ id, draining }) =>
      !draining && options.isRegistered(id) && typeof responses.get(id) === 'object',
  );
  const isLogEndProven = others.length - respondingOthers.length < Math.max(1, syncReplicas);
  if (hasCandidate && (hasOldPrimaryResponded || isLogEndProven)) {
    const planned = hasOldPrimaryResponded && (reason === 'draining' || reason === 'entry-gone');
    return { type: 'go', planned, term };
  }
  return {
    type: 'wait',
    anyResponded: hasOldPrimaryResponded || respondingOthers.length > 0,
    responses: summarizeResponses(responses),
  };
}

/**
 * Whether a call of an earlier leader has made another member primary. The change only has to record it, so that it
 * needs no candidate.
 */
function hasLaterPrimary(
  { others }: PreflightOptions,
  responses: ReadonlyMap<string, StatusResponse>,
  recordedTerm: number,
): boolean {
  return others.some(({ id }) => {
    const response = responses.get(id);
    return (
      typeof response === 'object' && response.role === 'primary' && response.term > recordedTerm
    );
  });
}

/**
 * An instance that ends leaves its log to a new one at its address. If the new one is primary, no other has become
 * primary since, and the new one has everything that any other member has received, then the group's log continues
 * there and no promotion is needed.
 */
function findSuccessor(
  { oldPrimary, others, isRegistered }: PreflightOptions,
  responses: ReadonlyMap<string, StatusResponse>,
): PreflightResult | undefined {
  if (responses.get(oldPrimary.id) !== 'refused') return undefined;
  const successor = others.find((other) => {
    const isAtAddress = other.host === oldPrimary.host && other.port === oldPrimary.port;
    return isAtAddress && isRegistered(other.id) && !isOtherIncarnation(oldPrimary, other);
  });
  const status = successor === undefined ? undefined : responses.get(successor.id);
  if (successor === undefined || typeof status !== 'object' || status.role !== 'primary') {
    return undefined;
  }
  for (const { id } of others) {
    const other = responses.get(id);
    if (id === successor.id || typeof other !== 'object') continue;
    const isAhead = comparePositions(other.received, status.received) > 0;
    if (other.role === 'primary' || other.term > status.term || isAhead) return undefined;
  }
  return { type: 'succeeded', by: successor.id, term: status.term };
}

function summarizeResponses(
  responses: ReadonlyMap<string, StatusResponse>,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    [...responses].map(([id, response]) => [
      id,
      typeof response === 'string' ? response : response.role,
    ]),
  );
}

function hasResponded(response: StatusResponse | undefined): boolean {
  return response !== undefined && response !== 'refused' && response !== 'silent';
}
