/** Results of the checkers. */

/** The nine promises, in the order in which the users list them. */
export const PROMISES = [
  'sessionReadsOwnWrites',
  'noAckByReplacedPrimary',
  'transactionsNeverMixed',
  'ownWholeAnswer',
  'notRunDidNotRun',
  'atMostOnce',
  'leavingBackEndGetsNoWork',
  'plannedStopCutsNothing',
  'configurationInForce',
] as const;

export type PromiseName = (typeof PROMISES)[number];

export type ViolationReason =
  | 'own-write-not-seen'
  | 'ran-on-replaced-primary'
  | 'acknowledged-write-lost'
  | 'transactions-in-one-commit'
  | 'transaction-split'
  | 'acknowledged-transaction-incomplete'
  | 'foreign-answer'
  | 'incomplete-answer'
  | 'repeated-answer'
  | 'not-run-but-ran'
  | 'ran-more-than-once'
  | 'work-after-leaving'
  | 'request-cut'
  | 'stop-failed'
  | 'configuration-late'
  | 'configuration-never-seen'
  | 'configuration-reverted';

/** An observation that violates no promise. */
export interface Finding {
  readonly reason: 'read-went-back';
  readonly detail: string;
  readonly at: number;
}

/** One violation of one promise. */
export interface Violation {
  readonly promise: PromiseName;
  readonly reason: ViolationReason;
  /** Description with the ids of the records in the history. */
  readonly detail: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Number of violations of each promise. */
export type ViolationCounts = Readonly<Record<PromiseName, number>>;

export function countViolations(violations: readonly Violation[]): ViolationCounts {
  const countOf = (promise: PromiseName): number =>
    violations.filter((violation) => violation.promise === promise).length;
  const entries = PROMISES.map((promise) => [promise, countOf(promise)] as const);
  return Object.fromEntries(entries) as Record<PromiseName, number>;
}
