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

type Answer = InstanceStatus | ControlFailure;

/** Asks every member once, and tells whether the change may begin. */
export function runPreflight(
  runtime: PromotionRuntime,
  scope: Scope,
  options: PreflightOptions,
  onResult: (result: PreflightResult) => void,
): void {
  const members = [options.from, ...options.others];
  const answers = new Map<string, Answer>();
  let isOver = false;
  for (const member of members) {
    const onAnswer = scope.guard((answer: Answer) => {
      answers.set(member.id, answer);
      if (isOver || !isEnough(options, answers)) return;
      isOver = true;
      onResult(judge(options, answers));
    });
    runtime.control('status', member, 0, onAnswer);
  }
}

/**
 * One that was found dead or is suspected by many is not waited for: it is likely to stay silent, and
 * the others suffice for a change.
 */
function isEnough(
  { from, others, reason }: PreflightOptions,
  answers: ReadonlyMap<string, Answer>,
): boolean {
  if (answers.size === others.length + 1) return true;
  if (answers.has(from.id) || (reason !== 'dead' && reason !== 'suspected')) return false;
  return others.every(({ id }) => isAnswer(answers.get(id)));
}

function judge(options: PreflightOptions, answers: ReadonlyMap<string, Answer>): PreflightResult {
  const { from, others, reason, syncReplicas } = options;
  const statuses = [...answers.values()].filter((answer) => typeof answer !== 'string');
  const term = statuses.reduce((highest, status) => Math.max(highest, status.term), 0);
  const fromAnswers = isAnswer(answers.get(from.id));
  if (reason === 'dead' && fromAnswers) return { type: 'alive' };
  const successor = successorOf(options, answers);
  if (successor !== undefined) return successor;
  const answering = others.filter(({ id }) => isAnswer(answers.get(id)));
  const isReady = others.some(
    ({ id, draining }) => !draining && options.isPresent(id) && typeof answers.get(id) === 'object',
  );
  const provesEnd = others.length - answering.length < Math.max(1, syncReplicas);
  if (isReady && (fromAnswers || provesEnd)) {
    const planned = fromAnswers && (reason === 'draining' || reason === 'entry-gone');
    return { type: 'go', planned, term };
  }
  return {
    type: 'wait',
    anyResponded: fromAnswers || answering.length > 0,
    responses: saidBy(answers),
  };
}

/**
 * An instance that ends leaves its log to a new one at its address. If that one leads, nobody has led since, and it has
 * all that any other member has received, the group's log goes on there, and no promotion is needed.
 */
function successorOf(
  { from, others, isPresent }: PreflightOptions,
  answers: ReadonlyMap<string, Answer>,
): PreflightResult | undefined {
  if (answers.get(from.id) !== 'refused') return undefined;
  const heir = others.find(
    ({ id, host, port }) => isPresent(id) && host === from.host && port === from.port,
  );
  const status = heir === undefined ? undefined : answers.get(heir.id);
  if (heir === undefined || typeof status !== 'object' || status.role !== 'primary') {
    return undefined;
  }
  for (const { id } of others) {
    const other = answers.get(id);
    if (id === heir.id || typeof other !== 'object') continue;
    const isAhead = comparePositions(other.received, status.received) > 0;
    if (other.role === 'primary' || other.term > status.term || isAhead) return undefined;
  }
  return { type: 'succeeded', by: heir.id, term: status.term };
}

function saidBy(answers: ReadonlyMap<string, Answer>): Readonly<Record<string, string>> {
  return Object.fromEntries(
    [...answers].map(([id, answer]) => [id, typeof answer === 'string' ? answer : answer.role]),
  );
}

function isAnswer(answer: Answer | undefined): boolean {
  return answer !== undefined && answer !== 'refused' && answer !== 'silent';
}
