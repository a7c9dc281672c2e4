/** One round of the soak: a cluster of real processes with load, the faults of one seed, and the checks. */
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
import { INITIAL_ROUTES, OperatorConfiguration, SERVICE_FLAGS } from './configuration.js';
import { FaultInjector } from './faults.js';
import { Operator } from './operator.js';
import { isPlannedWork } from './planned-schedule.js';
import type { PlannedFault, Schedule } from './schedule.js';
import { createPlots, type RoundPlots } from './series.js';

/** Period within which all faults of a round take place. */
export const FAULT_SPAN_MS: Milliseconds = 8000;
const DEFAULT_GATEWAY_COUNT = 5;
/** Time limit for each client to succeed again after the last fault. */
const RECOVERY_TIMEOUT_MS: Milliseconds = 15_000;
const REQUIRED_SUCCESSES = 3;
const SERVICE = 'orders';

/** A violated rule, no service after the faults, or a gateway that exited on its own. */
export type Finding =
  | { readonly type: 'violation'; readonly violation: Violation }
  | { readonly type: 'no-recovery'; readonly detail: string }
  | { readonly type: 'ended-by-itself'; readonly gateway: string; readonly how: string };

/** Result of a round. */
export interface RoundResult {
  readonly schedule: Schedule;
  readonly findings: readonly Finding[];
  /** Missing answers that a pause of a gateway may explain. */
  readonly late: readonly string[];
  readonly statements: number;
  readonly failed: Readonly<Record<string, number>>;
  readonly tookMs: Milliseconds;
  readonly plots: RoundPlots;
  /** Output of each gateway process, oldest first, and observations of the clients and the operator. */
  readonly logs: ReadonlyMap<string, string>;
}

/** Options of a round. */
export interface RoundOptions {
  readonly gateways?: number | undefined;
}

/** Runs one round according to a schedule. */
export async function runRound(
  schedule: Schedule,
  { gateways = DEFAULT_GATEWAY_COUNT }: RoundOptions = {},
): Promise<RoundResult> {
  const startedAt = performance.now();
  const cluster = await DirectCluster.start({
    ...{ gateways, cuttable: true, detectsUnreadRequests: true, routes: INITIAL_ROUTES },
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
    const stopWatching = this.#conditions.watchOwnProcess();
    const { required, optional } = startClients(this.cluster, this.schedule.seed);
    let faultsFrom = monotonicMs();
    try {
      await Promise.all(required.map((client) => waitForSuccesses(client, 1)));
      faultsFrom = monotonicMs();
      await this.#injectFaults();
      await Promise.all(required.map((client) => waitForSuccesses(client, REQUIRED_SUCCESSES)));
      this.#addViolations('LOST', await this.#configuration.waitUntilInForce());
    } catch (error) {
      this.#findings.push({ type: 'no-recovery', detail: String(error) });
    }
    // A client rejects if it observed something that no client may observe.
    const ends = await Promise.allSettled(
      [...required, ...optional].map((client) => client.stop()),
    );
    const rejected = ends.flatMap((end) => (end.status === 'rejected' ? [String(end.reason)] : []));
    this.#addViolations('MIXED', rejected);
    stopWatching();
    const endedAt = monotonicMs();
    const log = await this.cluster.platform.settledLog();
    const late = this.#checkHistory(log);
    const { statements } = this.cluster.recorder;
    const { faults } = this.schedule;
    return {
      findings: this.#findings,
      late,
      statements: statements.length,
      failed: countErrors(statements),
      plots: createPlots({ faults, faultsFrom, endedAt, statements, runs: log.runs }),
      logs: this.#collectLogs(log),
    };
  }

  /** Resolves when all faults and all planned work have ended. */
  async #injectFaults(): Promise<void> {
    const startedAt = performance.now();
    const { faults } = this.schedule;
    const ends = await Promise.allSettled(
      faults.map((planned) => this.#runFault(planned, startedAt)),
    );
    for (const end of ends) if (end.status === 'rejected') throw end.reason;
  }

  async #runFault({ atMs, forMs, fault }: PlannedFault, startedAt: Milliseconds): Promise<void> {
    await pause(Math.max(0, startedAt + atMs - performance.now()));
    const heal = isPlannedWork(fault)
      ? await this.#operator.begin(fault)
      : await this.#injector.begin(fault);
    await pause(forMs);
    await heal();
  }

  /** Adds the violations to the findings; returns the missing answers that a pause may explain. */
  #checkHistory(log: DirectLog): readonly string[] {
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

  #addViolations(rule: Rule, details: readonly string[]): void {
    for (const detail of details) {
      this.#findings.push({ type: 'violation', violation: { rule, detail } });
    }
  }

  /** Output of each gateway process, and observations of the clients and the operator. */
  #collectLogs(log: DirectLog): ReadonlyMap<string, string> {
    const outputs = this.cluster.startedProcesses.map(
      ({ name, output }, life) => [`${name}-life-${life + 1}`, output()] as const,
    );
    const lost = this.cluster.recorder.statements.filter((one) => one.lost !== undefined);
    const ids = new Set(lost.map(({ id }) => id));
    const runs = log.runs.filter(({ id }) => ids.has(id));
    const observed = { lost, runs, stops: this.#operator.stops, ...this.#conditions.conditions };
    return new Map([...outputs, ['observed', JSON.stringify(observed, null, 1)]]);
  }
}

function countErrors(statements: readonly ClientStatement[]): Readonly<Record<string, number>> {
  const failed: Record<string, number> = {};
  for (const { error } of statements) if (error) failed[error] = (failed[error] ?? 0) + 1;
  return failed;
}

/** Waits until the client has succeeded `count` more times. */
async function waitForSuccesses(client: LoadClient, count: number): Promise<void> {
  const total = (): number => client.done.reads + client.done.writes + client.done.transactions;
  const requiredTotal = total() + count;
  const what = `${client.database} is served again: ${JSON.stringify(client.errors)}`;
  await until(what, () => total() >= requiredTotal, RECOVERY_TIMEOUT_MS);
}
