/**
 * The load generator: starts each planned request at its intended time, whatever became of the
 * others (open loop), and records the history. Latency counts from the intended time, also when
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
  connectFailure,
  isTokenRefused,
  NOT_SENT,
} from './outcome.js';
import { createRandom, type Random } from './random.js';
import { retryDelayMs } from './retry-policy.js';
import {
  carriageOfSession,
  groupOfSession,
  type PlannedRequest,
  planRequests,
  type ScheduleOptions,
} from './schedule.js';
import { type AttemptPlan, planAttempt } from './statements.js';

export interface LoadOptions extends ScheduleOptions {
  readonly proxies: readonly ProxyAddress[];
  /** Credentials of the tenant for the database of a group. */
  readonly credentialsOf: (group: string) => Credentials;
  /** Told of each attempt as it ends, for a progress line. */
  readonly onRecord?: (record: RequestRecord) => void;
}

/** What the callers saw. */
export interface LoadResult {
  readonly startedAt: number;
  readonly endedAt: number;
  readonly requests: readonly RequestRecord[];
  readonly transactions: readonly TransactionRecord[];
}

interface SessionMemory {
  readonly session: CallerSession;
  readonly group: string;
  /** Rows that the session wrote last, the newest first. */
  ownRows: readonly string[];
}

/** An attempt that takes so much longer than its deadline is given up. */
const ABANDON_GRACE_MS = 5_000;
const KEPT_OWN_ROWS = 4;
const EMPTY_RESULT: Omit<AttemptResult, 'failure'> = {
  wrote: [],
  saw: [],
  answer: undefined,
  servedBy: undefined,
};

/** Runs the whole schedule; resolves when the last answer is there or was given up. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
  const run = new LoadRun(options);
  return run.execute();
}

class LoadRun {
  readonly #options: LoadOptions;
  readonly #random: Random;
  readonly #sessions: readonly SessionMemory[];
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
    await Promise.all(this.#sessions.map(({ session }) => session.connected().catch(() => null)));
    this.#startedAt = nowMs();
    const running: Promise<void>[] = [];
    for (const request of planned) {
      const waitMs = this.#startedAt + request.offsetMs - nowMs();
      if (waitMs >= 1) await delay(waitMs);
      running.push(this.#start(request));
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

  #start(planned: PlannedRequest): Promise<void> {
    const memory = this.#sessions[planned.session];
    if (memory === undefined) return Promise.resolve();
    return memory.session.inTurn(() => this.#perform(planned, memory));
  }

  async #perform(planned: PlannedRequest, memory: SessionMemory): Promise<void> {
    if (planned.moves) await memory.session.move();
    const deadlineAt = this.#startedAt + planned.offsetMs + planned.kind.deadlineMs;
    for (let attempt = 1; ; attempt += 1) {
      const remainingMs = deadlineAt - nowMs();
      const plan = this.#planAttempt(planned, memory, attempt, remainingMs);
      const record = await this.#attempt(planned, memory, plan, attempt);
      this.#remember(record, plan, memory);
      const jitter = this.#random.fraction();
      const delayMs = retryDelayMs({ record, plan, attempts: attempt, deadlineAt, jitter });
      if (delayMs === undefined) return;
      if (record.ending !== 'answered') await memory.session.move();
      await delay(delayMs);
    }
  }

  #planAttempt(
    planned: PlannedRequest,
    memory: SessionMemory,
    attempt: number,
    remainingMs: number,
  ): AttemptPlan {
    const logicalId = this.#logicalId(planned);
    const ownRow = memory.ownRows[planned.index % KEPT_OWN_ROWS] ?? memory.ownRows[0];
    return planAttempt({
      deployment: this.#options.deployment,
      kind: planned.kind,
      attemptId: attemptIdOf(logicalId, attempt),
      onceKey: logicalId,
      keyRank: planned.keyRank,
      remainingMs,
      ownRow: planned.readOwnWrite ? ownRow : undefined,
    });
  }

  async #attempt(
    planned: PlannedRequest,
    memory: SessionMemory,
    plan: AttemptPlan,
    attempt: number,
  ): Promise<RequestRecord> {
    const { kind } = planned;
    const { deployment } = this.#options;
    const logicalId = this.#logicalId(planned);
    const attemptId = attemptIdOf(logicalId, attempt);
    const sentAt = nowMs();
    const result = await this.#run(planned, memory, plan, attemptId);
    return {
      attemptId,
      logicalId,
      tenant: deployment.tenant,
      sessionId: memory.session.sessionId,
      proxy: memory.session.proxy,
      group: memory.group,
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

  async #run(
    planned: PlannedRequest,
    { session }: SessionMemory,
    plan: AttemptPlan,
    attemptId: string,
  ): Promise<AttemptResult> {
    if (plan.remainingMs <= 0) return failed(NOT_SENT);
    const timer = new AbortController();
    const limitMs = planned.kind.deadlineMs + ABANDON_GRACE_MS;
    const abandoned = delay(limitMs, undefined, { signal: timer.signal, ref: false }).then(
      () => {
        session.abandon();
        return failed(ABANDONED);
      },
      () => failed(ABANDONED),
    );
    const ran = session.connected().then(
      (client) => runAttempt(client, plan, attemptId),
      (error: unknown) => {
        const failure = connectFailure(error);
        if (isTokenRefused(failure)) session.forgetToken();
        return failed(failure);
      },
    );
    const result = await Promise.race([ran, abandoned]);
    timer.abort();
    return result;
  }

  #remember(record: RequestRecord, plan: AttemptPlan, memory: SessionMemory): void {
    this.#requests.push(record);
    this.#options.onRecord?.(record);
    const { attemptId, tenant, group, outcome } = record;
    if (plan.transaction) {
      this.#transactions.push({ attemptId, tenant, group, rows: plan.effectRows, outcome });
    }
    memory.ownRows = newestRows(record.wrote, memory.ownRows);
  }

  #logicalId(planned: PlannedRequest): string {
    return `${this.#options.deployment.name}-${this.#options.seed}-${planned.index}`;
  }
}

function failed(failure: AttemptFailure): AttemptResult {
  return { ...EMPTY_RESULT, failure };
}

function attemptIdOf(logicalId: string, attempt: number): string {
  return `${logicalId}-try${attempt}`;
}

function newestRows(wrote: readonly VersionedKey[], earlier: readonly string[]): readonly string[] {
  const keys = wrote.map(({ key }) => key);
  return [...new Set([...keys, ...earlier])].slice(0, KEPT_OWN_ROWS);
}

function createSession(options: LoadOptions, index: number): SessionMemory {
  const deployment: Deployment = options.deployment;
  const group = groupOfSession(deployment, index);
  const session = new CallerSession({
    sessionId: `${deployment.name}-${options.seed}-session-${index}`,
    carriage: carriageOfSession(deployment, index),
    credentials: options.credentialsOf(group),
    proxies: options.proxies,
    firstProxy: index,
  });
  return { session, group, ownRows: [] };
}
