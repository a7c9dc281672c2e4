/** One round of the soak: a cluster of real processes, load, the faults of one seed, and the checks. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '../../src/core/units.js';
import { monotonicMs } from '../../standins/direct/monotonic.js';
import type { DirectLog } from '../../standins/direct/run-log.js';
import { checkPlannedStops, checkUnansweredRequests } from '../../test/support/direct-answers.js';
import { DirectCluster } from '../../test/support/direct-cluster.js';
import {
  type ClientStatement,
  checkDirectHistory,
  type Rule,
  type Violation,
} from '../../test/support/direct-history.js';
import type { LoadClient } from '../../test/support/direct-load.js';
import { until } from '../../test/support/until.js';
import { startClients } from './clients.js';
import { ConditionLog } from './conditions.js';
import { FIRST_ROUTES, OperatorConfiguration, SERVICE_FLAGS } from './configuration.js';
import { FaultInjector } from './faults.js';
import { Operator } from './operator.js';
import { isPlannedWork } from './planned-schedule.js';
import type { PlannedFault, Schedule } from './schedule.js';
import { plotsOf, type RoundPlots } from './series.js';

/** Faults are drawn within this time. */
export const FAULT_SPAN_MS: Milliseconds = 8000;
const GATEWAYS = 5;
/** Each client must succeed again within so long after the last fault has ended. */
const RECOVERY_MS: Milliseconds = 15_000;
const AFTER_RECOVERY = 3;
const SERVICE = 'orders';

/** Something that went wrong: a rule that was broken, or no service after the faults. */
export type Finding =
  | { readonly type: 'violation'; readonly violation: Violation }
  | { readonly type: 'no-recovery'; readonly detail: string }
  | { readonly type: 'ended-by-itself'; readonly gateway: string; readonly how: string };

/** What a round came to. */
export interface RoundResult {
  readonly schedule: Schedule;
  readonly findings: readonly Finding[];
  /** Answers that may be missing because a gateway was paused. */
  readonly late: readonly string[];
  readonly statements: number;
  readonly failed: Readonly<Record<string, number>>;
  readonly tookMs: Milliseconds;
  readonly plots: RoundPlots;
  /** Output of each process, oldest first, and what was seen from outside. */
  readonly logs: ReadonlyMap<string, string>;
}

/** How rounds are played. */
export interface RoundOptions {
  readonly gateways?: number | undefined;
}

/** Plays a schedule. */
export async function playRound(
  schedule: Schedule,
  { gateways = GATEWAYS }: RoundOptions = {},
): Promise<RoundResult> {
  const startedAt = performance.now();
  const cluster = await DirectCluster.start({
    ...{ gateways, cuttable: true, detectsUnreadRequests: true, routes: FIRST_ROUTES },
    gatewayFlags: schedule.hasOwners ? ['--largest-direct-fleet', '1'] : [],
    ...{ flags: SERVICE_FLAGS, maxOutputCharacters: Number.POSITIVE_INFINITY },
  });
  try {
    const played = await new Round(cluster, schedule).play();
    return { schedule, ...played, tookMs: Math.round(performance.now() - startedAt) };
  } finally {
    await cluster.stop();
  }
}

class Round {
  readonly #conditions = new ConditionLog();
  readonly #configuration: OperatorConfiguration;
  readonly #operator: Operator;
  readonly #injector: FaultInjector;
  readonly #findings: Finding[] = [];

