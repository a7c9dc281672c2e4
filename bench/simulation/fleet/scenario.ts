/**
 * Scenario `fleet`: four proxies for one database group. Sessions move between gateways with a token
 * or by their id alone, requests with idempotency keys are retried through another gateway,
 * ownership changes between attempts, and proxies, links and instances fail.
 */
import { SimulatedClock } from '../clock.js';
import { SimulatedGroup } from '../group.js';
import { OWNER_MECHANISMS, summarizeRequest } from '../group-scenario.js';
import type { SimulatedHistory } from '../history.js';
import { SeededRandom } from '../random.js';
import type { Scenario } from '../scenario.js';
import { type CallerAttempt, LOAD_MS, SimulatedCaller } from './caller.js';
import { type FleetRun, findFleetViolations } from './checks.js';
import { applyFleetFault, describeFault, drawFaults, type FleetFault } from './faults.js';
import { Fleet } from './fleet.js';
import type { CallerIdentity } from './gateway.js';
import { GATEWAY_MECHANISMS } from './mechanisms.js';

const SETTLING_MS = 5000;
const SESSION_COUNT = 12;
/** The last sessions only read and carry no position, so any replica within their bound serves them. */
const READER_COUNT = 2;
const TENANTS = ['bureau', 'trust', 'kiosk'];
const MAX_START_MS = 40;
const MAX_SUMMARY_LINES = 16;

/** Mechanisms of the owners; the retry budget is left out, since the scenario `group` covers it. */
const STATE_MACHINE_MECHANISMS = OWNER_MECHANISMS.filter(
  (mechanism) => mechanism !== 'retry-budget',
);

export const FLEET_SCENARIO: Scenario = {
  name: 'fleet',
  summary: 'four proxies, one group: moving sessions, keyed retries, changing owners, all faults',
  mechanisms: [...GATEWAY_MECHANISMS, ...STATE_MACHINE_MECHANISMS],
  plan(seed, disabledMechanisms) {
    const faults = drawFaults(new SeededRandom(seed));
    return {
      events: faults.map(describeFault),
      run: (kept) => {
        const run = simulateFleet(
          seed,
          faults.filter((_, index) => kept.has(index)),
          disabledMechanisms,
        );
        const violations = findFleetViolations(run);
        return { violations, summaries: summarizeRequests(run, violations) };
      },
    };
  },
};

/** Runs the simulated cluster and returns its record. */
export function simulateFleet(
  seed: number,
  faults: readonly FleetFault[],
  disabledMechanisms: ReadonlySet<string>,
): FleetRun {
  const clock = new SimulatedClock(seed);
  const group = new SimulatedGroup(clock, {
    electionTimeoutMs: clock.between(60, 200),
    votersReportTimeline: clock.chance(0.5),
  });
  const owners: SimulatedHistory = { records: [], breaches: [], finalLog: [] };
  const fleet = new Fleet({
    clock,
    group,
    history: owners,
    disabledMechanisms: new Set(
      GATEWAY_MECHANISMS.filter((mechanism) => disabledMechanisms.has(mechanism)),
    ),
    disabledOwnerMechanisms: new Set(
      STATE_MACHINE_MECHANISMS.filter((mechanism) => disabledMechanisms.has(mechanism)),
    ),
  });
  const scope = {
    clock,
    group,
    owners: () => fleet.owners,
    leaving: fleet.leavingInstances,
    describe: () => fleet.updateInstances(),
  };
  for (const fault of faults) {
    clock.after(fault.fault.at, () => applyFleetFault(fault, fleet, scope));
  }
  const attempts: CallerAttempt[] = [];
  for (let index = 0; index < SESSION_COUNT; index += 1) {
    const caller = new SimulatedCaller(fleet.context, identityOf(index), attempts);
    clock.after(clock.between(5, MAX_START_MS), () => caller.start());
  }
  const endedAt = LOAD_MS + SETTLING_MS;
  clock.runUntil(endedAt);
  owners.finalLog = group.latestPrimary()?.log ?? [];
  return { attempts, owners, group, plannedStops: fleet.plannedStops, endedAt };
}

function identityOf(index: number): CallerIdentity {
  const key = { tenant: TENANTS[index % TENANTS.length] ?? 'bureau', sessionId: `s${index}` };
  if (index >= SESSION_COUNT - READER_COUNT)
    return { index, key, carrier: 'nothing', writes: 'none' };
  const carrier = index % 2 === 0 ? 'token' : 'id';
  return { index, key, carrier, writes: index % 4 < 2 ? 'half' : 'few' };
}

function summarizeRequests(
  { attempts, owners }: FleetRun,
  violations: readonly string[],
): string[] {
  const ids = new Set(violations.slice(0, 3).flatMap((violation) => violation.split(/[ ,;:#]+/)));
  const named = attempts.filter((one) => ids.has(one.attemptId) || ids.has(one.logicalId));
  const lines = named.flatMap((attempt) => [
    describeAttempt(attempt),
    ...owners.records
      .filter(({ request }) => request.id.startsWith(`${attempt.attemptId}#`))
      .map((record) => `  owner's ${summarizeRequest(record)}`),
  ]);
  return lines.slice(0, MAX_SUMMARY_LINES);
}

function describeAttempt(attempt: CallerAttempt): string {
  const { carrier } = attempt.session;
  const { attemptId, access, node, sentAt, endedAt, ending, outcome, errorCode } = attempt;
  const times = `${sentAt.toFixed(1)} to ${endedAt.toFixed(1)}`;
  return `${attemptId}: ${access} through ${node} (${carrier}), ${times}: ${ending}, ${outcome} ${errorCode ?? ''}`;
}
