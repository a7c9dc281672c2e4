/** Checkers of the nine promises. */
import type { History } from '../history/model.js';
import { checkAcknowledgements } from './acknowledgements.js';
import { checkAnswers } from './answers.js';
import { checkConfiguration } from './configuration.js';
import { checkLeaving, checkPlannedStops } from './departures.js';
import { checkAtMostOnce, checkNotRun } from './executions.js';
import { checkSessionReads } from './session-reads.js';
import { checkTransactions } from './transactions.js';
import type { PromiseName, Violation } from './violation.js';

export { findNonMonotonicReads } from './session-reads.js';
export * from './violation.js';

/** One checker for each promise. */
export const CHECKERS: Readonly<Record<PromiseName, (history: History) => Violation[]>> = {
  sessionReadsOwnWrites: checkSessionReads,
  noAckByReplacedPrimary: checkAcknowledgements,
  transactionsNeverMixed: checkTransactions,
  ownWholeAnswer: checkAnswers,
  notRunDidNotRun: checkNotRun,
  atMostOnce: checkAtMostOnce,
  leavingBackEndGetsNoWork: (history) => checkLeaving(history),
  plannedStopCutsNothing: checkPlannedStops,
  configurationInForce: (history) => checkConfiguration(history),
};

/** Finds all violations in a history. */
export function checkHistory(history: History): Violation[] {
  return Object.values(CHECKERS).flatMap((check) => check(history));
}
