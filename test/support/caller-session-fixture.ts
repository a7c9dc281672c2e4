/** Dependencies of a caller session; their service has no instance. */
import { lineWire } from '../../platform/line-wire.js';
import { type RoutePolicy, resolveRoutePolicy } from '../../src/core/tenancy/route-template.js';
import { AnnouncedPrimaryView } from '../../src/direct/announced-primary-view.js';
import type { SessionDependencies } from '../../src/direct/caller-server.js';
import type { RouteDescription } from '../../src/direct/contract.js';
import type { RequestEnd } from '../../src/direct/request-log.js';
import { ServiceRuntime } from '../../src/direct/service-runtime.js';
import { StatementRunner } from '../../src/direct/statement-runner.js';
import { Tenant } from '../../src/direct/tenant.js';
import { ROUTE_TEMPLATES } from '../../src/direct/tenant-templates.generated.js';
import { TrustProver } from '../../src/direct/trust-prover.js';

/** The only configured route. */
export const ROUTE: RouteDescription = {
  name: 'route-1',
  database: 'orders',
  service: 'db-1',
  consistency: 'primary',
  maxStalenessMs: 0,
  timeoutMs: 50,
  targetLatencyMs: 10,
  priority: 1,
};

const TRANSACTION_IDLE_MS = 3000;
const POLICY = resolveRoutePolicy(ROUTE_TEMPLATES, ROUTE.consistency, ROUTE);

/** Creates the route's tenant; `changes` override its policy. */
export function createTenant(changes: Partial<RoutePolicy> = {}): Tenant {
  return new Tenant(ROUTE.name, { ...POLICY, ...changes });
}

/** Creates dependencies with the database `orders`; ended requests are added to `ends`. */
export function createSessionDependencies(
  tenant = createTenant(),
  ends: RequestEnd[] = [],
  transactionIdleMs = TRANSACTION_IDLE_MS,
): SessionDependencies {
  const now = () => performance.now();
  const random = () => 0.5;
  const view = new AnnouncedPrimaryView();
  const poolCounters = {
    connectionsOpened: 0,
    connectFailures: 0,
    waitTimeouts: 0,
    queueRefusals: 0,
    turnRefusals: 0,
    untriedRefusals: 0,
  };
  const service = new ServiceRuntime('db-1', {
    zone: 'a',
    nodeCount: 1,
    drainTimeoutMs: 7000,
    ownership: { roster: undefined, ownershipOf: () => undefined },
    view,
    registrationsHealthySince: () => 0,
    now,
    pool: {
      wire: lineWire,
      connectTimeoutMs: 100,
      reconnectDelayMs: 100,
      now,
      random,
      counters: poolCounters,
    },
  });
  const prover = new TrustProver({
    wire: lineWire,
    now,
    counters: { proofRounds: 0, proofsFailed: 0 },
    confirmPrimary: async () => false,
    hasBeenPrimary: () => true,
  });
  return {
    wire: lineWire,
    runner: new StatementRunner({ wire: lineWire, view, prover, now, random }),
    routes: {
      find: (database) => (database === 'orders' ? { route: ROUTE, service, tenant } : undefined),
      waitForRoutes: async () => true,
      transactionIdleMs,
    },
    now,
    counters: { statements: 0, refused: 0, failed: 0, refusedAtStop: 0, transactionsIdled: 0 },
    requests: { requestEnded: (end) => ends.push(end) },
  };
}

/** Creates a runner that answers each statement with this payload and adds the statement to `ran`. */
export function createRunner(payload: string, ran: string[]): StatementRunner {
  const real = createSessionDependencies().runner;
  return Object.assign(Object.create(real), {
    run: async (request: { encode(after: undefined): string }) => {
      ran.push(request.encode(undefined));
      return {
        type: 'answered',
        answer: { payload, state: 'idle', position: undefined, error: undefined },
      };
    },
  });
}
