/** Scenario `group`: one owner's state machine against one database group under faults. */
import { ALL_MECHANISMS, type Mechanism } from '../../src/core/group/options.js';
import { FAULT_NAMES, type Fault, type RunPlan, simulate } from './group-run.js';
import type { RequestRecord } from './history.js';
import { violationsOf } from './history-checks.js';
import { SeededRandom } from './random.js';
import type { Scenario, ScenarioOutcome } from './scenario.js';

const MAX_FAULTS = 6;
const FIRST_FAULT_MS = 50;
const LAST_FAULT_MS = 1300;
const SHORTEST_FAULT_MS = 20;
const LONGEST_FAULT_MS = 900;
const MAX_ACCOUNT_LINES = 12;

/**
 * What these simulations can notice the absence of. The rest costs time, not correctness, and is
 * left to tests of its own: majority election stands behind confirmation, the fair queue is judged
 * by latency.
 */
export const OWNER_MECHANISMS: readonly Mechanism[] = ALL_MECHANISMS.filter((mechanism) => {
  return mechanism !== 'majority-election' && mechanism !== 'fair-queue';
});

export const GROUP_SCENARIO: Scenario = {
  name: 'group',
  summary: 'one owner, one database group: crashes, cuts, pauses, lag, leaving instances',
  mechanisms: OWNER_MECHANISMS,
  plan(seed, without) {
    const random = new SeededRandom(seed);
    const faults = drawFaults(random);
    const plan: Omit<RunPlan, 'faults'> = {
      seed,
      mode: 'received',
      voteShowsTimeline: random.chance(0.5),
      without: new Set(OWNER_MECHANISMS.filter((mechanism) => without.has(mechanism))),
    };
    return {
      events: faults.map(describe),
      run: (kept) => run({ ...plan, faults: faults.filter((_, index) => kept.has(index)) }),
    };
  },
};

function drawFaults(random: SeededRandom): Fault[] {
  const faults = Array.from({ length: random.whole(0, MAX_FAULTS) }, () => drawFault(random));
  return faults.sort((left, right) => left.at - right.at);
}

function drawFault(random: SeededRandom): Fault {
  return {
    name: FAULT_NAMES[random.whole(0, FAULT_NAMES.length - 1)] ?? 'crash',
    target: random.pick<Fault['target']>([0, 1, 2, 'primary', 'primary', 'primary']),
    at: random.whole(FIRST_FAULT_MS, LAST_FAULT_MS),
    lasts: random.whole(SHORTEST_FAULT_MS, LONGEST_FAULT_MS),
  };
}

function describe({ name, target, at, lasts }: Fault): string {
  const whom = target === 'primary' ? 'the primary' : `instance ${'abc'[target] ?? target}`;
  return `${at} ms: ${name} of ${whom} for ${lasts} ms`;
}

function run(plan: RunPlan): ScenarioOutcome {
  const { history } = simulate(plan);
  const violations = violationsOf(history);
  const named = history.records.filter(({ request }) => {
    return violations.some((violation) => violation.split(/[ ,]/).includes(request.id));
  });
  return { violations, account: named.slice(0, MAX_ACCOUNT_LINES).map(accountOf) };
}

/** What became of one request, in a line. */
export function accountOf(record: RequestRecord): string {
  const { request, arrivedAt, sentAt, executions, finals } = record;
  const ran = executions.map(({ instance, at, written, onDeposed }) => {
    const wrote = written === undefined ? 'read' : `wrote on timeline ${written.timeline}`;
    return `${wrote} on ${instance}${onDeposed ? ' (replaced)' : ''} at ${at.toFixed(1)}`;
  });
  const ended = finals.map(({ at, error }) => `${error?.code ?? 'released'} at ${at.toFixed(1)}`);
  return [
    `${request.id}: ${request.access}, arrived at ${arrivedAt.toFixed(1)}`,
    `sent at ${sentAt.map((at) => at.toFixed(1)).join(', ') || 'no time'}`,
    ...ran,
    ...ended,
  ].join('; ');
}
