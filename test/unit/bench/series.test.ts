import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEPLOYMENTS } from '../../../bench/deployments.js';
import type { RequestRecord } from '../../../bench/history/model.js';
import { groupAttempts } from '../../../bench/load/figures.js';
import {
  computeFaultBands,
  computeLatencyPoints,
  computeOutcomePoints,
  computePercentilePoints,
  computeReplicaSharePoints,
  computeServicePoints,
} from '../../../bench/report/series.js';
import { requestRecord } from '../../support/request-record.js';

const STARTED_AT = 1_000_000;

function request(name: string, dueMs: number, change: Partial<RequestRecord> = {}): RequestRecord {
  const intendedAt = STARTED_AT + dueMs;
  return requestRecord({
    attemptId: name,
    logicalId: name,
    kind: 'status',
    intendedAt,
    sentAt: intendedAt,
    endedAt: intendedAt + 10,
    outcome: 'done',
    ...change,
  });
}

const REQUESTS = groupAttempts([
  request('a', 100, { servedBy: 'replica' }),
  request('b', 120, { servedBy: 'primary', endedAt: STARTED_AT + 120 + 5_000 }),
  request('c', 130, { outcome: 'not-run' }),
  request('d', 600, { servedBy: 'replica' }),
]);

test('requests are counted in the interval in which they were due', () => {
  const points = computeOutcomePoints(REQUESTS, STARTED_AT, DEPLOYMENTS.bureau);
  const rateOf = (second: number, ending: string): number | undefined =>
    points.find((point) => point.second === second && point.ending === ending)?.requestsPerSecond;
  assert.is(rateOf(0, 'in time'), 4);
  assert.is(rateOf(0, 'late'), 4);
  assert.is(rateOf(0, 'not run'), 4);
  assert.is(rateOf(0.5, 'in time'), 4);
});

test('service, replica fraction and latency are computed per interval', () => {
  const service = computeServicePoints(REQUESTS, STARTED_AT, DEPLOYMENTS.bureau);
  assert.equal(service, [
    { second: 0, kind: 'status', served: 1 / 3 },
    { second: 0.5, kind: 'status', served: 1 },
  ]);
  const shares = computeReplicaSharePoints(REQUESTS, STARTED_AT).map(({ share }) => share);
  assert.equal(shares, [0.5, 1]);
  const latencies = computeLatencyPoints(REQUESTS, STARTED_AT).filter(({ second }) => second === 0);
  assert.equal(
    latencies.map(({ percentile, latencyMs }) => [percentile, latencyMs]),
    [
      ['p50', 10],
      ['p99', 5_000],
    ],
  );
  assert.is(computePercentilePoints(REQUESTS).at(-1)?.latencyMs, 5_000);
});

test('faults without a target have no band', () => {
  const fault = { name: 'zone-cut', beganAt: STARTED_AT + 500, endedAt: STARTED_AT + 2_000 };
  const bands = computeFaultBands(
    [
      { ...fault, target: 'a', primaryFailures: [] },
      { ...fault, target: undefined, primaryFailures: [] },
    ],
    STARTED_AT,
  );
  assert.equal(bands, [{ name: 'zone-cut', from: 0.5, to: 2 }]);
});

test.run();
