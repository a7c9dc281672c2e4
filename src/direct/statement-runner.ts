/**
 * Runs statements outside any transaction: chooses an instance, sends the statement, and retries at
 * another instance if the statement is a read or has certainly not run.
 */
import { statementRetryPause } from '../core/retry/statement-pause.js';
import type { Milliseconds } from '../core/units.js';
import { Cancellation } from './cancellation.js';
import { CommitTrust, WRITE_WITHHELD } from './commit-trust.js';
import type { FleetPlacement } from './fleet-placement.js';
import { InstanceFeedback } from './instance-feedback.js';
import type { PrimaryView } from './promotion/contract.js';
import type { InstanceRuntime } from './service-runtime.js';
import { StatementAttempts } from './statement-attempts.js';
import {
  type Attempt,
  type Refusal,
  refuse,
  type StatementOutcome,
  type StatementRequest,
} from './statement-request.js';
import { type Placement, type Target, TargetChooser } from './target-chooser.js';
import type { TrustProver } from './trust-prover.js';
import { UnsettledLogs } from './unsettled-logs.js';
import type { StatementWire } from './wire.js';
import { firstWithin, pause } from './within.js';

/** A read that waits longer than both this and this fraction of its latency target is also sent to another instance. */
const MIN_HEDGE_DELAY_MS: Milliseconds = 60;
const HEDGE_TARGET_FRACTION = 0.5;
const MAX_READ_ATTEMPTS = 4;

export interface RunnerOptions {
  readonly wire: StatementWire;
  readonly view: PrimaryView;
  readonly prover: TrustProver;
  readonly placement?: FleetPlacement | undefined;
  readonly now: () => Milliseconds;
  readonly random: () => number;
}

/** Counts one more attempt; false if the tenant's retry budget does not allow it. The first is always allowed. */
export function tryUseAttempt(
  { tenant, trace }: Pick<StatementRequest, 'tenant' | 'trace'>,
  attempts: number,
): boolean {
  if (attempts === 0) {
    tenant.recordFirstAttempt();
    return true;
  }
  const isRetryAllowed = tenant.tryTakeRetry();
  if (!isRetryAllowed) trace?.record({ step: 'budget-spent', attempts });
  return isRetryAllowed;
}

export class StatementRunner {
  readonly targets: TargetChooser;
  readonly feedback: InstanceFeedback;
  readonly attempts: StatementAttempts;
  readonly commits: CommitTrust;

  constructor(readonly options: RunnerOptions) {
    this.commits = new CommitTrust({ ...options, unsettledLogs: new UnsettledLogs(options) });
    this.targets = new TargetChooser(options);
    this.feedback = new InstanceFeedback(options);
    const { targets, feedback } = this;
    this.attempts = new StatementAttempts({ ...options, targets, feedback });
  }

  run(request: StatementRequest): Promise<StatementOutcome> {
    return request.access === 'read' ? this.#runRead(request) : this.#runWrite(request);
  }

  /**
   * Waits before a target is chosen again. False if none can be expected soon: the caller should get its
   * refusal immediately, so that it can try another node.
   * @param refusals how often instances have refused the statement
   */
  async awaitTarget(request: Placement, refusals = 0): Promise<boolean> {
    const { service } = request;
    const lacksTrust = this.targets.lacksTrust(request);
    if (lacksTrust && (await this.options.prover.prove(service))) return true;
    return this.awaitChange(request, refusals);
  }

  /** Like `awaitTarget`, for cases in which a proof of the current primary would not help. */
  async awaitChange(request: Placement, refusals = 0): Promise<boolean> {
    const { view, now } = this.options;
    const { service } = request;
    // A primary change that ended during the pause is a reason for another attempt too.
    const wasChanging = view.isChanging(service.name);
    await this.#pauseBeforeRetry(request, refusals);
    if (wasChanging || view.isChanging(service.name)) return true;
    return now() - request.beganAt < request.tenant.policy.untriedPatienceMs;
  }

  async #runWrite(request: StatementRequest): Promise<StatementOutcome> {
    const { now } = this.options;
    let refusal: Refusal = { code: 'busy', text: 'no primary' };
    let attempts = 0;
    let refusals = 0;
    while (now() < request.deadline) {
      const target = this.targets.choose(request, new Set());
      if (target !== undefined && !(await this.#maySend(request, target))) {
        refusal = WRITE_WITHHELD;
      } else if (target !== undefined) {
        if (!tryUseAttempt(request, attempts)) break;
        attempts += 1;
        const write = request.service.beginWrite();
        const attempt = await this.attempts.run(request, target);
        write.end();
        if (attempt.type === 'answered') {
          const { service, deadline, trace } = request;
          const commit = { deadline, trace, logEndBefore: write.logEndBefore };
          return this.commits.confirm(service, attempt.instance, attempt, commit);
        }
        if (attempt.type === 'unknown') return refuse('in-doubt', 'no answer to a write');
        refusal = attempt.refusal;
        if (attempt.type === 'over-limit') break;
        if (this.isReplaced(request, attempt.instance)) continue;
        if (attempt.isReached) refusals += 1;
      }
      if (!(await this.awaitTarget(request, refusals))) break;
    }
    return { type: 'refused', refusal };
  }

