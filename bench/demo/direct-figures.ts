/** Figures of the direct gateway's demonstration, from what its clients were told. Pure. */
import { type ClientStatement, isDone } from '../../test/support/direct-history.js';
import { quantile } from '../report/quantile.js';

/** A statement as far as the figures need it; times in milliseconds. */
export type MeasuredStatement = Pick<
  ClientStatement,
  'kind' | 'routeType' | 'sentAt' | 'answeredAt' | 'error' | 'inTransaction'
>;

export interface DirectFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Share of the statements that were answered without an error. */
  readonly doneShare: number;
}

export function figuresOf(statements: readonly MeasuredStatement[]): DirectFigures {
  const done = statements.filter(isDone);
  const latencies = done
    .map(({ sentAt, answeredAt = sentAt }) => answeredAt - sentAt)
    .sort((left, right) => left - right);
  const doneShare = statements.length === 0 ? 0 : done.length / statements.length;
  return { p50Ms: quantile(latencies, 0.5), p99Ms: quantile(latencies, 0.99), doneShare };
}

/** The longest time after `from` in which no write was acknowledged. */
export function longestWriteGapMs(statements: readonly MeasuredStatement[], from: number): number {
  const acknowledged = statements
    .filter((statement) => isDone(statement) && isWrite(statement))
    .map(({ answeredAt = 0 }) => answeredAt)
    .filter((at) => at >= from)
    .sort((left, right) => left - right);
  let previous = from;
  let longest = 0;
  for (const at of acknowledged) {
    longest = Math.max(longest, at - previous);
    previous = at;
  }
  return longest;
}

/** What only a primary acknowledges: a write of its own, or the end of a transaction of a route that wants the primary. */
function isWrite({ kind, routeType, inTransaction }: MeasuredStatement): boolean {
  if (routeType !== 'primary') return false;
  return kind === 'commit' || (kind === 'write' && !inTransaction);
}
