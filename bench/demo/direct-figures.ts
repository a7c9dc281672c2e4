/** Figures of the direct gateway's demo, computed from its clients' records. Pure. */
import { type ClientStatement, isDone } from '../../test/support/direct-history.js';
import { quantile } from '../report/quantile.js';

/** The fields of a statement that the figures need; times in milliseconds. */
export type MeasuredStatement = Pick<
  ClientStatement,
  'kind' | 'routeType' | 'sentAt' | 'answeredAt' | 'error' | 'inTransaction'
>;

export interface DirectFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Fraction of the statements that succeeded. */
  readonly doneFraction: number;
}

export function computeFigures(statements: readonly MeasuredStatement[]): DirectFigures {
  const done = statements.filter(isDone);
  const latencies = done
    .map(({ sentAt, answeredAt = sentAt }) => answeredAt - sentAt)
    .sort((left, right) => left - right);
  const doneFraction = statements.length === 0 ? 0 : done.length / statements.length;
  return { p50Ms: quantile(latencies, 0.5), p99Ms: quantile(latencies, 0.99), doneFraction };
}

/** The longest time without an acknowledged write after `from`. */
export function longestWriteGapMs(statements: readonly MeasuredStatement[], from: number): number {
  const acknowledged = statements
    .filter((statement) => isDone(statement) && isPrimaryWrite(statement))
    .map(({ answeredAt = 0 }) => answeredAt)
    .filter((at) => at >= from)
    .sort((left, right) => left - right);
  let previous = from;
  let longestMs = 0;
  for (const at of acknowledged) {
    longestMs = Math.max(longestMs, at - previous);
    previous = at;
  }
  return longestMs;
}

/** Only a primary acknowledges these: a write outside of a transaction, or a commit, on a route of type `primary`. */
function isPrimaryWrite({ kind, routeType, inTransaction }: MeasuredStatement): boolean {
  if (routeType !== 'primary') return false;
  return kind === 'commit' || (kind === 'write' && !inTransaction);
}
