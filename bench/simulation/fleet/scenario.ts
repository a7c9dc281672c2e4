/**
 * Scenario `fleet`: four proxies in front of one database group. Sessions move between gateways
 * with a token or their id alone, keyed requests are retried through another gateway, ownership
 * changes in between, and proxies, links and instances fail.
 */
import { SimulatedClock } from '../clock.js';
import { SimulatedGroup } from '../group.js';
import { accountOf, OWNER_MECHANISMS } from '../group-scenario.js';
import type { SimulatedHistory } from '../history.js';
import { SeededRandom } from '../random.js';
import type { Scenario } from '../scenario.js';
import { type CallerAttempt, LOAD_MS, SimulatedCaller } from './caller.js';
import { type FleetRun, fleetViolations } from './checks.js';
import { applyFleetFault, describeFault, drawFaults, type FleetFault } from './faults.js';
import { Fleet } from './fleet.js';
import type { CallerIdentity } from './gateway.js';
import { GATEWAY_MECHANISMS } from './mechanisms.js';

const QUIET_END_MS = 5000;
const SESSIONS = 12;
/** The last sessions read only, and carry nothing: any replica within their bound will do. */
const READERS = 2;
const TENANTS = ['bureau', 'trust', 'kiosk'];
const MAX_START_MS = 40;
const MAX_ACCOUNT_LINES = 16;

/** Of the owners' machines; the retry budget of one machine is met by the scenario of one owner. */
const MACHINE_MECHANISMS = OWNER_MECHANISMS.filter((mechanism) => mechanism !== 'retry-budget');

export const FLEET_SCENARIO: Scenario = {
  name: 'fleet',
  summary: 'four proxies, one group: moving sessions, keyed retries, changing owners, all faults',
  mechanisms: [...GATEWAY_MECHANISMS, ...MACHINE_MECHANISMS],
  plan(seed, without) {
    const faults = drawFaults(new SeededRandom(seed));
    return {
      events: faults.map(describeFault),
      run: (kept) => {
        const run = simulateFleet(
          seed,
          faults.filter((_, index) => kept.has(index)),
          without,
        );
        const violations = fleetViolations(run);
        return { violations, account: accountsOf(run, violations) };
      },
    };
  },
};

/** Runs the fleet to its end. */
export function simulateFleet(
  seed: number,
  faults: readonly FleetFault[],
  without: ReadonlySet<string>,
): FleetRun {
  const clock = new SimulatedClock(seed);
  const group = new SimulatedGroup(clock, {
    electionTimeoutMs: clock.between(60, 200),
    voteShowsTimeline: clock.chance(0.5),
  });
  const owners: SimulatedHistory = { records: [], breaches: [], finalLog: [] };
  const fleet = new Fleet({
    clock,
    group,
    history: owners,
    without: new Set(GATEWAY_MECHANISMS.filter((mechanism) => without.has(mechanism))),
    machineWithout: new Set(MACHINE_MECHANISMS.filter((mechanism) => without.has(mechanism))),
  });
  const scope = {
    clock,
    group,
    owners: () => fleet.owners,
    leaving: fleet.leaving,
    describe: () => fleet.describe(),
  };
  for (const fault of faults) {
    clock.after(fault.fault.at, () => applyFleetFault(fault, fleet, scope));
  }
  const attempts: CallerAttempt[] = [];
  for (let index = 0; index < SESSIONS; index += 1) {
    const caller = new SimulatedCaller(fleet.context, identityOf(index), attempts);
    clock.after(clock.between(5, MAX_START_MS), () => caller.start());
  }
  const endedAt = LOAD_MS + QUIET_END_MS;
  clock.runUntil(endedAt);
  owners.finalLog = group.latestPrimary()?.log ?? [];
  return { attempts, owners, group, plannedStops: fleet.plannedStops, endedAt };
}

function identityOf(index: number): CallerIdentity {
  const key = { tenant: TENANTS[index % TENANTS.length] ?? 'bureau', sessionId: `s${index}` };
  if (index >= SESSIONS - READERS) return { index, key, carrier: 'nothing', writes: 'none' };
  const carrier = index % 2 === 0 ? 'token' : 'id';
  return { index, key, carrier, writes: index % 4 < 2 ? 'half' : 'few' };
}

function accountsOf({ attempts, owners }: FleetRun, violations: readonly string[]): string[] {
  const words = new Set(violations.slice(0, 3).flatMap((violation) => violation.split(/[ ,;:#]+/)));
  const named = attempts.filter((one) => words.has(one.attemptId) || words.has(one.logicalId));
  const lines = named.flatMap((attempt) => [
    describeAttempt(attempt),
    ...owners.records
      .filter(({ request }) => request.id.startsWith(`${attempt.attemptId}#`))
      .map((record) => `  owner's ${accountOf(record)}`),
  ]);
  return lines.slice(0, MAX_ACCOUNT_LINES);
}

function describeAttempt(attempt: CallerAttempt): string {
  const { carrier } = attempt.session;
  const { attemptId, access, node, sentAt, endedAt, ending, outcome, errorCode } = attempt;
  const times = `${sentAt.toFixed(1)} to ${endedAt.toFixed(1)}`;
  return `${attemptId}: ${access} through ${node} (${carrier}), ${times}: ${ending}, ${outcome} ${errorCode ?? ''}`;
}
