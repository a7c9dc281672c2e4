/** Health of one instance as its answers show it: whether and how fast it answers, and its pace for statements. */
import type { InstanceObservation } from '../core/fleet/instance-digest.js';
import type { Access } from '../core/request.js';
import { BusyPace } from '../core/statements/busy-pace.js';
import { StallDetector } from '../core/statements/stall.js';
import type { StatementErrorCode } from '../core/statements/statement.js';
import type { Milliseconds } from '../core/units.js';
import type { GatewayLatencies } from './latencies.js';

const INITIAL_ANSWER_MS: Milliseconds = 25;
const ANSWER_SMOOTHING = 0.1;
/** An answer is treated as lost after this time or a multiple of the recent response time, whichever is longer. */
const MIN_LOST_AFTER_MS: Milliseconds = 250;
const LOST_AFTER_FACTOR = 8;
/** An instance that has answered nothing for this time gets no new work except periodic probes. */
const STALL_MS: Milliseconds = 400;
const MIN_STALL_UNANSWERED = 2;
/** A stalled instance gets one statement per period, to detect that it answers again. */
const STALL_PROBE_PERIOD_MS: Milliseconds = 200;

export interface InstanceHealthOptions {
  readonly now: () => Milliseconds;
  readonly latencies?: Pick<GatewayLatencies, 'instanceAnswers'>;
  /** Receives what statements show about the instance. */
  readonly observe?: (observation: InstanceObservation) => void;
}

export class InstanceHealth {
  /** Smoothed response time. */
  answerMs: Milliseconds = INITIAL_ANSWER_MS;
  /** Reads avoid the instance until then. */
  avoidUntil: Milliseconds = 0;
  /** Number of nodes that share the instance. */
  nodeCount = 1;
  readonly pace = new BusyPace();
  readonly #answers = new StallDetector(STALL_MS, MIN_STALL_UNANSWERED);
  readonly #commits = new StallDetector(STALL_MS, MIN_STALL_UNANSWERED);
  #stallProbedAt: Milliseconds = 0;
  /** Called when the instance refused a statement because all its slots were busy. */
  onBusy: (() => void) | undefined;

  constructor(private readonly options: InstanceHealthOptions) {}

  /** Time after which a missing answer is treated as lost. */
  get lostAfterMs(): Milliseconds {
    return Math.max(MIN_LOST_AFTER_MS, this.answerMs * LOST_AFTER_FACTOR);
  }

  /** True while it answers none of the statements that were sent. */
  isUnresponsive(access: Access): boolean {
    const now = this.options.now();
    return this.#answers.isStalled(now) || (access === 'write' && this.#commits.isStalled(now));
  }

  /** As `isUnresponsive`, but periodically false, so that one statement probes the instance. */
  isStalled(access: Access): boolean {
    const now = this.options.now();
    const stalled = this.isUnresponsive(access);
    if (!stalled || now - this.#stallProbedAt < STALL_PROBE_PERIOD_MS) return stalled;
    this.#stallProbedAt = now;
    return false;
  }

  /** Time for which no statement of this kind has been answered while some were waiting. */
  silenceMs(access: Access): Milliseconds {
    const detector = access === 'write' ? this.#commits : this.#answers;
    return detector.silenceMs(this.options.now());
  }

  /** Records that a statement was sent; the caller reports through the returned function whether it was answered. */
  trackAnswer(access: Access): (answered: boolean) => void {
    const detectors = access === 'write' ? [this.#answers, this.#commits] : [this.#answers];
    for (const detector of detectors) detector.recordRequest(this.options.now());
    return (answered) => {
      for (const detector of detectors) {
        if (answered) detector.recordAnswer(this.options.now());
        else detector.recordAbandoned();
      }
    };
  }

  /**
   * Records the answer to a statement that takes a slot.
   * @param tookMs time until the answer; undefined if it doesn't predict the time of later ones
   */
  recordOutcome(
    code: StatementErrorCode | undefined,
    tookMs?: Milliseconds,
    access: Access = 'read',
  ): void {
    if (code === 'busy') this.recordBusy();
    if (code === 'failed') this.recordFailed();
    if (code !== undefined) return;
    this.recordServed();
    // A write also waits for replicas.
    const answerMs = access === 'read' ? tookMs : undefined;
    this.options.observe?.({ type: 'answered', answerMs });
    if (tookMs === undefined) return;
    this.options.latencies?.instanceAnswers.observe(tookMs);
    this.answerMs += (tookMs - this.answerMs) * ANSWER_SMOOTHING;
  }

  /** Records that a slot was free for a statement. */
  recordServed(): void {
    this.pace.recordServed();
  }

  /** Records that the instance refused a statement because all its slots were busy. */
  recordBusy(): void {
    this.pace.recordBusy(this.options.now(), this.nodeCount);
    this.onBusy?.();
    this.options.observe?.({ type: 'refused' });
  }

  /** Records that a statement got no answer, or an internal error of the instance. */
  recordFailed(): void {
    this.options.observe?.({ type: 'failed' });
  }

  /** Records how long a statement waited for its connection. */
  recordWait(waitMs: Milliseconds): void {
    this.options.observe?.({ type: 'started', waitMs });
  }
}