  constructor(
    private readonly cluster: DirectCluster,
    private readonly schedule: Schedule,
  ) {
    this.#configuration = new OperatorConfiguration(cluster);
    this.#operator = new Operator(cluster, this.#configuration, this.#conditions);
    this.#injector = new FaultInjector(
      ...([cluster, SERVICE, this.#operator, this.#configuration, this.#conditions] as const),
    );
  }

  async play(): Promise<Omit<RoundResult, 'schedule' | 'tookMs'>> {
    const endWatch = this.#conditions.watchObserver();
    const { steady, others } = startClients(this.cluster, this.schedule.seed);
    let faultsFrom = monotonicMs();
    try {
      await Promise.all(steady.map((client) => succeedsAgain(client, 1)));
      faultsFrom = monotonicMs();
      await this.#inject();
      await Promise.all(steady.map((client) => succeedsAgain(client, AFTER_RECOVERY)));
      this.#add('LOST', await this.#configuration.inForce());
    } catch (error) {
      this.#findings.push({ type: 'no-recovery', detail: String(error) });
    }
    // A client rejects where it met what no client may.
    const ends = await Promise.allSettled([...steady, ...others].map((client) => client.stop()));
    const rejected = ends.flatMap((end) => (end.status === 'rejected' ? [String(end.reason)] : []));
    this.#add('MIXED', rejected);
    endWatch();
    const endedAt = monotonicMs();
    const log = await this.cluster.platform.settledLog();
    const late = this.#judge(log);
    const { statements } = this.cluster.recorder;
    const { faults } = this.schedule;
    return {
      findings: this.#findings,
      late,
      statements: statements.length,
      failed: failuresOf(statements),
      plots: plotsOf({ faults, faultsFrom, endedAt, statements, runs: log.runs }),
      logs: this.#logs(log),
    };
  }

  /** Resolves once all faults have ended and all planned work is done. */
  async #inject(): Promise<void> {
    const startedAt = performance.now();
    const { faults } = this.schedule;
    const ends = await Promise.allSettled(faults.map((planned) => this.#do(planned, startedAt)));
    for (const end of ends) if (end.status === 'rejected') throw end.reason;
  }

  async #do({ atMs, forMs, fault }: PlannedFault, startedAt: Milliseconds): Promise<void> {
    await pause(Math.max(0, startedAt + atMs - performance.now()));
    const heal = isPlannedWork(fault)
      ? await this.#operator.begin(fault)
      : await this.#injector.begin(fault);
    await pause(forMs);
    await heal();
  }

  /** Adds what breaks a rule; the answers that only may are returned. */
  #judge(log: DirectLog): readonly string[] {
    const { statements } = this.cluster.recorder;
    const { conditions } = this.#conditions;
    const owed = checkUnansweredRequests(statements, log.runs, conditions);
    const violations = [
      ...this.#injector.violations,
      ...checkDirectHistory(statements, log),
      ...owed.violations,
      ...checkPlannedStops(this.#operator.stops, conditions),
    ];
    this.#findings.push(
      ...violations.map((violation) => ({ type: 'violation', violation }) as const),
    );
    for (const { name, process: child } of this.cluster.startedProcesses) {
      if (child.exitCode === null || child.exitCode === 0) continue;
      const how = String(child.exitCode);
      this.#findings.push({ type: 'ended-by-itself', gateway: name, how });
    }
    return owed.late;
  }

  #add(rule: Rule, details: readonly string[]): void {
    for (const detail of details) {
      this.#findings.push({ type: 'violation', violation: { rule, detail } });
    }
  }

  /** What each gateway wrote, and what the clients and the operator saw. */
  #logs(log: DirectLog): ReadonlyMap<string, string> {
    const outputs = this.cluster.startedProcesses.map(
      ({ name, output }, life) => [`${name}-life-${life + 1}`, output()] as const,
    );
    const lost = this.cluster.recorder.statements.filter((one) => one.lost !== undefined);
    const ids = new Set(lost.map(({ id }) => id));
    const runs = log.runs.filter(({ id }) => ids.has(id));
    const seen = { lost, runs, stops: this.#operator.stops, ...this.#conditions.conditions };
    return new Map([...outputs, ['observed', JSON.stringify(seen, null, 1)]]);
  }
}

function failuresOf(statements: readonly ClientStatement[]): Readonly<Record<string, number>> {
  const failed: Record<string, number> = {};
  for (const { error } of statements) if (error) failed[error] = (failed[error] ?? 0) + 1;
  return failed;
}

/** Every client must be served, at each gateway and on each kind of route. */
async function succeedsAgain(client: LoadClient, count: number): Promise<void> {
  const total = (): number => client.done.reads + client.done.writes + client.done.transactions;
  const wanted = total() + count;
  const what = `${client.database} is served again: ${JSON.stringify(client.errors)}`;
  await until(what, () => total() >= wanted, RECOVERY_MS);
}