  #maySend({ service, trace }: StatementRequest, { instance }: Target): Promise<boolean> {
    return this.commits.maySend(service, instance, trace);
  }

  /** True if the primary is no longer the instance that was tried: the new one is tried without a pause. */
  isReplaced({ service }: Pick<Placement, 'service'>, tried: InstanceRuntime): boolean {
    const primary = this.options.view.primaryOf(service.name);
    return primary !== undefined && primary.id !== tried.id;
  }

  /** Once one attempt has a response, those that still wait for a connection are cancelled. */
  async #runRead(request: StatementRequest): Promise<StatementOutcome> {
    const settled = new Cancellation();
    const outcome = await this.#tryRead(request, settled);
    settled.cancel();
    return outcome;
  }

  async #tryRead(request: StatementRequest, settled: Cancellation): Promise<StatementOutcome> {
    const { now } = this.options;
    const excluded = new Set<string>();
    const overLimit = new Set<string>();
    const running = new Set<Promise<Attempt>>();
    const hedgeMs = Math.max(
      MIN_HEDGE_DELAY_MS,
      request.route.targetLatencyMs * HEDGE_TARGET_FRACTION,
    );
    let refusal: Refusal = { code: 'busy', text: 'no instance' };
    let mayHaveRun = false;
    let isReached = true;
    let attempts = 0;
    let rounds = 0;
    let lastSentAt = now();
    while (now() < request.deadline) {
      const target =
        attempts < MAX_READ_ATTEMPTS || running.size === 0
          ? this.targets.choose(request, excluded)
          : undefined;
      if (target !== undefined && running.size === 0 && excluded.has(target.instance.id)) {
        // Every instance was tried. Without a pause, instances that fail immediately would be retried endlessly.
        excluded.clear();
        rounds += 1;
        if (isReached) await this.#pauseBeforeRetry(request, rounds);
        else if (!(await this.awaitTarget(request))) break;
        continue;
      }
      if (target !== undefined && this.#mayAttempt(target, excluded, running.size, lastSentAt)) {
        const mayAttempt = tryUseAttempt(request, attempts);
        if (!mayAttempt && running.size === 0) break;
        if (mayAttempt) {
          attempts += 1;
          lastSentAt = now();
          const attempt = this.attempts.run(request, target, settled);
          running.add(attempt);
          void attempt.then(() => running.delete(attempt));
          excluded.add(target.instance.id);
        }
      }
      if (running.size === 0) {
        if (!(await this.awaitTarget(request))) break;
        continue;
      }
      const waitMs = Math.min(hedgeMs, request.deadline - now());
      const first = await firstWithin(running, waitMs);
      if (first === undefined) continue;
      if (first.type === 'answered') return first;
      isReached = first.type === 'unknown' || first.isReached;
      if (first.type === 'unknown') mayHaveRun = true;
      else refusal = first.refusal;
      if (first.type === 'over-limit') {
        overLimit.add(first.instance.id);
        if (running.size === 0 && this.#isOverLimitEverywhere(request, overLimit)) break;
      }
    }
    if (mayHaveRun || running.size > 0) return refuse('timeout', 'no answer in time');
    return { type: 'refused', refusal };
  }

  /** The same instance gets a read again only after it failed, or once its response is considered lost. */
  #mayAttempt(
    target: Target,
    tried: ReadonlySet<string>,
    running: number,
    lastSentAt: Milliseconds,
  ): boolean {
    const { id, pool } = target.instance;
    if (running === 0 || !tried.has(id)) return true;
    return this.options.now() - lastSentAt >= pool.health.lostAfterMs;
  }

  /** True if the tenant has reached its limit of waiting statements at every instance that may serve the read. */
  #isOverLimitEverywhere(request: StatementRequest, overLimit: ReadonlySet<string>): boolean {
    const next = this.targets.choose(request, overLimit);
    return next === undefined || overLimit.has(next.instance.id);
  }

  #pauseBeforeRetry({ route }: Placement, refusals: number): Promise<void> {
    return pause(statementRetryPause(refusals, route.targetLatencyMs, this.options.random()));
  }
}
