/** Scenario `group`: one owner's state machine with one database group under faults. */
import { ALL_MECHANISMS, type Mechanism } from '../../src/core/group/options.js';
import { FAULT_NAMES, type Fault, type Handover, type RunPlan, simulate } from './group-run.js';
import type { RequestRecord } from './history.js';
import { findViolations } from './history-checks.js';
import { SeededRandom } from './random.js';
import type { Scenario, ScenarioOutcome } from './scenario.js';

const MAX_FAULTS = 6;
const MIN_FAULT_START_MS = 50;
const MAX_FAULT_START_MS = 1300;
const MIN_FAULT_DURATION_MS = 20;
const MAX_FAULT_DURATION_MS = 900;
const MAX_HANDOVERS = 2;
/** Handovers have random numbers of their own, so that they change no fault of a seed. */
const HANDOVER_SEED_OFFSET = 1_000_000_007;
const MAX_SUMMARY_LINES = 12;

/**
 * Mechanisms whose absence these simulations detect. Without the other two, correctness holds and
 * only time is lost: confirmation still protects without majority election, and the fair queue
 * affects latency only. Both have tests of their own.
 */
export const OWNER_MECHANISMS: readonly Mechanism[] = ALL_MECHANISMS.filter((mechanism) => {
  return mechanism !== 'majority-election' && mechanism !== 'fair-queue';
});

export const GROUP_SCENARIO: Scenario = {
  name: 'group',
  summary:
    'one owner, one database group: crashes, cuts, pauses, lag, leaving instances, handovers',
  mechanisms: OWNER_MECHANISMS,
  plan(seed, disabledMechanisms) {
    const random = new SeededRandom(seed);
    const faults = drawFaults(random);
    const handovers = drawHandovers(new SeededRandom(seed + HANDOVER_SEED_OFFSET));
    const plan: Omit<RunPlan, 'faults' | 'handovers'> = {
      seed,
      mode: 'received',
      votersReportTimeline: random.chance(0.5),
      disabledMechanisms: new Set(
        OWNER_MECHANISMS.filter((mechanism) => disabledMechanisms.has(mechanism)),
      ),
    };
    return {
      events: [...faults.map(describeFault), ...handovers.map(describeHandover)],
      run: (kept) =>
        run({
          ...plan,
          faults: faults.filter((_, index) => kept.has(index)),
          handovers: handovers.filter((_, index) => kept.has(faults.length + index)),
        }),
    };
  },
};

function drawFaults(random: SeededRandom): Fault[] {
  const faults = Array.from({ length: random.integer(0, MAX_FAULTS) }, () => drawFault(random));
  return faults.sort((left, right) => left.at - right.at);
}

function drawHandovers(random: SeededRandom): Handover[] {
  const handovers = Array.from({ length: random.integer(0, MAX_HANDOVERS) }, () => ({
    candidate: random.pick<Handover['candidate']>([0, 1, 2]),
    at: random.integer(MIN_FAULT_START_MS, MAX_FAULT_START_MS),
  }));
  return handovers.sort((left, right) => left.at - right.at);
}

function drawFault(random: SeededRandom): Fault {
  return {
    name: FAULT_NAMES[random.integer(0, FAULT_NAMES.length - 1)] ?? 'crash',
    target: random.pick<Fault['target']>([0, 1, 2, 'primary', 'primary', 'primary']),
    at: random.integer(MIN_FAULT_START_MS, MAX_FAULT_START_MS),
    durationMs: random.integer(MIN_FAULT_DURATION_MS, MAX_FAULT_DURATION_MS),
  };
}

function describeHandover({ candidate, at }: Handover): string {
  return `${at} ms: handover to instance ${'abc'[candidate]}`;
}

function describeFault({ name, target, at, durationMs }: Fault): string {
  const targetText = target === 'primary' ? 'the primary' : `instance ${'abc'[target] ?? target}`;
  return `${at} ms: ${name} of ${targetText} for ${durationMs} ms`;
}

function run(plan: RunPlan): ScenarioOutcome {
  const { history } = simulate(plan);
  const violations = findViolations(history);
  const named = history.records.filter(({ request }) => {
    return violations.some((violation) => violation.split(/[ ,]/).includes(request.id));
  });
  return { violations, summaries: named.slice(0, MAX_SUMMARY_LINES).map(summarizeRequest) };
}

/** Describes the course of one request in one line. */
export function summarizeRequest(record: RequestRecord): string {
  const { request, arrivedAt, sentAt, executions, completions } = record;
  const executionTexts = executions.map(({ instance, at, written, onReplacedPrimary }) => {
    const wrote = written === undefined ? 'read' : `wrote on timeline ${written.timeline}`;
    return `${wrote} on ${instance}${onReplacedPrimary ? ' (replaced)' : ''} at ${at.toFixed(1)}`;
  });
  const endTexts = completions.map(
    ({ at, error }) => `${error?.code ?? 'released'} at ${at.toFixed(1)}`,
  );
  return [
    `${request.id}: ${request.access}, arrived at ${arrivedAt.toFixed(1)}`,
    `sent at ${sentAt.map((at) => at.toFixed(1)).join(', ') || 'no time'}`,
    ...executionTexts,
    ...endTexts,
  ].join('; ');
}
