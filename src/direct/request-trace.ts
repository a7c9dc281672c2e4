/**
 * Records the decisions about one request and the facts they were based on. Kept in memory until the
 * request ends; logged only for requests that fail or are late.
 */
import type { Position } from '../core/position.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';

/** A decision, or the result of one. */
export type TraceStep =
  /** An instance was chosen; `sampleAgeMs`: age of the newest known position of the primary. */
  | {
      readonly step: 'chosen';
      readonly instance: string;
      readonly isPrimary: boolean;
      readonly isTrusted: boolean;
      readonly after: Position | undefined;
      readonly sampleAgeMs: Milliseconds | undefined;
      /** Expected response times of this instance and of those not chosen; absent without the fleet's observations. */
      readonly expectedMs?: Milliseconds | undefined;
      readonly passedBy?: Readonly<Record<string, Milliseconds>> | undefined;
    }
  /** No instance may serve the request now. */
  | {
      readonly step: 'no-instance';
      readonly primary: string | undefined;
      readonly isTrusted: boolean;
      readonly isChanging: boolean;
    }
  /** The statement was not sent to the instance; it has not run. */
  | { readonly step: 'not-sent'; readonly instance: string; readonly reason: string }
  | { readonly step: 'sent'; readonly instance: string; readonly through: 'own' | 'owner' }
  | {
      readonly step: 'answered';
      readonly instance: string;
      readonly code: StatementErrorCode | undefined;
    }
  /** No response arrived; the statement may have run. */
  | { readonly step: 'unanswered'; readonly instance: string; readonly fault: string }
  /**
   * The primary was not trusted, and the queried members did not confirm it for a write. `unconfirmed`: an instance that a
   * late promotion call may make primary lacks commits.
   */
  | { readonly step: 'write-withheld'; readonly instance: string; readonly verdict: string }
  /** A commit was acknowledged by an instance that was not trusted; the members were queried for a verdict. */
  | { readonly step: 'commit-confirmed'; readonly verdict: string }
  /** The tenant's retry budget allows no further attempt. */
  | { readonly step: 'budget-spent'; readonly attempts: number };

/** A step and its time since the request's arrival. */
export type TimedStep = TraceStep & { readonly atMs: Milliseconds };

/** Further steps would add nothing new. */
const MAX_STEPS = 24;

export class RequestTrace {
  readonly #steps: TimedStep[] = [];
  #omittedSteps = 0;

  constructor(
    readonly beganAt: Milliseconds,
    private readonly now: () => Milliseconds,
  ) {}

  get steps(): readonly TimedStep[] {
    return this.#steps;
  }

  /** Number of steps that were not recorded because there were too many. */
  get omittedSteps(): number {
    return this.#omittedSteps;
  }

  record(step: TraceStep): void {
    if (step.step === 'no-instance' && this.#repeatsLastStep(step)) return;
    if (this.#steps.length >= MAX_STEPS) {
      this.#omittedSteps += 1;
      return;
    }
    this.#steps.push({ ...step, atMs: Math.round(this.now() - this.beganAt) });
  }

  /** A request that waits for an instance would otherwise record the same step at every retry. */
  #repeatsLastStep(step: Extract<TraceStep, { step: 'no-instance' }>): boolean {
    const before = this.#steps.at(-1);
    if (before?.step !== 'no-instance') return false;
    const isSameTrust = before.isTrusted === step.isTrusted;
    return isSameTrust && before.isChanging === step.isChanging && before.primary === step.primary;
  }
}
