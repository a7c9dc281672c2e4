/**
 * A look at all members before a change is announced: a change that can't be carried through would
 * leave the service without any primary, where the old one may still serve most callers.
 */
import type { InstanceEntry, InstanceStatus } from '../../direct/contract.js';
import { comparePositions } from '../position.js';
import type { ControlFailure } from './contract.js';
import type { ChangeReason } from './monitor.js';
import type { PromotionRuntime } from './runtime.js';
import type { Scope } from './scope.js';

export interface PreflightOptions {
  readonly from: InstanceEntry;
  readonly others: readonly InstanceEntry[];
  readonly reason: ChangeReason;
  readonly syncReplicas: number;
  readonly isPresent: (id: string) => boolean;
}

export type PreflightResult =
  | { readonly type: 'go'; readonly planned: boolean; readonly term: number }
  /** It can't be carried through now. */
  | {
      readonly type: 'wait';
      readonly anyResponded: boolean;
      /** What each member said, by id. */
      readonly responses: Readonly<Record<string, string>>;
    }
  /** The primary that was taken for dead answers. */
  | { readonly type: 'alive' }
  /** Another instance has its address and its log, and leads the same term. */
  | { readonly type: 'succeeded'; readonly by: string; readonly term: number };

type MemberAnswer = InstanceStatus | ControlFailure;

/** Asks every member once, and tells whether the change may begin. */
export function runPreflight(
  runtime: PromotionRuntime,
  scope: Scope,
  options: PreflightOptions,
  onResult: (result: PreflightResult) => void,
): void {
  const members = [options.from, ...options.others];
  const answers = new Map<string, MemberAnswer>();
  let isDecided = false;
  for (const member of members) {
    const onAnswer = scope.guard((answer: MemberAnswer) => {
      answers.set(member.id, answer);
      if (isDecided || !hasEnoughAnswers(options, answers)) return;
      isDecided = true;
      onResult(decide(options, answers));
    });
    runtime.control('status', member, 0, onAnswer);
  }
}

/**
 * One that was found dead or is suspected by many is not waited for: it is likely to stay silent, and
 * the others suffice for a change.
 */
function hasEnoughAnswers(
  { from, others, reason }: PreflightOptions,
  answers: ReadonlyMap<string, MemberAnswer>,
): boolean {
  if (answers.size === others.length + 1) return true;
  if (answers.has(from.id) || (reason !== 'dead' && reason !== 'suspected')) return false;
  return others.every(({ id }) => hasAnswered(answers.get(id)));
}

function decide(
  options: PreflightOptions,
  answers: ReadonlyMap<string, MemberAnswer>,
): PreflightResult {
  const { from, others, reason, syncReplicas } = options;
  const statuses = [...answers.values()].filter((answer) => typeof answer !== 'string');
  const term = statuses.reduce((highest, status) => Math.max(highest, status.term), 0);
  const hasOldPrimaryAnswered = hasAnswered(answers.get(from.id));
  if (reason === 'dead' && hasOldPrimaryAnswered) return { type: 'alive' };
  const successor = findSuccessor(options, answers);
  if (successor !== undefined) return successor;
  const answeringOthers = others.filter(({ id }) => hasAnswered(answers.get(id)));
  const hasCandidate = others.some(
    ({ id, draining }) => !draining && options.isPresent(id) && typeof answers.get(id) === 'object',
  );
  const isLogEndProven = others.length - answeringOthers.length < Math.max(1, syncReplicas);
  if (hasCandidate && (hasOldPrimaryAnswered || isLogEndProven)) {
    const planned = hasOldPrimaryAnswered && (reason === 'draining' || reason === 'entry-gone');
    return { type: 'go', planned, term };
  }
  return {
    type: 'wait',
    anyResponded: hasOldPrimaryAnswered || answeringOthers.length > 0,
    responses: summarizeAnswers(answers),
  };
}

/**
 * An instance that ends leaves its log to a new one at its address. If that one leads, nobody has led since, and it has
 * all that any other member has received, the group's log goes on there, and no promotion is needed.
 */
function findSuccessor(
  { from, others, isPresent }: PreflightOptions,
  answers: ReadonlyMap<string, MemberAnswer>,
): PreflightResult | undefined {
  if (answers.get(from.id) !== 'refused') return undefined;
  const successor = others.find(
    ({ id, host, port }) => isPresent(id) && host === from.host && port === from.port,
  );
  const status = successor === undefined ? undefined : answers.get(successor.id);
  if (successor === undefined || typeof status !== 'object' || status.role !== 'primary') {
    return undefined;
  }
  for (const { id } of others) {
    const other = answers.get(id);
    if (id === successor.id || typeof other !== 'object') continue;
    const isAhead = comparePositions(other.received, status.received) > 0;
    if (other.role === 'primary' || other.term > status.term || isAhead) return undefined;
  }
  return { type: 'succeeded', by: successor.id, term: status.term };
}

function summarizeAnswers(
  answers: ReadonlyMap<string, MemberAnswer>,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    [...answers].map(([id, answer]) => [id, typeof answer === 'string' ? answer : answer.role]),
  );
}

function hasAnswered(answer: MemberAnswer | undefined): boolean {
  return answer !== undefined && answer !== 'refused' && answer !== 'silent';
}
