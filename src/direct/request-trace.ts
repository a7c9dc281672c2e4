/**
 * What was decided about one request, with what decided it. Kept while the request lasts; written only
 * for requests that end badly or late, and for a sample of the others.
 */
import type { Position } from '../core/position.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';

/** One decision, or what came of it. */
export type TraceStep =
  /** An instance was chosen; `sampleAgeMs`: age of the newest known position of the primary. */
  | {
      readonly step: 'chosen';
      readonly instance: string;
      readonly isPrimary: boolean;
      readonly isTrusted: boolean;
      readonly after: Position | undefined;
      readonly sampleAgeMs: Milliseconds | undefined;
      /** Expected time of its answer, and of those that were passed by; where placement is by the fleet's view. */
      readonly expectedMs?: Milliseconds | undefined;
      readonly passedBy?: Readonly<Record<string, Milliseconds>> | undefined;
    }
  /** No instance may get it now. */
  | {
      readonly step: 'no-instance';
      readonly primary: string | undefined;
      readonly isTrusted: boolean;
      readonly isChanging: boolean;
    }
  /** It was not handed over; nothing of it ran. */
  | { readonly step: 'not-sent'; readonly instance: string; readonly reason: string }
  | { readonly step: 'sent'; readonly instance: string; readonly through: 'own' | 'owner' }
  | {
      readonly step: 'answered';
      readonly instance: string;
      readonly code: StatementErrorCode | undefined;
    }
  /** No answer came: it may have run. */
  | { readonly step: 'unanswered'; readonly instance: string; readonly fault: string }
  /** The members were asked since the primary was not trusted, and did not vouch for a write there. */
  | { readonly step: 'write-withheld'; readonly instance: string; readonly verdict: string }
  /** Acknowledged by an instance that was not trusted then; the members were asked. */
  | { readonly step: 'commit-confirmed'; readonly verdict: string }
  /** Another attempt is beyond the tenant's budget. */
  | { readonly step: 'budget-spent'; readonly attempts: number };

/** A step and when it was taken, counted from the request's arrival. */
export type TimedStep = TraceStep & { readonly atMs: Milliseconds };

/** More steps than this say nothing new. */
const MAX_STEPS = 24;

/** Decisions about one request, in their order. */
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

  /** Steps beyond the bound. */
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

  /** A request that waits for an instance looks again and again. */
  #repeatsLastStep(step: Extract<TraceStep, { step: 'no-instance' }>): boolean {
    const before = this.#steps.at(-1);
    if (before?.step !== 'no-instance') return false;
    const isSameTrust = before.isTrusted === step.isTrusted;
    return isSameTrust && before.isChanging === step.isChanging && before.primary === step.primary;
  }
}
