/**
 * The load generator: starts each planned request at its intended time, regardless of the progress of
 * the others (open loop), and records the history. Latency counts from the intended time, also if
 * the session was still busy (no coordinated omission).
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Deployment } from '../deployments.js';
import type { RequestRecord, TransactionRecord, VersionedKey } from '../history/model.js';
import { type AttemptResult, runAttempt } from './attempt.js';
import { CallerSession, type Credentials, type ProxyAddress } from './caller-session.js';
import { nowMs } from './clock.js';
import {
  ABANDONED,
  type AttemptFailure,
  isTokenRefused,
  NOT_SENT,
  toConnectFailure,
} from './outcome.js';
import { createRandom, type Random } from './random.js';
import { retryDelayMs } from './retry-policy.js';
import {
  groupOfSession,
  identificationOfSession,
  type PlannedRequest,
  planRequests,
  type ScheduleOptions,
} from './schedule.js';
import { type AttemptPlan, planAttempt } from './statements.js';

export interface LoadOptions extends ScheduleOptions {
  readonly proxies: readonly ProxyAddress[];
  /** Credentials of the tenant for the database of a group. */
  readonly credentialsOf: (group: string) => Credentials;
  /** Called after each attempt. */
  readonly onAttempt?: (record: RequestRecord) => void;
}

/** The attempts as recorded by the callers. */
export interface LoadResult {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly requests: readonly RequestRecord[];
  readonly transactions: readonly TransactionRecord[];
}

interface SessionState {
  readonly session: CallerSession;
  readonly group: string;
  /** Keys of the rows that the session wrote last, newest first. */
  recentlyWrittenRows: readonly string[];
}

/** An attempt is abandoned when it takes longer than the deadline of its kind plus this. */
const ABANDON_DELAY_MS = 5_000;
const MAX_RECENT_ROWS = 4;
const EMPTY_RESULT: Omit<AttemptResult, 'failure'> = {
  wrote: [],
  saw: [],
  answer: undefined,
  servedBy: undefined,
};

