import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { DEFAULT_TENANT_LIMITS, TenantAdmission } from '../../src/core/limits/admission.js';
import { RetryBudget } from '../../src/core/retry/budget.js';

function admissionWith(overrides: Partial<typeof DEFAULT_TENANT_LIMITS>): TenantAdmission {
  const admission = new TenantAdmission();
  admission.setLimits([{ tenant: 'bureau', ...DEFAULT_TENANT_LIMITS, ...overrides }]);
  return admission;
}

test('a burst is admitted, then the rate, and refusals contain the retry delay', () => {
  const admission = admissionWith({ requestsPerSecond: 100, burst: 3 });
  const refusals = [0, 0, 0, 0].map((now) => admission.admit('bureau', 0, now));
  assert.equal(
    refusals.map((refusal) => refusal?.reason),
    [undefined, undefined, undefined, 'rate-limit'],
  );
  assert.is(refusals[3]?.retryAfterMs, 10);
  assert.is(admission.admit('bureau', 0, 10), undefined);
});

test('requests in flight are limited, and their places are freed at their end', () => {
  const admission = admissionWith({ maxInFlight: 1 });
  assert.is(admission.admit('bureau', 0, 0), undefined);
  assert.is(admission.admit('bureau', 7, 0)?.reason, 'in-flight-limit');
  admission.recordCompleted('bureau');
  assert.is(admission.admit('bureau', 0, 0), undefined);
});

test('queued requests and held connections are limited', () => {
  const admission = admissionWith({ maxQueued: 1, maxConnections: 1 });
  admission.admit('bureau', 0, 0);
  admission.recordQueued('bureau', 1);
  assert.is(admission.admit('bureau', 7, 0)?.reason, 'queue-full');
  assert.ok(admission.mayHoldConnection('bureau'));
  admission.recordConnection('bureau', 1);
  assert.not.ok(admission.mayHoldConnection('bureau'));
});

test('a tenant at its limit does not affect another', () => {
  const admission = admissionWith({ maxInFlight: 0 });
  assert.is(admission.admit('bureau', 0, 0)?.reason, 'in-flight-limit');
  assert.is(admission.admit('trust', 0, 0), undefined);
});

test('retries are limited to a tenth of the first attempts once the saved budget is used', () => {
  const budget = new RetryBudget({ ratio: 0.1, capacity: 2 });
  assert.equal([budget.tryTake(), budget.tryTake(), budget.tryTake()], [true, true, false]);
  for (let attempt = 0; attempt < 100; attempt += 1) budget.recordAttempt();
  assert.equal([budget.tryTake(), budget.tryTake(), budget.tryTake()], [true, true, false]);
});

test.run();
