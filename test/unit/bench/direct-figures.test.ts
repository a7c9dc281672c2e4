import { test } from 'uvu';
import * as assert from 'uvu/assert';
import {
  computeFigures,
  longestWriteGapMs,
  type MeasuredStatement,
} from '../../../bench/demo/direct-figures.js';

function statement(
  sentAt: number,
  tookMs: number,
  rest: Partial<MeasuredStatement> = {},
): MeasuredStatement {
  const base = { kind: 'write', routeType: 'primary', inTransaction: false } as const;
  return { ...base, sentAt, answeredAt: sentAt + tookMs, ...rest };
}

test('percentiles count only successful statements, and the success ratio counts all', () => {
  const done = [10, 20, 30].map((tookMs) => statement(0, tookMs));
  const failed = statement(0, 900, { error: 'BUSY' });
  assert.equal(computeFigures([...done, failed]), { p50Ms: 20, p99Ms: 30, doneFraction: 0.75 });
});

test('no statements give zeros', () => {
  assert.equal(computeFigures([]), { p50Ms: 0, p99Ms: 0, doneFraction: 0 });
});

test('the write gap starts at the fault, and only acknowledged writes end it', () => {
  const statements = [
    statement(50, 10),
    statement(100, 20, { error: 'BUSY' }),
    statement(110, 5, { kind: 'read' }),
    statement(120, 5, { inTransaction: true }),
    statement(130, 5, { kind: 'commit', routeType: 'bounded_staleness', inTransaction: true }),
    statement(300, 40, { kind: 'commit', inTransaction: true }),
    statement(400, 10),
  ];
  assert.is(longestWriteGapMs(statements, 100), 240);
});

test.run();