/** Runs the whole schedule; resolves when the last request has been answered or abandoned. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const run = new LoadRun(options);
  return run.execute();
}

class LoadRun {
  readonly #options: LoadOptions;
  readonly #random: Random;
  readonly #sessions: readonly SessionState[];
  readonly #requests: RequestRecord[] = [];
  readonly #transactions: TransactionRecord[] = [];
  #startedAt = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed + 1);
    this.#sessions = Array.from({ length: options.sessions }, (_, index) =>
      createSession(options, index),
    );
  }

  async execute(): Promise<LoadResult> {
    const planned = planRequests(this.#options);
    await Promise.all(
      this.#sessions.map(({ session }) => session.ensureConnected().catch(() => null)),
    );
    this.#startedAt = nowMs();
    const running: Promise<void>[] = [];
    for (const request of planned) {
      const waitMs = this.#startedAt + request.offsetMs - nowMs();
      if (waitMs >= 1) await delay(waitMs);
      running.push(this.#startRequest(request));
    }
    await Promise.all(running);
    await Promise.all(this.#sessions.map(({ session }) => session.disconnect()));
    return {
      startedAt: this.#startedAt,
      endedAt: nowMs(),
      requests: this.#requests,
      transactions: this.#transactions,
    };
  }

  #startRequest(planned: PlannedRequest): Promise<void> {
    const state = this.#sessions[planned.session];
    if (state === undefined) return Promise.resolve();
    return state.session.runInOrder(() => this.#runRequest(planned, state));
  }

  async #runRequest(planned: PlannedRequest, state: SessionState): Promise<void> {
    if (planned.changesProxy) await state.session.moveToNextProxy();
    const deadlineAt = this.#startedAt + planned.offsetMs + planned.kind.deadlineMs;
    for (let attempt = 1; ; attempt += 1) {
      const remainingMs = deadlineAt - nowMs();
      const plan = this.#planAttempt(planned, state, attempt, remainingMs);
      const record = await this.#runRecordedAttempt(planned, state, plan, attempt);
      this.#recordAttempt(record, plan, state);
      const jitter = this.#random.fraction();
      const delayMs = retryDelayMs({ record, plan, attemptCount: attempt, deadlineAt, jitter });
      if (delayMs === undefined) return;
      if (record.ending !== 'answered') await state.session.moveToNextProxy();
      await delay(delayMs);
    }
  }

  #planAttempt(
    planned: PlannedRequest,
    state: SessionState,
    attempt: number,
    remainingMs: number,
  ): AttemptPlan {
    const logicalId = this.#logicalId(planned);
    const ownRow =
      state.recentlyWrittenRows[planned.index % MAX_RECENT_ROWS] ?? state.recentlyWrittenRows[0];
    return planAttempt({
      deployment: this.#options.deployment,
      kind: planned.kind,
      attemptId: formatAttemptId(logicalId, attempt),
      onceKey: logicalId,
      keyRank: planned.keyRank,
      remainingMs,
      ownRow: planned.readsOwnWrite ? ownRow : undefined,
    });
  }

  async #runRecordedAttempt(
    planned: PlannedRequest,
    state: SessionState,
    plan: AttemptPlan,
    attempt: number,
  ): Promise<RequestRecord> {
    const { kind } = planned;
    const { deployment } = this.#options;
    const logicalId = this.#logicalId(planned);
    const attemptId = formatAttemptId(logicalId, attempt);
    const sentAt = nowMs();
    const result = await this.#runWithTimeout(planned, state, plan, attemptId);
    return {
      attemptId,
      logicalId,
      tenant: deployment.tenant,
      sessionId: state.session.sessionId,
      proxy: state.session.proxy,
      group: state.group,
      kind: kind.kind,
      access: kind.access,
      repeatable: kind.repeatable,
      intendedAt: this.#startedAt + planned.offsetMs,
      sentAt,
      endedAt: nowMs(),
      ending: result.failure?.ending ?? 'answered',
      outcome: result.failure?.outcome ?? 'done',
      errorCode: result.failure?.errorCode,
      retryAfterMs: result.failure?.retryAfterMs,
      wrote: result.wrote,
      saw: result.saw,
      effectRow: plan.effectRows[0],
      answer: result.answer,
      servedBy: result.servedBy,
      toleratesStaleness: kind.stalenessBoundMs > 0,
    };
  }

  async #runWithTimeout(
    planned: PlannedRequest,
    { session }: SessionState,
    plan: AttemptPlan,
    attemptId: string,
  ): Promise<AttemptResult> {
    if (plan.remainingMs <= 0) return failed(NOT_SENT);
    const timer = new AbortController();
    const timeoutMs = planned.kind.deadlineMs + ABANDON_DELAY_MS;
    const abandoned = delay(timeoutMs, undefined, { signal: timer.signal, ref: false }).then(
      () => {
        session.destroyConnection();
        return failed(ABANDONED);
      },
      () => failed(ABANDONED),
    );
    const ran = session.ensureConnected().then(
      (client) => runAttempt(client, plan, attemptId),
      (error: unknown) => {
        const failure = toConnectFailure(error);
        if (isTokenRefused(failure)) session.removeToken();
        return failed(failure);
      },
    );
    const result = await Promise.race([ran, abandoned]);
    timer.abort();
    return result;
  }

  #recordAttempt(record: RequestRecord, plan: AttemptPlan, state: SessionState): void {
    this.#requests.push(record);
    this.#options.onAttempt?.(record);
    const { attemptId, tenant, group, outcome } = record;
    if (plan.isTransaction) {
      this.#transactions.push({ attemptId, tenant, group, rows: plan.effectRows, outcome });
    }
    state.recentlyWrittenRows = mergeRecentRows(record.wrote, state.recentlyWrittenRows);
  }

  #logicalId(planned: PlannedRequest): string {
    return `${this.#options.deployment.name}-${this.#options.seed}-${planned.index}`;
  }
}

function failed(failure: AttemptFailure): AttemptResult {
  return { ...EMPTY_RESULT, failure };
}

function formatAttemptId(logicalId: string, attempt: number): string {
  return `${logicalId}-try${attempt}`;
}

function mergeRecentRows(
  wrote: readonly VersionedKey[],
  earlier: readonly string[],
): readonly string[] {
  const keys = wrote.map(({ key }) => key);
  return [...new Set([...keys, ...earlier])].slice(0, MAX_RECENT_ROWS);
}

function createSession(options: LoadOptions, index: number): SessionState {
  const deployment: Deployment = options.deployment;
  const group = groupOfSession(deployment, index);
  const session = new CallerSession({
    sessionId: `${deployment.name}-${options.seed}-session-${index}`,
    identification: identificationOfSession(deployment, index),
    credentials: options.credentialsOf(group),
    proxies: options.proxies,
    firstProxyIndex: index,
  });
  return { session, group, recentlyWrittenRows: [] };
}
