/** A tenant's retry budget: its limit, and the effect of a changed policy. */
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { lineWire } from '../../../platform/line-wire.js';
import { UNTOUCHED_REQUIREMENT } from '../../../src/core/session/state.js';
import { type RoutePolicy, resolveRoutePolicy } from '../../../src/core/tenancy/route-template.js';
import { AnnouncedPrimaryView } from '../../../src/direct/announced-primary-view.js';
import type { InstanceEntry, RouteDescription } from '../../../src/direct/contract.js';
import { InFlightStatements } from '../../../src/direct/in-flight-statements.js';
import { RequestTrace } from '../../../src/direct/request-trace.js';
import { ServiceRuntime } from '../../../src/direct/service-runtime.js';
import { StatementRunner } from '../../../src/direct/statement-runner.js';
import { Tenant } from '../../../src/direct/tenant.js';
import { ROUTE_TEMPLATES } from '../../../src/direct/tenant-templates.generated.js';
import { TrustProver } from '../../../src/direct/trust-prover.js';

const ROUTE: RouteDescription = {
  name: 'route-1',
  database: 'orders',
  service: 'db-1',
  consistency: 'primary',
  maxStalenessMs: 0,
  timeoutMs: 300,
  targetLatencyMs: 100,
  priority: 1,
};
/** No process listens on this port. */
const UNREACHABLE_PORT = 1;
const PRIMARY: InstanceEntry = {
  ...{ id: 'i-1', service: 'db-1', host: '127.0.0.1', port: UNREACHABLE_PORT, zone: 'a' },
  ...{ slots: 3, draining: false, role: 'primary' },
};

/** The pauses between attempts do not keep the process alive. */
const KEEP_ALIVE_MS = 1000;
let keepAlive: NodeJS.Timeout | undefined;

test.before(() => {
  keepAlive = setInterval(() => {}, KEEP_ALIVE_MS);
});
test.after(() => clearInterval(keepAlive));

function tenantWith(retries: RoutePolicy['retries']): Tenant {
  const policy = resolveRoutePolicy(ROUTE_TEMPLATES, ROUTE.consistency, ROUTE);
  return new Tenant(ROUTE.name, { ...policy, untriedPatienceMs: ROUTE.timeoutMs, retries });
}

/** Runs one write for this tenant at an unreachable instance; returns its outcome and its number of attempts. */
async function tryWrite(tenant: Tenant) {
  const now = () => performance.now();
  const random = () => 0.5;
  const view = new AnnouncedPrimaryView();
  view.setInstances(new Map([[PRIMARY.id, PRIMARY]]));
  const counters = {
    ...{
      connectionsOpened: 0,
      connectFailures: 0,
      waitTimeouts: 0,
      queueRefusals: 0,
      turnRefusals: 0,
      untriedRefusals: 0,
    },
    ...{ proofRounds: 0, proofsFailed: 0 },
  };
  const pool = {
    wire: lineWire,
    connectTimeoutMs: 100,
    reconnectDelayMs: 1,
    now,
    random,
    counters,
  };
  const service = new ServiceRuntime('db-1', {
    ...{
      zone: 'a',
      nodeCount: 1,
      drainTimeoutMs: 7000,
      view,
      registrationsHealthySince: () => 0,
      now,
      pool,
    },
    ownership: { roster: undefined, ownershipOf: () => undefined },
  });
  service.setMaxConnections(10);
  service.setInstances([PRIMARY]);
  const prover = new TrustProver({
    wire: lineWire,
    now,
    counters,
    confirmPrimary: async () => false,
    hasBeenPrimary: () => true,
  });
  const runner = new StatementRunner({ wire: lineWire, view, prover, now, random });
  const beganAt = now();
  const trace = new RequestTrace(beganAt, now);
  const outcome = await runner.run({
    ...{ access: 'write', route: ROUTE, service, tenant, prepared: undefined },
    session: {
      values: new Map(),
      requirement: UNTOUCHED_REQUIREMENT,
      inFlight: new InFlightStatements(),
    },
    ...{ beganAt, trace },
    deadline: beganAt + ROUTE.timeoutMs,
    encode: () => '',
  });
  const attempts = trace.steps.filter(({ step }) => step === 'not-sent').length;
  return { outcome, attempts };
}

test('a statement is retried while its tenant has retries left', async () => {
  const alone = await tryWrite(tenantWith({ ratio: 0, capacity: 0 }));
  assert.is(alone.attempts, 1);
  assert.is(alone.outcome.type, 'refused');
  const saved = await tryWrite(tenantWith({ ratio: 0, capacity: 2 }));
  assert.is(saved.attempts, 3);
});

test('first attempts earn retries, up to the maximum of the budget', () => {
  const tenant = tenantWith({ ratio: 0.5, capacity: 1 });
  assert.ok(tenant.tryTakeRetry());
  assert.not(tenant.tryTakeRetry());
  for (let count = 0; count < 10; count += 1) tenant.recordFirstAttempt();
  assert.ok(tenant.tryTakeRetry());
  assert.not(tenant.tryTakeRetry());
});

test('a changed policy keeps the sessions, and the retry budget if its settings are unchanged', () => {
  const tenant = tenantWith({ ratio: 0, capacity: 1 });
  assert.ok(tenant.openSession());
  assert.ok(tenant.tryTakeRetry());
  tenant.setPolicy({ ...tenant.policy, maxSessions: 1 });
  assert.not(tenant.openSession());
  assert.not(tenant.tryTakeRetry());
  tenant.setPolicy({ ...tenant.policy, maxSessions: 2, retries: { ratio: 0, capacity: 2 } });
  assert.ok(tenant.openSession());
  assert.ok(tenant.tryTakeRetry());
});

test.run();
